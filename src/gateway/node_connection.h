// The connection to one node: opened on demand, closed when idle or drained. It sends dispatches in order and
// reports the end of each exactly once.
//
// A command is encoded only when all bytes before it have been passed to the operating system. Those still
// queued can thus be withdrawn and are known not to have been executed.
#pragma once

#include <deque>
#include <unordered_map>

#include "nvme/host.h"
#include "state.h"

namespace heronworks::gateway {

struct Dispatch {
  int transaction = 0;
  int number = 0;  // of the transaction, from 0
  double sent_at = 0;
  double deadline = 0;  // at which it times out
  nvme::Sqe sqe;
  nvme::SharedBytes write_data;
  std::uint32_t read_bytes = 0;
};

class NodeConnectionOwner {
 public:
  virtual ~NodeConnectionOwner() = default;
  virtual void dispatch_ended(int node, const Dispatch& dispatch, Outcome outcome,
                              nvme::Completion&& completion) = 0;
  virtual void connection_changed(int node, const char* event, const std::string& reason) = 0;
};

class NodeConnection final : public nvme::HostHandler {
 public:
  struct Options {
    nvme::HostOptions host;
    double idle_timeout = 60;      // s
    std::size_t max_queued = 256;  // dispatches not yet written; further ones fail with kConnectFailed
  };

  NodeConnection(Loop& loop, int node, Options options, NodeConnectionOwner& owner);
  ~NodeConnection() override;

  void send(Dispatch dispatch);
  void open();
  // The node is draining or removed: ends queued dispatches as failed connects. Those already written may
  // still be answered.
  void drain();
  // Closes the connection because the process that it led to no longer runs.
  void reset(const std::string& reason);

  std::size_t queued() const { return queue_.size(); }
  std::size_t pending() const { return pending_.size(); }  // including queued ones

  void on_ready() override;
  void on_completed(std::uint64_t token, nvme::Completion&& completion) override;
  void on_disconnected(const std::string& reason) override;
  void on_output_drained() override { send_queued(); }

 private:
  struct PendingDispatch {
    Dispatch dispatch;
    Loop::TimerId timer = 0;
  };

  void send_queued();
  bool close_if_degraded();
  void timed_out(std::uint64_t token);
  void finish_queued(Outcome outcome);
  void check_idle();
  void finish(PendingDispatch pending, Outcome outcome, nvme::Completion&& completion);

  Loop& loop_;
  const int node_;
  Options options_;
  NodeConnectionOwner& owner_;
  std::unique_ptr<nvme::Host> host_;
  std::deque<std::uint64_t> queue_;                             // tokens, in order; bounded by max_queued
  std::unordered_map<std::uint64_t, PendingDispatch> pending_;  // by token; bounded by the decision module
  std::uint64_t last_token_ = 0;
  double last_used_at_ = 0;
  bool draining_ = false;
  bool reconnecting_ = false;  // closed by close_if_degraded
  Loop::TimerId idle_timer_ = 0;
  Loop::TimerId drain_timer_ = 0;
};

}  // namespace heronworks::gateway
