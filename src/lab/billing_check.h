// Compares the schedulers' ledgers of a scenario with the answers that clients received. After the
// corrections proposed by reconciliation, the billed units of each tenant and volume must equal the units
// of the transactions that succeeded.
#pragma once

#include "lab/record.h"
#include "lab/scenario.h"

namespace heronworks::lab {

struct BillingCheck {
  std::uint64_t entries = 0;
  std::uint64_t repeats = 0;
  std::uint64_t succeeded = 0;      // transactions that a client saw succeed
  std::uint64_t double_billed = 0;  // billed by two schedulers; corrected
  std::uint64_t unacknowledged =
      0;  // in a ledger, but the connection broke before a client got the answer; corrected
  std::uint64_t missing = 0;         // succeeded but in no ledger; at most `answered_early`
  std::uint64_t answered_early = 0;  // answers sent before their ledger entry was durable, from the logs
  std::uint64_t corrections = 0;
  std::string statement;            // a sample statement
  std::vector<std::string> errors;  // empty if the bills are correct
  std::string summary() const;
};

BillingCheck check_billing(const Scenario& scenario, const std::vector<Event>& events,
                           const std::string& folder);

std::string tenant_of(int volume);  // `volume` is the scenario's volume index
std::string ledger_folder(const std::string& folder, int scheduler);

}  // namespace heronworks::lab
