// One running scheduler: see scheduler.h.
#include "gateway/scheduler.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace heronworks::gateway {
namespace {

constexpr double kReportEvery = 1.0;  // s between two lines of counts in the log
constexpr double kWaitingLook =
    0.01;  // s between two looks at answers that wait: later ones may have to go earlier
constexpr std::uint64_t kOwnLabel = std::uint64_t{1} << 63;  // set in labels that a scheduler gives itself

nvme::TargetOptions target_options(const config::GatewayConfig& c) {
  nvme::TargetOptions o;
  o.subnqn = c.subsystem;
  o.max_queue_size = static_cast<std::uint16_t>(c.queue_size);
  o.max_connections = static_cast<std::size_t>(c.most_connections);
  o.retry_delay = c.settings.max_retry_after / 16;
  o.arrival_source = nvme::ArrivalSource::kEarliestPossible;
  // The largest transaction must fit: 4096 << mdts bytes.
  const double largest = c.settings.max_transaction_units * c.unit_blocks * c.block_bytes;
  o.mdts = static_cast<std::uint8_t>(std::clamp(std::ceil(std::log2(largest / 4096)), 0.0, 12.0));
  return o;
}

}  // namespace

Scheduler::Scheduler(Loop& loop, const config::GatewayConfig& config, Log& log)
    : loop_(loop),
      config_(config),
      log_(log),
      matcher_(config),
      wall_offset_(wall_offset()),
      door_(matcher_.tenants(), static_cast<double>(config.most_open),
            static_cast<double>(config.most_bytes)) {
  Fd listener = listen_on(config.listen);
  if (!listener)
    throw std::runtime_error("cannot listen on " + config.listen.to_string() + ": " + std::strerror(errno));
  own_label_ = kOwnLabel | static_cast<std::uint64_t>(config.settings.scheduler_index) << 46 |
               (static_cast<std::uint64_t>((loop.now() + wall_offset_) * 1000) & 0x3fffffff) << 16;
  nvme::HostOptions list;
  list.address = config.list;
  list.subnqn = config.list_subsystem;
  list.hostnqn = config.host_name;
  list.io_queue_size = 0;
  list.keep_alive_timeout = config.keep_alive;
  list.digests = {config.digests, config.digests};
  list_ = std::make_unique<ListWatch>(loop, list, *this);
  control_ = std::make_unique<Control>(config.settings, *this, now());
  if (!config.saved_list.empty()) {
    std::string reason;
    if (const auto saved = load_saved_list(config.saved_list, reason)) {
      log_.info(loop.now(), "list.saved", {{"nodes", saved->size()}});
      control_->update_nodes(now(), UpdateKind::kPersisted, take_list(*saved));
      connect_to_listed();
    } else {
      log_.warn(loop.now(), "list.not_loaded", {{"reason", reason}});
    }
  }
  if (!config.ledger.folder.empty()) {
    ledger::KeeperOptions o;
    o.folder = config.ledger.folder;
    o.book = {config.ledger.period, config.ledger.remembers, config.ledger.identities};
    // Room for the entries of all that may be open, twice, as the door closes at half.
    o.writer.max_pending_records =
        std::max<std::size_t>(65536, 4 * static_cast<std::size_t>(config.most_open));
    o.writer.max_pending_bytes = o.writer.max_pending_records * 1024;
    o.writer.max_group_records = config.ledger.group;
    o.scheduler = static_cast<std::uint32_t>(config.settings.scheduler_index);
    o.new_ledger = own_label_ ^ static_cast<std::uint64_t>(::getpid()) << 32;
    keeper_ = std::make_unique<ledger::Keeper>(loop, files_, o, *this);
    log_.info(loop_.now(), "ledger.opened",
              {{"entries", keeper_->book().entries()}, {"period", keeper_->book().period()}});
  }
  target_ = std::make_unique<nvme::Target>(loop, std::move(listener), target_options(config), *this);
  report_ = loop_.run_at(loop_.now() + kReportEvery, [this] { report(); });
  beat_ = std::make_unique<Watchdog>(loop_, log_);
}

