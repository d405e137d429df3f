// A stand-in disk server: see node.h.
#include "lab/node.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace heronworks::lab {
namespace {

constexpr double kHeavyEvery = 0.05;  // part of a plan's transactions that are heavy while that trouble acts

int number_at_end(const std::string& name) {
  const auto dot = name.rfind('.');
  return dot == std::string::npos ? -1 : std::atoi(name.c_str() + dot + 1);
}

}  // namespace

StandInNode::StandInNode(Loop& loop, const Day& day, const NodeOptions& options, Recorder& record,
                         std::function<void()> fallen)
    : loop_(loop),
      day_(day),
      options_(options),
      record_(record),
      fallen_(std::move(fallen)),
      volumes_(volumes_of(day)),
      speed_(node_speed(day, options.number)),
      cold_(options.life > 0),
      random_(static_cast<unsigned>(day.seed * 977 + static_cast<std::uint64_t>(options.number) * 31 +
                                    static_cast<std::uint64_t>(options.life) + 1)),
      disk_(options.folder + "/shard-" + std::to_string(options.number), day, options.number),
      meter_(options.folder + "/meter", day),
      served_(volumes_.size()) {
  Fd fd = listen_on(options.listen);
  if (!fd) throw std::runtime_error("cannot listen on " + options.listen.to_string());
  nvme::TargetOptions o;
  o.subnqn = kNodeSubsystem;
  o.mdts = 8;
  o.arrival_source = nvme::ArrivalSource::kKernelTimestamp;
  target_ = std::make_unique<nvme::Target>(loop, std::move(fd), o, *this);
  const auto lives = lives_of(day, options.number);
  came_up_ = options.start + std::max(lives[static_cast<std::size_t>(options.life)].from, -3600.0);
  Event up;
  up.t = cold_ ? came_up_ : loop.now();
  up.kind = Kind::kUp;
  up.node = up.shard = options.number;
  up.life = options.life;
  up.frac = speed_ * day.cores;
  record_.write(up);
  if (day.pause_every > 0) loop_.run_at(loop_.now() + draw(0.3, 1) * day.pause_every, [this] { pause(); });
  if (day.deferred > 0) loop_.run_at(loop_.now() + draw(0.3, 1) * day.flush_every, [this] { flush(); });
}

double StandInNode::draw(double from, double to) {
  return from + (to - from) * static_cast<double>(random_() - 1) / 2147483646.0;
}

const Act* StandInNode::acting(Trouble trouble) const {
  const double t = day_time();
  for (const Act& a : day_.acts) {
    if (a.trouble == trouble && t >= a.from && t < a.to && (a.target < 0 || a.target == options_.number))
      return &a;
  }
  return nullptr;
}

// The part of its capacity that a node has which came up a while ago.
double StandInNode::frac() const {
  if (!cold_ || !day_.settings.has_slow_start) return 1;
  const double age = (loop_.now() - came_up_) / day_.settings.warmup_time;
  return std::clamp(day_.settings.initial_capacity_share + (1 - day_.settings.initial_capacity_share) * age,
                    day_.settings.initial_capacity_share, 1.0);
}

double StandInNode::slowness() const {
  double factor = 1 / (speed_ * frac());
  if (const Act* a = acting(Trouble::kSlow)) factor *= a->size;
  if (const Act* a = acting(Trouble::kAgeing)) {
    factor *= 1 + (a->size - 1) * (day_time() - a->from) / (a->to - a->from);
  }
  return factor;
}

void StandInNode::pause() {
  const Act* more = acting(Trouble::kPauses);
  const double length = day_.pause_time * draw(0.5, 1.5) * (more ? more->size : 1);
  still_until_ = std::max(still_until_, loop_.now() + length);
  loop_.run_at(still_until_, [this] { next(); });
  loop_.run_at(loop_.now() + length + day_.pause_every * draw(0.5, 1.5) / (more ? 4 : 1),
               [this] { pause(); });
}

// What writes have put off is done in one go, by all cores.
void StandInNode::flush() {
  const double length = std::exchange(deferred_, 0) * slowness() / day_.cores;
  if (length > 0) {
    still_until_ = std::max(still_until_, loop_.now() + length);
    loop_.run_at(still_until_, [this] { next(); });
  }
  loop_.run_at(loop_.now() + length + day_.flush_every * draw(0.7, 1.3), [this] { flush(); });
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
  if (!admin) via_[connection] = number_at_end(host);
}

void StandInNode::connection_closed(nvme::ConnectionId connection) { via_.erase(connection); }

