// Exactly-once export of a sealed period: the state machines of sender and receiver. Free of I/O, and
// copyable and comparable so that tests can explore every order of events.
//
// The sender makes an intent durable, offers the export, sends the pieces that the receiver asks for, and
// makes a commit durable once the receiver confirms that it has stored the content. The export id is an
// idempotency key: it is the same after every crash, and the receiver stores each id once. Retries are
// therefore harmless, and the sender retries until the receiver confirms.
#pragma once

#include <cstdint>
#include <string>

namespace heronworks::ledger {

// Actions that an ExportSender requests.
class ExportSenderHost {
 public:
  virtual ~ExportSenderHost() = default;
  virtual void write_intent() = 0;  // makes it durable, then calls on_intent_durable()
  virtual void connect() = 0;       // then calls on_connected() or on_connection_lost()
  virtual void send_offer() = 0;
  virtual void send_piece(std::uint64_t offset, std::uint64_t size) = 0;
  virtual void send_done() = 0;
  virtual void write_commit() = 0;  // makes it durable, then calls on_commit_durable()
  virtual void on_finished(bool succeeded, const char* message) = 0;
};

class ExportSender {
 public:
  // `size` in bytes. `intent_durable` and `committed`: what the adjustment log has recorded for this export.
  ExportSender(std::uint64_t size, std::string digest, bool intent_durable, bool committed, int max_attempts)
      : size_(size),
        digest_(std::move(digest)),
        intent_durable_(intent_durable),
        committed_(committed),
        attempts_left_(max_attempts) {}

  static constexpr std::uint64_t kMaxPieceBytes = std::uint64_t{64} << 10;

  void start(ExportSenderHost& host) {
    if (committed_) return host.on_finished(true, "sent before");
    if (!intent_durable_) return host.write_intent();
    host.connect();
  }
  void on_intent_durable(ExportSenderHost& host) {
    intent_durable_ = true;
    host.connect();
  }
  void on_connected(ExportSenderHost& host) {
    connected_ = true;
    host.send_offer();
  }
  // The receiver asks for the content from `offset` on.
  void on_want(ExportSenderHost& host, std::uint64_t offset) {
    if (!connected_ || commit_requested_ || committed_) return;
    if (offset > size_) return host.on_finished(false, "the receiver asked for data past the export's end");
    const std::uint64_t size = size_ - offset < kMaxPieceBytes ? size_ - offset : kMaxPieceBytes;
    if (size > 0) host.send_piece(offset, size);
    else host.send_done();
  }
  // The receiver confirms that it has stored content with this digest.
  void on_stored(ExportSenderHost& host, const std::string& digest) {
    if (commit_requested_ || committed_) return;  // a repeated confirmation
    if (digest != digest_) return host.on_finished(false, "the receiver stored content with another digest");
    commit_requested_ = true;
    host.write_commit();
  }
  void on_refused(ExportSenderHost& host) {
    if (!commit_requested_ && !committed_) host.on_finished(false, "the receiver refused the export");
  }
  void on_connection_lost(ExportSenderHost& host) {
    connected_ = false;
    if (commit_requested_ || committed_) return;
    if (--attempts_left_ <= 0)
      return host.on_finished(false, "the receiver cannot be reached; the export may be run again");
    host.connect();
  }
  void on_commit_durable(ExportSenderHost& host) {
    committed_ = true;
    host.on_finished(true, "sent");
  }
  bool operator==(const ExportSender&) const = default;
  auto operator<=>(const ExportSender&) const = default;

 private:
  std::uint64_t size_;
  std::string digest_;
  bool intent_durable_;
  bool committed_;
  int attempts_left_;
  bool connected_ = false;
  bool commit_requested_ = false;
};

// Actions that an ExportReceiver requests.
class ExportReceiverHost {
 public:
  virtual ~ExportReceiverHost() = default;
  virtual void append_received(std::uint64_t offset, const std::string& bytes) = 0;
  virtual void discard_received() = 0;
  virtual void store_received() = 0;  // makes it durable under the export id, then calls on_stored()
  virtual void send_want(std::uint64_t offset) = 0;
  virtual void send_stored() = 0;
  virtual void send_refused(const char* reason) = 0;
};

// The receiver's state for one export id.
class ExportReceiver {
 public:
  // `stored`: content is already stored under the id.
  explicit ExportReceiver(bool stored) : stored_(stored) {}

  void on_offer(ExportReceiverHost& host, std::uint64_t size) {
    if (stored_) return host.send_stored();
    if (size != size_) {
      host.discard_received();
      received_ = 0;
    }
    size_ = size;
    host.send_want(received_);
  }
  void on_piece(ExportReceiverHost& host, std::uint64_t offset, const std::string& bytes) {
    if (stored_) return host.send_stored();
    // The receiver restarted after the offer.
    if (size_ == 0 && received_ == 0 && offset != 0) return host.send_want(0);
    if (offset == received_) {
      host.append_received(offset, bytes);
      received_ += bytes.size();
    }
    host.send_want(received_);
  }
  // `digest_matches`: the received content has the offered digest.
  void on_done(ExportReceiverHost& host, bool digest_matches) {
    if (stored_) return host.send_stored();
    if (received_ != size_ || size_ == 0) return host.send_want(received_);
    if (!digest_matches) {
      host.discard_received();
      received_ = 0;
      return host.send_want(0);
    }
    host.store_received();
  }
  void on_stored(ExportReceiverHost& host) {
    stored_ = true;
    host.send_stored();
  }
  bool operator==(const ExportReceiver&) const = default;
  auto operator<=>(const ExportReceiver&) const = default;

 private:
  bool stored_;
  std::uint64_t size_ = 0;      // bytes offered
  std::uint64_t received_ = 0;  // bytes
};

}  // namespace heronworks::ledger