Scheduler::~Scheduler() {
  loop_.cancel(wake_);
  loop_.cancel(report_);
  loop_.cancel(waiting_timer_);
  loop_.cancel(draining_);
}

void Scheduler::drain(std::function<void()> done) {
  drained_ = std::move(done);
  target_->stop_accepting();
  log_.info(loop_.now(), "drain.began", {{"open", open()}});
  draining_ = loop_.run_at(loop_.now(), [this] { check_drained(); });
}

// All answered, and their bytes with the system.
void Scheduler::check_drained() {
  if (!drained_) return;
  bool waiting = target_->unsent_bytes() > 0 || !waiting_.empty();
  for (const Slot& s : slots_) waiting = waiting || (s.used && !s.answered);
  if (waiting) {
    draining_ = loop_.run_at(loop_.now() + 0.01, [this] { check_drained(); });
    return;
  }
  log_.info(loop_.now(), "drain.done", {{"open", open()}});
  std::exchange(drained_, nullptr)();
}

// ---- From clients ----

nvme::Status Scheduler::identify(std::uint8_t cns, std::uint8_t csi, std::uint32_t nsid, nvme::Bytes& page) {
  const auto put = [&](std::size_t at, auto value) { std::memcpy(page.data() + at, &value, sizeof value); };
  if (cns == 1) {
    std::uint32_t last = 0;
    for (const auto& v : config_.volumes) last = std::max(last, v.last);
    put(516, last);  // NN
    return nvme::status::kOk;
  }
  if (cns == 0 || (cns == 5 && csi == 2)) {
    if (!matcher_.knows(nsid)) return nvme::status::kInvalidNamespace;
    if (cns == 0) {
      put(0, config_.volume_blocks());                                               // NSZE
      put(8, config_.volume_blocks());                                               // NCAP
      put(16, config_.volume_blocks());                                              // NUSE
      page[130] = static_cast<std::uint8_t>(std::countr_zero(config_.block_bytes));  // LBAF0.LBADS
    } else {
      put(2816, std::uint64_t{config_.zone_blocks});  // LBAFE0.ZSZE
    }
    return nvme::status::kOk;
  }
  if (cns == 2) {  // active namespaces above nsid
    std::vector<std::uint32_t> all;
    for (const auto& v : config_.volumes) {
      for (std::uint32_t n = std::max(v.first, nsid + 1); n <= v.last && all.size() < 4096; ++n)
        all.push_back(n);
    }
    std::sort(all.begin(), all.end());
    std::memcpy(page.data(), all.data(), std::min<std::size_t>(all.size(), 1024) * 4);
    return nvme::status::kOk;
  }
  return nvme::status::kInvalidField;
}

std::string Scheduler::reasons() const {
  std::string out;
  for (std::size_t i = 0; i < matcher_.rules().size(); ++i) {
    const expr::Rule& r = matcher_.rules().rule(static_cast<int>(i));
    if (!r.reject_reason.empty())
      out += std::to_string(i + 1) + "\t" + r.name + "\t" + r.reject_reason + "\n";
  }
  return out;
}

void Scheduler::get_log_page(nvme::ConnectionId connection, std::uint16_t cid, std::uint8_t page,
                             std::uint64_t offset, std::uint32_t length) {
  if (page != kReasonsPage) {
    target_->complete(connection, cid, nvme::status::kInvalidLogPage);
    return;
  }
  const std::string text = reasons();
  nvme::Bytes bytes(length);  // what is beyond the text is zeros
  if (offset < text.size())
    std::memcpy(bytes.data(), text.data() + offset, std::min<std::size_t>(length, text.size() - offset));
  target_->complete(connection, cid, nvme::status::kOk, 0, bytes);
}

