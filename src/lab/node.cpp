#include "lab/node.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace heronworks::lab {
namespace {

constexpr double kHeavyFraction =
    0.05;  // fraction of transactions that are heavy during a kHeavyTransactions fault

int number_at_end(const std::string& name) {
  const auto dot = name.rfind('.');
  return dot == std::string::npos ? -1 : std::atoi(name.c_str() + dot + 1);
}

}  // namespace

StandInNode::StandInNode(Loop& loop, const Scenario& scenario, const NodeOptions& options, Recorder& record,
                         std::function<void()> on_overload)
    : loop_(loop),
      scenario_(scenario),
      options_(options),
      record_(record),
      on_overload_(std::move(on_overload)),
      volumes_(volume_layouts(scenario)),
      speed_(node_speed(scenario, options.number)),
      slow_start_(options.incarnation > 0),
      random_(static_cast<unsigned>(scenario.seed * 977 + static_cast<std::uint64_t>(options.number) * 31 +
                                    static_cast<std::uint64_t>(options.incarnation) + 1)),
      storage_(options.folder + "/shard-" + std::to_string(options.number), scenario, options.number),
      usage_meter_(options.folder + "/meter", scenario),
      served_units_(volumes_.size()) {
  Fd fd = listen_on(options.listen);
  if (!fd) throw std::runtime_error("cannot listen on " + options.listen.to_string());
  nvme::TargetOptions o;
  o.subnqn = kNodeSubsystem;
  o.mdts = 8;
  o.arrival_source = nvme::ArrivalSource::kKernelTimestamp;
  o.receive_timestamps = true;
  target_ = std::make_unique<nvme::Target>(loop, std::move(fd), o, *this);
  const auto lifetimes = node_lifetimes(scenario, options.number);
  up_since_ =
      options.start + std::max(lifetimes[static_cast<std::size_t>(options.incarnation)].from, -3600.0);
  Event up;
  up.time = slow_start_ ? up_since_ : loop.now();
  up.kind = EventKind::kNodeUp;
  up.node = up.shard = options.number;
  up.incarnation = options.incarnation;
  up.capacity_fraction = speed_ * scenario.cores;
  record_.write(up);
  if (scenario.pause_interval > 0)
    loop_.run_at(loop_.now() + draw(0.3, 1) * scenario.pause_interval, [this] { pause(); });
  if (scenario.deferred_fraction > 0)
    loop_.run_at(loop_.now() + draw(0.3, 1) * scenario.flush_interval, [this] { flush(); });
}

double StandInNode::draw(double from, double to) {
  return from + (to - from) * static_cast<double>(random_() - 1) / 2147483646.0;
}

const FaultEvent* StandInNode::active_fault(FaultKind kind) const {
  const double t = scenario_time();
  for (const FaultEvent& fault : scenario_.fault_events) {
    if (fault.kind == kind && t >= fault.from && t < fault.to &&
        (fault.target < 0 || fault.target == options_.number))
      return &fault;
  }
  return nullptr;
}

// Fraction of its capacity that the node has reached in slow start.
double StandInNode::capacity_fraction() const {
  if (!slow_start_ || !scenario_.settings.has_slow_start) return 1;
  const double age = (loop_.now() - up_since_) / scenario_.settings.warmup_time;
  return std::clamp(
      scenario_.settings.initial_capacity_share + (1 - scenario_.settings.initial_capacity_share) * age,
      scenario_.settings.initial_capacity_share, 1.0);
}

double StandInNode::execution_time_factor() const {
  double factor = 1 / (speed_ * capacity_fraction());
  if (const FaultEvent* fault = active_fault(FaultKind::kSlow)) factor *= fault->magnitude;
  if (const FaultEvent* fault = active_fault(FaultKind::kAgeing)) {
    factor *= 1 + (fault->magnitude - 1) * (scenario_time() - fault->from) / (fault->to - fault->from);
  }
  return factor;
}