Event StandInNode::event(const Job& job, Kind kind, double t) const {
  Event e;
  e.t = t;
  e.kind = kind;
  e.label = job.c.sqe.idempotency_key();
  e.attempt = job.c.sqe.client_attempt();
  e.dispatch = job.c.sqe.dispatch_number();
  e.via = job.via;
  e.node = e.shard = options_.number;
  e.life = options_.life;
  return e;
}

void StandInNode::execute_command(nvme::Command&& c) {
  if (down_) return;
  const double now = loop_.now();
  Job job;
  job.via = via_[c.connection];
  job.write = c.sqe.opcode != nvme::opcode::kRead;
  const std::uint32_t blocks = c.sqe.blocks();
  job.units = (blocks + day_.unit_blocks - 1) / day_.unit_blocks;
  job.c = std::move(c);
  const nvme::Sqe& sqe = job.c.sqe;
  const bool append = sqe.opcode == nvme::opcode::kZoneAppend;
  job.profile = profile_of(sqe.idempotency_key());
  const int volume = static_cast<int>(sqe.nsid) - 1;
  if (volume >= 0 && volume < static_cast<int>(volumes_.size()))
    job.plan = volumes_[static_cast<std::size_t>(volume)].plan;
  job.expires = job.c.arrived_at + (sqe.time_left() > 0 ? sqe.time_left() : 3600);

  // The work: by units, with some spread, now and then heavy.
  const double spread = day_.work_spread * std::sqrt(3.0);
  job.cost = job.units * day_.unit_time * draw(1 - spread / 2, 1 + spread / 2);
  for (const Act& a : day_.acts) {
    const double t = day_time();
    if (a.trouble == Trouble::kHeavy && t >= a.from && t < a.to && a.target == job.plan &&
        draw(0, 1) < kHeavyEvery)
      job.cost *= a.size;
  }
  Event got = event(job, Kind::kGot, job.c.arrived_at);
  got.volume = volume;
  got.profile = job.profile;
  got.plan = job.plan;
  got.lba = static_cast<std::int64_t>(sqe.slba());
  got.blocks = static_cast<int>(blocks);
  got.units = job.units;
  got.left = sqe.time_left();
  got.cost = job.cost;
  got.frac = frac();
  got.write = job.write ? 1 : 0;
  record_.write(got);

  if (pushed_over(job.cost)) return;
  if (volume < 0 || volume >= static_cast<int>(volumes_.size()) ||
      (!append && !disk_.at(volume, sqe.slba(), blocks)) ||
      (job.write && job.c.data.size() != std::size_t{blocks} * day_.block_bytes)) {
    return reply(job, nvme::status::kInvalidField, "error");
  }
  if (const Act* a = acting(Trouble::kFastErrors); a && draw(0, 1) < a->size) {
    return reply(job, nvme::status::kInternalError, "error");
  }
  const auto& profile = day_.settings.profiles[static_cast<std::size_t>(
      std::clamp(job.profile, 0, static_cast<int>(day_.settings.profiles.size()) - 1))];
  if (profile.idempotency == Idempotency::kDeduplicated && job.write) {
    std::erase_if(done_, [&](const auto& d) { return d.second.at < now - profile.dedup_window; });
    job.repeat = done_.contains({sqe.nsid, sqe.idempotency_key()});
    if (job.repeat) job.cost *= 1 - day_.repeat_saving;
  }
  if (queue_.size() >= static_cast<std::size_t>(day_.queue)) {
    return reply(job, nvme::status::kCommandInterrupted, "full");
  }
  queue_.push_back(std::move(job));
  next();
}

// Danger that the rule on cold nodes is about: too much work for a node that has just come up.
bool StandInNode::pushed_over(double cost) {
  const Settings& s = day_.settings;
  if (!s.has_slow_start || frac() >= 1) return false;
  const double now = loop_.now();
  pushed_.push_back({now, cost});
  while (pushed_.front().first < now - s.overload_window) pushed_.pop_front();
  double sum = 0;
  for (const auto& [at, c] : pushed_) sum += c;
  const double bears = s.overload_multiple * frac() * speed_ * day_.cores * s.overload_window;
  // The rule's own safe number of units never pushes a node over.
  if (sum <= std::max(bears, s.safe_start_units * day_.unit_time * 1.3)) return false;
  Event e;
  e.t = now;
  e.kind = Kind::kFell;
  e.node = options_.number;
  e.life = options_.life;
  e.cost = sum;
  e.frac = frac();
  record_.write(e);
  down_ = true;
  target_->stop_accepting();
  target_->reset_all_connections();
  loop_.defer(fallen_);
  return true;
}

