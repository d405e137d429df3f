// heronworks-lab: stand-ins, clients, days and the verdict on them.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>

#include "lab/list.h"
#include "lab/load.h"
#include "lab/node.h"
#include "lab/receiver.h"
#include "lab/runner.h"

using namespace heronworks;

namespace {

struct Words {
  std::string day;
  std::uint64_t seed = 0;
  double start = 0;
  int number = 0;
  int life = 0;
  std::uint16_t port = 0;
  std::vector<std::uint16_t> ports;
  std::string folder;
  std::string record;
  std::string scheduler;
  std::vector<std::string> records;
  bool quiet = false;
  bool withhold_rules = false;
  double lead = 1.5;
};

std::optional<lab::Day> read(const Words& w) {
  config::Problems problems;
  auto day = lab::read_day(w.day, w.seed, problems);
  for (const auto& p : problems) std::fprintf(stderr, "%s\n", p.to_string().c_str());
  return day;
}

int node(const Words& w) {
  const auto day = read(w);
  if (!day) return 2;
  const MonotonicClock clock;
  Loop loop(clock);
  lab::Recorder record(w.record);
  lab::NodeOptions o{w.number, w.life, {"127.0.0.1", w.port}, w.start, w.folder};
  lab::StandInNode n(loop, *day, o, record, [&] { loop.stop(); });
  loop.on_signal(SIGTERM, [&] { loop.stop(); });
  loop.run();
  return 0;
}

int list(const Words& w) {
  const auto day = read(w);
  if (!day) return 2;
  const MonotonicClock clock;
  Loop loop(clock);
  lab::Recorder record(w.record);
  lab::StandInList l(loop, *day, {"127.0.0.1", w.port}, w.start, w.ports, record);
  loop.on_signal(SIGTERM, [&] { loop.stop(); });
  loop.run();
  return 0;
}

int load(const Words& w) {
  const auto day = read(w);
  if (!day) return 2;
  const MonotonicClock clock;
  Loop loop(clock);
  lab::Recorder record(w.record);
  lab::Load l(loop, *day, w.start, w.ports, record, [&] { loop.stop(); });
  loop.run();
  return 0;
}

int play(const Words& w) {
  const auto day = read(w);
  if (!day) return 2;
  lab::RunOptions o;
  o.self = std::filesystem::read_symlink("/proc/self/exe").string();
  o.scheduler = w.scheduler.empty() ? std::filesystem::path(o.self).replace_filename("heronworks").string()
                                    : w.scheduler;
  o.folder = w.folder;
  o.quiet = w.quiet;
  o.lead = w.lead;
  o.withhold_rules = w.withhold_rules;
  std::printf("%s: %g s, %d schedulers, %d nodes, %d volumes, seed %llu; stand-ins on one machine\n",
              day->name.c_str(), day->seconds, day->schedulers, day->nodes, day->volumes(),
              static_cast<unsigned long long>(day->seed));
  std::fflush(stdout);
  const auto result = lab::run_day(*day, o);
  std::printf("\n%s", result.verdict.table(result.start).c_str());
  if (result.bills) std::printf("\n%s\n%s", result.bills->statement.c_str(), result.bills->line().c_str());
  for (const auto& f : result.faults) std::printf("fault: %s\n", f.c_str());
  std::printf("%s\n", result.good() ? "all rules kept" : "NOT kept");
  return result.good() ? 0 : 1;
}

int verdict(const Words& w) {
  const auto v = lab::judge(lab::read_records(w.records));
  std::printf("%s", v.table(0).c_str());
  return v.kept() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"heronworks-lab: stand-ins, clients, days and the verdict on them"};
  app.require_subcommand(1);
  Words w;
  const auto common = [&](CLI::App* c) {
    c->add_option("day", w.day, "day file, TOML")->required()->check(CLI::ExistingFile);
    c->add_option("--seed", w.seed, "in place of the file's");
    return c;
  };
  const auto part = [&](CLI::App* c) {
    c->add_option("--start", w.start, "of the day, s of CLOCK_MONOTONIC")->required();
    c->add_option("--record", w.record, "file to write to")->required();
    return c;
  };
  auto* n = part(common(app.add_subcommand("node", "a stand-in disk server")));
  n->add_option("--number", w.number, "of the node")->required();
  n->add_option("--life", w.life, "how many processes the node has had");
  n->add_option("--port", w.port, "to listen on")->required();
  n->add_option("--folder", w.folder, "of the day")->required();
  auto* l = part(common(app.add_subcommand("list", "a stand-in node list")));
  l->add_option("--port", w.port, "to listen on")->required();
  l->add_option("--nodes", w.ports, "ports of the nodes")->required()->delimiter(',');
  auto* c = part(common(app.add_subcommand("load", "clients")));
  c->add_option("--schedulers", w.ports, "ports of the schedulers")->required()->delimiter(',');
  auto* d = common(app.add_subcommand("day", "play a day: all processes, the script, the verdict"));
  d->add_option("--folder", w.folder, "keep records, logs and configurations here");
  d->add_option("--scheduler", w.scheduler, "program that serves, in place of heronworks");
  d->add_option("--lead", w.lead, "s to let the processes start");
  d->add_flag("--quiet", w.quiet, "no line a second");
  d->add_flag("--withhold-rules", w.withhold_rules, "do not give the day's rules to the schedulers");
  lab::ReceiverOptions receiver;
  auto* r = app.add_subcommand("receiver", "a stand-in that receives exports of ledgers");
  r->add_option("--port", receiver.listen.port, "to listen on")->required();
  r->add_option("--folder", receiver.folder, "for what is stored")->required();
  r->add_option("--seed", receiver.seed);
  r->add_option("--lose", receiver.lose_answer, "part of answers lost, with the connection");
  r->add_option("--twice", receiver.answer_twice, "part of answers told twice");
  r->add_option("--late", receiver.answer_late, "part of answers that come late");
  r->add_option("--crash", receiver.crash, "part of messages at which it dies");
  auto* v = app.add_subcommand("verdict", "judge records");
  v->add_option("records", w.records, "files")->required()->check(CLI::ExistingFile);
  CLI11_PARSE(app, argc, argv);
  try {
    if (n->parsed()) return node(w);
    if (l->parsed()) return list(w);
    if (c->parsed()) return load(w);
    if (d->parsed()) return play(w);
    if (r->parsed()) {
      receiver.listen.host = "127.0.0.1";
      const MonotonicClock clock;
      Loop loop(clock);
      const lab::Receiver one(loop, receiver);
      loop.on_signal(SIGTERM, [&] { loop.stop(); });
      loop.run();
      return 0;
    }
    return verdict(w);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "heronworks-lab: %s\n", error.what());
    return 1;
  }
}
