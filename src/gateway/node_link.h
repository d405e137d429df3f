// The connection to one node: opened at need and kept, closed when idle or drained. It sends what the module
// dispatched, in order, and says of each dispatch how it ended, exactly once.
//
// Nothing waits behind a slow socket: a command is encoded only when all bytes before it are with the system.
// So what is not written yet can be taken back, and is known never to have run.
#pragma once

#include <deque>
#include <unordered_map>

#include "nvme/host.h"
#include "state.h"

namespace heronworks::gateway {

struct Dispatch {
  int transaction = 0;
  int number = 0;
  double sent_at = 0;
  double until = 0;  // when it times out
  nvme::Sqe sqe;
  nvme::SharedBytes out;
  std::uint32_t in = 0;
};

class NodeLinkOwner {
 public:
  virtual ~NodeLinkOwner() = default;
  virtual void ended(int node, const Dispatch& dispatch, Outcome outcome, nvme::Completion&& completion) = 0;
  virtual void link_changed(int node, const char* event, const std::string& reason) = 0;
};

class NodeLink final : public nvme::HostHandler {
 public:
  struct Options {
    nvme::HostOptions host;
    double idle_close = 60;
    std::size_t most_waiting = 256;  // dispatches not written; one more finds no connection
  };

  NodeLink(Loop& loop, int node, Options options, NodeLinkOwner& owner);
  ~NodeLink() override;

  void send(Dispatch dispatch);
  void open();
  // The node drains or is gone: what is not written yet ends as never sent; the rest may still be answered.
  void drain();
  // What was connected to is not there any more.
  void restart(const std::string& reason);

  std::size_t waiting() const { return waiting_.size(); }
  std::size_t out() const { return sent_.size(); }

  void on_ready() override;
  void on_completed(std::uint64_t token, nvme::Completion&& completion) override;
  void on_disconnected(const std::string& reason) override;
  void on_output_drained() override { pump(); }

 private:
  struct Entry {
    Dispatch dispatch;
    Loop::TimerId timer = 0;
  };

  void pump();
  bool worn_out();
  void timed_out(std::uint64_t token);
  void end_waiting(Outcome outcome);
  void check_idle();
  void finish(Entry entry, Outcome outcome, nvme::Completion&& completion);

  Loop& loop_;
  const int node_;
  Options options_;
  NodeLinkOwner& owner_;
  std::unique_ptr<nvme::Host> host_;
  std::deque<std::uint64_t> waiting_;              // tokens, in order; bounded by most_waiting
  std::unordered_map<std::uint64_t, Entry> sent_;  // all that have not ended; bounded by the module's bound
  std::uint64_t last_token_ = 0;
  double used_at_ = 0;
  bool draining_ = false;
  bool renewing_ = false;
  Loop::TimerId idle_ = 0;
  Loop::TimerId stuck_ = 0;
};

}  // namespace heronworks::gateway
