#include "platform/scheduler.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <fstream>

#include "host/process_memory.h"
#include "http/writer.h"
#include "number.h"

namespace heronworks::platform {
namespace {

constexpr double kLogPeriodSeconds = 1.0;
// After SIGTERM the platform waits for the longest deadline of the profiles, at most
// kMaxDrainDeadlineSeconds, plus 0.7 s before it kills the process. Clients open connections for up to 0.4 s
// after SIGTERM and use them until they are closed, as no other process serves them. So requests are served
// during the drain, with deadlines that end before the process is killed.
constexpr double kMaxDrainDeadlineSeconds = 3.0;
// After the longest deadline:
constexpr double kDrainReplySlackSeconds = 0.6;  // all requests are answered
constexpr double kDrainServeSlackSeconds = 0.3;  // connections are closed as they become idle
constexpr double kDrainEndSlackSeconds = 0.65;   // connections without an open request are closed
constexpr double kDrainAcceptSeconds = 0.6;      // after SIGTERM
constexpr double kRemovedNodeRetentionSeconds = 10.0;
constexpr std::size_t kMaxZones = 256;
constexpr int kRejectedStatus = 503;
constexpr int kExpiredStatus = 504;

// The value of Retry-After; empty for 0.
std::string retry_after_text(double seconds) {
  if (seconds <= 0) return "";
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", seconds);
  return text;
}

SharedBytes shared_bytes(std::string text) { return std::make_shared<const std::string>(std::move(text)); }

// Keeps the whole message, and so its charge, until the body is written.
SharedBytes body_of(const HeldMessagePtr& held) { return {held, &held->message.body}; }

// How long a scheduler's slice of the volume's limit takes to refill by what the transaction spends, with
// some reserve; 0: no limit.
double refill_seconds(const Settings& settings, const Transaction& transaction) {
  constexpr double kReserve = 2;
  const Plan& plan = settings.plans[static_cast<std::size_t>(transaction.plan)];
  const int schedulers = std::max({settings.scheduler_count, transaction.volume_schedulers, 1});
  return plan.limit > 0 ? kReserve * transaction.units * schedulers / plan.limit : 0;
}

// Until then a dispatch that its scheduler gave up may still reach a node: its own deadline tells the node
// when to drop it, and an answer up to half a second later still counts as one.
double call_id_retention(const Settings& settings) {
  constexpr double kAnswerSlackSeconds = 0.5;
  double longest = 0;
  for (const Profile& profile : settings.profiles) longest = std::max(longest, profile.deadline);
  return longest + kAnswerSlackSeconds;
}

// Reads /proc/self/schedstat, which is in nanoseconds. Returns zeros if it is not available.
CpuTime process_cpu_time() {
  std::ifstream file("/proc/self/schedstat");
  double used = 0;
  double waited = 0;
  if (!(file >> used >> waited)) return {};
  return {1e-9 * used, 1e-9 * waited};
}

// What holds the memory, in bytes. `heap_free` was freed, but not returned to the operating system.
nlohmann::json memory_fields(const SchedulerMemory& memory, const MemoryBudget& budget) {
  const HeapUse heap = process_heap_use();
  return {{"anonymous", process_anonymous_bytes()},
          {"heap_used", heap.used},
          {"heap_free", heap.free},
          {"requests", budget.bytes_in_use(MemoryUse::kRequest)},
          {"requests_limit", budget.limit(MemoryUse::kRequest)},
          {"read_ahead", budget.bytes_in_use(MemoryUse::kReadAhead)},
          {"replies", budget.bytes_in_use(MemoryUse::kReply)},
          {"replies_limit", budget.limit(MemoryUse::kReply)},
          {"incomplete_requests", memory.clients.incomplete_requests},
          {"unconsumed_input", memory.clients.unconsumed_input},
          {"open_requests", memory.open_requests},
          {"unsent_to_nodes", memory.nodes.unsent_requests},
          {"incomplete_replies", memory.nodes.incomplete_replies},
          {"unsent_to_clients", memory.clients.unsent_replies}};
}

// By status, as far as there were any.
nlohmann::json errors_since(const std::map<int, std::uint64_t>& before,
                            const std::map<int, std::uint64_t>& now) {
  nlohmann::json fields = nlohmann::json::object();
  for (const auto& [status, count] : now) {
    const auto found = before.find(status);
    const std::uint64_t more = count - (found == before.end() ? 0 : found->second);
    if (more > 0) fields[std::to_string(status)] = more;
  }
  return fields;
}

const char* name_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::kSucceeded:
      return "succeeded";
    case Outcome::kError:
      return "error";
    case Outcome::kQueueFull:
      return "queue full";
    case Outcome::kTimedOut:
      return "timed out";
    case Outcome::kConnectFailed:
      return "connect failed";
    case Outcome::kReset:
      return "reset";
    case Outcome::kCancelled:
      return "cancelled";
    case Outcome::kNotSent:
      return "not sent";
  }
  return "";
}

}  // namespace

