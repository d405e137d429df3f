// heronworks: the product's command line.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>

#include "cli/expr.h"
#include "cli/ledger.h"
#include "gateway/scheduler.h"
#include "platform/run.h"

using namespace heronworks;

namespace {

std::optional<config::GatewayConfig> read(const std::string& path) {
  config::Problems problems;
  auto c = config::read_gateway(path, problems);
  for (const auto& p : problems) std::fprintf(stderr, "%s\n", p.shown().c_str());
  return c;
}

int check(const std::string& path) {
  const auto c = read(path);
  if (!c) return 2;
  std::printf("scheduler %d of %d listens on %s as %s\n", c->settings.scheduler_index,
              c->settings.scheduler_count, c->listen.to_string().c_str(), c->subsystem.c_str());
  std::printf("watches the node list at %s, saved in %s\n", c->list.to_string().c_str(),
              c->saved_list.empty() ? "no file" : c->saved_list.c_str());
  std::uint64_t volumes = 0;
  double reserved = 0;
  for (const auto& v : c->volumes) {
    const std::uint64_t n = std::uint64_t{v.last} - v.first + 1;
    volumes += n;
    reserved += static_cast<double>(n) * c->settings.plans[static_cast<std::size_t>(v.plan)].reservation;
  }
  std::printf(
      "%llu volumes of %u zones of %u blocks of %u bytes over %u shards, %g units/s reserved in all\n",
      static_cast<unsigned long long>(volumes), c->zones, c->zone_blocks, c->block_bytes, c->shards,
      reserved);
  for (std::size_t i = 0; i < c->profile_names.size(); ++i) {
    const Profile& p = c->settings.profiles[i];
    const char* repeat[] = {"redoable", "labelled", "irreversible"};
    std::printf("profile %s: contract time %g s, cut-off %g s, %s%s\n", c->profile_names[i].c_str(),
                p.target_latency, p.deadline, repeat[static_cast<int>(p.idempotency)],
                p.ordered_by_key ? ", in order" : "");
  }
  for (std::size_t i = 0; i < c->plan_names.size(); ++i) {
    const Plan& p = c->settings.plans[i];
    std::printf("plan %s: usual %g, reserved %g, %s units/s, weight %g\n", c->plan_names[i].c_str(),
                p.usual_rate, p.reservation,
                p.limit > 0 ? ("limit " + std::to_string(p.limit)).c_str() : "no limit", p.weight);
  }
  return 0;
}

int serve(const std::string& path) {
  const auto c = read(path);
  if (!c) return 2;
  std::signal(SIGXFSZ, SIG_IGN);  // a file that may not grow is a failed write like any other
  const MonotonicClock clock;
  Loop loop(clock);
  Log log(c->log_file, c->log_level, c->log_lines);
  gateway::Scheduler scheduler(loop, *c, log);
  log.info(loop.now(), "started",
           {{"address", scheduler.address().to_string()}, {"index", c->settings.scheduler_index}});
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
  auto* s = app.add_subcommand("serve", "run one scheduler; SIGTERM drains it");
  s->add_option("config", path, "configuration, TOML")->required()->check(CLI::ExistingFile);
  auto* pl = app.add_subcommand("platform", "run one scheduler on the platform, by the variables LB_*");
  auto* k = app.add_subcommand("check", "read a configuration and say what it would do");
  k->add_option("config", path, "configuration, TOML")->required()->check(CLI::ExistingFile);
  auto* e = app.add_subcommand("expr", "the expression language of rules");
  e->require_subcommand(1);
  std::string source;
  std::string transaction;
  auto* ec =
      e->add_subcommand("check", "the [[rule]] tables of a file: all faults, or cost and index of each");
  ec->add_option("file", path, "configuration, TOML")->required()->check(CLI::ExistingFile);
  auto* ee = e->add_subcommand("eval", "evaluate an expression on a transaction");
  ee->add_option("expression", source)->required();
  ee->add_option("--transaction", transaction, "JSON, or a file that holds it")->required();
  auto* ex = e->add_subcommand("explain", "type, cost and program of an expression");
  ex->add_option("expression", source)->required();
  auto* er = e->add_subcommand("reference", "fields and functions, in Markdown");
  e->add_subcommand("bench", "ns for one match");
  std::function<int()> ledger;
  cli::add_ledger_verbs(app, ledger);
  CLI11_PARSE(app, argc, argv);
  try {
    if (ledger) {
      result = ledger();
    } else if (pl->parsed()) {
      result = platform::run();
    } else if (e->parsed()) {
      result = ec->parsed()   ? cli::expr_check(path)
               : ee->parsed() ? cli::expr_eval(source, transaction)
               : ex->parsed() ? cli::expr_explain(source)
               : er->parsed() ? cli::expr_reference()
                              : cli::expr_bench();
    } else {
      result = s->parsed() ? serve(path) : check(path);
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "heronworks: %s\n", error.what());
    result = 1;
  }
  return result;
}
