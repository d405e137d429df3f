// Runs the decision module under a simulator. Reads batches of events for any number of schedulers from
// standard input, one message a line, and writes the schedulers' actions to standard output.
//
// A batch starts with SYNC, which sets the time, and ends with EOB; its actions end with EOR. Times on the
// wire are in microseconds. A server of the protocol is a node, a handle names a transaction.
#include <cstdio>
#include <exception>
#include <iostream>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "control.h"
#include "drill/line.h"

namespace heronworks::drill {
namespace {

constexpr double kSecondsPerMicrosecond = 1e-6;
constexpr double kMaxShard = 1e6;  // bounds the tables that the decision module indexes by shard

// Assigns consecutive indices to names, from 0.
class NameIndex {
 public:
  int find_or_add(std::string_view name) {
    return static_cast<int>(indices_.emplace(std::string(name), indices_.size()).first->second);
  }
  std::optional<int> find(std::string_view name) const {
    const auto found = indices_.find(std::string(name));
    if (found == indices_.end()) return std::nullopt;
    return static_cast<int>(found->second);
  }

 private:
  std::unordered_map<std::string, std::size_t> indices_;
};

// A node of an endpoint list. `entry` lacks the node and zone indices, which each scheduler assigns itself.
struct Endpoint {
  std::string address;
  std::string zone;
  NodeEntry entry;
};
using EndpointList = std::vector<Endpoint>;

Outcome read_outcome(const Line& line) {
  const auto code = line.integer("result");
  if (code < 1 || code > 8) line.fail("result");
  return static_cast<Outcome>(code - 1);
}

// One simulated scheduler: a Control, and the indices by which it knows the names of the protocol.
class Scheduler final : public ControlActions {
 public:
  // Reads the settings from a PROVISION message. Appends the scheduler's actions to `output`.
  Scheduler(const Line& line, std::string& output, double now)
      : output_(output), scheduler_id_(line.integer("who")), now_(now) {
    NamedSettings named = read_settings(line);
    named.settings.seed = static_cast<std::uint64_t>(line.integer("rng-seed"));
    for (const auto& name : named.profile_names) profiles_.find_or_add(name);
    for (const auto& name : named.plan_names) plans_.find_or_add(name);
    control_ = std::make_unique<Control>(std::move(named.settings), *this, now);
  }

  // Handles one event. Ignores messages that do not concern the decision module.
  void handle(const Line& line, const std::vector<EndpointList>& endpoint_lists, double now) {
    now_ = now;
    const auto message = line.message();
    if (message == "CALL") handle_call(line);
    else if (message == "RESPONSE") handle_response(line);
    else if (message == "MEMBERSHIP") handle_membership(line, endpoint_lists);
    else if (message == "WAKEUP") control_->timer_fired(now);
    else if (message == "ABANDONED")
      with_open_transaction(line, [&](int id) { control_->transaction_abandoned(now, id); });
  }

  void dispatch(int transaction, int node, double timeout) override {
    begin_action("HAND_OFF", transaction);
    output_ += "\tserver=" + node_addresses_[static_cast<std::size_t>(node)];
    if (timeout > 0) output_ += "\ttry-for=" + format_microseconds(timeout);
    output_ += '\n';
  }
  void reject(int transaction, double retry_after) override {
    begin_action("TURN_AWAY", transaction);
    if (retry_after > 0) output_ += "\tcool-down=" + format_microseconds(retry_after);
    output_ += '\n';
  }
  void expire(int transaction) override {
    begin_action("SURRENDER", transaction);
    output_ += '\n';
  }
  void release(int transaction) override {
    auto& handle = handles_[static_cast<std::size_t>(transaction)];
    open_ids_.erase(handle);
    handle.clear();
    free_ids_.push_back(transaction);
  }
  void request_endpoint_list() override {
    output_ += "TAIL\twho=" + std::to_string(scheduler_id_) + "\tactive=1\n";
  }
  void wake_at(double time) override {
    output_ +=
        "TIMER\twho=" + std::to_string(scheduler_id_) + "\tat=" + format_microseconds(time) + "\tcookie=0\n";
  }

 private:
  void begin_action(const char* action, int transaction) {
    output_ += action;
    output_ += "\twho=" + std::to_string(scheduler_id_) +
               "\thandle=" + handles_[static_cast<std::size_t>(transaction)];
  }

