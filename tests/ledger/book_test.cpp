// The book, the clock's rule, standings and pressure: printed traces and every way back from a snapshot.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "ledger/book.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "ledger/clock_rule.h"
#include "ledger/ledger.pb.h"
#include "ledger/pressure.h"

using namespace heronworks::ledger;

namespace {

Use use(std::uint64_t identity, std::uint32_t units = 1, std::uint32_t volume = 1) {
  Use u;
  u.identity = identity;
  u.tenant = "club";
  u.volume = volume;
  u.plan = "base";
  u.profile = "read";
  u.units = units;
  u.client = "c";
  return u;
}

std::string shown(const std::string& bytes) {
  wire::Record r;
  REQUIRE(r.ParseFromString(bytes));
  if (r.has_entry()) {
    const auto& e = r.entry();
    return "entry " + std::to_string(e.number()) + " of " + std::to_string(e.identity()) + ", " +
           std::to_string(e.units()) + " units, period " + std::to_string(e.period()) +
           (e.repeat_of() ? ", repeats " + std::to_string(e.repeat_of()) : "");
  }
  if (r.has_closed()) {
    const auto& c = r.closed();
    return "closed " + std::to_string(c.period()) + ": " + std::to_string(c.first()) + " to " +
           std::to_string(c.last()) + ", " + std::to_string(c.units()) + " units, " +
           std::to_string(c.repeats()) + " repeats, " + hex(c.digest()).substr(0, 8);
  }
  return r.has_opened() ? "opened" : "note " + r.note().text();
}

}  // namespace

TEST_CASE("entries, repeats, periods: a trace, and the same after a restart at every record") {
  const BookOptions options{10, 6, 100};
  const auto play = [&](std::size_t restart_after, bool by_snapshot) {
    std::vector<std::string> log;
    auto book = std::make_unique<Book>(options);
    std::vector<std::string> out;
    const auto keep = [&] {
      for (std::string& r : out) {
        log.push_back(std::move(r));
        if (log.size() != restart_after) continue;
        // Only at the end of a call may a process die and another go on with the same calls.
      }
      out.clear();
      if (log.size() >= restart_after) {
        restart_after = SIZE_MAX;
        auto next = std::make_unique<Book>(options);
        if (by_snapshot) {
          REQUIRE(next->restore(book->snapshot()));
        } else {
          for (const std::string& r : log) REQUIRE(next->replay(r) == "");
        }
        book = std::move(next);
      }
    };
    const auto enter = [&](double t, const Use& u) {
      book->honoured(t, u, out);
      keep();
    };
    book->open(1000, 77, 0, out);
    keep();
    enter(1001, use(5, 2));
    enter(1002, use(6, 3));
    enter(1003, use(5, 2));  // the client did not hear, and came again
    enter(1009.5, use(7, 1));
    enter(1011, use(7, 1));  // again, over the end of the period
    enter(1020, use(5, 2));  // long after: no longer known, billed; reconciliation will find it
    book->tick(1020.5, out);
    keep();
    book->tick(1047, out);  // away for periods
    keep();
    Use unnamed = use(9);
    unnamed.unnamed = true;
    enter(1048, unnamed);
    enter(1048, unnamed);
    enter(1030, use(10));  // a time that went back is taken for the newest
    book->tick(1050, out);
    keep();
    std::string trace;
    for (const std::string& r : log) trace += shown(r) + "\n";
    return trace;
  };
  const std::string trace = play(SIZE_MAX, false);
  const auto seal = [&](const char* of) {
    const auto at = trace.find(of);
    REQUIRE(at != std::string::npos);
    const auto line = trace.substr(at, trace.find('\n', at) - at);
    return line.substr(0, line.rfind(','));
  };
  CHECK(trace.substr(0, trace.find("closed")) ==
        "opened\nentry 1 of 5, 2 units, period 100\nentry 2 of 6, 3 units, period 100\n"
        "entry 3 of 5, 2 units, period 100, repeats 1\nentry 4 of 7, 1 units, period 100\n");
  CHECK(seal("closed 100") == "closed 100: 1 to 4, 6 units, 1 repeats");
  CHECK(seal("closed 101") == "closed 101: 5 to 5, 0 units, 1 repeats");
  CHECK(seal("closed 102") == "closed 102: 6 to 6, 2 units, 0 repeats");
  CHECK(trace.find("closed 103") == std::string::npos);
  CHECK(seal("closed 104") == "closed 104: 7 to 9, 3 units, 0 repeats");
  CHECK(trace.find("entry 5 of 7, 1 units, period 101, repeats 4\n") != std::string::npos);
  for (std::size_t i = 1; i < 16; ++i) {
    CHECK(play(i, false) == trace);
    CHECK(play(i, true) == trace);
  }
}

