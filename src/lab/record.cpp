// The record: see record.h.
#include "lab/record.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <stdexcept>

namespace heronworks::lab {
namespace {

constexpr std::array kNames = {"figures", "sent",    "answer",  "lost",     "left",     "unreached",
                               "got",     "replied", "ran",     "silenced", "up",       "fell",
                               "told",    "killed",  "started", "stopped",  "continued"};

// Calls f(name, member, default) for each field.
template <typename E, typename F>
void fields(E& e, F f) {
  const Event none;
  f("label", e.label, none.label);
  f("try", e.attempt, none.attempt);
  f("via", e.via, none.via);
  f("client", e.client, none.client);
  f("dispatch", e.dispatch, none.dispatch);
  f("node", e.node, none.node);
  f("shard", e.shard, none.shard);
  f("life", e.life, none.life);
  f("volume", e.volume, none.volume);
  f("profile", e.profile, none.profile);
  f("plan", e.plan, none.plan);
  f("lba", e.lba, none.lba);
  f("blocks", e.blocks, none.blocks);
  f("units", e.units, none.units);
  f("left", e.left, none.left);
  f("cost", e.cost, none.cost);
  f("frac", e.frac, none.frac);
  f("hash", e.hash, none.hash);
  f("write", e.write, none.write);
  f("outcome", e.outcome, none.outcome);
  f("text", e.text, none.text);
  f("nodes", e.nodes, none.nodes);
  f("since", e.since, none.since);
  f("key", e.key, none.key);
  f("first", e.first, none.first);
}

}  // namespace

const char* name(Kind kind) { return kNames[static_cast<std::size_t>(kind)]; }

std::string Event::line() const {
  nlohmann::ordered_json j;
  j["t"] = t;
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
    event.t = j.at("t").get<double>();
    const auto kind = j.at("kind").get<std::string>();
    const auto at = std::find(kNames.begin(), kNames.end(), kind);
    if (at == kNames.end()) return reason = "unknown kind " + kind, false;
    event.kind = static_cast<Kind>(at - kNames.begin());
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
  // A line is in the file before the next is written, so that a killed process tears at most its last.
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
  std::stable_sort(events.begin(), events.end(), [](const Event& a, const Event& b) { return a.t < b.t; });
  return events;
}

}  // namespace heronworks::lab