Scheduler::Scheduler(Loop& loop, Config config, Log& log)
    : loop_(loop),
      config_(std::move(config)),
      log_(log),
      keeps_order_(std::any_of(config_.settings().profiles.begin(), config_.settings().profiles.end(),
                               [](const Profile& profile) { return profile.ordered_by_key; })),
      descriptors_(config_.max_descriptors),
      memory_(config_.memory_bytes, descriptors_.limit_per_user()),
      call_ids_(call_id_retention(config_.settings()), config_.settings().seed) {
  Fd listener = listen_on(config_.listen, 1024);
  if (!listener)
    throw std::runtime_error("cannot listen on " + config_.listen.to_string() + ": " + std::strerror(errno));
  NodeConnectionPool::Options pool;
  if (config_.connect_timeout > 0) pool.connect_timeout = config_.connect_timeout;
  if (config_.node_idle_timeout > 0) pool.idle_timeout = config_.node_idle_timeout / 2;
  node_connections_ = std::make_unique<NodeConnectionPool>(loop_, pool, descriptors_, memory_, *this);
  DiscoveryClient::Options discovery;
  discovery.address = config_.discovery;
  if (config_.discovery_silence > 0) {
    discovery.silence_timeout = std::min(discovery.silence_timeout, config_.discovery_silence / 2);
  }
  discovery_ = std::make_unique<DiscoveryClient>(loop_, discovery, *this);
  Settings settings = config_.settings();
  settings.max_table_entries = memory_.max_table_entries();
  control_ = std::make_unique<Control>(std::move(settings), *this, now());
  if (config_.initial_endpoints.is_full) {
    apply_update(config_.initial_endpoints, UpdateKind::kPersisted);
    discovery_->set_known_version(config_.initial_endpoints.version);
  }
  client_server_ = std::make_unique<ClientServer>(loop_, std::move(listener), descriptors_, memory_, *this);
  log_timer_ = loop_.run_at(loop_.now() + kLogPeriodSeconds, [this] { log_counts(); });
  watchdog_ = std::make_unique<Watchdog>(loop_, log_);
}

Scheduler::~Scheduler() {
  loop_.cancel(wake_timer_);
  loop_.cancel(log_timer_);
}

void Scheduler::drain(std::function<void()> done) {
  log_.info(loop_.now(), "drain.began",
            {{"open", open_transactions()}, {"clients", client_server_->connection_count()}});
  double longest = 0;
  for (const Profile& profile : config_.settings().profiles) longest = std::max(longest, profile.deadline);
  longest = std::min(longest, kMaxDrainDeadlineSeconds);
  drain_deadline_ = loop_.now() + longest + kDrainReplySlackSeconds;
  client_server_->drain(kDrainAcceptSeconds, longest + kDrainServeSlackSeconds,
                        longest + kDrainEndSlackSeconds, [this, done = std::move(done)] {
                          log_.info(loop_.now(), "drain.done", {{"open", open_transactions()}});
                          done();
                        });
}

void Scheduler::reload(const Config& config) {
  // The fields that may change without a notice are left out of the comparison.
  const auto compared_fields = [](nlohmann::json json) {
    for (const char* field : {"discovery", "seed", "known"}) json.erase(field);
    return json;
  };
  const auto before = compared_fields(config_.source);
  const auto after = compared_fields(config.source);
  for (const auto& [field, value] : after.items()) {
    const auto found = before.find(field);
    if (found == before.end() || *found != value) {
      log_.warn(loop_.now(), "reload.not_taken", {{"field", field}});
    }
  }
  for (const auto& [field, value] : before.items()) {
    if (!after.contains(field)) log_.warn(loop_.now(), "reload.not_taken", {{"field", field}});
  }
  log_.info(loop_.now(), "reload",
            {{"discovery", config.discovery.to_string()}, {"before", config_.discovery.to_string()}});
  if (config.discovery == config_.discovery) return;
  config_.discovery = config.discovery;
  discovery_->set_address(config.discovery);
  control_->discovery_moved(now());
}

