#include "ledger/period_export.h"

#include <cerrno>
#include <cstring>

#include "ledger/export_frames.h"

namespace heronworks::ledger {
namespace {

constexpr double kInitialRetryDelay = 0.05;  // s before the first reconnect; doubles from then on
constexpr double kMaxRetryDelay = 100 * kInitialRetryDelay;
constexpr int kMaxAttempts = 8;

// Quotes a CSV field if needed, as in RFC 4180.
std::string csv_field(const std::string& value) {
  if (value.find_first_of(",\"\r\n") == std::string::npos) return value;
  std::string out = "\"";
  for (const char c : value) out += c == '"' ? "\"\"" : std::string(1, c);
  return out + "\"";
}

class ExportRun final : public ExportSenderHost, public StreamHandler {
 public:
  ExportRun(store::Log& log, Adjustments& adjustments, wire::Intent intent, const std::string& content,
            const Address& receiver, double timeout)
      : log_(log),
        adjustments_(adjustments),
        intent_(std::move(intent)),
        content_(content),
        receiver_(receiver),
        loop_(clock_),
        timeout_(timeout),
        sender_(content.size(), intent_.digest(), adjustments.intents.contains(intent_.id()),
                adjustments.committed.contains(intent_.id()), kMaxAttempts) {}

  ExportResult run() {
    loop_.defer([this] { sender_.start(*this); });
    loop_.run_at(loop_.now() + timeout_,
                 [this] { on_finished(false, "the export timed out; it may be run again"); });
    loop_.run();
    return result_;
  }

  void write_intent() override {
    wire::DeskRecord record;
    *record.mutable_intent() = intent_;
    if (!add(record)) return;
    sender_.on_intent_durable(*this);
  }
  void write_commit() override {
    wire::DeskRecord record;
    record.mutable_committed()->set_id(intent_.id());
    record.mutable_committed()->set_at(static_cast<std::int64_t>(1e9 * (loop_.now() + wall_offset())));
    if (!add(record)) return;
    sender_.on_commit_durable(*this);
  }
  void connect() override {
    stream_.reset();
    loop_.run_at(loop_.now() + retry_delay_, [this] {
      retry_delay_ = std::min(retry_delay_ == 0 ? kInitialRetryDelay : 2 * retry_delay_, kMaxRetryDelay);
      Fd fd = connect_to(receiver_);
      if (!fd) return sender_.on_connection_lost(*this);
      stream_ = std::make_unique<Stream>(loop_, std::move(fd), *this, true);
    });
  }
  void send_offer() override {
    wire::Frame frame;
    frame.mutable_offer()->set_id(intent_.id());
    frame.mutable_offer()->set_size(content_.size());
    frame.mutable_offer()->set_digest(intent_.digest());
    send(frame);
  }
  void send_piece(std::uint64_t offset, std::uint64_t size) override {
    wire::Frame frame;
    frame.mutable_piece()->set_id(intent_.id());
    frame.mutable_piece()->set_offset(offset);
    frame.mutable_piece()->set_data(content_.substr(offset, size));
    send(frame);
  }
  void send_done() override {
    wire::Frame frame;
    frame.mutable_done()->set_id(intent_.id());
    send(frame);
  }
  void on_finished(bool succeeded, const char* message) override {
    if (!result_.message.empty()) return;
    result_ = {succeeded, message, intent_.id()};
    loop_.stop();
  }

  void on_connected() override { sender_.on_connected(*this); }
  std::size_t on_received(std::span<const std::uint8_t> bytes) override {
    const auto used = decode_frames(bytes, [this](const wire::Frame& frame) {
      if (frame.has_want() && frame.want().id() == intent_.id())
        sender_.on_want(*this, frame.want().offset());
      if (frame.has_stored() && frame.stored().id() == intent_.id())
        sender_.on_stored(*this, frame.stored().digest());
      if (frame.has_refused() && frame.refused().id() == intent_.id()) sender_.on_refused(*this);
    });
    if (used != SIZE_MAX) return used;
    on_finished(false, "the receiver sent a malformed frame");
    return bytes.size();
  }
  void on_closed(const std::string&) override {
    loop_.defer([this] { sender_.on_connection_lost(*this); });
  }

