// Clients: see load.h.
#include "lab/load.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace heronworks::lab {
namespace {

constexpr std::size_t kObjects = 32;  // fresh objects that are remembered of each volume
constexpr double kReconnect = 0.1;    // s between two tries to connect
constexpr double kBeat = 0.02;  // s between two looks at the sockets, at most: see Loop::earliest_arrival
constexpr double kStopAfter = 12.0;  // s after the last arrival at which what is open is left to the verdict

// Bytes that tell of which write and which block they are.
nvme::SharedBytes pattern(std::uint64_t label, std::uint32_t blocks, std::uint32_t block_bytes) {
  auto data = std::make_shared<nvme::Bytes>(std::size_t{blocks} * block_bytes);
  std::uint64_t x = label * 0x9e3779b97f4a7c15ULL + 1;
  for (std::size_t i = 0; i + 8 <= data->size(); i += 8) {
    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    std::memcpy(data->data() + i, &x, 8);
  }
  return data;
}

}  // namespace

// One connection to one scheduler.
class Load::Client final : public nvme::HostHandler {
 public:
  Client(Load& load, int number, int via, std::uint16_t port)
      : load_(load), number_(number), via_(via), port_(port) {
    connect();
  }
  ~Client() override { *alive_ = false; }

  bool takes() const { return host_ && host_->ready() && host_->can_submit(); }
  int via() const { return via_; }
  int number() const { return number_; }
  std::string name() const { return "nqn.2026-11.org.heronworks:client." + std::to_string(number_); }

  void send(const Transaction& t) {
    const auto token = ++last_token_;
    open_[token] = t;
    ++load_.open_;
    Event e = load_.event(t, Kind::kSent, load_.loop_.now());
    e.client = number_;
    e.left = t.until - e.t;
    load_.record_.write(e);
    nvme::Sqe sqe = t.sqe;
    sqe.set_time_left(e.left);
    sqe.set_dispatch_info(t.attempt, 0, 0);
    host_->submit(token, sqe, t.data, t.in);
  }

  void leave() {
    leaving_ = true;
    if (host_) host_->close("the client left");
  }