void StandInNode::pause() {
  const FaultEvent* more = active_fault(FaultKind::kPauses);
  const double length = scenario_.pause_duration * draw(0.5, 1.5) * (more ? more->magnitude : 1);
  paused_until_ = std::max(paused_until_, loop_.now() + length);
  loop_.run_at(paused_until_, [this] { start_queued(); });
  loop_.run_at(loop_.now() + length + scenario_.pause_interval * draw(0.5, 1.5) / (more ? 4 : 1),
               [this] { pause(); });
}

// Executes the postponed part of writes at once on all cores.
void StandInNode::flush() {
  const double length = std::exchange(deferred_work_, 0) * execution_time_factor() / scenario_.cores;
  if (length > 0) {
    paused_until_ = std::max(paused_until_, loop_.now() + length);
    loop_.run_at(paused_until_, [this] { start_queued(); });
  }
  loop_.run_at(loop_.now() + length + scenario_.flush_interval * draw(0.7, 1.3), [this] { flush(); });
}

nvme::Status StandInNode::identify(std::uint8_t cns, std::uint8_t, std::uint32_t, nvme::Bytes&) {
  return cns == 1 ? nvme::status::kOk : nvme::status::kInvalidField;
}

void StandInNode::get_log_page(nvme::ConnectionId connection, std::uint16_t cid, std::uint8_t, std::uint64_t,
                               std::uint32_t) {
  target_->complete(connection, cid, nvme::status::kInvalidLogPage);
}

void StandInNode::connection_established(nvme::ConnectionId connection, const std::string& host, bool admin,
                                         const Address&) {
  if (!admin) scheduler_of_connection_[connection] = number_at_end(host);
}

void StandInNode::connection_closed(nvme::ConnectionId connection) {
  scheduler_of_connection_.erase(connection);
}

Event StandInNode::event(const Request& request, EventKind kind, double t) const {
  Event e;
  e.time = t;
  e.kind = kind;
  e.idempotency_key = request.command.sqe.idempotency_key();
  e.attempt = request.command.sqe.client_attempt();
  e.dispatch = request.command.sqe.dispatch_number();
  e.scheduler = request.scheduler;
  e.node = e.shard = options_.number;
  e.incarnation = options_.incarnation;
  return e;
}

void StandInNode::execute_command(nvme::Command&& command) {
  if (down_) return;
  const double now = loop_.now();
  Request request;
  request.scheduler = scheduler_of_connection_[command.connection];
  request.write = command.sqe.opcode != nvme::opcode::kRead;
  const std::uint32_t blocks = command.sqe.blocks();
  const std::uint32_t unit_count = (blocks + scenario_.unit_blocks - 1) / scenario_.unit_blocks;
  request.units = unit_count;
  request.command = std::move(command);
  const nvme::Sqe& sqe = request.command.sqe;
  const bool append = sqe.opcode == nvme::opcode::kZoneAppend;
  request.profile = profile_of_key(sqe.idempotency_key());
  const int volume = static_cast<int>(sqe.nsid) - 1;
  if (volume >= 0 && volume < static_cast<int>(volumes_.size()))
    request.plan = volumes_[static_cast<std::size_t>(volume)].plan;
  request.expires = request.command.arrived_at + (sqe.time_left() > 0 ? sqe.time_left() : 3600);

  // The cost is proportional to the units, with random variation and some heavy requests.
  const double spread = scenario_.work_variation * std::sqrt(3.0);
  request.cost = request.units * scenario_.unit_time * draw(1 - spread / 2, 1 + spread / 2);
  for (const FaultEvent& fault : scenario_.fault_events) {
    const double t = scenario_time();
    if (fault.kind == FaultKind::kHeavyTransactions && t >= fault.from && t < fault.to &&
        fault.target == request.plan && draw(0, 1) < kHeavyFraction)
      request.cost *= fault.magnitude;
  }
  Event received = event(request, EventKind::kReceived, request.command.arrived_at);
  received.volume = volume;
  received.profile = request.profile;
  received.plan = request.plan;
  received.lba = static_cast<std::int64_t>(sqe.slba());
  received.blocks = static_cast<int>(blocks);
  received.units = request.units;
  received.time_left = sqe.time_left();
  received.cost = request.cost;
  received.capacity_fraction = capacity_fraction();
  received.write = request.write ? 1 : 0;
  record_.write(received);

  if (overloaded_during_slow_start(request.cost)) return;
  if (volume < 0 || volume >= static_cast<int>(volumes_.size()) ||
      (!append && !storage_.blocks_at(volume, sqe.slba(), blocks)) ||
      (request.write && request.command.data.size() != std::size_t{blocks} * scenario_.block_bytes)) {
    return reply(request, nvme::status::kInvalidField, "error");
  }
  if (const FaultEvent* fault = active_fault(FaultKind::kFastErrors);
      fault && draw(0, 1) < fault->magnitude) {
    return reply(request, nvme::status::kInternalError, "error");
  }
  const auto& profile = scenario_.settings.profiles[static_cast<std::size_t>(
      std::clamp(request.profile, 0, static_cast<int>(scenario_.settings.profiles.size()) - 1))];
  if (profile.idempotency == Idempotency::kDeduplicated && request.write) {
    std::erase_if(completed_writes_, [&](const auto& d) { return d.second.at < now - profile.dedup_window; });
    request.repeat = completed_writes_.contains({sqe.nsid, sqe.idempotency_key()});
    if (request.repeat) request.cost *= 1 - scenario_.dedup_saving;
  }
  if (queue_.size() >= static_cast<std::size_t>(scenario_.queue)) {
    return reply(request, nvme::status::kCommandInterrupted, "full");
  }
  queue_.push_back(std::move(request));
  start_queued();
}