// ---- ClientServerOwner ----

void Scheduler::on_request(ClientId client, HeldMessagePtr held, double received_at) {
  start_transaction(client, std::move(held), received_at);
  on_delayed_request_dropped(client);  // if it was answered without a transaction
}

void Scheduler::start_transaction(ClientId client, HeldMessagePtr held, double received_at) {
  const http::Message& request = held->message;
  if (request.target == "/healthz" && request.method == "GET") {
    return client_server_->reply(client, {drain_deadline_ > 0 ? 503 : 200, "",
                                          shared_bytes(drain_deadline_ > 0 ? "stopping\n" : "ok\n")});
  }
  const auto reply_error = [&](int status, const std::string& reason) {
    ++counts_.invalid;
    ++counts_.errors[status];
    if (log_.writes_debug()) {
      const std::string* id = request.find_field("X-Call-Id");
      log_.debug(
          loop_.now(), "refused",
          {{"id", id == nullptr ? "" : *id}, {"client", client}, {"status", status}, {"reason", reason}});
    }
    client_server_->reply(client, {status, "", shared_bytes(reason + "\n"), true});
  };
  auto result = parse_request(request, config_);
  if (const auto* fault = std::get_if<http::RequestFault>(&result)) {
    return reply_error(fault->status, fault->reason);
  }
  ParsedRequest& parsed = std::get<ParsedRequest>(result);
  if (call_ids_.contains(now(), parsed.call_id)) {
    ++counts_.repeated_call_ids;
    return reply_error(409, "X-Call-Id was used before");
  }
  if (client_server_->has_left(client)) {  // on_client_closed() follows
    ++counts_.left_before_transaction;
    log_.debug(loop_.now(), "left_unread", {{"id", parsed.call_id}, {"client", client}});
    return;
  }
  const VolumeName volume{parsed.volume, parsed.transaction.plan};
  const auto assignment = volumes_.acquire(volume, now());
  if (!assignment) {
    ++counts_.rejected_at_admission;
    log_.debug(loop_.now(), "no_volume_index", {{"id", parsed.call_id}, {"client", client}});
    return client_server_->reply(
        client, {kRejectedStatus, retry_after_text(config_.settings().max_retry_after), nullptr});
  }
  // The client's deadline runs from when it sent the request, which may be long ago after a stall.
  parsed.transaction.time_left -= std::max(now() - received_at, 0.0);
  if (drain_deadline_ > 0) {
    parsed.transaction.time_left = std::min(parsed.transaction.time_left, drain_deadline_ - now());
  }
  parsed.transaction.volume = assignment->index;
  parsed.transaction.index_reused = assignment->reused;

  const int id = take_slot(client);
  Slot& slot = slots_[id];
  slot.client = client;
  const Profile& profile = config_.settings().profiles[static_cast<std::size_t>(parsed.transaction.profile)];
  slot.deadline = now() + std::min(parsed.transaction.time_left, profile.deadline);
  slot.volume = volume;
  slot.refill_seconds = refill_seconds(config_.settings(), parsed.transaction);
  slot.call_id = parsed.call_id;
  slot.node_target = parsed.node_target;
  slot.request = std::move(held);
  by_client_[client] = id;
  call_ids_.begin(parsed.call_id);
  ++counts_.arrived;
  if (log_.writes_debug()) begin_trace(slot, parsed.transaction, received_at);
  control_->transaction_arrived(now(), id, parsed.transaction);
}

std::optional<std::uint64_t> Scheduler::order_key(const http::Message& head) const {
  return keeps_order_ ? parse_order_key(head, config_) : std::nullopt;
}

void Scheduler::on_request_delayed(ClientId client, std::uint64_t key) {
  const int id = slots_.allocate();
  if (control_->reserve_key_place(now(), id, key)) key_places_[client] = id;
  else slots_.release(id);  // nor is there room for a later one of that key
}

void Scheduler::on_delayed_request_dropped(ClientId client) {
  const auto found = key_places_.find(client);
  if (found == key_places_.end()) return;
  control_->cancel_key_place(now(), found->second);
  slots_.release(found->second);
  key_places_.erase(found);
}