  static std::string format_microseconds(double seconds) {
    // NOLINTNEXTLINE(bugprone-incorrect-roundings): times are not negative
    return std::to_string(static_cast<std::int64_t>(seconds / kSecondsPerMicrosecond + 0.5));
  }

  // Calls `callback` with the index of the line's transaction, unless it was released before.
  template <typename Callback>
  void with_open_transaction(const Line& line, Callback callback) {
    const auto found = open_ids_.find(std::string(line.text("handle")));
    if (found != open_ids_.end()) callback(found->second);
  }

  int node_index(std::string_view address) {
    const auto [found, added] =
        node_indices_.emplace(std::string(address), static_cast<int>(node_addresses_.size()));
    if (added) node_addresses_.emplace_back(address);
    return found->second;
  }

  void handle_call(const Line& line) {
    Transaction transaction;
    transaction.has_key = line.find("chunk").has_value();
    if (transaction.has_key) transaction.key = static_cast<std::uint64_t>(line.integer("chunk"));
    transaction.time_left = kSecondsPerMicrosecond * line.number("left");
    transaction.units = line.number("units", 1.0);
    const auto volume = line.integer("volume", -1);
    transaction.volume =
        static_cast<int>(volume_indices_.emplace(volume, volume_indices_.size()).first->second);
    const auto profile = profiles_.find(line.text("profile"));
    if (!profile) line.fail("profile");
    transaction.profile = *profile;
    const auto plan = plans_.find(line.find("grade").value_or(""));
    if (!plan && line.find("grade")) line.fail("grade");
    transaction.plan = plan.value_or(-1);
    const double shard = line.number("slot-no", -1.0);
    if (shard < -1 || shard > kMaxShard) line.fail("slot-no");
    transaction.shard = static_cast<int>(shard);
    transaction.volume_schedulers = static_cast<int>(line.number("set-size", 0.0));
    const std::string handle(line.text("handle"));
    int id = 0;
    if (free_ids_.empty()) {
      id = static_cast<int>(handles_.size());
      handles_.push_back(handle);
    } else {
      id = free_ids_.back();
      free_ids_.pop_back();
      handles_[static_cast<std::size_t>(id)] = handle;
    }
    open_ids_[handle] = id;
    control_->transaction_arrived(now_, id, transaction);
  }

  void handle_response(const Line& line) {
    DispatchResult result;
    result.dispatch_number = static_cast<int>(line.integer("trial", 0));
    result.node = node_index(line.text("server"));
    result.elapsed = kSecondsPerMicrosecond * line.number("elapsed", 0.0);
    result.outcome = read_outcome(line);
    result.transaction_finished = line.flag("finished");
    result.units_by_others = line.number("by-others", 0.0);
    result.usage_reported = line.number("volume-use", 0.0) > 0;
    with_open_transaction(line, [&](int id) { control_->dispatch_finished(now_, id, result); });
  }

  void handle_membership(const Line& line, const std::vector<EndpointList>& endpoint_lists) {
    const auto code = line.integer("scope");
    if (code < 0 || code > 3) line.fail("scope");
    const auto kind = static_cast<UpdateKind>(code);
    std::vector<NodeEntry> entries;
    if (kind != UpdateKind::kFailed) {
      const auto list = line.integer("list");
      if (list < 0 || list >= static_cast<std::int64_t>(endpoint_lists.size())) line.fail("list");
      for (const Endpoint& endpoint : endpoint_lists[static_cast<std::size_t>(list)]) {
        entries.push_back(endpoint.entry);
        entries.back().node = node_index(endpoint.address);
        entries.back().zone = zones_.find_or_add(endpoint.zone);
      }
    }
    control_->update_nodes(now_, kind, entries);
  }

