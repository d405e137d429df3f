// A stand-in disk server: cores, a queue in turn of arrival, pauses, flushes, a cold start and falling over,
// repeats of labelled writes, real bytes; and every trouble of a day's script that concerns a node.
#pragma once

#include <deque>
#include <map>
#include <unordered_map>

#include "lab/disk.h"
#include "lab/record.h"
#include "nvme/target.h"

namespace heronworks::lab {

inline constexpr const char* kNodeSubsystem = "nqn.2026-11.org.heronworks:node";

struct NodeOptions {
  int number = 0;
  int life = 0;
  Address listen;
  double start = 0;  // of the day, CLOCK_MONOTONIC
  std::string folder;
};

class StandInNode final : public nvme::Backend {
 public:
  // `fallen` is called once the node was pushed over; it has closed its connections by then.
  StandInNode(Loop& loop, const Day& day, const NodeOptions& options, Recorder& record,
              std::function<void()> fallen);

  Address address() const { return target_->address(); }
  nvme::Status identify(std::uint8_t cns, std::uint8_t csi, std::uint32_t nsid, nvme::Bytes& page) override;
  void execute_command(nvme::Command&& command) override;
  void get_log_page(nvme::ConnectionId connection, std::uint16_t cid, std::uint8_t page, std::uint64_t offset,
                    std::uint32_t length) override;
  void connection_established(nvme::ConnectionId connection, const std::string& host, bool admin,
                              const Address& peer) override;
  void connection_closed(nvme::ConnectionId connection) override;

 private:
  struct Job {
    nvme::Command c;
    int via = 0;
    int profile = -1;
    int plan = -1;
    bool write = false;
    bool repeat = false;
    double units = 0;
    double cost = 0;  // s of one core at speed 1
    double expires = 0;
  };
  struct Done {
    double at = 0;
    std::uint64_t result = 0;
  };

  double day_time() const { return loop_.now() - options_.start; }
  const Act* acting(Trouble trouble) const;
  double frac() const;
  double slowness() const;
  bool pushed_over(double cost);
  void next();
  void ran(Job job);
  void reply(const Job& job, nvme::Status status, const char* outcome, std::uint64_t result = 0,
             nvme::ByteView data = {});
  void pause();
  void flush();
  double draw(double from, double to);
  std::uint32_t told_use(int volume, int plan) const;
  std::uint32_t served_by_others(int volume, int via);
  Event event(const Job& job, Kind kind, double t) const;

  Loop& loop_;
  const Day& day_;
  const NodeOptions options_;
  Recorder& record_;
  std::function<void()> fallen_;
  const std::vector<VolumeFacts> volumes_;
  const double speed_;
  const bool cold_;
  double came_up_ = 0;
  std::minstd_rand random_;
  Disk disk_;
  Meter meter_;
  std::unique_ptr<nvme::Target> target_;
  std::unordered_map<nvme::ConnectionId, int> via_;  // emptied as connections close
  std::deque<Job> queue_;                            // bounded by the day's queue
  int running_ = 0;
  double still_until_ = 0;
  double deferred_ = 0;                           // s of one core that the next flush does
  std::deque<std::pair<double, double>> pushed_;  // time and cost of what came while cold; of one fall time
  std::map<std::pair<std::uint32_t, std::uint64_t>, Done>
      done_;  // by namespace and label; emptied of what is older than the window
  std::map<std::pair<int, int>, std::uint64_t>
      told_;                           // by volume and scheduler: units of others at the last answer
  std::vector<std::uint64_t> served_;  // by volume
  std::map<std::pair<int, int>, std::uint64_t> served_for_;  // by volume and scheduler
  bool down_ = false;
};

}  // namespace heronworks::lab
