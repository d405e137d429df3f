#include "lab/record.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <stdexcept>

namespace heronworks::lab {
namespace {

constexpr std::array kEventNames = {"figures", "sent",    "answer",  "lost",     "left",     "unreached",
                                    "got",     "replied", "ran",     "silenced", "up",       "fell",
                                    "told",    "killed",  "started", "stopped",  "continued"};

// Calls f(name, member, default) for each field.
template <typename E, typename F>
void fields(E& e, F f) {
  const Event none;
  f("label", e.idempotency_key, none.idempotency_key);
  f("try", e.attempt, none.attempt);
  f("via", e.scheduler, none.scheduler);
  f("client", e.client, none.client);
  f("dispatch", e.dispatch, none.dispatch);
  f("node", e.node, none.node);
  f("shard", e.shard, none.shard);
  f("life", e.incarnation, none.incarnation);
  f("volume", e.volume, none.volume);
  f("profile", e.profile, none.profile);
  f("plan", e.plan, none.plan);
  f("lba", e.lba, none.lba);
  f("blocks", e.blocks, none.blocks);
  f("units", e.units, none.units);
  f("left", e.time_left, none.time_left);
  f("cost", e.cost, none.cost);
  f("frac", e.capacity_fraction, none.capacity_fraction);
  f("hash", e.hash, none.hash);
  f("write", e.write, none.write);
  f("outcome", e.outcome, none.outcome);
  f("text", e.text, none.text);
  f("nodes", e.ready_nodes, none.ready_nodes);
  f("since", e.earliest_time, none.earliest_time);
  f("key", e.ordering_key, none.ordering_key);
  f("first", e.first_sent_at, none.first_sent_at);
}

}  // namespace

const char* name(EventKind kind) { return kEventNames[static_cast<std::size_t>(kind)]; }

std::string Event::line() const {
  nlohmann::ordered_json j;
  j["t"] = time;
  j["kind"] = name(kind);
  fields(*this, [&](const char* field, const auto& value, const auto& none) {
    if (value != none) j[field] = value;
  });
  return j.dump();
}

bool Event::parse(const std::string& line, Event& event, std::string& reason) {
  event = Event{};
  const auto j = nlohmann::json::parse(line, nullptr, false);
  if (!j.is_object()) return reason = "not a JSON object", false;
  try {
    event.time = j.at("t").get<double>();
    const auto kind = j.at("kind").get<std::string>();
    const auto at = std::find(kEventNames.begin(), kEventNames.end(), kind);
    if (at == kEventNames.end()) return reason = "unknown kind " + kind, false;
    event.kind = static_cast<EventKind>(at - kEventNames.begin());
    fields(event, [&](const char* key, auto& value, const auto&) {
      if (const auto f = j.find(key); f != j.end()) f->get_to(value);
    });
  } catch (const nlohmann::json::exception& e) {
    return reason = e.what(), false;
  }
  return true;
}

Recorder::Recorder(const std::string& path) : file_(std::fopen(path.c_str(), "a"), std::fclose) {
  if (!file_) throw std::runtime_error("cannot write " + path);
  // Line buffering: a killed process leaves at most one incomplete line.
  std::setvbuf(file_.get(), nullptr, _IOLBF, 1 << 16);
}

void Recorder::write(const Event& event) {
  const std::string line = event.line() + "\n";
  std::fwrite(line.data(), 1, line.size(), file_.get());
}

std::vector<Event> read_records(const std::vector<std::string>& paths) {
  std::vector<Event> events;
  for (const std::string& path : paths) {
    std::ifstream file(path);
    if (!file) throw std::runtime_error("cannot read " + path);
    std::string line;
    std::size_t number = 0;
    while (std::getline(file, line)) {
      ++number;
      Event e;
      std::string reason;
      if (Event::parse(line, e, reason)) {
        events.push_back(std::move(e));
      } else if (!file.eof()) {
        throw std::runtime_error(path + ":" + std::to_string(number) + ": " + reason);
      }
    }
  }
  std::stable_sort(events.begin(), events.end(),
                   [](const Event& a, const Event& b) { return a.time < b.time; });
  return events;
}

}  // namespace heronworks::lab