// Fails the node if it receives more work during slow start than it can take.
bool StandInNode::overloaded_during_slow_start(double cost) {
  const Settings& s = scenario_.settings;
  if (!s.has_slow_start || capacity_fraction() >= 1) return false;
  const double now = loop_.now();
  slow_start_work_.push_back({now, cost});
  while (slow_start_work_.front().first < now - s.overload_window) slow_start_work_.pop_front();
  double sum = 0;
  for (const auto& [at, c] : slow_start_work_) sum += c;
  const double max_work =
      s.overload_multiple * capacity_fraction() * speed_ * scenario_.cores * s.overload_window;
  // The safe number of start units never overloads a node.
  if (sum <= std::max(max_work, s.safe_start_units * scenario_.unit_time * 1.3)) return false;
  Event e;
  e.time = now;
  e.kind = EventKind::kNodeOverloaded;
  e.node = options_.number;
  e.incarnation = options_.incarnation;
  e.cost = sum;
  e.capacity_fraction = capacity_fraction();
  record_.write(e);
  down_ = true;
  target_->stop_accepting();
  target_->reset_all_connections();
  loop_.defer(on_overload_);
  return true;
}

void StandInNode::start_queued() {
  const double now = loop_.now();
  while (!down_ && running_ < scenario_.cores && !queue_.empty()) {
    if (now < paused_until_) return;
    if (const FaultEvent* fault = active_fault(FaultKind::kHang)) {
      paused_until_ = options_.start + fault->to;
      loop_.run_at(paused_until_, [this] { start_queued(); });
      return;
    }
    Request request = std::move(queue_.front());
    queue_.pop_front();
    if (now >= request.expires) {  // deadline passed while queued
      reply(request, nvme::status::kAbortRequested, "expired");
      continue;
    }
    double cost = request.cost;
    if (request.write && scenario_.deferred_fraction > 0) {
      deferred_work_ += cost * scenario_.deferred_fraction;
      cost *= 1 - scenario_.deferred_fraction;
    }
    ++running_;
    loop_.run_at(now + cost * execution_time_factor(),
                 [this, held = std::make_shared<Request>(std::move(request))] {
                   --running_;
                   execute(std::move(*held));
                   start_queued();
                 });
  }
}

