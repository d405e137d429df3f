// A closed period goes to a receiver exactly once: decisions of both ends, free of I/O, copied and compared
// by value so that every order of events can be searched.
//
// The sender writes an intent, offers, sends what the receiver asks for, and writes a commit once the
// receiver says that it is stored. The receiver stores under the export's identity, which is the same after
// every crash, and stores an identity once. So a repeat is harmless, and the sender repeats until it has the
// receiver's word.
#pragma once

#include <cstdint>
#include <string>

namespace heronworks::ledger {

// What a sender asks of the program around it.
class SenderHost {
 public:
  virtual ~SenderHost() = default;
  virtual void write_intent() = 0;  // durable, then intent_written()
  virtual void connect() = 0;       // then connected(), or lost()
  virtual void send_offer() = 0;
  virtual void send_piece(std::uint64_t offset, std::uint64_t size) = 0;
  virtual void send_done() = 0;
  virtual void write_commit() = 0;  // durable, then commit_written()
  virtual void finished(bool good, const char* why) = 0;
};

class Sender {
 public:
  // `intended` and `committed`: what the journal says of this identity.
  Sender(std::uint64_t size, std::string digest, bool intended, bool committed, int tries)
      : size_(size), digest_(std::move(digest)), intended_(intended), committed_(committed), tries_(tries) {}

  static constexpr std::uint64_t kPiece = std::uint64_t{64} << 10;  // bytes sent at a time

  void start(SenderHost& host) {
    if (committed_) return host.finished(true, "sent before");
    if (!intended_) return host.write_intent();
    host.connect();
  }
  void intent_written(SenderHost& host) {
    intended_ = true;
    host.connect();
  }
  void connected(SenderHost& host) {
    up_ = true;
    host.send_offer();
  }
  void want(SenderHost& host, std::uint64_t offset) {
    if (!up_ || committing_ || committed_) return;
    if (offset > size_) return host.finished(false, "the receiver has more than there is");
    const std::uint64_t size = size_ - offset < kPiece ? size_ - offset : kPiece;
    if (size > 0) host.send_piece(offset, size);
    else host.send_done();
  }
  void stored(SenderHost& host, const std::string& digest) {
    if (committing_ || committed_) return;  // told twice
    if (digest != digest_) return host.finished(false, "the receiver stored something else");
    committing_ = true;
    host.write_commit();
  }
  void refused(SenderHost& host) {
    if (!committing_ && !committed_) host.finished(false, "the receiver refused");
  }
  void lost(SenderHost& host) {
    up_ = false;
    if (committing_ || committed_) return;
    if (--tries_ <= 0)
      return host.finished(false, "the receiver cannot be reached; the export may be run again");
    host.connect();
  }
  void commit_written(SenderHost& host) {
    committed_ = true;
    host.finished(true, "sent");
  }
  bool operator==(const Sender&) const = default;
  auto operator<=>(const Sender&) const = default;

 private:
  std::uint64_t size_;
  std::string digest_;
  bool intended_;
  bool committed_;
  int tries_;
  bool up_ = false;
  bool committing_ = false;
};

class ReceiverHost {
 public:
  virtual ~ReceiverHost() = default;
  virtual void take(std::uint64_t offset, const std::string& bytes) = 0;  // to what is received so far
  virtual void drop() = 0;                                                // of what is received so far
  virtual void store() = 0;  // durable, under the identity; then stored()
  virtual void say_want(std::uint64_t offset) = 0;
  virtual void say_stored() = 0;
  virtual void say_refused(const char* why) = 0;
};

// Of one identity.
class Receipt {
 public:
  explicit Receipt(bool stored) : stored_(stored) {}

  void offered(ReceiverHost& host, std::uint64_t size) {
    if (stored_) return host.say_stored();
    if (size != size_) {
      host.drop();
      have_ = 0;
    }
    size_ = size;
    host.say_want(have_);
  }
  void piece(ReceiverHost& host, std::uint64_t offset, const std::string& bytes) {
    if (stored_) return host.say_stored();
    if (size_ == 0 && have_ == 0 && offset != 0) return host.say_want(0);  // it died since the offer
    if (offset == have_) {
      host.take(offset, bytes);
      have_ += bytes.size();
    }
    host.say_want(have_);
  }
  // `sound`: what is received has the digest that was offered.
  void done(ReceiverHost& host, bool sound) {
    if (stored_) return host.say_stored();
    if (have_ != size_ || size_ == 0) return host.say_want(have_);
    if (!sound) {
      host.drop();
      have_ = 0;
      return host.say_want(0);
    }
    host.store();
  }
  void stored(ReceiverHost& host) {
    stored_ = true;
    host.say_stored();
  }
  bool operator==(const Receipt&) const = default;
  auto operator<=>(const Receipt&) const = default;

 private:
  bool stored_;
  std::uint64_t size_ = 0;
  std::uint64_t have_ = 0;
};

}  // namespace heronworks::ledger
