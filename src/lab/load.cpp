#include "lab/load.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace heronworks::lab {
namespace {

constexpr std::size_t kMaxRecentObjects = 32;  // remembered appends per volume
constexpr double kReconnectDelay = 0.1;        // s between connection attempts
constexpr double kPollInterval = 0.02;  // s; upper bound of the poll interval, see Loop::earliest_arrival
constexpr double kFinishTimeout =
    12.0;  // s after the last arrival; then outstanding transactions are left to the checker

// Returns pseudo-random data that is unique to the write.
nvme::SharedBytes write_pattern(std::uint64_t idempotency_key, std::uint32_t blocks,
                                std::uint32_t block_bytes) {
  auto data = std::make_shared<nvme::Bytes>(std::size_t{blocks} * block_bytes);
  std::uint64_t x = idempotency_key * 0x9e3779b97f4a7c15ULL + 1;
  for (std::size_t i = 0; i + 8 <= data->size(); i += 8) {
    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    std::memcpy(data->data() + i, &x, 8);
  }
  return data;
}

}  // namespace

// A client connection to one scheduler.
class LoadGenerator::Client final : public nvme::HostHandler {
 public:
  Client(LoadGenerator& generator, int number, int scheduler, std::uint16_t port)
      : generator_(generator), index_(number), scheduler_(scheduler), port_(port) {
    connect();
  }
  ~Client() override { *alive_ = false; }

  bool can_submit() const { return host_ && host_->ready() && host_->can_submit(); }
  int scheduler() const { return scheduler_; }
  int number() const { return index_; }
  std::string name() const { return "nqn.2026-11.org.heronworks:client." + std::to_string(index_); }

  void submit(const Transaction& t) {
    const auto token = ++last_token_;
    outstanding_[token] = t;
    ++generator_.outstanding_;
    Event e = generator_.event(t, EventKind::kSent, generator_.loop_.now());
    e.client = index_;
    e.time_left = t.deadline - e.time;
    generator_.record_.write(e);
    nvme::Sqe sqe = t.sqe;
    sqe.set_time_left(e.time_left);
    sqe.set_dispatch_info(t.attempt, 0, 0);
    host_->submit(token, sqe, t.data, t.read_bytes);
  }

  void disconnect() {
    disconnecting_ = true;
    if (host_) host_->close("client disconnect injected by the scenario");
  }

  void on_ready() override {}
  void on_completed(std::uint64_t token, nvme::Completion&& c) override {
    auto node = outstanding_.extract(token);
    if (!node) return;
    --generator_.outstanding_;
    if (c.arrived) return generator_.on_answer(*this, std::move(node.mapped()), std::move(c));
    Event e =
        generator_.event(node.mapped(), disconnecting_ ? EventKind::kClientLeft : EventKind::kConnectionLost,
                         generator_.loop_.now());
    e.client = index_;
    e.earliest_time = generator_.loop_.earliest_arrival();
    generator_.record_.write(e);
    ++generator_.counts_this_second_.lost;
    if (!disconnecting_) generator_.retry_on_other_scheduler(node.mapped());
    generator_.check_finished();
  }
  void on_disconnected(const std::string&) override {
    host_.reset();
    disconnecting_ = false;
    generator_.loop_.run_at(generator_.loop_.now() + kReconnectDelay, [this, alive = alive_] {
      if (*alive) connect();
    });
  }

 private:
  void connect() {
    nvme::HostOptions o;
    o.address = {"127.0.0.1", port_};
    o.subnqn = "nqn.2026-11.org.heronworks:gateway";
    o.hostnqn = name();
    o.io_queue_size = 128;
    o.keep_alive_timeout = 0;
    o.connect_timeout = 3;
    o.kernel_timestamps = true;
    host_ = std::make_unique<nvme::Host>(generator_.loop_, o, *this);
  }