// Applies the effect of the request and replies, unless the reply is dropped by a fault.
void StandInNode::execute(Request request) {
  if (down_) return;
  const nvme::Sqe& sqe = request.command.sqe;
  const int volume = static_cast<int>(sqe.nsid) - 1;
  std::uint64_t result = 0;
  nvme::Bytes data;
  Event e = event(request, EventKind::kExecuted, loop_.now());
  e.volume = volume;
  e.profile = request.profile;
  e.lba = static_cast<std::int64_t>(sqe.slba());
  e.blocks = static_cast<int>(sqe.blocks());
  e.write = request.write ? 1 : 0;
  if (request.repeat) {
    e.outcome = "repeat";
    result = completed_writes_[{sqe.nsid, sqe.idempotency_key()}].result;
  } else if (request.write) {
    std::uint64_t lba = sqe.slba();
    if (sqe.opcode == nvme::opcode::kZoneAppend) {
      const auto place = storage_.append(volume, sqe.blocks(), random_());
      if (!place) return reply(request, nvme::status::kZoneFull, "error");
      result = lba = *place;
      e.lba = static_cast<std::int64_t>(lba);
    }
    const auto to = storage_.blocks_at(volume, lba, sqe.blocks());
    std::memcpy(to->data(), request.command.data.data(), request.command.data.size());
    e.hash = XXH3_64bits(request.command.data.data(), request.command.data.size());
    const auto& profile = scenario_.settings.profiles[static_cast<std::size_t>(
        std::clamp(request.profile, 0, static_cast<int>(scenario_.settings.profiles.size()) - 1))];
    if (profile.idempotency == Idempotency::kDeduplicated)
      completed_writes_[{sqe.nsid, sqe.idempotency_key()}] = {loop_.now(), result};
  } else {
    const auto from = storage_.blocks_at(volume, sqe.slba(), sqe.blocks());
    data.assign(from->begin(), from->end());
  }
  record_.write(e);
  const auto v = static_cast<std::size_t>(volume);
  served_units_[v] += static_cast<std::uint64_t>(request.units);
  served_units_by_scheduler_[{volume, request.scheduler}] += static_cast<std::uint64_t>(request.units);
  usage_meter_.add(volume, loop_.now(), static_cast<std::uint32_t>(request.units));
  if (const FaultEvent* fault = active_fault(FaultKind::kAnswersLost);
      fault && draw(0, 1) < fault->magnitude) {
    record_.write(event(request, EventKind::kReplyDropped, loop_.now()));
    if (fault->by_reset) target_->reset_connection(request.command.connection);
    return;
  }
  if (sqe.opcode != nvme::opcode::kZoneAppend) {
    result = served_by_others(volume, request.scheduler) | std::uint64_t{reported_use(volume, request.plan)}
                                                               << 32;
  }
  reply(request, nvme::status::kOk, "ok", result, data);
}

std::uint32_t StandInNode::served_by_others(int volume, int scheduler) {
  const std::uint64_t others =
      served_units_[static_cast<std::size_t>(volume)] - served_units_by_scheduler_[{volume, scheduler}];
  return static_cast<std::uint32_t>(others - std::exchange(reported_units_[{volume, scheduler}], others));
}

std::uint32_t StandInNode::reported_use(int volume, int plan) const {
  const FaultEvent* late = active_fault(FaultKind::kUsageReportsLate);
  const double at = loop_.now() - scenario_.usage_report_delay - (late ? late->magnitude : 0);
  const long second = static_cast<long>(at) - 1;
  const double usual = scenario_.settings.plans[static_cast<std::size_t>(plan)].usual_rate;
  return static_cast<std::uint32_t>(
      std::min(1 + 100 * usage_meter_.in_second(volume, second) / usual, 65535.0));
}

void StandInNode::reply(const Request& request, nvme::Status status, const char* outcome,
                        std::uint64_t result, nvme::ByteView data) {
  Event e = event(request, EventKind::kReplied, loop_.now());
  e.outcome = outcome;
  record_.write(e);
  target_->complete(request.command.connection, request.command.sqe.cid, status, result, data);
}

}  // namespace heronworks::lab