  void on_ready() override {}
  void on_completed(std::uint64_t token, nvme::Completion&& c) override {
    auto node = open_.extract(token);
    if (!node) return;
    --load_.open_;
    if (c.arrived) return load_.answered(*this, std::move(node.mapped()), std::move(c));
    Event e = load_.event(node.mapped(), leaving_ ? Kind::kLeft : Kind::kLost, load_.loop_.now());
    e.client = number_;
    e.since = load_.loop_.earliest_arrival();
    load_.record_.write(e);
    ++load_.second_counts_.lost;
    if (!leaving_) load_.again_elsewhere(node.mapped());
    load_.check_finished();
  }
  void on_disconnected(const std::string&) override {
    host_.reset();
    leaving_ = false;
    load_.loop_.run_at(load_.loop_.now() + kReconnect, [this, alive = alive_] {
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
    host_ = std::make_unique<nvme::Host>(load_.loop_, o, *this);
  }

  Load& load_;
  const int number_;
  const int via_;
  const std::uint16_t port_;
  std::unique_ptr<nvme::Host> host_;
  std::unordered_map<std::uint64_t, Transaction> open_;  // bounded by the queue's depth
  std::uint64_t last_token_ = 0;
  bool leaving_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

Load::Load(Loop& loop, const Day& day, double start, std::vector<std::uint16_t> ports, Recorder& record,
           std::function<void()> finished)
    : loop_(loop),
      day_(day),
      start_(start),
      record_(record),
      finished_(std::move(finished)),
      random_(static_cast<unsigned>(day.seed * 7919 + 13)),
      rules_(day.read_rules),
      volumes_(volumes_of(day)),
      objects_(volumes_.size()) {
  int number = 0;
  for (int s = 0; s < day.schedulers; ++s) {
    for (int i = 0; i < day.connections; ++i) {
      clients_.push_back(std::make_unique<Client>(*this, number++, s, ports[static_cast<std::size_t>(s)]));
    }
  }
  next_at_ = start_;
  loop_.run_at(start_, [this] { arrive(); });
  loop_.run_at(start_ + 1, [this] { second(); });
  beat();
  for (const Act& a : day.acts) {
    if (a.trouble == Trouble::kLeadMoves) loop_.run_at(start_ + a.from, [this] { lead_moves(); });
    if (a.trouble == Trouble::kClientLeaves) {
      loop_.run_at(start_ + a.from, [this, via = a.target] {
        for (auto& c : clients_) {
          if (c->via() == via) return c->leave();
        }
      });
    }
  }
  loop_.run_at(start_ + day.seconds + kStopAfter, [this] { finish(); });
}

Load::~Load() = default;

void Load::beat() {
  loop_.run_at(loop_.now() + kBeat, [this] { beat(); });
}

double Load::draw(double from, double to) {
  return from + (to - from) * static_cast<double>(random_() - 1) / 2147483646.0;
}

void Load::lead_moves() {
  for (auto& v : volumes_) {
    if (v.schedulers.size() > 1 && draw(0, 1) < 0.5)
      std::rotate(v.schedulers.begin(), v.schedulers.begin() + 1, v.schedulers.end());
  }
}

double Load::rate_factor(int volume) const {
  const double t = loop_.now() - start_;
  double factor = 1;
  for (const Act& a : day_.acts) {
    if (t < a.from || t >= a.to) continue;
    if (a.trouble == Trouble::kSurge) factor *= a.size;
    if (a.trouble == Trouble::kPlanSurge && a.target == volumes_[static_cast<std::size_t>(volume)].plan)
      factor *= a.size;
    if (a.trouble == Trouble::kVolumeSurge && a.target == volume) factor *= a.size;
  }
  return factor;
}

// One arrival, and the time of the next. What is behind comes at once: arrivals do not wait for answers.
void Load::arrive() {
  const double now = loop_.now();
  while (next_at_ <= now) {
    if (next_at_ - start_ >= day_.seconds) return check_finished();
    double sum = 0;
    weights_.clear();
    for (std::size_t i = 0; i < volumes_.size(); ++i) {
      sum += volumes_[i].share * rate_factor(static_cast<int>(i));
      weights_.push_back(sum);
    }
    double mean_units = 0;
    double shares = 0;
    for (const Work& w : day_.work) {
      shares += w.share;
      mean_units += w.share * (w.least_units + w.most_units) / 2;
    }
    mean_units /= shares;
    const double rate = day_.load * day_.capacity() / mean_units * sum;
    next_at_ += -std::log(draw(1e-9, 1)) / std::max(rate, 1e-9);

    const double at = draw(0, sum);
    const auto volume = static_cast<std::size_t>(
        std::min<std::ptrdiff_t>(std::lower_bound(weights_.begin(), weights_.end(), at) - weights_.begin(),
                                 static_cast<std::ptrdiff_t>(volumes_.size()) - 1));
    const VolumeFacts& v = volumes_[volume];
    double kind = draw(0, shares);
    std::size_t w = 0;
    while (w + 1 < day_.work.size() && kind >= day_.work[w].share) kind -= day_.work[w++].share;
    const Work& work = day_.work[w];

    Transaction t;
    t.label = ++last_label_;  // and its profile, below
    t.volume = static_cast<int>(volume);
    t.profile = work.profile;
    std::size_t host = 0;
    if (v.schedulers.size() > 1 && draw(0, 1) > day_.lead_part)
      host = 1 + static_cast<std::size_t>(draw(0, 0.999999) * static_cast<double>(v.schedulers.size() - 1));
    t.via = v.schedulers[host];
    t.units = std::floor(draw(work.least_units, work.most_units + 0.999999));
    auto blocks = static_cast<std::uint32_t>(t.units) * day_.unit_blocks;
    // Somewhere among the places of its shards that are written in place.
    const auto shard = static_cast<std::uint64_t>(
        v.shards[static_cast<std::size_t>(draw(0, 0.999999) * static_cast<double>(v.shards.size()))]);
    const auto nodes = static_cast<std::uint64_t>(day_.nodes);
    const std::uint64_t here = day_.zones_a_volume / nodes;
    const auto own = static_cast<std::uint64_t>(draw(0, 0.999999) *
                                                static_cast<double>(std::max<std::uint64_t>(here / 2, 1)));
    const std::uint64_t zone = own * nodes + shard;
    const auto places = day_.zone_blocks / blocks;
    std::uint64_t lba =
        zone * day_.zone_blocks + static_cast<std::uint64_t>(draw(0, 0.999999) * places) * blocks;
    if (work.operation == config::Operation::kRead && draw(0, 1) < work.fresh && !objects_[volume].empty()) {
      const auto& o = objects_[volume][static_cast<std::size_t>(
          draw(0, 0.999999) * static_cast<double>(objects_[volume].size()))];
      const auto most = static_cast<std::uint32_t>(work.most_units) * day_.unit_blocks;
      lba = o.lba;
      blocks = std::min(o.blocks, most);
      t.units = (blocks + day_.unit_blocks - 1) / day_.unit_blocks;
    }
    t.sqe.nsid = static_cast<std::uint32_t>(volume + 1);
    t.sqe.set_blocks(blocks);
    switch (work.operation) {
      case config::Operation::kRead:
        t.sqe.opcode = nvme::opcode::kRead;
        t.in = blocks * day_.block_bytes;
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
    const Client& client = client_of(t.volume, t.via);
    const Ruled ruled = rules_.of(t.sqe, day_.plan_names[static_cast<std::size_t>(v.plan)], day_.block_bytes,
                                  client.name(), "127.0.0.1");
    if (ruled.profile >= 0) t.profile = ruled.profile;
    t.key = ruled.key.value_or(0);
    t.label = label_of(t.label, t.profile);
    t.sqe.set_idempotency_key(t.label);
    if (t.in == 0) t.data = pattern(t.label, blocks, day_.block_bytes);
    t.first_at = now;
    t.until = now + day_.settings.profiles[static_cast<std::size_t>(t.profile)].deadline;
    launch(t);
  }
  loop_.run_at(next_at_, [this] { arrive(); });
}

Event Load::event(const Transaction& t, Kind kind, double at) const {
  Event e;
  e.t = at;
  e.kind = kind;
  e.label = t.label;
  e.attempt = t.attempt;
  e.via = t.via;
  e.volume = t.volume;
  e.profile = t.profile;
  e.plan = volumes_[static_cast<std::size_t>(t.volume)].plan;
  e.lba = static_cast<std::int64_t>(t.sqe.slba());
  e.blocks = static_cast<int>(t.sqe.blocks());
  e.units = t.units;
  e.write = t.data ? 1 : 0;
  e.first = t.first_at;
  e.key = t.key;
  if (kind == Kind::kSent && t.data) e.hash = XXH3_64bits(t.data->data(), t.data->size());
  return e;
}

Load::Client& Load::client_of(int volume, int via) {
  // All of one volume's transactions through one scheduler go by one connection, so that order means
  // something.
  std::vector<Client*> to;
  for (auto& c : clients_) {
    if (c->via() == via) to.push_back(c.get());
  }
  return *to[static_cast<std::size_t>(volume) % to.size()];
}

void Load::launch(const Transaction& t) {
  Client& c = client_of(t.volume, t.via);
  if (!c.takes()) {
    record_.write(event(t, Kind::kUnreached, loop_.now()));
    return;
  }
  ++second_counts_.sent;
  c.send(t);
}

void Load::answered(Client& client, Transaction t, nvme::Completion&& c) {
  Event e = event(t, Kind::kAnswer, c.arrived_at);
  e.client = client.number();
  e.since = c.earliest_arrival;
  const nvme::Status s = c.status();
  const auto& profile = day_.settings.profiles[static_cast<std::size_t>(t.profile)];
  bool again = false;
  if (s.ok()) {
    e.outcome = "honoured";
    ++second_counts_.honoured;
    if (c.arrived_at - t.first_at <= profile.target_latency) ++second_counts_.in_time;
    if (t.sqe.opcode == nvme::opcode::kZoneAppend) {
      e.lba = static_cast<std::int64_t>(c.cqe.result());
      auto& objects = objects_[static_cast<std::size_t>(t.volume)];
      if (objects.size() >= kObjects) objects.erase(objects.begin());
      objects.push_back({c.cqe.result(), t.sqe.blocks()});
    }
    if (!t.data) {
      e.hash = XXH3_64bits(c.data.data(), c.data.size());
      if (c.data.size() != t.in) e.text = "short";
      if (std::all_of(c.data.begin(), c.data.end(), [](auto b) { return b == 0; })) e.hash = 1;
    }
  } else if (s == nvme::status::kCommandInterrupted) {
    e.outcome = "turned_back";
    ++second_counts_.turned_back;
    again = true;
  } else if (s == nvme::status::kInternalPathError) {
    e.outcome = "given_up";
    ++second_counts_.given_up;
    again = profile.idempotency == Idempotency::kIdempotent;
  } else {
    e.outcome = "error";
    e.text = s.text();
    ++second_counts_.errors;
  }
  record_.write(e);
  const double wait = std::max(day_.backoff, s.crd == 0 ? 0 : 0.1 * std::pow(4, s.crd - 1));
  if (again && t.attempt < day_.retries && loop_.now() + wait + 0.05 < t.until) {
    ++t.attempt;
    ++retrying_;
    loop_.run_at(loop_.now() + wait, [this, t] {
      --retrying_;
      launch(t);
      check_finished();
    });
  }
  check_finished();
}

// Its connection broke: whether it was honoured, nobody knows; what may be done again is, through another
// scheduler.
void Load::again_elsewhere(Transaction t) {
  const auto& profile = day_.settings.profiles[static_cast<std::size_t>(t.profile)];
  const auto& hosts = volumes_[static_cast<std::size_t>(t.volume)].schedulers;
  if (!day_.retry_lost || profile.idempotency != Idempotency::kIdempotent || hosts.size() < 2 ||
      t.attempt >= day_.retries || loop_.now() + day_.backoff + 0.05 >= t.until)
    return;
  t.via = hosts[0] == t.via ? hosts[1] : hosts[0];
  ++t.attempt;
  ++retrying_;
  loop_.run_at(loop_.now() + day_.backoff, [this, t] {
    --retrying_;
    launch(t);
    check_finished();
  });
}

void Load::check_finished() {
  if (loop_.now() - start_ >= day_.seconds && next_at_ - start_ >= day_.seconds && open_ == 0 &&
      retrying_ == 0)
    finish();
}

void Load::finish() {
  if (auto f = std::exchange(finished_, nullptr)) f();
}

void Load::second() {
  const LoadCounts c = std::exchange(second_counts_, {});
  std::string acting;
  const double t = loop_.now() - start_;
  for (const Act& a : day_.acts) {
    if (t < a.from || t >= a.to) continue;
    acting += " " + trouble_names()[static_cast<std::size_t>(a.trouble)];
    if (a.target >= 0) acting += ":" + std::to_string(a.target);
  }
  std::printf(
      "%3.0f s  sent %4d  honoured %4d (in time %4d)  turned back %4d  given up %3d  errors %3d  lost %3d "
      "%s\n",
      t, c.sent, c.honoured, c.in_time, c.turned_back, c.given_up, c.errors, c.lost, acting.c_str());
  std::fflush(stdout);
  loop_.run_at(start_ + std::floor(t + 0.5) + 1, [this] { second(); });
}

}  // namespace heronworks::lab