// The slot in which the client's request keeps its place already, or a new one.
int Scheduler::take_slot(ClientId client) {
  const auto found = key_places_.find(client);
  if (found == key_places_.end()) return slots_.allocate();
  const int id = found->second;
  key_places_.erase(found);
  return id;
}

void Scheduler::on_client_closed(ClientId client) {
  const auto found = by_client_.find(client);
  if (found == by_client_.end()) return;
  const int id = found->second;
  Slot& slot = slots_[id];
  by_client_.erase(found);
  slot.answered = true;
  slot.request.reset();
  const int node = slot.node;
  ++counts_.abandoned;
  if (slot.trace) slot.trace->add(now(), "client_left");
  control_->transaction_abandoned(now(), id);
  if (node >= 0) node_connections_->cancel_unsent(node, id);
}

void Scheduler::on_invalid_request(ClientId client, int status, const std::string& reason) {
  ++counts_.errors[status];
  log_.debug(loop_.now(), "unreadable", {{"client", client}, {"status", status}, {"reason", reason}});
}

void Scheduler::begin_trace(Slot& slot, const Transaction& transaction, double received_at) const {
  slot.trace = std::make_unique<RequestTrace>(received_at);
  const std::string* profile = slot.request->message.find_field("X-Call-Class");
  slot.trace->add(now(), "accepted",
                  {{"class", profile == nullptr ? "" : *profile}, {"time_left", transaction.time_left}});
}

void Scheduler::log_trace(Slot& slot) {
  nlohmann::json fields{{"id", slot.call_id}, {"client", slot.client}, {"events", slot.trace->take_events()}};
  if (slot.trace->omitted() > 0) fields["omitted"] = slot.trace->omitted();
  log_.debug(loop_.now(), "request", std::move(fields));
}

void Scheduler::reply(Slot& slot, ClientReply reply, const char* reason) {
  if (slot.answered) return;
  if (slot.trace) slot.trace->add(now(), "answered", {{"status", reply.status}, {"reason", reason}});
  slot.answered = true;
  slot.request.reset();
  by_client_.erase(slot.client);
  client_server_->reply(slot.client, std::move(reply));
}

// ---- ControlActions ----

void Scheduler::dispatch(int transaction, int node, double timeout) {
  Slot& slot = slots_[transaction];
  ++counts_.dispatched;
  volumes_.spend(slot.volume, now(), slot.refill_seconds);
  NodeDispatch dispatch;
  dispatch.transaction = transaction;
  dispatch.number = slot.dispatches++;
  dispatch.sent_at = now();
  dispatch.deadline = timeout > 0 ? std::min(now() + timeout, slot.deadline) : slot.deadline;
  slot.node = node;
  if (slot.trace)
    slot.trace->add(now(), "dispatched",
                    {{"node", node}, {"dispatch", dispatch.number}, {"timeout", dispatch.deadline - now()}});
  const http::Message& request = slot.request->message;
  http::Writer writer(dispatch.head);
  writer.request_line(request.method, slot.node_target)
      .field("Host", "node")
      .field("X-Call-Id", slot.call_id);
  dispatch.budget_field_offset = dispatch.head.size();
  for (const char* name : {"X-Call-Class", "Tier", "IO-Info", "Idempotency-Key", "Content-Type"}) {
    if (const std::string* value = request.find_field(name)) writer.field(name, *value);
  }
  if (request.method == "GET") {
    writer.end_without_body();
  } else {
    writer.end_with_length(request.body.size());
    dispatch.body = body_of(slot.request);
  }
  node_connections_->send(node, std::move(dispatch));
}

void Scheduler::reject(int transaction, double retry_after) {
  ++counts_.rejected;
  reply(slots_[transaction], {kRejectedStatus, retry_after_text(retry_after), nullptr}, "rejected");
}

void Scheduler::expire(int transaction) {
  ++counts_.expired;
  reply(slots_[transaction], {kExpiredStatus, "", nullptr}, "expired");
}

void Scheduler::release(int transaction) {
  Slot& slot = slots_[transaction];
  if (slot.trace) log_trace(slot);
  volumes_.release(slot.volume);
  call_ids_.end(now(), slot.call_id, slot.dispatches > 0);
  slots_.release(transaction);
}

