// The adapter: speaks the drill's wire on standard input and output for many instances of the module.
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

constexpr double kMicro = 1e-6;
constexpr double kMostShards = 1e6;  // tables go by shard

// Names become small numbers in the order in which they are first met.
class Names {
 public:
  int index(std::string_view name) {
    return static_cast<int>(numbers_.emplace(std::string(name), numbers_.size()).first->second);
  }
  std::optional<int> known(std::string_view name) const {
    const auto found = numbers_.find(std::string(name));
    if (found == numbers_.end()) return std::nullopt;
    return static_cast<int>(found->second);
  }

 private:
  std::unordered_map<std::string, std::size_t> numbers_;
};

struct Listed {
  std::string server;
  std::string zone;
  NodeEntry entry;
};

Outcome outcome_of(const Line& line) {
  const auto code = line.integer("result");
  if (code < 1 || code > 8) line.fail("result");
  return static_cast<Outcome>(code - 1);
}

// One scheduler: the module and the names that it must not see.
class Instance final : public ControlActions {
 public:
  Instance(const Line& line, std::string& out, double now) : out_(out), who_(line.integer("who")), now_(now) {
    NamedSettings read = read_settings(line);
    read.settings.seed = static_cast<std::uint64_t>(line.integer("rng-seed"));
    for (const auto& name : read.profile_names) profiles_.index(name);
    for (const auto& name : read.plan_names) plans_.index(name);
    control_ = std::make_unique<Control>(std::move(read.settings), *this, now);
  }

  void handle(const Line& line, const std::vector<std::vector<Listed>>& lists, double now) {
    now_ = now;
    const auto message = line.message();
    if (message == "CALL") call(line);
    else if (message == "RESPONSE") response(line);
    else if (message == "MEMBERSHIP") membership(line, lists);
    else if (message == "WAKEUP") control_->timer_fired(now);
    else if (message == "ABANDONED")
      with_known(line, [&](int id) { control_->transaction_abandoned(now, id); });
  }

  void dispatch(int transaction, int node, double timeout) override {
    begin("HAND_OFF", transaction);
    out_ += "\tserver=" + servers_[static_cast<std::size_t>(node)];
    if (timeout > 0) out_ += "\ttry-for=" + micros(timeout);
    out_ += '\n';
  }
  void reject(int transaction, double wait) override {
    begin("TURN_AWAY", transaction);
    if (wait > 0) out_ += "\tcool-down=" + micros(wait);
    out_ += '\n';
  }
  void expire(int transaction) override {
    begin("SURRENDER", transaction);
    out_ += '\n';
  }
  void release(int transaction) override {
    auto& handle = handles_[static_cast<std::size_t>(transaction)];
    ids_.erase(handle);
    handle.clear();
    free_.push_back(transaction);
  }
  void request_endpoint_list() override { out_ += "TAIL\twho=" + std::to_string(who_) + "\tactive=1\n"; }
  void wake_at(double time) override {
    out_ += "TIMER\twho=" + std::to_string(who_) + "\tat=" + micros(time) + "\tcookie=0\n";
  }

 private:
  void begin(const char* action, int transaction) {
    out_ += action;
    out_ += "\twho=" + std::to_string(who_) + "\thandle=" + handles_[static_cast<std::size_t>(transaction)];
  }

  static std::string micros(double seconds) {
    return std::to_string(static_cast<std::int64_t>(seconds / kMicro + 0.5));
  }

  template <typename Act>
  void with_known(const Line& line, Act act) {
    const auto found = ids_.find(std::string(line.text("handle")));
    if (found != ids_.end()) act(found->second);
  }

  int server(std::string_view name) {
    const auto [at, fresh] = server_numbers_.emplace(std::string(name), static_cast<int>(servers_.size()));
    if (fresh) servers_.emplace_back(name);
    return at->second;
  }

  void call(const Line& line) {
    Transaction t;
    t.has_key = line.find("chunk").has_value();
    if (t.has_key) t.key = static_cast<std::uint64_t>(line.integer("chunk"));
    t.time_left = kMicro * line.number("left");
    t.units = line.number("units", 1.0);
    const auto volume = line.integer("volume", -1);
    t.volume = static_cast<int>(volumes_.emplace(volume, volumes_.size()).first->second);
    const auto profile = profiles_.known(line.text("profile"));
    if (!profile) line.fail("profile");
    t.profile = *profile;
    const auto plan = plans_.known(line.find("grade").value_or(""));
    if (!plan && line.find("grade")) line.fail("grade");
    t.plan = plan.value_or(-1);
    const double shard = line.number("slot-no", -1.0);
    if (shard < -1 || shard > kMostShards) line.fail("slot-no");
    t.shard = static_cast<int>(shard);
    t.volume_schedulers = static_cast<int>(line.number("set-size", 0.0));
    const std::string handle(line.text("handle"));
    int id = 0;
    if (free_.empty()) {
      id = static_cast<int>(handles_.size());
      handles_.push_back(handle);
    } else {
      id = free_.back();
      free_.pop_back();
      handles_[static_cast<std::size_t>(id)] = handle;
    }
    ids_[handle] = id;
    control_->transaction_arrived(now_, id, t);
  }