 private:
  void send(const wire::Frame& frame) {
    const std::string bytes = encode_frame(frame);
    if (stream_) stream_->send({reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
  }
  bool add(const wire::DeskRecord& record) {
    const int error = append_adjustment(log_, adjustments_, record);
    if (error != 0) on_finished(false, std::strerror(error));
    return error == 0;
  }

  store::Log& log_;
  Adjustments& adjustments_;
  const wire::Intent intent_;
  const std::string& content_;
  const Address receiver_;
  const MonotonicClock clock_;
  Loop loop_;
  const double timeout_;
  ExportSender sender_;
  std::unique_ptr<Stream> stream_;
  double retry_delay_ = 0;
  ExportResult result_;
};

}  // namespace

bool build_export(store::FileSystem& files, const std::string& folder, std::int64_t period,
                  ExportFormat format, std::string& content, LedgerSummary& summary,
                  store::FileError& error) {
  static constexpr const char* kTierNames[] = {"reservation", "share", "spare"};
  content = format == ExportFormat::kCsv
                ? "number,identity,tenant,volume,plan,profile,units,bytes,standing,at,repeat_of,"
                  "client,attempt,labels\r\n"
                : "";
  bool sealed = false;
  const auto append_record = [&](std::string_view record) {
    const auto size = static_cast<std::uint32_t>(record.size());
    content.append(reinterpret_cast<const char*>(&size), 4);
    content += record;
  };
  LedgerVisitor visitor;
  visitor.on_entry = [&](const wire::Entry& entry, std::string_view record) {
    if (entry.period() != period) return;
    if (format == ExportFormat::kRecords) return append_record(record);
    std::string labels;
    for (const auto& label : entry.labels())
      labels += (labels.empty() ? "" : ";") + label.name() + "=" + label.value();
    content += std::to_string(entry.number()) + "," + std::to_string(entry.identity()) + "," +
               csv_field(entry.tenant()) + "," + std::to_string(entry.volume()) + "," +
               csv_field(entry.plan()) + "," + csv_field(entry.profile()) + "," +
               std::to_string(entry.units()) + "," + std::to_string(entry.bytes()) + "," +
               (entry.standing() < 3 ? kTierNames[entry.standing()] : "") + "," + std::to_string(entry.at()) +
               "," + std::to_string(entry.repeat_of()) + "," + csv_field(entry.client()) + "," +
               std::to_string(entry.attempt()) + "," + csv_field(labels) + "\r\n";
  };
  visitor.on_period_sealed = [&](const wire::Closed& seal, std::string_view record) {
    if (seal.period() != period) return;
    sealed = true;
    if (format == ExportFormat::kRecords) append_record(record);
  };
  if (!read_ledger(files, folder, visitor, summary, error)) return false;
  if (sealed) return true;
  error = {folder, 0, "period " + std::to_string(period) + " is not sealed", 0};
  return false;
}

std::string export_id(std::uint64_t ledger_id, std::int64_t period, ExportFormat format,
                      std::string_view content) {
  char text[64];
  std::snprintf(text, sizeof text, "%016llx-%lld-%s-", static_cast<unsigned long long>(ledger_id),
                static_cast<long long>(period), format == ExportFormat::kCsv ? "csv" : "records");
  return text + to_hex(digest_view(chain_digest(Digest{}, content))).substr(0, 16);
}

ExportResult run_export(store::Log& log, Adjustments& adjustments, std::uint64_t ledger_id,
                        std::int64_t period, ExportFormat format, const std::string& content,
                        const Address& receiver, double timeout) {
  wire::Intent intent;
  intent.set_id(export_id(ledger_id, period, format, content));
  intent.set_ledger(ledger_id);
  intent.set_period(period);
  intent.set_size(content.size());
  intent.set_digest(std::string(digest_view(chain_digest(Digest{}, content))));
  ExportRun run(log, adjustments, std::move(intent), content, receiver, timeout);
  return run.run();
}

}  // namespace heronworks::ledger
