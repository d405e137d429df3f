// An export over a socket: see export_run.h.
#include "ledger/export_run.h"

#include <cerrno>
#include <cstring>

#include "ledger/frames.h"

namespace heronworks::ledger {
namespace {

constexpr double kBackoff = 0.05;  // s before another try to connect; doubles up to a hundred times that
constexpr int kTries = 8;

std::string quoted(const std::string& s) {  // as RFC 4180 has it
  if (s.find_first_of(",\"\r\n") == std::string::npos) return s;
  std::string out = "\"";
  for (const char c : s) out += c == '"' ? "\"\"" : std::string(1, c);
  return out + "\"";
}

class Run final : public SenderHost, public StreamHandler {
 public:
  Run(store::Log& log, Desk& desk, wire::Intent intent, const std::string& bytes, const Address& to,
      double patience)
      : log_(log),
        desk_(desk),
        intent_(std::move(intent)),
        bytes_(bytes),
        to_(to),
        loop_(clock_),
        patience_(patience),
        sender_(bytes.size(), intent_.digest(), desk.intents.contains(intent_.id()),
                desk.committed.contains(intent_.id()), kTries) {}

  ExportResult go() {
    loop_.defer([this] { sender_.start(*this); });
    loop_.run_at(loop_.now() + patience_,
                 [this] { finished(false, "no answer in time; the export may be run again"); });
    loop_.run();
    return result_;
  }

  void write_intent() override {
    wire::DeskRecord r;
    *r.mutable_intent() = intent_;
    if (!add(r)) return;
    sender_.intent_written(*this);
  }
  void write_commit() override {
    wire::DeskRecord r;
    r.mutable_committed()->set_id(intent_.id());
    r.mutable_committed()->set_at(static_cast<std::int64_t>(1e9 * (loop_.now() + wall_offset())));
    if (!add(r)) return;
    sender_.commit_written(*this);
  }
  void connect() override {
    stream_.reset();
    loop_.run_at(loop_.now() + wait_, [this] {
      wait_ = std::min(wait_ == 0 ? kBackoff : 2 * wait_, 100 * kBackoff);
      Fd fd = connect_to(to_);
      if (!fd) return sender_.lost(*this);
      stream_ = std::make_unique<Stream>(loop_, std::move(fd), *this, true);
    });
  }
  void send_offer() override {
    wire::Frame f;
    f.mutable_offer()->set_id(intent_.id());
    f.mutable_offer()->set_size(bytes_.size());
    f.mutable_offer()->set_digest(intent_.digest());
    send(f);
  }
  void send_piece(std::uint64_t offset, std::uint64_t size) override {
    wire::Frame f;
    f.mutable_piece()->set_id(intent_.id());
    f.mutable_piece()->set_offset(offset);
    f.mutable_piece()->set_data(bytes_.substr(offset, size));
    send(f);
  }
  void send_done() override {
    wire::Frame f;
    f.mutable_done()->set_id(intent_.id());
    send(f);
  }
  void finished(bool good, const char* why) override {
    if (!result_.why.empty()) return;
    result_ = {good, why, intent_.id()};
    loop_.stop();
  }

  void on_connected() override { sender_.connected(*this); }
  std::size_t on_received(std::span<const std::uint8_t> bytes) override {
    const auto used = unframe(bytes, [this](const wire::Frame& f) {
      if (f.has_want() && f.want().id() == intent_.id()) sender_.want(*this, f.want().offset());
      if (f.has_stored() && f.stored().id() == intent_.id()) sender_.stored(*this, f.stored().digest());
      if (f.has_refused() && f.refused().id() == intent_.id()) sender_.refused(*this);
    });
    if (used != SIZE_MAX) return used;
    finished(false, "the receiver speaks another protocol");
    return bytes.size();
  }
  void on_closed(const std::string&) override {
    loop_.defer([this] { sender_.lost(*this); });
  }

 private:
  void send(const wire::Frame& f) {
    const std::string bytes = framed(f);
    if (stream_) stream_->send({reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
  }
  bool add(const wire::DeskRecord& r) {
    const int e = add_to_desk(log_, desk_, r);
    if (e != 0) finished(false, std::strerror(e));
    return e == 0;
  }

  store::Log& log_;
  Desk& desk_;
  const wire::Intent intent_;
  const std::string& bytes_;
  const Address to_;
  const MonotonicClock clock_;
  Loop loop_;
  const double patience_;
  Sender sender_;
  std::unique_ptr<Stream> stream_;
  double wait_ = 0;
  ExportResult result_;
};

}  // namespace

bool export_bytes(store::FileSystem& files, const std::string& folder, std::int64_t period, Form form,
                  std::string& bytes, LedgerFacts& facts, store::FileError& fault) {
  static constexpr const char* kStandings[] = {"reservation", "share", "spare"};
  bytes = form == Form::kCsv ? "number,identity,tenant,volume,plan,profile,units,bytes,standing,at,repeat_of,"
                               "client,attempt,labels\r\n"
                             : "";
  bool sealed = false;
  const auto put = [&](std::string_view record) {
    const auto size = static_cast<std::uint32_t>(record.size());
    bytes.append(reinterpret_cast<const char*>(&size), 4);
    bytes += record;
  };
  Visitor visitor;
  visitor.entry = [&](const wire::Entry& e, std::string_view record) {
    if (e.period() != period) return;
    if (form == Form::kRecords) return put(record);
    std::string labels;
    for (const auto& l : e.labels()) labels += (labels.empty() ? "" : ";") + l.name() + "=" + l.value();
    bytes += std::to_string(e.number()) + "," + std::to_string(e.identity()) + "," + quoted(e.tenant()) +
             "," + std::to_string(e.volume()) + "," + quoted(e.plan()) + "," + quoted(e.profile()) + "," +
             std::to_string(e.units()) + "," + std::to_string(e.bytes()) + "," +
             (e.standing() < 3 ? kStandings[e.standing()] : "") + "," + std::to_string(e.at()) + "," +
             std::to_string(e.repeat_of()) + "," + quoted(e.client()) + "," + std::to_string(e.attempt()) +
             "," + quoted(labels) + "\r\n";
  };
  visitor.closed = [&](const wire::Closed& c, std::string_view record) {
    if (c.period() != period) return;
    sealed = true;
    if (form == Form::kRecords) put(record);
  };
  if (!read_ledger(files, folder, visitor, facts, fault)) return false;
  if (sealed) return true;
  fault = {folder, 0, "period " + std::to_string(period) + " has no seal", 0};
  return false;
}

std::string export_id(std::uint64_t ledger, std::int64_t period, Form form, std::string_view bytes) {
  char text[64];
  std::snprintf(text, sizeof text, "%016llx-%lld-%s-", static_cast<unsigned long long>(ledger),
                static_cast<long long>(period), form == Form::kCsv ? "csv" : "records");
  return text + hex(ledger::text(chained(Digest{}, bytes))).substr(0, 16);
}

ExportResult run_export(store::Log& log, Desk& desk, std::uint64_t ledger, std::int64_t period, Form form,
                        const std::string& bytes, const Address& to, double patience) {
  wire::Intent intent;
  intent.set_id(export_id(ledger, period, form, bytes));
  intent.set_ledger(ledger);
  intent.set_period(period);
  intent.set_size(bytes.size());
  intent.set_digest(std::string(ledger::text(chained(Digest{}, bytes))));
  Run run(log, desk, std::move(intent), bytes, to, patience);
  return run.go();
}

}  // namespace heronworks::ledger