  std::string& output_;
  std::int64_t scheduler_id_;
  double now_;
  NameIndex profiles_;
  NameIndex plans_;
  NameIndex zones_;
  std::vector<std::string> node_addresses_;  // by node index
  std::unordered_map<std::string, int> node_indices_;
  std::unordered_map<std::int64_t, std::size_t> volume_indices_;  // by the protocol's volume number
  std::unordered_map<std::string, int> open_ids_;                 // by handle; until release()
  std::vector<std::string> handles_;                              // by transaction index; empty if free
  std::vector<int> free_ids_;                                     // transaction indices to reuse
  std::unique_ptr<Control> control_;
};

// Reads the protocol from standard input until its end.
class Adapter {
 public:
  // Throws ProtocolError.
  int run() {
    std::string text;
    while (read_line(text)) {
      const Line sync(text, line_number_);
      if (text.empty()) continue;
      if (sync.message() != "SYNC")
        throw ProtocolError("line " + std::to_string(line_number_) + ": expected SYNC, got '" +
                            std::string(sync.message()) + "'");
      handle_batch(kSecondsPerMicrosecond * sync.number("sim-time"));
      output_ += "EOR\n";
      std::cout.write(output_.data(), static_cast<std::streamsize>(output_.size()));
      std::cout.flush();
      output_.clear();
    }
    return 0;
  }

 private:
  static constexpr std::size_t kEndpointListCount = 16;  // the protocol numbers endpoint lists from 0 to 15

  // Returns false at the end of the input.
  bool read_line(std::string& text) {
    if (!std::getline(std::cin, text)) return false;
    ++line_number_;
    if (std::cin.eof())
      throw ProtocolError("line " + std::to_string(line_number_) + ": input ends without a newline");
    return true;
  }

  void read_line_in_batch(std::string& text) {
    if (!read_line(text))
      throw ProtocolError("line " + std::to_string(line_number_) + ": input ends before EOB");
  }

  void handle_batch(double now) {
    std::string text;
    while (true) {
      read_line_in_batch(text);
      if (text == "EOB") return;
      const Line line(text, line_number_);
      if (line.message() == "SHEET") {
        read_endpoint_list(line);
      } else if (line.find("who")) {
        handle_event(line, now);
      }
    }
  }

  // Reads a SHEET message and the SERVER lines that follow it.
  void read_endpoint_list(const Line& line) {
    const auto list = line.integer("list");
    if (list < 0 || list >= static_cast<std::int64_t>(kEndpointListCount)) line.fail("list");
    auto& endpoints = endpoint_lists_[static_cast<std::size_t>(list)];
    endpoints.clear();
    std::string text;
    for (auto remaining = line.integer("members", 0); remaining > 0; --remaining) {
      read_line_in_batch(text);
      const Line member(text, line_number_);
      if (member.message() != "SERVER") line.fail("members");  // more members announced than sent
      const auto state = member.integer("state", 1);
      if (state < 0 || state > 2) member.fail("state");
      Endpoint endpoint;
      endpoint.address = member.text("server");
      endpoint.zone = member.find("campus").value_or("");
      const auto shard = member.integer("cohort", -1);
      if (shard < -1 || static_cast<double>(shard) > kMaxShard) member.fail("cohort");
      endpoint.entry.shard = static_cast<int>(shard);
      endpoint.entry.state = static_cast<NodeState>(state);
      endpoint.entry.started_at = kSecondsPerMicrosecond * member.number("came-up", 0.0);
      endpoints.push_back(std::move(endpoint));
    }
  }

  void handle_event(const Line& line, double now) {
    const auto scheduler_id = line.integer("who");
    const auto output_size = output_.size();
    try {
      if (line.message() == "SHUTDOWN") {
        schedulers_.erase(scheduler_id);
      } else if (line.message() == "PROVISION") {
        schedulers_[scheduler_id] = std::make_unique<Scheduler>(line, output_, now);
      } else if (const auto found = schedulers_.find(scheduler_id); found != schedulers_.end()) {
        found->second->handle(line, endpoint_lists_, now);
      }
    } catch (const ProtocolError&) {
      throw;
    } catch (const std::exception& error) {
      output_.resize(output_size);  // without the actions of the failed event
      output_ += "GIVE_IN\twho=" + std::to_string(scheduler_id) + "\tmessage=" + error.what() + "\n";
    }
  }

  std::size_t line_number_ = 0;
  std::string output_;
  std::vector<EndpointList> endpoint_lists_ = std::vector<EndpointList>(kEndpointListCount);
  std::unordered_map<std::int64_t, std::unique_ptr<Scheduler>> schedulers_;
};

}  // namespace
}  // namespace heronworks::drill

int main() {
  std::ios::sync_with_stdio(false);
  try {
    return heronworks::drill::Adapter().run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "heronworks_drill: %s\n", error.what());
    return 1;
  }
}
