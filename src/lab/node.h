// A stand-in storage node: cores, a FIFO queue, pauses, flushes, slow start with overload, deduplicated
// writes and real data. Injects every node fault of the scenario.
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
  int incarnation = 0;
  Address listen;
  double start = 0;  // start of the scenario, CLOCK_MONOTONIC
  std::string folder;
};

class StandInNode final : public nvme::Backend {
 public:
  // `on_overload` is called after the node was overloaded during slow start and closed its connections.
  StandInNode(Loop& loop, const Scenario& scenario, const NodeOptions& options, Recorder& record,
              std::function<void()> on_overload);

  Address address() const { return target_->address(); }
  nvme::Status identify(std::uint8_t cns, std::uint8_t csi, std::uint32_t nsid, nvme::Bytes& page) override;
  void execute_command(nvme::Command&& command) override;
  void get_log_page(nvme::ConnectionId connection, std::uint16_t cid, std::uint8_t page, std::uint64_t offset,
                    std::uint32_t length) override;
  void connection_established(nvme::ConnectionId connection, const std::string& host, bool admin,
                              const Address& peer) override;
  void connection_closed(nvme::ConnectionId connection) override;

 private:
  struct Request {
    nvme::Command command;
    int scheduler = 0;
    int profile = -1;
    int plan = -1;
    bool write = false;
    bool repeat = false;
    double units = 0;
    double cost = 0;  // core-seconds at speed 1
    double expires = 0;
  };
  struct CompletedWrite {
    double at = 0;
    std::uint64_t result = 0;
  };

  double scenario_time() const { return loop_.now() - options_.start; }
  const FaultEvent* active_fault(FaultKind kind) const;
  double capacity_fraction() const;
  double execution_time_factor() const;
  bool overloaded_during_slow_start(double cost);
  void start_queued();
  void execute(Request request);
  void reply(const Request& request, nvme::Status status, const char* outcome, std::uint64_t result = 0,
             nvme::ByteView data = {});
  void pause();
  void flush();
  double draw(double from, double to);
  std::uint32_t reported_use(int volume, int plan) const;
  std::uint32_t served_by_others(int volume, int scheduler);
  Event event(const Request& request, EventKind kind, double t) const;

  Loop& loop_;
  const Scenario& scenario_;
  const NodeOptions options_;
  Recorder& record_;
  std::function<void()> on_overload_;
  const std::vector<VolumeLayout> volumes_;
  const double speed_;
  const bool slow_start_;
  double up_since_ = 0;
  std::minstd_rand random_;
  ShardStorage storage_;
  UsageMeter usage_meter_;
  std::unique_ptr<nvme::Target> target_;
  std::unordered_map<nvme::ConnectionId, int> scheduler_of_connection_;  // entries removed on disconnect
  std::deque<Request> queue_;  // bounded by the scenario's queue size
  int running_ = 0;
  double paused_until_ = 0;
  double deferred_work_ = 0;  // core-seconds left to the next flush
  std::deque<std::pair<double, double>>
      slow_start_work_;  // time and cost of the requests in the last overload window
  std::map<std::pair<std::uint32_t, std::uint64_t>, CompletedWrite>
      completed_writes_;  // by namespace and idempotency key; expired after the deduplication window
  std::map<std::pair<int, int>, std::uint64_t>
      reported_units_;  // by volume and scheduler: other schedulers' units already reported
  std::vector<std::uint64_t> served_units_;                                 // by volume
  std::map<std::pair<int, int>, std::uint64_t> served_units_by_scheduler_;  // by volume and scheduler
  bool down_ = false;
};

}  // namespace heronworks::lab
