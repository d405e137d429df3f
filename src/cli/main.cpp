// Command-line program of heronworks: runs a scheduler, checks configurations and rules, and works on
// ledgers.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>

#include "cli/expr.h"
#include "cli/ledger.h"
#include "gateway/scheduler.h"
#include "platform/run.h"

using namespace heronworks;

namespace {

std::optional<config::GatewayConfig> read_config(const std::string& path) {
  config::Problems problems;
  auto config = config::read_gateway_config(path, problems);
  for (const auto& problem : problems) std::fprintf(stderr, "%s\n", problem.to_string().c_str());
  return config;
}

int check_config(const std::string& path) {
  const auto config = read_config(path);
  if (!config) return 2;
  std::printf("scheduler %d of %d listens on %s as %s\n", config->settings.scheduler_index,
              config->settings.scheduler_count, config->listen.to_string().c_str(),
              config->subsystem.c_str());
  std::printf("watches the node list at %s, saved in %s\n", config->discovery_address.to_string().c_str(),
              config->saved_list_path.empty() ? "no file" : config->saved_list_path.c_str());
  std::uint64_t volumes = 0;
  double reserved_rate = 0;
  for (const auto& range : config->volumes) {
    const std::uint64_t count = std::uint64_t{range.last} - range.first + 1;
    volumes += count;
    reserved_rate +=
        static_cast<double>(count) * config->settings.plans[static_cast<std::size_t>(range.plan)].reservation;
  }
  std::printf(
      "%llu volumes of %u zones of %u blocks of %u bytes over %u shards, %g units/s reserved in all\n",
      static_cast<unsigned long long>(volumes), config->zones, config->zone_blocks, config->block_bytes,
      config->shards, reserved_rate);
  for (std::size_t i = 0; i < config->profile_names.size(); ++i) {
    const Profile& profile = config->settings.profiles[i];
    const char* idempotency_names[] = {"redoable", "labelled", "irreversible"};
    std::printf("profile %s: contract time %g s, cut-off %g s, %s%s\n", config->profile_names[i].c_str(),
                profile.target_latency, profile.deadline,
                idempotency_names[static_cast<int>(profile.idempotency)],
                profile.ordered_by_key ? ", in order" : "");
  }
  for (std::size_t i = 0; i < config->plan_names.size(); ++i) {
    const Plan& plan = config->settings.plans[i];
    std::printf("plan %s: usual %g, reserved %g, %s units/s, weight %g\n", config->plan_names[i].c_str(),
                plan.usual_rate, plan.reservation,
                plan.limit > 0 ? ("limit " + std::to_string(plan.limit)).c_str() : "no limit", plan.weight);
  }
  return 0;
}

int serve(const std::string& path) {
  const auto config = read_config(path);
  if (!config) return 2;
  std::signal(SIGXFSZ, SIG_IGN);  // exceeding the file size limit fails the write instead of the process
  const MonotonicClock clock;
  Loop loop(clock);
  Log log(config->log_file, config->log_level, config->max_log_lines);
  gateway::Scheduler scheduler(loop, *config, log);
  log.info(loop.now(), "started",
           {{"address", scheduler.address().to_string()}, {"index", config->settings.scheduler_index}});
  run_until_signal(loop, [&](auto done) { scheduler.drain(std::move(done)); });
  log.info(loop.now(), "stopped");
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"heronworks: a storage gateway that keeps volumes to their reservations, shares and limits"};
  app.require_subcommand(1);
  std::string path;
  int result = 0;
  auto* serve_command = app.add_subcommand("serve", "run one scheduler; SIGTERM drains it");
  serve_command->add_option("config", path, "configuration, TOML")->required()->check(CLI::ExistingFile);
  auto* platform_command =
      app.add_subcommand("platform", "run one scheduler on the platform, by the variables LB_*");
  auto* check_command = app.add_subcommand("check", "validate a configuration and print a summary");
  check_command->add_option("config", path, "configuration, TOML")->required()->check(CLI::ExistingFile);
  auto* expr_command = app.add_subcommand("expr", "check and evaluate expressions of rules");
  expr_command->require_subcommand(1);
  std::string source;
  std::string transaction;
  auto* expr_check = expr_command->add_subcommand(
      "check", "check the [[rule]] tables of a file: print all errors, or cost and index of each rule");
  expr_check->add_option("file", path, "configuration, TOML")->required()->check(CLI::ExistingFile);
  auto* expr_eval = expr_command->add_subcommand("eval", "evaluate an expression on a transaction");
  expr_eval->add_option("expression", source)->required();
  expr_eval->add_option("--transaction", transaction, "JSON, or a file that holds it")->required();
  auto* expr_explain =
      expr_command->add_subcommand("explain", "print type, cost and program of an expression");
  expr_explain->add_option("expression", source)->required();
  auto* expr_reference =
      expr_command->add_subcommand("reference", "print the reference of fields and functions, in Markdown");
  expr_command->add_subcommand("bench", "measure the time of a match, in ns");
  std::function<int()> ledger_command;
  cli::add_ledger_commands(app, ledger_command);
  CLI11_PARSE(app, argc, argv);
  try {
    if (ledger_command) {
      result = ledger_command();
    } else if (platform_command->parsed()) {
      result = platform::run();
    } else if (expr_command->parsed()) {
      result = expr_check->parsed()       ? cli::expr_check(path)
               : expr_eval->parsed()      ? cli::expr_eval(source, transaction)
               : expr_explain->parsed()   ? cli::expr_explain(source)
               : expr_reference->parsed() ? cli::expr_reference()
                                          : cli::expr_bench();
    } else {
      result = serve_command->parsed() ? serve(path) : check_config(path);
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "heronworks: %s\n", error.what());
    result = 1;
  }
  return result;
}