void Scheduler::execute_command(nvme::Command&& c) {
  const auto end = [&](nvme::Status status, std::uint64_t& count, std::uint64_t result = 0) {
    ++count;
    target_->complete(c.connection, c.sqe.cid, status, result);
  };
  if (c.sqe.opcode == nvme::opcode::kFlush) {
    // Nodes answer a write once it is kept (Identify Controller: no volatile write cache); Flush has no
    // effect.
    if (!matcher_.knows(c.sqe.nsid)) return end(nvme::status::kInvalidNamespace, counts_.refused);
    target_->complete(c.connection, c.sqe.cid, nvme::status::kOk);
    return;
  }
  nvme::Status refused;
  const auto matched = matcher_.match(c.sqe, facts_[c.connection], now(), now() + wall_offset_, refused);
  if (!matched) return end(refused, counts_.refused);
  const bool reads = c.sqe.opcode == nvme::opcode::kRead;
  if (c.sqe.sgl_length != c.sqe.blocks() * config_.block_bytes)
    return end(nvme::status::kInvalidField, counts_.refused);
  nvme::Status busy = nvme::status::kCommandInterrupted;
  busy.crd = 1;
  const auto bytes = static_cast<double>(c.data.size());
  if (drained_ || !door_.takes(matched->tenant, bytes)) return end(busy, counts_.at_door);

  if (keeper_ && !keeper_->takes()) return end(busy, counts_.at_ledger);

  if (matched->failures > 0) {
    counts_.rule_errors += static_cast<std::uint64_t>(matched->failures);
    log_.warn(loop_.now(), "rule.error",
              {{"rule", matcher_.rules().rule(matched->failed).name}, {"volume", c.sqe.nsid}});
  }
  if (matched->rule >= 0) {
    const expr::Rule& rule = matcher_.rules().rule(matched->rule);
    if (!rule.labels.empty() || matched->turn_back) {
      nlohmann::json fields{{"rule", rule.name}, {"volume", c.sqe.nsid}, {"label", c.sqe.idempotency_key()}};
      for (const auto& [name, value] : rule.labels) fields["labels"][name] = value;
      if (matched->turn_back) fields["reason"] = rule.reject_reason;
      log_.debug(loop_.now(), matched->turn_back ? "rule.turned_back" : "rule.marked", std::move(fields));
    }
    busy.crd = 3;
    if (matched->turn_back) return end(busy, counts_.by_rule, static_cast<std::uint64_t>(matched->rule) + 1);
  }
  Transaction t = matched->transaction;
  // The client's time has been running since the command came to this machine, which may be long ago if this
  // scheduler stood still; the answer needs some of it for the way back.
  const double told = c.sqe.time_left();
  const double whole =
      told > 0 ? told : config_.settings.profiles[static_cast<std::size_t>(t.profile)].deadline;
  t.time_left = whole - std::max(now() - c.arrived_at, 0.0) - config_.way_back;

  const int id = slots_.allocate();
  Slot& s = slots_[id];
  s.used = true;
  s.connection = c.connection;
  s.sqe = c.sqe;
  s.profile = t.profile;
  s.shard = t.shard;
  s.rule = matched->rule;
  s.t = t;
  s.landed_at = now();
  s.unnamed = s.sqe.idempotency_key() == 0;
  if (s.unnamed) s.sqe.set_idempotency_key(++own_label_);
  if (!reads) s.data = std::make_shared<const nvme::Bytes>(std::move(c.data));
  s.tenant = matched->tenant;
  door_.landed(s.tenant, bytes);
  by_client_[c.connection].insert(id);
  ++counts_.landed;
  control_->transaction_arrived(now(), id, t);
}

void Scheduler::connection_established(nvme::ConnectionId connection, const std::string& host, bool admin,
                                       const heronworks::Address& peer) {
  if (admin) return;
  ClientFacts& f = facts_[connection];
  f.name = host;
  f.address = expr::parse_address(peer.host).value_or(expr::Address{});
}

