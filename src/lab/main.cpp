// heronworks-lab: stand-in nodes and services, load generator, scenario runner and checker.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>

#include "lab/discovery.h"
#include "lab/load.h"
#include "lab/node.h"
#include "lab/receiver.h"
#include "lab/runner.h"

using namespace heronworks;

namespace {

struct Arguments {
  std::string scenario_file;
  std::uint64_t seed = 0;
  double start = 0;
  int number = 0;
  int incarnation = 0;
  std::uint16_t port = 0;
  std::vector<std::uint16_t> ports;
  std::string folder;
  std::string record;
  std::string scheduler;
  std::vector<std::string> records;
  bool quiet = false;
  bool withhold_rules = false;
  double startup_time = 1.5;
};

std::optional<lab::Scenario> read_scenario(const Arguments& arguments) {
  config::Problems problems;
  auto scenario = lab::read_scenario(arguments.scenario_file, arguments.seed, problems);
  for (const auto& p : problems) std::fprintf(stderr, "%s\n", p.to_string().c_str());
  return scenario;
}

int run_node(const Arguments& arguments) {
  const auto scenario = read_scenario(arguments);
  if (!scenario) return 2;
  const MonotonicClock clock;
  Loop loop(clock);
  lab::Recorder record(arguments.record);
  lab::NodeOptions options{arguments.number,
                           arguments.incarnation,
                           {"127.0.0.1", arguments.port},
                           arguments.start,
                           arguments.folder};
  lab::StandInNode node(loop, *scenario, options, record, [&] { loop.stop(); });
  loop.on_signal(SIGTERM, [&] { loop.stop(); });
  loop.run();
  return 0;
}

int run_discovery(const Arguments& arguments) {
  const auto scenario = read_scenario(arguments);
  if (!scenario) return 2;
  const MonotonicClock clock;
  Loop loop(clock);
  lab::Recorder record(arguments.record);
  lab::StandInDiscovery discovery(loop, *scenario, {"127.0.0.1", arguments.port}, arguments.start,
                                  arguments.ports, record);
  loop.on_signal(SIGTERM, [&] { loop.stop(); });
  loop.run();
  return 0;
}

int run_load(const Arguments& arguments) {
  const auto scenario = read_scenario(arguments);
  if (!scenario) return 2;
  const MonotonicClock clock;
  Loop loop(clock);
  lab::Recorder record(arguments.record);
  lab::LoadGenerator generator(loop, *scenario, arguments.start, arguments.ports, record,
                               [&] { loop.stop(); });
  loop.run();
  return 0;
}

int run_scenario(const Arguments& arguments) {
  const auto scenario = read_scenario(arguments);
  if (!scenario) return 2;
  lab::RunOptions options;
  options.self = std::filesystem::read_symlink("/proc/self/exe").string();
  options.scheduler = arguments.scheduler.empty()
                          ? std::filesystem::path(options.self).replace_filename("heronworks").string()
                          : arguments.scheduler;
  options.folder = arguments.folder;
  options.quiet = arguments.quiet;
  options.startup_time = arguments.startup_time;
  options.withhold_rules = arguments.withhold_rules;
  std::printf("%s: %g s, %d schedulers, %d nodes, %d volumes, seed %llu; stand-ins on one machine\n",
              scenario->name.c_str(), scenario->seconds, scenario->schedulers, scenario->nodes,
              scenario->volumes(), static_cast<unsigned long long>(scenario->seed));
  std::fflush(stdout);
  const auto result = lab::run_scenario(*scenario, options);
  std::printf("\n%s", result.verdict.table(result.start).c_str());
  if (result.billing)
    std::printf("\n%s\n%s", result.billing->statement.c_str(), result.billing->summary().c_str());
  for (const auto& f : result.failures) std::printf("fault: %s\n", f.c_str());
  std::printf("%s\n", result.passed() ? "all rules kept" : "NOT kept");
  return result.passed() ? 0 : 1;
}

int run_verdict(const Arguments& arguments) {
  const auto verdict = lab::check_record(lab::read_records(arguments.records));
  std::printf("%s", verdict.table(0).c_str());
  return verdict.passed() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"heronworks-lab: stand-in nodes and services, load generator, scenarios and checker"};
  app.require_subcommand(1);
  Arguments arguments;
  const auto with_scenario_options = [&](CLI::App* c) {
    c->add_option("day", arguments.scenario_file, "scenario file (TOML)")
        ->required()
        ->check(CLI::ExistingFile);
    c->add_option("--seed", arguments.seed, "seed, replaces that of the file");
    return c;
  };
  const auto with_process_options = [&](CLI::App* c) {
    c->add_option("--start", arguments.start, "start of the scenario, s of CLOCK_MONOTONIC")->required();
    c->add_option("--record", arguments.record, "event record to append to")->required();
    return c;
  };
  auto* node =
      with_process_options(with_scenario_options(app.add_subcommand("node", "run a stand-in storage node")));
  node->add_option("--number", arguments.number, "of the node")->required();
  node->add_option("--life", arguments.incarnation, "number of earlier processes of the node");
  node->add_option("--port", arguments.port, "to listen on")->required();
  node->add_option("--folder", arguments.folder, "folder of the scenario run")->required();
  auto* discovery = with_process_options(
      with_scenario_options(app.add_subcommand("list", "run the stand-in discovery service")));
  discovery->add_option("--port", arguments.port, "to listen on")->required();
  discovery->add_option("--nodes", arguments.ports, "ports of the nodes")->required()->delimiter(',');
  auto* load =
      with_process_options(with_scenario_options(app.add_subcommand("load", "run the load generator")));
  load->add_option("--schedulers", arguments.ports, "ports of the schedulers")->required()->delimiter(',');
  auto* day = with_scenario_options(
      app.add_subcommand("day", "run a scenario: all processes, faults and the check of the record"));
  day->add_option("--folder", arguments.folder, "folder to keep records, logs and configurations in");
  day->add_option("--scheduler", arguments.scheduler, "scheduler program, default heronworks");
  day->add_option("--lead", arguments.startup_time,
                  "s from starting the processes to the start of the scenario");
  day->add_flag("--quiet", arguments.quiet, "print no progress lines");
  day->add_flag("--withhold-rules", arguments.withhold_rules,
                "withhold the scenario's rules from the schedulers");
  lab::ReceiverOptions receiver_options;
  auto* receiver = app.add_subcommand("receiver", "run a stand-in receiver of ledger exports");
  receiver->add_option("--port", receiver_options.listen.port, "to listen on")->required();
  receiver->add_option("--folder", receiver_options.folder, "folder of stored exports")->required();
  receiver->add_option("--seed", receiver_options.seed);
  receiver->add_option("--lose", receiver_options.lost_reply_fraction,
                       "fraction of replies lost together with the connection");
  receiver->add_option("--twice", receiver_options.duplicate_reply_fraction,
                       "fraction of replies sent twice");
  receiver->add_option("--late", receiver_options.late_reply_fraction, "fraction of delayed replies");
  receiver->add_option("--crash", receiver_options.crash_fraction,
                       "fraction of messages that crash the receiver");
  auto* verdict = app.add_subcommand("verdict", "check event records");
  verdict->add_option("records", arguments.records, "files")->required()->check(CLI::ExistingFile);
  CLI11_PARSE(app, argc, argv);
  try {
    if (node->parsed()) return run_node(arguments);
    if (discovery->parsed()) return run_discovery(arguments);
    if (load->parsed()) return run_load(arguments);
    if (day->parsed()) return run_scenario(arguments);
    if (receiver->parsed()) {
      receiver_options.listen.host = "127.0.0.1";
      const MonotonicClock clock;
      Loop loop(clock);
      const lab::Receiver stand_in(loop, receiver_options);
      loop.on_signal(SIGTERM, [&] { loop.stop(); });
      loop.run();
      return 0;
    }
    return run_verdict(arguments);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "heronworks-lab: %s\n", error.what());
    return 1;
  }
}