void Scheduler::request_endpoint_list() { discovery_->watch(); }

void Scheduler::wake_at(double time) {
  loop_.cancel(wake_timer_);
  wake_timer_ = loop_.run_at(time, [this] { control_->timer_fired(now()); });
}

// ---- NodeConnectionPoolOwner ----

void Scheduler::on_dispatch_finished(int node, const NodeDispatch& dispatch, Outcome outcome,
                                     HeldMessagePtr held) {
  Slot& slot = slots_[dispatch.transaction];
  ++counts_.outcomes[static_cast<std::size_t>(outcome)];
  DispatchResult result;
  result.dispatch_number = dispatch.number;
  result.node = node;
  result.elapsed = std::max(now() - dispatch.sent_at, 0.0);
  result.outcome = outcome;
  if (slot.trace)
    slot.trace->add(now(), "dispatch_ended",
                    {{"node", node}, {"dispatch", dispatch.number}, {"outcome", name_of(outcome)}});
  const auto number_field = [&](const char* name) -> std::optional<double> {
    const bool given_once = held && held->message.count_fields(name) == 1;
    const std::string* text = given_once ? held->message.find_field(name) : nullptr;
    const auto number = text == nullptr ? std::nullopt : read_number<double>(*text);
    return number && *number >= 0 ? number : std::nullopt;
  };
  result.units_by_others = number_field("Other-Hosts").value_or(0);
  result.usage_reported = number_field("Volume-Load").has_value();  // only its presence counts, even if 0
  if (outcome == Outcome::kSucceeded && !slot.answered) {
    ++counts_.succeeded;
    reply(slot, {200, "", body_of(held)}, "served by its node");
  }
  result.transaction_finished = slot.answered;
  control_->dispatch_finished(now(), dispatch.transaction, result);
}

// ---- DiscoveryClientOwner ----

std::vector<NodeEntry> Scheduler::update_node_table(const std::vector<Endpoint>& endpoints, bool is_full) {
  std::vector<NodeEntry> entries;
  for (const Endpoint& endpoint : endpoints) {
    if (endpoint.state == NodeState::kRemoved && !node_indices_.contains(endpoint.id)) continue;
    if (endpoint.state != NodeState::kRemoved && !zone_indices_.contains(endpoint.zone) &&
        zone_indices_.size() >= kMaxZones) {
      log_.warn(loop_.now(), "list.bad_entry", {{"fault", "more than 256 zones: " + endpoint.zone}});
      continue;
    }
    NodeEntry entry = node_indices_.find_or_add(endpoint.id);
    const double previous_start = entry.started_at;
    entry.state = endpoint.state;
    if (endpoint.state != NodeState::kRemoved) {
      entry.zone = zone_indices_.emplace(endpoint.zone, static_cast<int>(zone_indices_.size())).first->second;
      entry.shard = endpoint.shard;
      entry.started_at =
          start_times_.to_loop_time(entry.node, endpoint.started_at, entry.index_reused, wall_offset());
      node_connections_->set_address(entry.node, endpoint.address);
      if (!entry.index_reused && entry.started_at > previous_start) node_connections_->close_idle(entry.node);
    }
    node_indices_.update(loop_.now(), entry);
    entries.push_back(entry);
  }
  if (is_full) node_indices_.remove_absent(loop_.now(), entries);
  return entries;
}

void Scheduler::apply_update(const EndpointUpdate& update, UpdateKind kind) {
  for (const auto& error : update.errors) log_.warn(loop_.now(), "list.bad_entry", {{"fault", error}});
  const auto entries = update_node_table(update.endpoints, update.is_full);
  control_->update_nodes(now(), kind, entries);
  // The decision module no longer dispatches to these nodes; unsent dispatches to them are withdrawn.
  for (int i = 0; i < node_indices_.index_limit(); ++i) {
    if (node_indices_.entry(i).state != NodeState::kReady) node_connections_->drain(i);
  }
  node_indices_.evict(loop_.now(), kRemovedNodeRetentionSeconds,
                      [&](int node) { return node_connections_->in_flight(node) > 0; });
}

void Scheduler::on_endpoint_update(const EndpointUpdate& update) {
  log_.debug(loop_.now(), "list.came",
             {{"version", update.version}, {"whole", update.is_full}, {"entries", update.endpoints.size()}});
  apply_update(update, update.is_full ? UpdateKind::kSnapshot : UpdateKind::kDelta);
}