void Scheduler::connection_closed(nvme::ConnectionId connection) {
  facts_.erase(connection);
  const auto found = by_client_.find(connection);
  if (found == by_client_.end()) return;
  const std::set<int> open = std::move(found->second);
  by_client_.erase(found);
  for (const int id : open) {
    Slot& s = slots_[id];
    if (!s.used || s.answered) continue;
    s.answered = true;
    ++counts_.abandoned;
    control_->transaction_abandoned(now(), id);
  }
}

void Scheduler::answer(Slot& s, nvme::Status status, std::uint64_t result, nvme::ByteView data) {
  if (s.answered) return;
  target_->complete(s.connection, s.sqe.cid, status, result, data);
  mark_answered(s);
}

void Scheduler::mark_answered(Slot& s) {
  s.answered = true;
  const auto found = by_client_.find(s.connection);
  if (found != by_client_.end()) {
    found->second.erase(slots_.index_of(s));
    if (found->second.empty()) by_client_.erase(found);
  }
}

// ---- From the module ----

void Scheduler::dispatch(int transaction, int node, double timeout) {
  Slot& s = slots_[transaction];
  NodeSlot& n = nodes_[static_cast<std::size_t>(node)];
  ++counts_.dispatched;
  Dispatch d;
  d.transaction = transaction;
  d.number = s.dispatches++;
  d.sent_at = now();
  const auto& profile = config_.settings.profiles[static_cast<std::size_t>(s.profile)];
  d.until = now() + (timeout > 0 ? timeout : profile.deadline);
  d.sqe = s.sqe;
  d.sqe.set_dispatch_info(s.sqe.client_attempt(), d.number, config_.settings.scheduler_index);
  if (s.shard < 0) {  // a new object: the first zone of the node's shard; the node finds room from there on
    d.sqe.set_slba(static_cast<std::uint64_t>(numbers_.entry(node).shard) * config_.zone_blocks);
  }
  d.out = s.data;
  d.in = s.data ? 0 : s.sqe.blocks() * config_.block_bytes;
  n.link->send(std::move(d));
}

void Scheduler::reject(int transaction, double wait) {
  ++counts_.turned_back;
  nvme::Status status = nvme::status::kCommandInterrupted;
  if (wait > 0) {  // the shortest of the three delays that is no shorter than the wait
    const double unit = std::max(1.0, std::ceil(config_.settings.max_retry_after / 16 * 10)) / 10;
    status.crd = wait <= unit ? 1 : wait <= 4 * unit ? 2 : 3;
  }
  answer(slots_[transaction], status);
}

void Scheduler::expire(int transaction) {
  ++counts_.given_up;
  answer(slots_[transaction], nvme::status::kInternalPathError);
}

void Scheduler::release(int transaction) {
  Slot& s = slots_[transaction];
  door_.left(s.tenant, s.data ? static_cast<double>(s.data->size()) : 0);
  slots_.release(transaction);
}

void Scheduler::request_endpoint_list() { list_->watch(); }

void Scheduler::wake_at(double time) {
  loop_.cancel(wake_);
  wake_ = loop_.run_at(time, [this] { control_->timer_fired(now()); });
}

// ---- From nodes and the list ----

void Scheduler::ended(int node, const Dispatch& d, Outcome outcome, nvme::Completion&& completion) {
  Slot& s = slots_[d.transaction];
  DispatchResult r;
  r.dispatch_number = d.number;
  r.node = node;
  r.elapsed = std::max(now() - d.sent_at, 0.0);
  r.outcome = outcome;
  if (completion.arrived && s.sqe.opcode != nvme::opcode::kZoneAppend) {
    r.units_by_others = completion.cqe.dw0;
    r.usage_reported = (completion.cqe.dw1 & 0xffff) > 0;
  }
  if (outcome == Outcome::kSucceeded && !s.answered) {
    ++counts_.honoured;
    const std::uint64_t result = s.sqe.opcode == nvme::opcode::kZoneAppend ? completion.cqe.result() : 0;
    if (keeper_) enter(s, result, std::move(completion.data));
    else answer(s, nvme::status::kOk, result, completion.data);
  }
  r.transaction_finished = s.answered;
  control_->dispatch_finished(now(), d.transaction, r);
}