  LoadGenerator& generator_;
  const int index_;
  const int scheduler_;
  const std::uint16_t port_;
  std::unique_ptr<nvme::Host> host_;
  std::unordered_map<std::uint64_t, Transaction> outstanding_;  // bounded by the queue depth
  std::uint64_t last_token_ = 0;
  bool disconnecting_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

LoadGenerator::LoadGenerator(Loop& loop, const Scenario& scenario, double start,
                             std::vector<std::uint16_t> ports, Recorder& record,
                             std::function<void()> finished)
    : loop_(loop),
      scenario_(scenario),
      start_(start),
      record_(record),
      finished_(std::move(finished)),
      random_(static_cast<unsigned>(scenario.seed * 7919 + 13)),
      rules_(scenario.parsed_rules),
      volumes_(volume_layouts(scenario)),
      recent_objects_(volumes_.size()) {
  int number = 0;
  for (int s = 0; s < scenario.schedulers; ++s) {
    for (int i = 0; i < scenario.connections_per_scheduler; ++i) {
      clients_.push_back(std::make_unique<Client>(*this, number++, s, ports[static_cast<std::size_t>(s)]));
    }
  }
  next_arrival_ = start_;
  loop_.run_at(start_, [this] { generate_arrivals(); });
  loop_.run_at(start_ + 1, [this] { print_progress(); });
  keep_polling();
  for (const FaultEvent& fault : scenario.fault_events) {
    if (fault.kind == FaultKind::kPrimaryMoves)
      loop_.run_at(start_ + fault.from, [this] { rotate_primaries(); });
    if (fault.kind == FaultKind::kClientDisconnects) {
      loop_.run_at(start_ + fault.from, [this, scheduler = fault.target] {
        for (auto& c : clients_) {
          if (c->scheduler() == scheduler) return c->disconnect();
        }
      });
    }
  }
  loop_.run_at(start_ + scenario.seconds + kFinishTimeout, [this] { finish(); });
}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::keep_polling() {
  loop_.run_at(loop_.now() + kPollInterval, [this] { keep_polling(); });
}

double LoadGenerator::draw(double from, double to) {
  return from + (to - from) * static_cast<double>(random_() - 1) / 2147483646.0;
}

void LoadGenerator::rotate_primaries() {
  for (auto& v : volumes_) {
    if (v.schedulers.size() > 1 && draw(0, 1) < 0.5)
      std::rotate(v.schedulers.begin(), v.schedulers.begin() + 1, v.schedulers.end());
  }
}

double LoadGenerator::rate_factor(int volume) const {
  const double t = loop_.now() - start_;
  double factor = 1;
  for (const FaultEvent& fault : scenario_.fault_events) {
    if (t < fault.from || t >= fault.to) continue;
    if (fault.kind == FaultKind::kSurge) factor *= fault.magnitude;
    if (fault.kind == FaultKind::kPlanSurge &&
        fault.target == volumes_[static_cast<std::size_t>(volume)].plan)
      factor *= fault.magnitude;
    if (fault.kind == FaultKind::kVolumeSurge && fault.target == volume) factor *= fault.magnitude;
  }
  return factor;
}

// Sends all transactions that are due and schedules the next arrival. Arrivals do not wait for answers.
void LoadGenerator::generate_arrivals() {
  const double now = loop_.now();
  while (next_arrival_ <= now) {
    if (next_arrival_ - start_ >= scenario_.seconds) return check_finished();
    double sum = 0;
    weights_.clear();
    for (std::size_t i = 0; i < volumes_.size(); ++i) {
      sum += volumes_[i].share * rate_factor(static_cast<int>(i));
      weights_.push_back(sum);
    }
    double mean_units = 0;
    double total_share = 0;
    for (const Workload& w : scenario_.workloads) {
      total_share += w.share;
      mean_units += w.share * (w.min_units + w.max_units) / 2;
    }
    mean_units /= total_share;
    const double rate = scenario_.load_fraction * scenario_.capacity() / mean_units * sum;
    next_arrival_ += -std::log(draw(1e-9, 1)) / std::max(rate, 1e-9);

    const double at = draw(0, sum);
    const auto volume = static_cast<std::size_t>(
        std::min<std::ptrdiff_t>(std::lower_bound(weights_.begin(), weights_.end(), at) - weights_.begin(),
                                 static_cast<std::ptrdiff_t>(volumes_.size()) - 1));
    const VolumeLayout& v = volumes_[volume];
    double workload_draw = draw(0, total_share);
    std::size_t workload_index = 0;
    while (workload_index + 1 < scenario_.workloads.size() &&
           workload_draw >= scenario_.workloads[workload_index].share)
      workload_draw -= scenario_.workloads[workload_index++].share;
    const Workload& workload = scenario_.workloads[workload_index];

    Transaction t;
    t.idempotency_key = ++last_key_;  // the profile is added below
    t.volume = static_cast<int>(volume);
    t.profile = workload.profile;
    std::size_t host_index = 0;
    if (v.schedulers.size() > 1 && draw(0, 1) > scenario_.primary_fraction)
      host_index =
          1 + static_cast<std::size_t>(draw(0, 0.999999) * static_cast<double>(v.schedulers.size() - 1));
    t.scheduler = v.schedulers[host_index];
    t.units = std::floor(draw(workload.min_units, workload.max_units + 0.999999));
    auto blocks = static_cast<std::uint32_t>(t.units) * scenario_.unit_blocks;
    // Choose a slot in the in-place half of the zones of one of its shards.
    const auto shard = static_cast<std::uint64_t>(
        v.shards[static_cast<std::size_t>(draw(0, 0.999999) * static_cast<double>(v.shards.size()))]);
    const auto nodes = static_cast<std::uint64_t>(scenario_.nodes);
    const std::uint64_t zones_on_shard = scenario_.zones_per_volume / nodes;
    const auto zone_index = static_cast<std::uint64_t>(
        draw(0, 0.999999) * static_cast<double>(std::max<std::uint64_t>(zones_on_shard / 2, 1)));
    const std::uint64_t zone = zone_index * nodes + shard;
    const auto slots = scenario_.zone_blocks / blocks;
    std::uint64_t lba =
        zone * scenario_.zone_blocks + static_cast<std::uint64_t>(draw(0, 0.999999) * slots) * blocks;
    if (workload.operation == config::Operation::kRead && draw(0, 1) < workload.recent_fraction &&
        !recent_objects_[volume].empty()) {
      const auto& object = recent_objects_[volume][static_cast<std::size_t>(
          draw(0, 0.999999) * static_cast<double>(recent_objects_[volume].size()))];
      const auto max_blocks = static_cast<std::uint32_t>(workload.max_units) * scenario_.unit_blocks;
      lba = object.lba;
      blocks = std::min(object.blocks, max_blocks);
      const std::uint32_t unit_count = (blocks + scenario_.unit_blocks - 1) / scenario_.unit_blocks;
      t.units = unit_count;
    }
    t.sqe.nsid = static_cast<std::uint32_t>(volume + 1);
    t.sqe.set_blocks(blocks);
    switch (workload.operation) {
      case config::Operation::kRead:
        t.sqe.opcode = nvme::opcode::kRead;
        t.read_bytes = blocks * scenario_.block_bytes;
        break;
      case config::Operation::kWrite:
        t.sqe.opcode = nvme::opcode::kWrite;
        break;
      case config::Operation::kAppend:
        t.sqe.opcode = nvme::opcode::kZoneAppend;
        lba = 0;
        break;
    }
    t.sqe.set_slba(lba);
    const Client& client = client_for(t.volume, t.scheduler);
    const RuleResult rule_result =
        rules_.evaluate(t.sqe, scenario_.plan_names[static_cast<std::size_t>(v.plan)], scenario_.block_bytes,
                        client.name(), "127.0.0.1");
    if (rule_result.profile >= 0) t.profile = rule_result.profile;
    t.ordering_key = rule_result.ordering_key.value_or(0);
    t.idempotency_key = tagged_key(t.idempotency_key, t.profile);
    t.sqe.set_idempotency_key(t.idempotency_key);
    if (t.read_bytes == 0) t.data = write_pattern(t.idempotency_key, blocks, scenario_.block_bytes);
    t.first_sent_at = now;
    t.deadline = now + scenario_.settings.profiles[static_cast<std::size_t>(t.profile)].deadline;
    send(t);
  }
  loop_.run_at(next_arrival_, [this] { generate_arrivals(); });
}

Event LoadGenerator::event(const Transaction& t, EventKind kind, double at) const {
  Event e;
  e.time = at;
  e.kind = kind;
  e.idempotency_key = t.idempotency_key;
  e.attempt = t.attempt;
  e.scheduler = t.scheduler;
  e.volume = t.volume;
  e.profile = t.profile;
  e.plan = volumes_[static_cast<std::size_t>(t.volume)].plan;
  e.lba = static_cast<std::int64_t>(t.sqe.slba());
  e.blocks = static_cast<int>(t.sqe.blocks());
  e.units = t.units;
  e.write = t.data ? 1 : 0;
  e.first_sent_at = t.first_sent_at;
  e.ordering_key = t.ordering_key;
  if (kind == EventKind::kSent && t.data) e.hash = XXH3_64bits(t.data->data(), t.data->size());
  return e;
}

LoadGenerator::Client& LoadGenerator::client_for(int volume, int scheduler) {
  // A volume's transactions through one scheduler share a connection, which defines their order.
  std::vector<Client*> to;
  for (auto& c : clients_) {
    if (c->scheduler() == scheduler) to.push_back(c.get());
  }
  return *to[static_cast<std::size_t>(volume) % to.size()];
}

void LoadGenerator::send(const Transaction& t) {
  Client& client = client_for(t.volume, t.scheduler);
  if (!client.can_submit()) {
    record_.write(event(t, EventKind::kNotConnected, loop_.now()));
    return;
  }
  ++counts_this_second_.sent;
  client.submit(t);
}

void LoadGenerator::on_answer(Client& client, Transaction t, nvme::Completion&& c) {
  Event e = event(t, EventKind::kAnswered, c.arrived_at);
  e.client = client.number();
  e.earliest_time = c.earliest_arrival;
  const nvme::Status s = c.status();
  const auto& profile = scenario_.settings.profiles[static_cast<std::size_t>(t.profile)];
  bool retry = false;
  if (s.ok()) {
    e.outcome = "honoured";
    ++counts_this_second_.succeeded;
    if (c.arrived_at - t.first_sent_at <= profile.target_latency) ++counts_this_second_.in_time;
    if (t.sqe.opcode == nvme::opcode::kZoneAppend) {
      e.lba = static_cast<std::int64_t>(c.cqe.result());
      auto& objects = recent_objects_[static_cast<std::size_t>(t.volume)];
      if (objects.size() >= kMaxRecentObjects) objects.erase(objects.begin());
      objects.push_back({c.cqe.result(), t.sqe.blocks()});
    }
    if (!t.data) {
      e.hash = XXH3_64bits(c.data.data(), c.data.size());
      if (c.data.size() != t.read_bytes) e.text = "short";
      if (std::all_of(c.data.begin(), c.data.end(), [](auto b) { return b == 0; })) e.hash = 1;
    }
  } else if (s == nvme::status::kCommandInterrupted) {
    e.outcome = "turned_back";
    ++counts_this_second_.rejected;
    retry = true;
  } else if (s == nvme::status::kInternalPathError) {
    e.outcome = "given_up";
    ++counts_this_second_.expired;
    retry = profile.idempotency == Idempotency::kIdempotent;
  } else {
    e.outcome = "error";
    e.text = s.text();
    ++counts_this_second_.errors;
  }
  record_.write(e);
  const double wait = std::max(scenario_.backoff, s.crd == 0 ? 0 : 0.1 * std::pow(4, s.crd - 1));
  if (retry && t.attempt < scenario_.max_retries && loop_.now() + wait + 0.05 < t.deadline) {
    ++t.attempt;
    ++pending_retries_;
    loop_.run_at(loop_.now() + wait, [this, t] {
      --pending_retries_;
      send(t);
      check_finished();
    });
  }
  check_finished();
}

// Retries an idempotent transaction through another scheduler after its connection was lost, when the
// outcome is unknown.
void LoadGenerator::retry_on_other_scheduler(Transaction t) {
  const auto& profile = scenario_.settings.profiles[static_cast<std::size_t>(t.profile)];
  const auto& hosts = volumes_[static_cast<std::size_t>(t.volume)].schedulers;
  if (!scenario_.retry_lost_connections || profile.idempotency != Idempotency::kIdempotent ||
      hosts.size() < 2 || t.attempt >= scenario_.max_retries ||
      loop_.now() + scenario_.backoff + 0.05 >= t.deadline)
    return;
  t.scheduler = hosts[0] == t.scheduler ? hosts[1] : hosts[0];
  ++t.attempt;
  ++pending_retries_;
  loop_.run_at(loop_.now() + scenario_.backoff, [this, t] {
    --pending_retries_;
    send(t);
    check_finished();
  });
}

void LoadGenerator::check_finished() {
  if (loop_.now() - start_ >= scenario_.seconds && next_arrival_ - start_ >= scenario_.seconds &&
      outstanding_ == 0 && pending_retries_ == 0)
    finish();
}

void LoadGenerator::finish() {
  if (auto f = std::exchange(finished_, nullptr)) f();
}

void LoadGenerator::print_progress() {
  const LoadCounts c = std::exchange(counts_this_second_, {});
  std::string active_faults;
  const double t = loop_.now() - start_;
  for (const FaultEvent& fault : scenario_.fault_events) {
    if (t < fault.from || t >= fault.to) continue;
    active_faults += " " + fault_kind_names()[static_cast<std::size_t>(fault.kind)];
    if (fault.target >= 0) active_faults += ":" + std::to_string(fault.target);
  }
  std::printf(
      "%3.0f s  sent %4d  honoured %4d (in time %4d)  turned back %4d  given up %3d  errors %3d  lost %3d "
      "%s\n",
      t, c.sent, c.succeeded, c.in_time, c.rejected, c.expired, c.errors, c.lost, active_faults.c_str());
  std::fflush(stdout);
  loop_.run_at(start_ + std::floor(t + 0.5) + 1, [this] { print_progress(); });
}

}  // namespace heronworks::lab
