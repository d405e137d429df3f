// Holds the schedulers' ledgers of a day against what clients were told: after the corrections that
// reconciliation proposes, what is billed must be what clients had honoured, by tenant and volume, to the
// unit.
#pragma once

#include "lab/day.h"
#include "lab/record.h"

namespace heronworks::lab {

struct Bills {
  std::uint64_t entries = 0;
  std::uint64_t repeats = 0;
  std::uint64_t honoured = 0;  // by clients
  std::uint64_t twice = 0;     // billed by two schedulers, taken back
  std::uint64_t in_flight =
      0;                   // entered, and no client heard of it: taken back; each has a broken connection
  std::uint64_t lost = 0;  // honoured and not entered: allowed only where answers went out ahead
  std::uint64_t ahead =
      0;  // answers that went out before their entries were durable, by the schedulers' logs
  std::uint64_t corrections = 0;
  std::string statement;            // one of them, as a tenant reads it
  std::vector<std::string> faults;  // empty: all adds up
  std::string line() const;
};

Bills check_bills(const Day& day, const std::vector<Event>& events, const std::string& folder);

std::string tenant_of(int volume);  // of a day's volume, by its index
std::string ledger_folder(const std::string& folder, int scheduler);

}  // namespace heronworks::lab