// ---- The ledger ----

// Its entry first, then the answer.
void Scheduler::enter(Slot& s, std::uint64_t result, nvme::Bytes&& data) {
  const auto facts = facts_.find(s.connection);
  const Plan& plan = config_.settings.plans[static_cast<std::size_t>(s.t.plan)];
  const double hosts = std::max(s.t.volume_schedulers, 1);
  ledger::Use use;
  use.identity = s.sqe.idempotency_key();
  use.unnamed = s.unnamed;
  use.tenant = matcher_.tenant_of(s.sqe.nsid);
  use.volume = s.sqe.nsid;
  use.plan = config_.plan_names[static_cast<std::size_t>(s.t.plan)];
  use.profile = config_.profile_names[static_cast<std::size_t>(s.t.profile)];
  use.units = static_cast<std::uint32_t>(s.t.units);
  use.bytes = std::uint64_t{s.sqe.blocks()} * config_.block_bytes;
  use.standing =
      standings_.of(now(), s.t.volume, plan.reservation / hosts, plan.usual_rate / hosts, s.t.units);
  if (facts != facts_.end()) use.client = facts->second.name;
  use.attempt = static_cast<std::uint32_t>(s.sqe.client_attempt());
  if (s.rule >= 0) use.labels = &matcher_.rules().rule(s.rule).labels;
  const std::uint64_t ticket = keeper_->honoured(use);
  if (!config_.ledger.waits) return answer(s, nvme::status::kOk, result, data);
  const Profile& profile = config_.settings.profiles[static_cast<std::size_t>(s.t.profile)];
  const double until = keeper_->pressure().hold_until(now(), s.landed_at + profile.target_latency,
                                                      s.landed_at + s.t.time_left);
  waiting_.push_back({ticket, until, s.connection, s.sqe.cid, result, std::move(data)});
  mark_answered(s);
  if (waiting_timer_ == 0)
    waiting_timer_ = loop_.run_at(std::min(until, loop_.now() + kWaitingLook), [this] { look_at_waiting(); });
}

void Scheduler::entered(std::uint64_t ticket) {
  while (!waiting_.empty() && waiting_.front().ticket <= ticket) {
    const Waiting& w = waiting_.front();
    if (!w.gone) target_->complete(w.connection, w.cid, nvme::status::kOk, w.result, w.data);
    waiting_.pop_front();
  }
}

// What may wait no longer goes out ahead of its entry.
void Scheduler::look_at_waiting() {
  waiting_timer_ = 0;
  double next = 1e18;
  for (Waiting& w : waiting_) {
    if (w.gone) continue;
    if (w.until <= loop_.now()) {
      target_->complete(w.connection, w.cid, nvme::status::kOk, w.result, w.data);
      w.gone = true;
      w.data = {};
      ++counts_.ahead;
    } else {
      next = std::min(next, w.until);
    }
  }
  if (!waiting_.empty())
    waiting_timer_ = loop_.run_at(std::min(next, loop_.now() + kWaitingLook), [this] { look_at_waiting(); });
}

void Scheduler::ledger_state(bool read_only, const std::string& reason) {
  if (read_only) log_.error(loop_.now(), "ledger.read_only", {{"reason", reason}});
  else log_.info(loop_.now(), "ledger.takes_entries");
}

void Scheduler::ledger_note(const char* event, const std::string& text) {
  log_.warn(loop_.now(), event, {{"text", text}});
}

void Scheduler::link_changed(int node, const char* event, const std::string& reason) {
  nlohmann::json fields{{"node", nodes_[static_cast<std::size_t>(node)].address.to_string()}};
  if (!reason.empty()) fields["reason"] = reason;
  log_.info(loop_.now(), event, std::move(fields));
}

