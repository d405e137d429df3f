// Clients: an open stream of transactions over all volumes, by the day's shares and surges, through the
// schedulers of each volume; retries as the answers allow; every answer written down and every byte checked.
#pragma once

#include <unordered_map>

#include "lab/day.h"
#include "lab/day_rules.h"
#include "lab/record.h"
#include "nvme/host.h"

namespace heronworks::lab {

struct LoadCounts {
  int sent = 0;
  int honoured = 0;
  int in_time = 0;
  int turned_back = 0;
  int given_up = 0;
  int errors = 0;
  int lost = 0;
};

class Load {
 public:
  // `finished` is called once the day is over and nothing waits for an answer.
  Load(Loop& loop, const Day& day, double start, std::vector<std::uint16_t> ports, Recorder& record,
       std::function<void()> finished);
  ~Load();

 private:
  struct Transaction {
    std::uint64_t label = 0;
    int volume = 0;
    int via = 0;
    int profile = 0;
    std::uint64_t key = 0;  // that a rule gives; 0: none does
    int attempt = 0;
    double first_at = 0;
    double until = 0;
    nvme::Sqe sqe;
    nvme::SharedBytes data;
    std::uint32_t in = 0;
    double units = 0;
  };
  struct Object {
    std::uint64_t lba = 0;
    std::uint32_t blocks = 0;
  };
  class Client;

  double draw(double from, double to);
  double rate_factor(int volume) const;
  void arrive();
  Client& client_of(int volume, int via);
  void launch(const Transaction& t);
  void answered(Client& client, Transaction t, nvme::Completion&& c);
  void again_elsewhere(Transaction t);
  void lead_moves();
  void second();
  void beat();
  void check_finished();
  void finish();
  Event event(const Transaction& t, Kind kind, double at) const;

  Loop& loop_;
  const Day& day_;
  const double start_;
  Recorder& record_;
  std::function<void()> finished_;
  std::minstd_rand random_;
  DayRules rules_;
  std::vector<VolumeFacts> volumes_;
  std::vector<double> weights_;               // of volumes now, running sums
  std::vector<std::vector<Object>> objects_;  // by volume: the newest appended, 32 at most
  std::vector<std::unique_ptr<Client>> clients_;
  std::uint64_t last_label_ = 0;
  int open_ = 0;
  int retrying_ = 0;
  double next_at_ = 0;
  LoadCounts second_counts_;
};

}  // namespace heronworks::lab