void StandInNode::next() {
  const double now = loop_.now();
  while (!down_ && running_ < day_.cores && !queue_.empty()) {
    if (now < still_until_) return;
    if (const Act* a = acting(Trouble::kHang)) {
      still_until_ = options_.start + a->to;
      loop_.run_at(still_until_, [this] { next(); });
      return;
    }
    Job job = std::move(queue_.front());
    queue_.pop_front();
    if (now >= job.expires) {  // its time was up before it began
      reply(job, nvme::status::kAbortRequested, "expired");
      continue;
    }
    double cost = job.cost;
    if (job.write && day_.deferred > 0) {
      deferred_ += cost * day_.deferred;
      cost *= 1 - day_.deferred;
    }
    ++running_;
    loop_.run_at(now + cost * slowness(), [this, held = std::make_shared<Job>(std::move(job))] {
      --running_;
      ran(std::move(*held));
      next();
    });
  }
}

// Its work is done: the effect, then the answer, unless that gets lost.
void StandInNode::ran(Job job) {
  if (down_) return;
  const nvme::Sqe& sqe = job.c.sqe;
  const int volume = static_cast<int>(sqe.nsid) - 1;
  std::uint64_t result = 0;
  nvme::Bytes data;
  Event e = event(job, Kind::kRan, loop_.now());
  e.volume = volume;
  e.profile = job.profile;
  e.lba = static_cast<std::int64_t>(sqe.slba());
  e.blocks = static_cast<int>(sqe.blocks());
  e.write = job.write ? 1 : 0;
  if (job.repeat) {
    e.outcome = "repeat";
    result = done_[{sqe.nsid, sqe.idempotency_key()}].result;
  } else if (job.write) {
    std::uint64_t lba = sqe.slba();
    if (sqe.opcode == nvme::opcode::kZoneAppend) {
      const auto place = disk_.append(volume, sqe.blocks(), random_());
      if (!place) return reply(job, nvme::status::kZoneFull, "error");
      result = lba = *place;
      e.lba = static_cast<std::int64_t>(lba);
    }
    const auto to = disk_.at(volume, lba, sqe.blocks());
    std::memcpy(to->data(), job.c.data.data(), job.c.data.size());
    e.hash = XXH3_64bits(job.c.data.data(), job.c.data.size());
    const auto& profile = day_.settings.profiles[static_cast<std::size_t>(
        std::clamp(job.profile, 0, static_cast<int>(day_.settings.profiles.size()) - 1))];
    if (profile.idempotency == Idempotency::kDeduplicated)
      done_[{sqe.nsid, sqe.idempotency_key()}] = {loop_.now(), result};
  } else {
    const auto from = disk_.at(volume, sqe.slba(), sqe.blocks());
    data.assign(from->begin(), from->end());
  }
  record_.write(e);
  const auto v = static_cast<std::size_t>(volume);
  served_[v] += static_cast<std::uint64_t>(job.units);
  served_for_[{volume, job.via}] += static_cast<std::uint64_t>(job.units);
  meter_.add(volume, loop_.now(), static_cast<std::uint32_t>(job.units));
  if (const Act* a = acting(Trouble::kAnswersLost); a && draw(0, 1) < a->size) {
    record_.write(event(job, Kind::kSilenced, loop_.now()));
    if (a->by_reset) target_->reset_connection(job.c.connection);
    return;
  }
  if (sqe.opcode != nvme::opcode::kZoneAppend) {
    result = served_by_others(volume, job.via) | std::uint64_t{told_use(volume, job.plan)} << 32;
  }
  reply(job, nvme::status::kOk, "ok", result, data);
}

std::uint32_t StandInNode::served_by_others(int volume, int via) {
  const std::uint64_t others = served_[static_cast<std::size_t>(volume)] - served_for_[{volume, via}];
  return static_cast<std::uint32_t>(others - std::exchange(told_[{volume, via}], others));
}

std::uint32_t StandInNode::told_use(int volume, int plan) const {
  const Act* late = acting(Trouble::kReportsLate);
  const double at = loop_.now() - day_.meter_late - (late ? late->size : 0);
  const long second = static_cast<long>(at) - 1;
  const double usual = day_.settings.plans[static_cast<std::size_t>(plan)].usual_rate;
  return static_cast<std::uint32_t>(std::min(1 + 100 * meter_.in_second(volume, second) / usual, 65535.0));
}

void StandInNode::reply(const Job& job, nvme::Status status, const char* outcome, std::uint64_t result,
                        nvme::ByteView data) {
  Event e = event(job, Kind::kReplied, loop_.now());
  e.outcome = outcome;
  record_.write(e);
  target_->complete(job.c.connection, job.c.sqe.cid, status, result, data);
}

}  // namespace heronworks::lab
