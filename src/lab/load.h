// The load generator: an open-loop stream of transactions over all volumes. Retries as the answers allow
// and records every answer with a hash of the data read.
#pragma once

#include <unordered_map>

#include "lab/record.h"
#include "lab/scenario.h"
#include "lab/scenario_rules.h"
#include "nvme/host.h"

namespace heronworks::lab {

struct LoadCounts {
  int sent = 0;
  int succeeded = 0;
  int in_time = 0;
  int rejected = 0;
  int expired = 0;
  int errors = 0;
  int lost = 0;
};

class LoadGenerator {
 public:
  // `finished` is called once the scenario is over and no transaction is outstanding.
  LoadGenerator(Loop& loop, const Scenario& scenario, double start, std::vector<std::uint16_t> ports,
                Recorder& record, std::function<void()> finished);
  ~LoadGenerator();

 private:
  struct Transaction {
    std::uint64_t idempotency_key = 0;
    int volume = 0;
    int scheduler = 0;
    int profile = 0;
    std::uint64_t ordering_key = 0;  // set by a rule; 0: none
    int attempt = 0;
    double first_sent_at = 0;
    double deadline = 0;
    nvme::Sqe sqe;
    nvme::SharedBytes data;
    std::uint32_t read_bytes = 0;
    double units = 0;
  };
  struct RecentObject {
    std::uint64_t lba = 0;
    std::uint32_t blocks = 0;
  };
  class Client;

  double draw(double from, double to);
  double rate_factor(int volume) const;
  void generate_arrivals();
  Client& client_for(int volume, int scheduler);
  void send(const Transaction& t);
  void on_answer(Client& client, Transaction t, nvme::Completion&& c);
  void retry_on_other_scheduler(Transaction t);
  void rotate_primaries();
  void print_progress();
  void keep_polling();
  void check_finished();
  void finish();
  Event event(const Transaction& t, EventKind kind, double at) const;

  Loop& loop_;
  const Scenario& scenario_;
  const double start_;
  Recorder& record_;
  std::function<void()> finished_;
  std::minstd_rand random_;
  ScenarioRules rules_;
  std::vector<VolumeLayout> volumes_;
  std::vector<double> weights_;  // cumulative traffic weights of the volumes
  std::vector<std::vector<RecentObject>>
      recent_objects_;  // by volume: the most recently appended, at most kMaxRecentObjects
  std::vector<std::unique_ptr<Client>> clients_;
  std::uint64_t last_key_ = 0;
  int outstanding_ = 0;
  int pending_retries_ = 0;
  double next_arrival_ = 0;
  LoadCounts counts_this_second_;
};

}  // namespace heronworks::lab
