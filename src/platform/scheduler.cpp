// One running scheduler on the platform: see scheduler.h.
#include "platform/scheduler.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <fstream>

#include "http/writer.h"
#include "number.h"

namespace heronworks::platform {
namespace {

constexpr double kReportEvery = 1.0;  // s between two lines of counts in the log
// The platform kills a scheduler that is to stop no sooner than its longest cut-off, counted as 3 s where it
// is longer, and 0.7 s after SIGTERM. Its clients open connections for up to 0.4 s and keep to those they
// have for as long as they are open: nobody else serves them. So it serves on, and what comes is given no
// more time than is left of the stop.
constexpr double kStopCutOff = 3.0;   // s
constexpr double kStopSlack = 0.6;    // s after it, by which all is answered
constexpr double kStopServe = 0.3;    // s after it, until which what comes is still served
constexpr double kStopEnd = 0.65;     // s after it, at which connections end whatever still comes
constexpr double kAcceptFor = 0.6;    // s after SIGTERM in which new connections are taken
constexpr double kGoneFor = 10.0;     // s after which the index of a node that is gone is given away
constexpr double kVolumeRest = 30.0;  // s; no shorter than a limit's store needs to be full again
constexpr std::size_t kMostZones = 256;
constexpr int kTurnedBack = 503;
constexpr int kGivenUp = 504;

// Empty without a wait: clients are given no advice then.
std::string retry_after(double wait) {
  if (wait <= 0) return "";
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", wait);
  return text;
}

double volume_rest(const Settings& s) {
  double rest = kVolumeRest;
  for (const Plan& p : s.plans) {
    if (p.limit > 0) rest = std::max(rest, 2 * p.burst / p.limit);
  }
  return rest;
}

// From /proc/self/schedstat: nanoseconds on a core, and ready to run without one. Zeros where there is none.
Cpu own_cpu() {
  std::ifstream file("/proc/self/schedstat");
  double used = 0;
  double waited = 0;
  if (!(file >> used >> waited)) return {};
  return {1e-9 * used, 1e-9 * waited};
}

}  // namespace

Scheduler::Scheduler(Loop& loop, Config config, Log& log)
    : loop_(loop),
      config_(std::move(config)),
      log_(log),
      wall_offset_(wall_offset()),
      descriptors_(config_.descriptors),
      requests_(config_.memory),
      answers_(config_.memory),
      volumes_(volume_rest(config_.settings())) {
  Fd listener = listen_on(config_.listen, 1024);
  if (!listener)
    throw std::runtime_error("cannot listen on " + config_.listen.to_string() + ": " + std::strerror(errno));
  NodePool::Options pool;
  if (config_.connect_timeout > 0) pool.connect_timeout = config_.connect_timeout;
  if (config_.idle_close > 0) pool.idle = config_.idle_close / 2;
  pool_ = std::make_unique<NodePool>(loop_, pool, descriptors_, answers_, *this);
  Discovery::Options discovery;
  discovery.address = config_.discovery;
  if (config_.ask_within > 0) discovery.silence = std::min(discovery.silence, config_.ask_within / 2);
  discovery_ = std::make_unique<Discovery>(loop_, discovery, *this);
  control_ = std::make_unique<Control>(config_.settings(), *this, now());
  if (config_.known.whole) {
    take_news(config_.known, UpdateKind::kPersisted);
    discovery_->knows(config_.known.version);
  }
  front_ = std::make_unique<Front>(loop_, std::move(listener), descriptors_, requests_, *this);
  report_ = loop_.run_at(loop_.now() + kReportEvery, [this] { report(); });
  beat_ = std::make_unique<Watchdog>(loop_, log_);
}

Scheduler::~Scheduler() {
  loop_.cancel(wake_);
  loop_.cancel(report_);
}

void Scheduler::drain(std::function<void()> done) {
  log_.info(loop_.now(), "drain.began", {{"open", open()}, {"clients", front_->clients()}});
  double longest = 0;
  for (const Profile& p : config_.settings().profiles) longest = std::max(longest, p.deadline);
  longest = std::min(longest, kStopCutOff);
  stop_at_ = loop_.now() + longest + kStopSlack;
  front_->drain(kAcceptFor, longest + kStopServe, longest + kStopEnd, [this, done = std::move(done)] {
    log_.info(loop_.now(), "drain.done", {{"open", open()}});
    done();
  });
}

void Scheduler::reload(const Config& c) {
  const auto rest = [](nlohmann::json j) {
    for (const char* own : {"discovery", "seed", "known"}) j.erase(own);
    return j;
  };
  const auto before = rest(config_.source);
  const auto after = rest(c.source);
  for (const auto& [field, value] : after.items()) {
    const auto at = before.find(field);
    if (at == before.end() || *at != value) log_.warn(loop_.now(), "reload.not_taken", {{"field", field}});
  }
  for (const auto& [field, value] : before.items()) {
    if (!after.contains(field)) log_.warn(loop_.now(), "reload.not_taken", {{"field", field}});
  }
  log_.info(loop_.now(), "reload",
            {{"discovery", c.discovery.to_string()}, {"before", config_.discovery.to_string()}});
  if (c.discovery == config_.discovery) return;
  config_.discovery = c.discovery;
  discovery_->move_to(c.discovery);
  control_->discovery_moved(now());
}

// ---- From clients ----

void Scheduler::asked(ClientId client, http::Message&& request, double at) {
  if (request.target == "/healthz" && request.method == "GET") {
    return front_->answer(client, {stop_at_ > 0 ? 503 : 200, "", stop_at_ > 0 ? "stopping\n" : "ok\n"});
  }
  const auto refuse = [&](int status, const std::string& reason) {
    ++counts_.refused;
    log_.debug(loop_.now(), "refused", {{"reason", reason}});
    front_->answer(client, {status, "", reason + "\n"});
  };
  auto read = read_wanted(request, config_);
  if (const auto* r = std::get_if<Refused>(&read)) return refuse(r->status, r->reason);
  Wanted& w = std::get<Wanted>(read);
  if (by_call_.contains(w.call)) return refuse(409, "X-Call-Id is open");
  const VolumeName volume{w.volume, w.t.plan};
  const auto place = volumes_.index(now(), volume);
  if (!place) {
    ++counts_.at_door;
    return front_->answer(client, {kTurnedBack, retry_after(config_.settings().max_retry_after), ""});
  }
  // The client's time has been running since it sent this, which may be long ago if this scheduler stood
  // still.
  w.t.time_left -= std::max(now() - at, 0.0);
  if (stop_at_ > 0) w.t.time_left = std::min(w.t.time_left, stop_at_ - now());
  w.t.volume = place->index;
  w.t.index_reused = place->fresh;

  const int id = slots_.allocate();
  Slot& s = slots_[id];
  s.client = client;
  const Profile& profile = config_.settings().profiles[static_cast<std::size_t>(w.t.profile)];
  s.cut_off_at = now() + std::min(w.t.time_left, profile.deadline);
  s.volume = volume;
  s.call = w.call;
  s.request = std::move(request);
  by_client_[client] = id;
  by_call_[w.call] = id;
  ++counts_.landed;
  control_->transaction_arrived(now(), id, w.t);
}

void Scheduler::left(ClientId client) {
  const auto at = by_client_.find(client);
  if (at == by_client_.end()) return;
  const int id = at->second;
  Slot& s = slots_[id];
  by_client_.erase(at);
  by_call_.erase(s.call);
  s.answered = true;
  s.request = {};
  const int node = s.node;
  ++counts_.abandoned;
  control_->transaction_abandoned(now(), id);
  // What it has out and the node can't have whole yet is not begun any more.
  if (node >= 0) pool_->take_back(node, id);
}

void Scheduler::unreadable(ClientId client, int status, const std::string& reason) {
  log_.debug(loop_.now(), "unreadable", {{"client", client}, {"status", status}, {"reason", reason}});
}

void Scheduler::answer(Slot& s, ClientAnswer a) {
  if (s.answered) return;
  s.answered = true;
  s.request = {};
  by_client_.erase(s.client);
  by_call_.erase(s.call);
  front_->answer(s.client, std::move(a));
}

// ---- From the module ----

void Scheduler::dispatch(int transaction, int node, double timeout) {
  Slot& s = slots_[transaction];
  ++counts_.dispatched;
  PoolDispatch d;
  d.transaction = transaction;
  d.number = s.dispatches++;
  d.sent_at = now();
  // Never longer than its client waits, whatever the module says.
  d.until = timeout > 0 ? std::min(now() + timeout, s.cut_off_at) : s.cut_off_at;
  s.node = node;
  http::Writer writer(d.bytes);
  writer.request_line(s.request.method, s.request.target).field("Host", "node").field("X-Call-Id", s.call);
  d.time_at = d.bytes.size();
  for (const char* name : {"X-Call-Class", "Tier", "IO-Info", "Idempotency-Key", "Content-Type"}) {
    if (const std::string* value = s.request.find_field(name)) writer.field(name, *value);
  }
  if (s.request.method == "GET") writer.end_without_body();
  else writer.body(s.request.body);
  pool_->send(node, std::move(d));
}

void Scheduler::reject(int transaction, double wait) {
  ++counts_.turned_back;
  answer(slots_[transaction], {kTurnedBack, retry_after(wait), ""});
}

void Scheduler::expire(int transaction) {
  ++counts_.given_up;
  answer(slots_[transaction], {kGivenUp, "", ""});
}

void Scheduler::release(int transaction) {
  volumes_.ended(now(), slots_[transaction].volume);
  slots_.release(transaction);
}

void Scheduler::request_endpoint_list() { discovery_->watch(); }

void Scheduler::wake_at(double time) {
  loop_.cancel(wake_);
  wake_ = loop_.run_at(time, [this] { control_->timer_fired(now()); });
}

// ---- From nodes ----

void Scheduler::ended(int node, const PoolDispatch& d, Outcome outcome, http::Message&& a) {
  Slot& s = slots_[d.transaction];
  ++counts_.outcomes[static_cast<std::size_t>(outcome)];
  DispatchResult r;
  r.dispatch_number = d.number;
  r.node = node;
  r.elapsed = std::max(now() - d.sent_at, 0.0);
  r.outcome = outcome;
  const auto figure = [&](const char* name) -> std::optional<double> {
    const std::string* text = a.count_fields(name) == 1 ? a.find_field(name) : nullptr;
    const auto number = text == nullptr ? std::nullopt : read_number<double>(*text);
    return number && *number >= 0 ? number : std::nullopt;
  };
  r.units_by_others = figure("Other-Hosts").value_or(0);
  r.usage_reported =
      figure("Volume-Load").has_value();  // the simulator's figure less 1: 0 is one that was told
  if (outcome == Outcome::kSucceeded && !s.answered) {
    ++counts_.honoured;
    answer(s, {200, "", std::move(a.body)});
  }
  r.transaction_finished = s.answered;
  control_->dispatch_finished(now(), d.transaction, r);
}

// ---- From discovery ----

std::vector<NodeEntry> Scheduler::take_servers(const std::vector<Server>& servers, bool whole) {
  std::vector<NodeEntry> entries;
  for (const Server& l : servers) {
    if (l.listing == NodeState::kRemoved && !numbers_.contains(l.id)) continue;
    if (l.listing != NodeState::kRemoved && !zones_.contains(l.zone) && zones_.size() >= kMostZones) {
      log_.warn(loop_.now(), "list.bad_entry", {{"fault", "one zone more than there may be: " + l.zone}});
      continue;
    }
    NodeEntry e = numbers_.find_or_add(l.id);
    const double before = e.started_at;
    e.state = l.listing;
    if (l.listing != NodeState::kRemoved) {
      e.zone = zones_.emplace(l.zone, static_cast<int>(zones_.size())).first->second;
      e.shard = l.shard;
      e.started_at = l.started == 0 ? 0 : std::max(l.started - wall_offset_, 1e-6);
      pool_->place(e.node, l.address);
      if (!e.index_reused && e.started_at > before) pool_->close_idle(e.node);
    }
    numbers_.update(loop_.now(), e);
    entries.push_back(e);
  }
  if (whole) numbers_.remove_absent(loop_.now(), entries);
  return entries;
}

void Scheduler::take_news(const ServerNews& news, UpdateKind scope) {
  for (const auto& fault : news.faults) log_.warn(loop_.now(), "list.bad_entry", {{"fault", fault}});
  const auto entries = take_servers(news.servers, news.whole);
  control_->update_nodes(now(), scope, entries);
  // The module has heard: nothing more goes there, and what has not begun yet is taken back.
  for (int i = 0; i < numbers_.index_limit(); ++i) {
    if (numbers_.entry(i).state != NodeState::kReady) pool_->wind_up(i);
  }
  numbers_.evict(loop_.now(), kGoneFor, [&](int node) { return pool_->out(node) > 0; });
}

void Scheduler::news(const ServerNews& news) {
  log_.debug(loop_.now(), "list.came",
             {{"version", news.version}, {"whole", news.whole}, {"entries", news.servers.size()}});
  take_news(news, news.whole ? UpdateKind::kSnapshot : UpdateKind::kDelta);
}

void Scheduler::discovery_failed(const std::string& reason) {
  log_.warn(loop_.now(), "list.failed", {{"reason", reason}});
  control_->update_nodes(now(), UpdateKind::kFailed, {});
}

void Scheduler::report() {
  const auto since = [&](auto field) { return counts_.*field - reported_.*field; };
  const FrontCounts& f = front_->counts();
  const PoolCounts& p = pool_->counts();
  const Cpu cpu = own_cpu();
  nlohmann::json outcomes = nlohmann::json::array();
  for (std::size_t i = 0; i < 8; ++i) outcomes.push_back(counts_.outcomes[i] - reported_.outcomes[i]);
  log_.info(loop_.now(), "second",
            {{"landed", since(&Counts::landed)},
             {"honoured", since(&Counts::honoured)},
             {"turned_back", since(&Counts::turned_back)},
             {"given_up", since(&Counts::given_up)},
             {"abandoned", since(&Counts::abandoned)},
             {"dispatched", since(&Counts::dispatched)},
             {"refused", since(&Counts::refused)},
             {"at_door", since(&Counts::at_door)},
             {"outcomes", outcomes},
             {"cpu", cpu.used - reported_cpu_.used},
             {"cpu_waited", cpu.waited - reported_cpu_.waited},
             {"open", open()},
             {"clients", front_->clients()},
             {"accepted", f.accepted - reported_front_.accepted},
             {"no_room", f.no_room - reported_front_.no_room},
             {"made_way", f.made_way - reported_front_.made_way},
             {"unreadable", f.unreadable - reported_front_.unreadable},
             {"too_slow", f.too_slow - reported_front_.too_slow},
             {"ended_idle", f.ended_idle - reported_front_.ended_idle},
             {"crossed", f.crossed - reported_front_.crossed},
             {"opened", p.opened - reported_pool_.opened},
             {"reused", p.reused - reported_pool_.reused},
             {"stale", p.stale - reported_pool_.stale},
             {"spoilt", p.spoilt - reported_pool_.spoilt},
             {"surplus", p.surplus - reported_pool_.surplus},
             {"long_bytes", requests_.held() + answers_.held()},
             {"no_descriptor", p.no_room - reported_pool_.no_room},
             {"taken_back", p.taken_back - reported_pool_.taken_back},
             {"node_links", descriptors_.taken(Descriptors::User::kNodes)},
             {"nodes", numbers_.size()},
             {"volumes", volumes_.size()}});
  reported_ = counts_;
  reported_front_ = f;
  reported_pool_ = p;
  reported_cpu_ = cpu;
  report_ = loop_.run_at(loop_.now() + kReportEvery, [this] { report(); });
}

}  // namespace heronworks::platform