// Addresses become small numbers; links to what drains, is gone or is another process by now are wound up.
std::vector<NodeEntry> Scheduler::take_list(const std::vector<ListedNode>& nodes) {
  std::vector<NodeEntry> entries;
  for (const ListedNode& l : nodes) {
    NodeEntry e = numbers_.find_or_add(l.address.to_string());
    if (nodes_.size() < static_cast<std::size_t>(numbers_.index_limit())) nodes_.emplace_back();
    NodeSlot& n = nodes_[static_cast<std::size_t>(e.node)];
    if (e.index_reused) {
      NodeLink::Options o;
      o.host.address = l.address;
      o.host.subnqn = config_.node_subsystem;
      o.host.hostnqn = config_.host_name;
      o.host.io_queue_size = static_cast<std::uint16_t>(config_.node_depth);
      o.host.digests = {config_.digests, config_.digests};
      o.host.connect_timeout = config_.connect_timeout;
      o.host.keep_alive_timeout = config_.keep_alive;
      o.idle_close = config_.idle_close;
      n = {l.address, std::make_unique<NodeLink>(loop_, e.node, o, *this)};
    }
    const double before = e.started_at;
    e.zone = l.zone;
    e.shard = l.shard;
    e.state = l.listing;
    e.started_at = l.came_up == 0 ? 0 : std::max(1e-9 * static_cast<double>(l.came_up) - wall_offset_, 1e-6);
    if (!e.index_reused && e.started_at > before) n.link->restart("another process is at this address now");
    numbers_.update(loop_.now(), e);
    entries.push_back(e);
  }
  numbers_.remove_absent(loop_.now(), entries);
  return entries;
}

// A link goes with its number, once it may no longer be idle and nothing is out at it.
void Scheduler::let_go_of_gone() {
  const auto busy = [&](int node) { return nodes_[static_cast<std::size_t>(node)].link->out() > 0; };
  for (const int node : numbers_.evict(loop_.now(), config_.idle_close, busy)) {
    nodes_[static_cast<std::size_t>(node)].link.reset();
  }
}

void Scheduler::connect_to_listed() {
  for (int i = 0; i < numbers_.index_limit(); ++i) {
    if (numbers_.entry(i).state == NodeState::kReady) nodes_[static_cast<std::size_t>(i)].link->open();
  }
}

void Scheduler::list_came(std::vector<ListedNode> nodes) {
  const auto entries = take_list(nodes);
  log_.info(loop_.now(), "list.came", {{"nodes", entries.size()}});
  control_->update_nodes(now(), UpdateKind::kSnapshot, entries);
  for (int i = 0; i < numbers_.index_limit(); ++i) {
    NodeSlot& n = nodes_[static_cast<std::size_t>(i)];
    if (n.link && numbers_.entry(i).state != NodeState::kReady) n.link->drain();
  }
  connect_to_listed();
  let_go_of_gone();
  if (!config_.saved_list.empty() && !save_list(config_.saved_list, nodes)) {
    log_.error(loop_.now(), "list.not_saved", {{"path", config_.saved_list}});
  }
}

void Scheduler::list_failed(const std::string& reason) {
  log_.warn(loop_.now(), "list.failed", {{"reason", reason}});
  control_->update_nodes(now(), UpdateKind::kFailed, {});
}

void Scheduler::report() {
  const auto since = [&](auto field) { return counts_.*field - reported_.*field; };
  log_.info(loop_.now(), "second",
            {{"landed", since(&Counts::landed)},
             {"honoured", since(&Counts::honoured)},
             {"turned_back", since(&Counts::turned_back)},
             {"given_up", since(&Counts::given_up)},
             {"abandoned", since(&Counts::abandoned)},
             {"dispatched", since(&Counts::dispatched)},
             {"at_door", since(&Counts::at_door)},
             {"by_rule", since(&Counts::by_rule)},
             {"rule_errors", since(&Counts::rule_errors)},
             {"at_ledger", since(&Counts::at_ledger)},
             {"ahead", since(&Counts::ahead)},
             {"open", open()},
             {"clients", target_->connection_count()}});
  reported_ = counts_;
  report_ = loop_.run_at(loop_.now() + kReportEvery, [this] { report(); });
}

}  // namespace heronworks::gateway
