#include "gateway/scheduler.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "release_memory.h"

namespace heronworks::gateway {
namespace {

constexpr double kReportInterval = 1.0;       // s; of the counts in the log
constexpr double kDrainCheckInterval = 0.01;  // s
// s; responses are not queued in the order in which they become due.
constexpr double kResponseCheckInterval = 0.01;
// Set in idempotency keys that a scheduler generates.
constexpr std::uint64_t kGeneratedIdempotencyKeyBit = std::uint64_t{1} << 63;

nvme::TargetOptions target_options(const config::GatewayConfig& config) {
  nvme::TargetOptions options;
  options.subnqn = config.subsystem;
  options.max_queue_size = static_cast<std::uint16_t>(config.queue_size);
  options.max_connections = static_cast<std::size_t>(config.max_connections);
  options.retry_delay = config.settings.max_retry_after / 16;
  options.arrival_source = nvme::ArrivalSource::kEarliestPossible;
  options.receive_timestamps = std::any_of(config.settings.profiles.begin(), config.settings.profiles.end(),
                                           [](const Profile& profile) { return profile.ordered_by_key; });
  // The transfer limit, 4096 << mdts bytes, must admit the largest transaction.
  const double largest = config.settings.max_transaction_units * config.unit_blocks * config.block_bytes;
  options.mdts = static_cast<std::uint8_t>(std::clamp(std::ceil(std::log2(largest / 4096)), 0.0, 12.0));
  return options;
}

}  // namespace

Scheduler::Scheduler(Loop& loop, const config::GatewayConfig& config, Log& log)
    : loop_(loop),
      config_(config),
      log_(log),
      matcher_(config),
      admission_(matcher_.tenant_count(), static_cast<double>(config.max_open_transactions),
                 static_cast<double>(config.max_write_bytes)) {
  Fd listener = listen_on(config.listen);
  if (!listener)
    throw std::runtime_error("cannot listen on " + config.listen.to_string() + ": " + std::strerror(errno));
  last_generated_idempotency_key_ =
      kGeneratedIdempotencyKeyBit | static_cast<std::uint64_t>(config.settings.scheduler_index) << 46 |
      (static_cast<std::uint64_t>((loop.now() + wall_offset()) * 1000) & 0x3fffffff) << 16;
  nvme::HostOptions list_options;
  list_options.address = config.discovery_address;
  list_options.subnqn = config.discovery_subsystem;
  list_options.hostnqn = config.host_name;
  list_options.io_queue_size = 0;
  list_options.keep_alive_timeout = config.keep_alive;
  list_options.digests = {config.pdu_digests, config.pdu_digests};
  endpoint_list_ = std::make_unique<EndpointListWatch>(loop, list_options, *this);
  control_ = std::make_unique<Control>(config.settings, *this, now());
  if (!config.saved_list_path.empty()) {
    std::string reason;
    if (const auto saved = load_endpoint_list(config.saved_list_path, reason)) {
      log_.info(loop.now(), "list.saved", {{"nodes", saved->size()}});
      control_->update_nodes(now(), UpdateKind::kPersisted, apply_endpoint_list(*saved));
      connect_ready_nodes();
    } else {
      log_.warn(loop.now(), "list.not_loaded", {{"reason", reason}});
    }
  }
  if (!config.ledger.folder.empty()) {
    ledger::LedgerServiceOptions ledger_options;
    ledger_options.folder = config.ledger.folder;
    ledger_options.state = {config.ledger.period, config.ledger.dedup_window, config.ledger.max_identities};
    // Holds the entries of all open transactions twice, as the ledger accepts no new ones once it is half
    // full.
    ledger_options.writer.max_pending_records =
        std::max<std::size_t>(65536, 4 * static_cast<std::size_t>(config.max_open_transactions));
    ledger_options.writer.max_pending_bytes = ledger_options.writer.max_pending_records * 1024;
    ledger_options.writer.max_group_records = config.ledger.max_group_entries;
    ledger_options.scheduler = static_cast<std::uint32_t>(config.settings.scheduler_index);
    ledger_options.new_ledger = last_generated_idempotency_key_ ^ static_cast<std::uint64_t>(::getpid())
                                                                      << 32;
    ledger_ = std::make_unique<ledger::LedgerService>(loop, files_, ledger_options, *this);
    log_.info(loop_.now(), "ledger.opened",
              {{"entries", ledger_->state().entry_count()}, {"period", ledger_->state().current_period()}});
  }
  target_ = std::make_unique<nvme::Target>(loop, std::move(listener), target_options(config), *this);
  report_timer_ = loop_.run_at(loop_.now() + kReportInterval, [this] { log_counts(); });
  watchdog_ = std::make_unique<Watchdog>(loop_, log_);
}

Scheduler::~Scheduler() {
  loop_.cancel(control_timer_);
  loop_.cancel(report_timer_);
  loop_.cancel(delayed_response_timer_);
  loop_.cancel(drain_timer_);
  loop_.cancel_deliveries(*this);
}

void Scheduler::drain(std::function<void()> done) {
  drain_done_ = std::move(done);
  target_->stop_accepting();
  log_.info(loop_.now(), "drain.began", {{"open", open()}});
  drain_timer_ = loop_.run_at(loop_.now(), [this] { check_drained(); });
}

// Drained: every transaction is answered, and all responses are passed to the operating system.
void Scheduler::check_drained() {
  if (!drain_done_) return;
  bool busy = target_->unsent_bytes() > 0 || !delayed_responses_.empty();
  for (const PendingTransaction& pending : transactions_)
    busy = busy || (pending.in_use && !pending.answered);
  if (busy) {
    drain_timer_ = loop_.run_at(loop_.now() + kDrainCheckInterval, [this] { check_drained(); });
    return;
  }
  log_.info(loop_.now(), "drain.done", {{"open", open()}});
  std::exchange(drain_done_, nullptr)();
}

// ---- nvme::Backend ----

nvme::Status Scheduler::identify(std::uint8_t cns, std::uint8_t csi, std::uint32_t nsid, nvme::Bytes& page) {
  const auto put = [&](std::size_t at, auto value) { std::memcpy(page.data() + at, &value, sizeof value); };
  if (cns == 1) {
    std::uint32_t last = 0;
    for (const auto& v : config_.volumes) last = std::max(last, v.last);
    put(516, last);  // NN
    return nvme::status::kOk;
  }
  if (cns == 0 || (cns == 5 && csi == 2)) {
    if (!matcher_.has_volume(nsid)) return nvme::status::kInvalidNamespace;
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
    std::vector<std::uint32_t> nsids;
    for (const auto& v : config_.volumes) {
      for (std::uint32_t n = std::max(v.first, nsid + 1); n <= v.last && nsids.size() < 4096; ++n)
        nsids.push_back(n);
    }
    std::sort(nsids.begin(), nsids.end());
    std::memcpy(page.data(), nsids.data(), std::min<std::size_t>(nsids.size(), 1024) * 4);
    return nvme::status::kOk;
  }
  return nvme::status::kInvalidField;
}

std::string Scheduler::rejection_reasons() const {
  std::string out;
  for (std::size_t i = 0; i < matcher_.rules().size(); ++i) {
    const expr::Rule& rule = matcher_.rules().rule(static_cast<int>(i));
    if (!rule.reject_reason.empty())
      out += std::to_string(i + 1) + "\t" + rule.name + "\t" + rule.reject_reason + "\n";
  }
  return out;
}

void Scheduler::get_log_page(nvme::ConnectionId connection, std::uint16_t cid, std::uint8_t page,
                             std::uint64_t offset, std::uint32_t length) {
  if (page != kRejectionReasonsLogPage) {
    target_->complete(connection, cid, nvme::status::kInvalidLogPage);
    return;
  }
  const std::string text = rejection_reasons();
  nvme::Bytes bytes(length);  // zero-filled beyond the text
  if (offset < text.size())
    std::memcpy(bytes.data(), text.data() + offset, std::min<std::size_t>(length, text.size() - offset));
  target_->complete(connection, cid, nvme::status::kOk, 0, bytes);
}

void Scheduler::execute_command(nvme::Command&& command) {
  const auto finish = [&](nvme::Status status, std::uint64_t& count, std::uint64_t result = 0) {
    ++count;
    target_->complete(command.connection, command.sqe.cid, status, result);
  };
  if (command.sqe.opcode == nvme::opcode::kFlush) {
    // Nodes complete a write once it is durable (Identify Controller reports no volatile write cache), so
    // that Flush has no effect.
    if (!matcher_.has_volume(command.sqe.nsid))
      return finish(nvme::status::kInvalidNamespace, counts_.refused);
    target_->complete(command.connection, command.sqe.cid, nvme::status::kOk);
    return;
  }
  nvme::Status error;
  const auto match =
      matcher_.match(command.sqe, clients_[command.connection], now(), now() + wall_offset(), error);
  if (!match) return finish(error, counts_.refused);
  const bool reads = command.sqe.opcode == nvme::opcode::kRead;
  if (command.sqe.sgl_length != command.sqe.blocks() * config_.block_bytes)
    return finish(nvme::status::kInvalidField, counts_.refused);
  nvme::Status busy = nvme::status::kCommandInterrupted;
  busy.crd = 1;
  const auto bytes = static_cast<double>(command.data.size());
  if (drain_done_ || !admission_.can_admit(match->tenant, bytes))
    return finish(busy, counts_.rejected_at_admission);

  if (ledger_ && !ledger_->accepts()) return finish(busy, counts_.rejected_by_ledger);

  if (match->failed_evaluations > 0) {
    counts_.rule_errors += static_cast<std::uint64_t>(match->failed_evaluations);
    log_.warn(loop_.now(), "rule.error",
              {{"rule", matcher_.rules().rule(match->last_failed_rule).name}, {"volume", command.sqe.nsid}});
  }
  if (match->rule >= 0) {
    const expr::Rule& rule = matcher_.rules().rule(match->rule);
    if (!rule.labels.empty() || match->rejected) {
      nlohmann::json fields{
          {"rule", rule.name}, {"volume", command.sqe.nsid}, {"label", command.sqe.idempotency_key()}};
      for (const auto& [name, value] : rule.labels) fields["labels"][name] = value;
      if (match->rejected) fields["reason"] = rule.reject_reason;
      log_.debug(loop_.now(), match->rejected ? "rule.turned_back" : "rule.marked", std::move(fields));
    }
    busy.crd = 3;
    if (match->rejected)
      return finish(busy, counts_.rejected_by_rule, static_cast<std::uint64_t>(match->rule) + 1);
  }
  Transaction transaction = match->transaction;
  // The client's time counts from the arrival of the command at this host, which is earlier than now if the
  // process was stalled. The margin leaves time for the response.
  const double client_time_left = command.sqe.time_left();
  const double time_left =
      client_time_left > 0
          ? client_time_left
          : config_.settings.profiles[static_cast<std::size_t>(transaction.profile)].deadline;
  transaction.time_left = time_left - config_.response_margin;

  const int id = transactions_.allocate();
  PendingTransaction& pending = transactions_[id];
  pending.in_use = true;
  pending.connection = command.connection;
  pending.sqe = command.sqe;
  pending.profile = transaction.profile;
  pending.shard = transaction.shard;
  pending.rule = match->rule;
  pending.transaction = transaction;
  pending.time_left_from = command.arrived_at;
  pending.has_generated_idempotency_key = pending.sqe.idempotency_key() == 0;
  if (pending.has_generated_idempotency_key)
    pending.sqe.set_idempotency_key(++last_generated_idempotency_key_);
  if (!reads) pending.write_data = std::make_shared<const nvme::Bytes>(std::move(command.data));
  pending.tenant = match->tenant;
  admission_.acquire(pending.tenant, bytes);
  unanswered_[command.connection].insert(id);
  const Profile& profile = config_.settings.profiles[static_cast<std::size_t>(transaction.profile)];
  if (!profile.ordered_by_key || !transaction.has_key) return pass_on(id);
  pending.awaits_order = true;
  loop_.deliver_in_order(command.arrival, *this, static_cast<std::uint64_t>(id));
}

void Scheduler::on_arrival(std::uint64_t transaction) {
  const int id = static_cast<int>(transaction);
  transactions_[id].awaits_order = false;
  if (transactions_[id].answered) return release(id);
  pass_on(id);
}

void Scheduler::pass_on(int transaction) {
  PendingTransaction& pending = transactions_[transaction];
  pending.arrived_at = now();
  pending.transaction.time_left -= std::max(now() - pending.time_left_from, 0.0);
  ++counts_.arrived;
  // A copy: the decision module may release the transaction at once.
  const Transaction arrived = pending.transaction;
  control_->transaction_arrived(now(), transaction, arrived);
}

void Scheduler::connection_established(nvme::ConnectionId connection, const std::string& host, bool admin,
                                       const heronworks::Address& peer) {
  if (admin) return;
  ClientInfo& client = clients_[connection];
  client.name = host;
  client.address = expr::parse_address(peer.host).value_or(expr::Address{});
}

void Scheduler::connection_closed(nvme::ConnectionId connection) {
  clients_.erase(connection);
  const auto found = unanswered_.find(connection);
  if (found == unanswered_.end()) return;
  const std::set<int> open = std::move(found->second);
  unanswered_.erase(found);
  for (const int id : open) {
    PendingTransaction& pending = transactions_[id];
    if (!pending.in_use || pending.answered) continue;
    pending.answered = true;
    ++counts_.abandoned;
    if (!pending.awaits_order) control_->transaction_abandoned(now(), id);
  }
}

void Scheduler::answer(PendingTransaction& pending, nvme::Status status, std::uint64_t result,
                       nvme::ByteView data) {
  if (pending.answered) return;
  target_->complete(pending.connection, pending.sqe.cid, status, result, data);
  mark_answered(pending);
}

void Scheduler::mark_answered(PendingTransaction& pending) {
  pending.answered = true;
  const auto found = unanswered_.find(pending.connection);
  if (found != unanswered_.end()) {
    found->second.erase(transactions_.index_of(pending));
    if (found->second.empty()) unanswered_.erase(found);
  }
}

// ---- ControlActions ----

void Scheduler::dispatch(int transaction, int node, double timeout) {
  PendingTransaction& pending = transactions_[transaction];
  NodeEndpoint& endpoint = nodes_[static_cast<std::size_t>(node)];
  ++counts_.dispatched;
  Dispatch dispatch;
  dispatch.transaction = transaction;
  dispatch.number = pending.dispatches++;
  dispatch.sent_at = now();
  const auto& profile = config_.settings.profiles[static_cast<std::size_t>(pending.profile)];
  dispatch.deadline = now() + (timeout > 0 ? timeout : profile.deadline);
  dispatch.sqe = pending.sqe;
  dispatch.sqe.set_dispatch_info(pending.sqe.client_attempt(), dispatch.number,
                                 config_.settings.scheduler_index);
  if (pending.shard < 0) {  // a new object: the node allocates it, starting at its shard's first zone
    dispatch.sqe.set_slba(static_cast<std::uint64_t>(node_indices_.entry(node).shard) * config_.zone_blocks);
  }
  dispatch.write_data = pending.write_data;
  dispatch.read_bytes = pending.write_data ? 0 : pending.sqe.blocks() * config_.block_bytes;
  endpoint.connection->send(std::move(dispatch));
}

void Scheduler::reject(int transaction, double retry_after) {
  ++counts_.rejected;
  nvme::Status status = nvme::status::kCommandInterrupted;
  if (retry_after > 0) {  // the shortest of the three delays of the target that is long enough
    const double unit = std::max(1.0, std::ceil(config_.settings.max_retry_after / 16 * 10)) / 10;
    status.crd = retry_after <= unit ? 1 : retry_after <= 4 * unit ? 2 : 3;
  }
  answer(transactions_[transaction], status);
}

void Scheduler::expire(int transaction) {
  ++counts_.expired;
  answer(transactions_[transaction], nvme::status::kInternalPathError);
}

void Scheduler::release(int transaction) {
  PendingTransaction& pending = transactions_[transaction];
  admission_.release(pending.tenant,
                     pending.write_data ? static_cast<double>(pending.write_data->size()) : 0);
  transactions_.release(transaction);
}

void Scheduler::request_endpoint_list() { endpoint_list_->refresh(); }

void Scheduler::wake_at(double time) {
  loop_.cancel(control_timer_);
  control_timer_ = loop_.run_at(time, [this] { control_->timer_fired(now()); });
}

// ---- Nodes and the endpoint list ----

void Scheduler::dispatch_ended(int node, const Dispatch& dispatch, Outcome outcome,
                               nvme::Completion&& completion) {
  PendingTransaction& pending = transactions_[dispatch.transaction];
  DispatchResult result;
  result.dispatch_number = dispatch.number;
  result.node = node;
  result.elapsed = std::max(now() - dispatch.sent_at, 0.0);
  result.outcome = outcome;
  if (completion.arrived && pending.sqe.opcode != nvme::opcode::kZoneAppend) {
    result.units_by_others = completion.cqe.dw0;
    result.usage_reported = (completion.cqe.dw1 & 0xffff) > 0;
  }
  if (outcome == Outcome::kSucceeded && !pending.answered) {
    ++counts_.succeeded;
    const std::uint64_t command_result =
        pending.sqe.opcode == nvme::opcode::kZoneAppend ? completion.cqe.result() : 0;
    if (ledger_) record_and_answer(pending, command_result, std::move(completion.data));
    else answer(pending, nvme::status::kOk, command_result, completion.data);
  }
  result.transaction_finished = pending.answered;
  control_->dispatch_finished(now(), dispatch.transaction, result);
}

// ---- The ledger ----

// Adds the ledger entry, then answers or queues the response until the entry is durable.
void Scheduler::record_and_answer(PendingTransaction& pending, std::uint64_t result, nvme::Bytes&& data) {
  const auto client = clients_.find(pending.connection);
  const Plan& plan = config_.settings.plans[static_cast<std::size_t>(pending.transaction.plan)];
  const double schedulers = std::max(pending.transaction.volume_schedulers, 1);
  ledger::UsageEntry use;
  use.identity = pending.sqe.idempotency_key();
  use.unnamed = pending.has_generated_idempotency_key;
  use.tenant = matcher_.tenant_name(pending.sqe.nsid);
  use.volume = pending.sqe.nsid;
  use.plan = config_.plan_names[static_cast<std::size_t>(pending.transaction.plan)];
  use.profile = config_.profile_names[static_cast<std::size_t>(pending.transaction.profile)];
  use.units = static_cast<std::uint32_t>(pending.transaction.units);
  use.bytes = std::uint64_t{pending.sqe.blocks()} * config_.block_bytes;
  use.tier = standings_.classify(now(), pending.transaction.volume, plan.reservation / schedulers,
                                 plan.usual_rate / schedulers, pending.transaction.units);
  if (client != clients_.end()) use.client = client->second.name;
  use.attempt = static_cast<std::uint32_t>(pending.sqe.client_attempt());
  if (pending.rule >= 0) use.labels = &matcher_.rules().rule(pending.rule).labels;
  const std::uint64_t ticket = ledger_->record_usage(use);
  if (!config_.ledger.durable_before_response) return answer(pending, nvme::status::kOk, result, data);
  const Profile& profile = config_.settings.profiles[static_cast<std::size_t>(pending.transaction.profile)];
  const double hold_until = ledger_->backpressure().hold_until(
      now(), pending.arrived_at + profile.target_latency, pending.arrived_at + pending.transaction.time_left);
  delayed_responses_.push_back(
      {ticket, hold_until, pending.connection, pending.sqe.cid, result, std::move(data)});
  mark_answered(pending);
  if (delayed_response_timer_ == 0)
    delayed_response_timer_ = loop_.run_at(std::min(hold_until, loop_.now() + kResponseCheckInterval),
                                           [this] { send_overdue_responses(); });
}

void Scheduler::on_entries_durable(std::uint64_t ticket) {
  while (!delayed_responses_.empty() && delayed_responses_.front().ticket <= ticket) {
    const DelayedResponse& response = delayed_responses_.front();
    if (!response.sent)
      target_->complete(response.connection, response.cid, nvme::status::kOk, response.result, response.data);
    delayed_responses_.pop_front();
  }
}

// Sends the responses that must not wait any longer, although their entries are not yet durable.
void Scheduler::send_overdue_responses() {
  delayed_response_timer_ = 0;
  double next = 1e18;
  for (DelayedResponse& response : delayed_responses_) {
    if (response.sent) continue;
    if (response.hold_until <= loop_.now()) {
      target_->complete(response.connection, response.cid, nvme::status::kOk, response.result, response.data);
      response.sent = true;
      release_memory(response.data);
      ++counts_.answered_before_durable;
    } else {
      next = std::min(next, response.hold_until);
    }
  }
  if (!delayed_responses_.empty())
    delayed_response_timer_ = loop_.run_at(std::min(next, loop_.now() + kResponseCheckInterval),
                                           [this] { send_overdue_responses(); });
}

void Scheduler::on_ledger_read_only_changed(bool read_only, const std::string& reason) {
  if (read_only) log_.error(loop_.now(), "ledger.read_only", {{"reason", reason}});
  else log_.info(loop_.now(), "ledger.takes_entries");
}

void Scheduler::on_ledger_event(const char* event, const std::string& text) {
  log_.warn(loop_.now(), event, {{"text", text}});
}

void Scheduler::connection_changed(int node, const char* event, const std::string& reason) {
  nlohmann::json fields{{"node", nodes_[static_cast<std::size_t>(node)].address.to_string()}};
  if (!reason.empty()) fields["reason"] = reason;
  log_.info(loop_.now(), event, std::move(fields));
}

// Assigns node indices to the addresses and resets connections to restarted processes.
std::vector<NodeEntry> Scheduler::apply_endpoint_list(const std::vector<ListedEndpoint>& endpoints) {
  std::vector<NodeEntry> entries;
  for (const ListedEndpoint& listed : endpoints) {
    NodeEntry entry = node_indices_.find_or_add(listed.address.to_string());
    if (nodes_.size() < static_cast<std::size_t>(node_indices_.index_limit())) nodes_.emplace_back();
    NodeEndpoint& endpoint = nodes_[static_cast<std::size_t>(entry.node)];
    if (entry.index_reused) {
      NodeConnection::Options options;
      options.host.address = listed.address;
      options.host.subnqn = config_.node_subsystem;
      options.host.hostnqn = config_.host_name;
      options.host.io_queue_size = static_cast<std::uint16_t>(config_.node_queue_depth);
      options.host.digests = {config_.pdu_digests, config_.pdu_digests};
      options.host.connect_timeout = config_.connect_timeout;
      options.host.keep_alive_timeout = config_.keep_alive;
      options.idle_timeout = config_.idle_timeout;
      endpoint = {listed.address, std::make_unique<NodeConnection>(loop_, entry.node, options, *this)};
    }
    const double previous_start = entry.started_at;
    entry.zone = listed.zone;
    entry.shard = listed.shard;
    entry.state = listed.state;
    entry.started_at = start_times_.to_loop_time(entry.node, 1e-9 * static_cast<double>(listed.started_at),
                                                 entry.index_reused, wall_offset());
    if (!entry.index_reused && entry.started_at > previous_start)
      endpoint.connection->reset("node process restarted");
    node_indices_.update(loop_.now(), entry);
    entries.push_back(entry);
  }
  node_indices_.remove_absent(loop_.now(), entries);
  return entries;
}

// Evicts nodes that have been absent from the list for the idle timeout and have no pending dispatches.
void Scheduler::evict_removed_nodes() {
  const auto busy = [&](int node) {
    return nodes_[static_cast<std::size_t>(node)].connection->pending() > 0;
  };
  for (const int node : node_indices_.evict(loop_.now(), config_.idle_timeout, busy)) {
    nodes_[static_cast<std::size_t>(node)].connection.reset();
  }
}

void Scheduler::connect_ready_nodes() {
  for (int i = 0; i < node_indices_.index_limit(); ++i) {
    if (node_indices_.entry(i).state == NodeState::kReady)
      nodes_[static_cast<std::size_t>(i)].connection->open();
  }
}

void Scheduler::endpoint_list_received(std::vector<ListedEndpoint> endpoints) {
  const auto entries = apply_endpoint_list(endpoints);
  log_.info(loop_.now(), "list.came", {{"nodes", entries.size()}});
  control_->update_nodes(now(), UpdateKind::kSnapshot, entries);
  for (int i = 0; i < node_indices_.index_limit(); ++i) {
    NodeEndpoint& endpoint = nodes_[static_cast<std::size_t>(i)];
    if (endpoint.connection && node_indices_.entry(i).state != NodeState::kReady)
      endpoint.connection->drain();
  }
  connect_ready_nodes();
  evict_removed_nodes();
  if (!config_.saved_list_path.empty() && !save_endpoint_list(config_.saved_list_path, endpoints)) {
    log_.error(loop_.now(), "list.not_saved", {{"path", config_.saved_list_path}});
  }
}

void Scheduler::endpoint_list_failed(const std::string& reason) {
  log_.warn(loop_.now(), "list.failed", {{"reason", reason}});
  control_->update_nodes(now(), UpdateKind::kFailed, {});
}

void Scheduler::log_counts() {
  const auto since = [&](auto field) { return counts_.*field - reported_counts_.*field; };
  log_.info(loop_.now(), "second",
            {{"landed", since(&Counts::arrived)},
             {"honoured", since(&Counts::succeeded)},
             {"turned_back", since(&Counts::rejected)},
             {"given_up", since(&Counts::expired)},
             {"abandoned", since(&Counts::abandoned)},
             {"dispatched", since(&Counts::dispatched)},
             {"at_door", since(&Counts::rejected_at_admission)},
             {"by_rule", since(&Counts::rejected_by_rule)},
             {"rule_errors", since(&Counts::rule_errors)},
             {"at_ledger", since(&Counts::rejected_by_ledger)},
             {"ahead", since(&Counts::answered_before_durable)},
             {"open", open()},
             {"refused", since(&Counts::refused)},
             {"paused", target_->throttled() - reported_throttled_},
             {"clients", target_->connection_count()}});
  reported_throttled_ = target_->throttled();
  reported_counts_ = counts_;
  report_timer_ = loop_.run_at(loop_.now() + kReportInterval, [this] { log_counts(); });
}

}  // namespace heronworks::gateway