TEST_CASE("a record that is out of turn, missing or changed is told") {
  Book book({10, 6, 100});
  std::vector<std::string> log;
  book.open(1000, 77, 0, log);
  for (std::uint64_t i = 1; i <= 3; ++i) book.honoured(1001, use(i), log);
  book.tick(1010, log);
  REQUIRE(log.size() == 5);
  const auto replayed = [&](const std::vector<std::string>& records) {
    Book other({10, 6, 100});
    for (const std::string& r : records) {
      if (const std::string wrong = other.replay(r); !wrong.empty()) return wrong;
    }
    return std::string();
  };
  CHECK(replayed(log).empty());
  auto bad = log;
  bad.erase(bad.begin() + 2);
  CHECK(replayed(bad) == "entry 3 where 2 was due");
  bad = log;
  wire::Record r;
  r.ParseFromString(bad[2]);
  r.mutable_entry()->set_units(100);
  bad[2] = r.SerializeAsString();
  CHECK(replayed(bad) == "the seal of period 100 does not hold");
  bad = log;
  bad.push_back(bad[4]);
  CHECK(replayed(bad) == "period 100 is closed twice");
  bad = log;
  bad[1] = "\xff\xff\xff";
  CHECK(replayed(bad) == "not a ledger's record");
}

TEST_CASE("fields of newer writers survive in the bytes, and the seal holds over them") {
  Book book({10, 6, 100});
  std::vector<std::string> log;
  book.open(1000, 77, 0, log);
  Book writer({10, 6, 100});
  for (const std::string& r : log) writer.replay(r);
  std::vector<std::string> out;
  writer.honoured(1001, use(1), out);
  wire::Record r;
  REQUIRE(r.ParseFromString(out[0]));
  const std::string entry = r.entry().SerializeAsString() + "\xf2\x3e\x05hello";  // field 1006
  REQUIRE(entry.size() < 128);
  const std::string newer = std::string("\x0a") + static_cast<char>(entry.size()) + entry;
  REQUIRE(r.ParseFromString(newer));
  CHECK(r.SerializeAsString() == newer);
  CHECK(newer.find("hello") != std::string::npos);
  CHECK(book.replay(newer) == "");
  std::vector<std::string> seal;
  book.tick(1010, seal);
  Book again({10, 6, 100});
  CHECK(again.replay(log[0]) == "");
  CHECK(again.replay(newer) == "");
  CHECK(again.replay(seal[0]) == "");
}

TEST_CASE("what is known of identities is bounded; what was forgotten for want of room is counted") {
  Book book({1000, 60, 50});
  std::vector<std::string> out;
  book.open(1000, 1, 0, out);
  for (std::uint64_t i = 1; i <= 80; ++i) book.honoured(1001, use(i), out);
  CHECK(book.identities() == 50);
  CHECK(book.forgotten() == 30);
  book.tick(1070, out);
  CHECK(book.identities() == 0);
  CHECK(book.forgotten() == 30);
}

TEST_CASE("the ledger's time: never back, slow while the wall is behind, sceptical of long leaps") {
  std::string trace;
  ClockRule c(0, 0, 1000, 100);
  const auto at = [&](double mono, double wall) {
    char line[64];
    const double t = c.time(mono, wall);
    std::snprintf(line, sizeof line, "%.1f%s ", t, c.doubted() ? "?" : "");
    trace += line;
  };
  at(1, 1001);
  at(2, 1002);
  at(3, 993);  // back by ten
  at(13, 1003);
  at(113, 1103);
  at(114, 1104);
  at(115, 1200);  // a leap of less than a period
  at(116, 9000);  // and one that is not believed
  at(117, 9001);
  at(118, 1203);  // put right
  CHECK(trace == "1001.0 1002.0 1002.9 1011.9 1103.0 1104.0 1200.0 1201.0? 1202.0? 1203.0 ");
  ClockRule later(5000, 0, 1000, 100);  // started under a clock that is behind the ledger
  CHECK(later.time(10, 1010) == 5009);
}

TEST_CASE("standing: reservation, then share, then spare, and back as time passes") {
  Standings s;
  std::string trace;
  for (int i = 0; i < 12; ++i) trace += "RSX"[static_cast<int>(s.of(1 + 0.1 * i, 0, 4, 7, 1))];
  CHECK(trace == "RRRRRRSSRSRS");
  for (int i = 12; i < 400; ++i) trace += "RSX"[static_cast<int>(s.of(1 + 0.1 * i, 0, 4, 7, 1))];
  CHECK(std::count(trace.begin(), trace.end(), 'R') ==
        163);  // 4 a second of 10, and a second's worth at first
  CHECK(std::count(trace.begin(), trace.end(), 'S') == 120);
  CHECK(s.of(100, 0, 4, 7, 9) == Standing::kReservation);  // larger than a second's worth, alone
  CHECK(s.of(10, 1, 0, 0, 1) == Standing::kSpare);
}

TEST_CASE("pressure: when the door closes, and how long an answer waits") {
  const Pressure p;
  CHECK(p.takes(false, 0.4, 0.1));
  CHECK_FALSE(p.takes(true, 0, 0));
  CHECK_FALSE(p.takes(false, 0.5, 0));
  CHECK_FALSE(p.takes(false, 0, 0.25));
  CHECK(p.hold_until(10, 10.5, 12) == 10.5);      // until its contract time
  CHECK(p.hold_until(11, 10.5, 12) == 11.05);     // late already: a little
  CHECK(p.hold_until(11.97, 10.5, 12) == 11.98);  // no longer than its cut-off bears
  CHECK(p.hold_until(11.99, 10.5, 12) == 11.99);  // at once
}