void Scheduler::on_discovery_failed(const std::string& reason) {
  log_.warn(loop_.now(), "list.failed", {{"reason", reason}});
  control_->update_nodes(now(), UpdateKind::kFailed, {});
}

SchedulerMemory Scheduler::memory() const {
  SchedulerMemory sum{0, client_server_->memory(), node_connections_->memory()};
  for (const Slot& slot : slots_) sum.open_requests += slot.request ? slot.request->charge.bytes() : 0;
  return sum;
}

void Scheduler::log_counts() {
  if (memory_.retains_too_much(process_anonymous_bytes(), process_heap_use().used)) return_free_memory();
  const auto since = [&](auto field) { return counts_.*field - logged_counts_.*field; };
  const ClientServerCounts& c = client_server_->counts();
  const NodeConnectionPoolCounts& n = node_connections_->counts();
  const CpuTime cpu = process_cpu_time();
  nlohmann::json outcomes = nlohmann::json::array();
  for (std::size_t i = 0; i < 8; ++i) outcomes.push_back(counts_.outcomes[i] - logged_counts_.outcomes[i]);
  log_.info(loop_.now(), "second",
            {{"landed", since(&Counts::arrived)},
             {"honoured", since(&Counts::succeeded)},
             {"turned_back", since(&Counts::rejected)},
             {"given_up", since(&Counts::expired)},
             {"abandoned", since(&Counts::abandoned)},
             {"dispatched", since(&Counts::dispatched)},
             {"refused", since(&Counts::invalid)},
             {"errors", errors_since(logged_counts_.errors, counts_.errors)},
             {"busiest_client", client_server_->take_busiest_requests()},
             {"repeated_ids", since(&Counts::repeated_call_ids)},
             {"known_ids", call_ids_.size()},
             {"at_door", since(&Counts::rejected_at_admission)},
             {"outcomes", outcomes},
             {"cpu", cpu.used - logged_cpu_.used},
             {"cpu_waited", cpu.waited - logged_cpu_.waited},
             {"open", open_transactions()},
             {"clients", client_server_->connection_count()},
             {"accepted", c.accepted - logged_client_counts_.accepted},
             {"no_room", c.no_descriptor - logged_client_counts_.no_descriptor},
             {"made_way", c.evicted - logged_client_counts_.evicted},
             {"unreadable", c.invalid_requests - logged_client_counts_.invalid_requests},
             {"too_slow", c.timed_out - logged_client_counts_.timed_out},
             {"paused", c.throttled - logged_client_counts_.throttled},
             {"ended_invalid", c.closed_for_errors - logged_client_counts_.closed_for_errors},
             {"left_unread", since(&Counts::left_before_transaction)},
             {"ended_idle", c.closed_idle - logged_client_counts_.closed_idle},
             {"crossed", c.data_after_close - logged_client_counts_.data_after_close},
             {"opened", n.opened - logged_node_counts_.opened},
             {"reused", n.reused - logged_node_counts_.reused},
             {"stale", n.stale - logged_node_counts_.stale},
             {"spoilt", n.invalid_replies - logged_node_counts_.invalid_replies},
             {"surplus", n.unexpected_data - logged_node_counts_.unexpected_data},
             {"memory", memory_fields(memory(), memory_)},
             {"unread_requests", c.waited_for_memory - logged_client_counts_.waited_for_memory},
             {"unread_replies", n.waited_for_memory - logged_node_counts_.waited_for_memory},
             {"kept_places", c.kept_places - logged_client_counts_.kept_places},
             {"no_memory", c.rejected_for_memory - logged_client_counts_.rejected_for_memory},
             {"no_descriptor", n.no_descriptor - logged_node_counts_.no_descriptor},
             {"taken_back", n.cancelled - logged_node_counts_.cancelled},
             {"reuse_delay", node_connections_->reuse_delay()},
             {"node_links", descriptors_.in_use(DescriptorBudget::User::kNodes)},
             {"nodes", node_indices_.size()},
             {"volumes", volumes_.size()}});
  logged_counts_ = counts_;
  logged_client_counts_ = c;
  logged_node_counts_ = n;
  logged_cpu_ = cpu;
  log_timer_ = loop_.run_at(loop_.now() + kLogPeriodSeconds, [this] { log_counts(); });
}

}  // namespace heronworks::platform