  void response(const Line& line) {
    DispatchResult r;
    r.dispatch_number = static_cast<int>(line.integer("trial", 0));
    r.node = server(line.text("server"));
    r.elapsed = kMicro * line.number("elapsed", 0.0);
    r.outcome = outcome_of(line);
    r.transaction_finished = line.flag("finished");
    r.units_by_others = line.number("by-others", 0.0);
    r.usage_reported = line.number("volume-use", 0.0) > 0;
    with_known(line, [&](int id) { control_->dispatch_finished(now_, id, r); });
  }

  void membership(const Line& line, const std::vector<std::vector<Listed>>& lists) {
    const auto code = line.integer("scope");
    if (code < 0 || code > 3) line.fail("scope");
    const auto scope = static_cast<UpdateKind>(code);
    std::vector<NodeEntry> entries;
    if (scope != UpdateKind::kFailed) {
      const auto list = line.integer("list");
      if (list < 0 || list >= static_cast<std::int64_t>(lists.size())) line.fail("list");
      for (const Listed& l : lists[static_cast<std::size_t>(list)]) {
        entries.push_back(l.entry);
        entries.back().node = server(l.server);
        entries.back().zone = zones_.index(l.zone);
      }
    }
    control_->update_nodes(now_, scope, entries);
  }

  std::string& out_;
  std::int64_t who_;
  double now_;
  Names profiles_;
  Names plans_;
  Names zones_;
  std::vector<std::string> servers_;
  std::unordered_map<std::string, int> server_numbers_;
  std::unordered_map<std::int64_t, std::size_t> volumes_;
  std::unordered_map<std::string, int> ids_;  // open transactions only, see release()
  std::vector<std::string> handles_;
  std::vector<int> free_;
  std::unique_ptr<Control> control_;
};

class Drill {
 public:
  int run() {
    std::string text;
    while (next(text)) {
      const Line sync(text, number_);
      if (text.empty()) continue;
      if (sync.message() != "SYNC") throw BadInput("line " + std::to_string(number_) + ": no SYNC");
      batch(kMicro * sync.number("sim-time"));
      out_ += "EOR\n";
      std::cout.write(out_.data(), static_cast<std::streamsize>(out_.size()));
      std::cout.flush();
      out_.clear();
    }
    return 0;
  }

 private:
  static constexpr std::size_t kLists = 16;  // the wire numbers lists from 0 to 15

  bool next(std::string& text) {
    if (!std::getline(std::cin, text)) return false;
    ++number_;
    if (std::cin.eof()) throw BadInput("line " + std::to_string(number_) + ": cut short");
    return true;
  }

  void need(std::string& text) {
    if (!next(text)) throw BadInput("line " + std::to_string(number_) + ": input ends inside a batch");
  }

  void batch(double now) {
    std::string text;
    while (true) {
      need(text);
      if (text == "EOB") return;
      const Line line(text, number_);
      if (line.message() == "SHEET") {
        sheet(line);
      } else if (line.find("who")) {
        event(line, now);
      }
    }
  }

  void sheet(const Line& line) {
    const auto list = line.integer("list");
    if (list < 0 || list >= static_cast<std::int64_t>(kLists)) line.fail("list");
    auto& entries = lists_[static_cast<std::size_t>(list)];
    entries.clear();
    std::string text;
    for (auto left = line.integer("members", 0); left > 0; --left) {
      need(text);
      const Line member(text, number_);
      if (member.message() != "SERVER") line.fail("members");
      const auto state = member.integer("state", 1);
      if (state < 0 || state > 2) member.fail("state");
      Listed listed;
      listed.server = member.text("server");
      listed.zone = member.find("campus").value_or("");
      const auto shard = member.integer("cohort", -1);
      if (shard < -1 || static_cast<double>(shard) > kMostShards) member.fail("cohort");
      listed.entry.shard = static_cast<int>(shard);
      listed.entry.state = static_cast<NodeState>(state);
      listed.entry.started_at = kMicro * member.number("came-up", 0.0);
      entries.push_back(std::move(listed));
    }
  }

  void event(const Line& line, double now) {
    const auto who = line.integer("who");
    const auto before = out_.size();
    try {
      if (line.message() == "SHUTDOWN") {
        instances_.erase(who);
      } else if (line.message() == "PROVISION") {
        instances_[who] = std::make_unique<Instance>(line, out_, now);
      } else if (const auto at = instances_.find(who); at != instances_.end()) {
        at->second->handle(line, lists_, now);
      }
    } catch (const BadInput&) {
      throw;
    } catch (const std::exception& error) {
      out_.resize(before);
      out_ += "GIVE_IN\twho=" + std::to_string(who) + "\tmessage=" + error.what() + "\n";
    }
  }

  std::size_t number_ = 0;
  std::string out_;
  std::vector<std::vector<Listed>> lists_ = std::vector<std::vector<Listed>>(kLists);
  std::unordered_map<std::int64_t, std::unique_ptr<Instance>> instances_;
};

}  // namespace
}  // namespace heronworks::drill

int main() {
  std::ios::sync_with_stdio(false);
  try {
    return heronworks::drill::Drill().run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "heronworks_drill: %s\n", error.what());
    return 1;
  }
}
