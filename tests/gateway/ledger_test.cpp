// The running scheduler with a ledger: an entry before each answer, one bill for a client's tries, nothing
// lost by a drain.
#include <doctest/doctest.h>
#include <sys/resource.h>

#include <csignal>
#include <filesystem>

#include "ledger/ledger_reader.h"
#include "rig.h"

using namespace heronworks;
using namespace heronworks::test;
namespace st = heronworks::nvme::status;

namespace {

struct Entries {
  explicit Entries(const std::string& folder) {
    store::PosixFileSystem files;
    ledger::LedgerVisitor visitor;
    visitor.on_entry = [&](const ledger::wire::Entry& e, std::string_view) { all.push_back(e); };
    store::FileError fault;
    good = ledger::read_ledger(files, folder, visitor, facts, fault);
    INFO(fault.to_string());
    CHECK(good);
  }
  bool good = false;
  ledger::LedgerSummary facts;
  std::vector<ledger::wire::Entry> all;
};

}  // namespace

TEST_CASE(
    "with a ledger: two volumes may pick one label, and a label may have any bit set; each work bills once") {
  const std::string folder = scratch("ledger-labels");
  std::filesystem::remove_all(folder);
  Rig r("[[volumes]]\nfirst = 2\nplan = \"base\"\ntenant = \"other\"\n");
  r.config.ledger.folder = folder;
  r.start();
  auto& c = r.client();
  const std::uint64_t top = std::uint64_t{1} << 63;
  c.read(1, 5, 2);
  REQUIRE(r.until([&] { return c.answers.size() == 1; }));
  nvme::Sqe q;
  q.opcode = nvme::opcode::kRead;
  q.nsid = 2;
  q.set_blocks(2);
  q.set_idempotency_key(1001);
  c.host->submit(2, q, nullptr, 2 * 4096);
  REQUIRE(r.until([&] { return c.answers.size() == 2; }));
  c.read(top, 5);
  REQUIRE(r.until([&] { return c.answers.size() == 3; }));
  c.read(top, 5);
  REQUIRE(r.until([&] { return Entries(folder).all.size() == 4; }));
  const auto all = Entries(folder).all;
  CHECK(all[1].tenant() == "other");
  CHECK(all[1].repeat_of() == 0);
  CHECK_FALSE(all[2].unnamed());
  CHECK(all[3].repeat_of() == 3);
}

// Open, see docs/review-findings.md, 16: tells when it begins to pass.
TEST_CASE("with a ledger: one volume's label for two pieces of work bills both" * doctest::should_fail()) {
  const std::string folder = scratch("ledger-reused");
  std::filesystem::remove_all(folder);
  Rig r;
  r.config.ledger.folder = folder;
  r.start();
  auto& c = r.client();
  c.read(1, 5, 2);
  REQUIRE(r.until([&] { return c.answers.size() == 1; }));
  c.read(1, 80, 3);  // the same label, elsewhere
  REQUIRE(r.until([&] { return Entries(folder).all.size() == 2; }));
  CHECK(Entries(folder).all[1].repeat_of() == 0);
}

TEST_CASE("with a ledger whose disk is full: no answer waits for one that may wait longer") {
  const std::string folder = scratch("ledger-full");
  std::filesystem::remove_all(folder);
  std::signal(SIGXFSZ, SIG_IGN);
  Rig r;
  r.config.ledger.folder = folder;
  r.config.settings.profiles[0].target_latency = 8;
  r.config.settings.profiles[0].deadline = 20;
  r.start();
  auto& c = r.client();
  r.nodes[0]->answers.reset();
  c.read(1, 0, 1, 20);
  c.read(2, 1, 1, 1);
  REQUIRE(r.until([&] { return r.nodes[0]->came.size() == 2; }));
  rlimit before{};
  ::getrlimit(RLIMIT_FSIZE, &before);
  const rlimit full{1, before.rlim_max};
  ::setrlimit(RLIMIT_FSIZE, &full);
  r.nodes[0]->answer(0);
  r.nodes[0]->answer(1);
  const bool second = r.until([&] { return c.answers.contains(2); });
  const bool first = c.answers.contains(1);
  ::setrlimit(RLIMIT_FSIZE, &before);
  CHECK(second);
  CHECK_FALSE(first);
  CHECK(r.scheduler->counts().ahead == 1);
  REQUIRE(r.until([&] { return c.answers.contains(1); }));
  CHECK(c.count(st::kOk) == 2);
  REQUIRE(r.until([&] { return Entries(folder).all.size() == 2; }));
  CHECK(r.scheduler->open() == 0);
}

TEST_CASE(
    "with a ledger: what is answered is entered, tries of one identity bill once, a restart knows them") {
  const std::string folder = scratch("ledger");
  std::filesystem::remove_all(folder);
  {
    Rig r("[[rule]]\nwhen = \"operation == 'write'\"\nlabels = {kind = \"grid\"}\n");
    r.config.ledger.folder = folder;
    r.start();
    auto& c = r.client();
    c.read(1, 5, 2);
    c.write(2, 64, 3);
    REQUIRE(r.until([&] { return c.answers.size() == 2; }));
    CHECK(c.count(st::kOk) == 2);
    CHECK(c.answers[1].data.size() == 2 * 4096);
    const Entries live(folder);  // beside its owner
    REQUIRE(live.all.size() == 2);
    CHECK(live.all[0].identity() == 1001);
    CHECK(live.all[0].units() == 2);
    CHECK(live.all[0].bytes() == 8192);
    const auto& w = live.all[0].identity() == 1002 ? live.all[0] : live.all[1];
    REQUIRE(w.labels_size() == 1);
    CHECK(w.labels(0).value() == "grid");
    c.read(1, 5, 2);  // the same identity again
    REQUIRE(r.until([&] { return c.answers.size() == 2 && Entries(folder).all.size() == 3; }));
    CHECK(Entries(folder).all[2].repeat_of() == live.all[0].number());
  }
  Rig r;
  r.config.ledger.folder = folder;
  r.start();
  auto& c = r.client();
  c.read(1, 5, 2);
  REQUIRE(r.until([&] { return c.answers.size() == 1; }));
  const Entries after(folder);
  REQUIRE(after.all.size() == 4);
  CHECK(after.all[3].repeat_of() == 1);
  CHECK(after.facts.open_units +
            (after.facts.sealed_periods.empty() ? 0 : after.facts.sealed_periods[0].units()) ==
        5);
  bool drained = false;
  c.read(7, 5);
  REQUIRE(r.until([&] { return r.nodes[0]->came.size() == 2; }));
  r.scheduler->drain([&] { drained = true; });
  REQUIRE(r.until([&] { return drained; }));
  CHECK(Entries(folder).all.size() == 5);
}
