#include "lab/receiver.h"

#include <unistd.h>

#include <stdexcept>

#include "ledger/export_frames.h"
#include "ledger/ledger_state.h"

namespace heronworks::lab {

class Receiver::Connection final : public StreamHandler, public ledger::ExportReceiverHost {
 public:
  Connection(Receiver& r, Fd fd) : receiver_(r), stream_(r.loop_, std::move(fd), *this) {}
  bool open() const { return stream_.open(); }

  std::size_t on_received(std::span<const std::uint8_t> bytes) override {
    const auto used = ledger::decode_frames(bytes, [this](const ledger::wire::Frame& f) { message(f); });
    if (used != SIZE_MAX) return used;
    stream_.close();
    return bytes.size();
  }
  void on_closed(const std::string&) override {}

  void append_received(std::uint64_t offset, const std::string& bytes) override {
    current_->bytes.replace(offset, std::string::npos, bytes);
  }
  void discard_received() override { current_->bytes.clear(); }
  void store_received() override {
    // The file name is the identity, so that an export is stored at most once.
    if (store::write_file_atomically(receiver_.files_, receiver_.options_.folder, id_,
                                     store::byte_view(current_->bytes)) != 0)
      return send_refused("cannot be stored");
    receiver_.maybe_crash();
    current_->receipt->on_stored(*this);
  }
  void send_want(std::uint64_t offset) override {
    ledger::wire::Frame f;
    f.mutable_want()->set_id(id_);
    f.mutable_want()->set_offset(offset);
    send(f);
  }
  void send_stored() override {
    std::string content;
    if (store::read_file(receiver_.files_, receiver_.options_.folder + "/" + id_, content) != 0)
      return send_refused("cannot be read");
    ledger::wire::Frame f;
    f.mutable_stored()->set_id(id_);
    f.mutable_stored()->set_digest(
        std::string(ledger::digest_view(ledger::chain_digest(ledger::Digest{}, content))));
    send(f);
  }
  void send_refused(const char* why) override {
    ledger::wire::Frame f;
    f.mutable_refused()->set_id(id_);
    f.mutable_refused()->set_reason(why);
    send(f);
  }

 private:
  void message(const ledger::wire::Frame& f) {
    receiver_.maybe_crash();
    id_ = f.has_offer() ? f.offer().id() : f.has_piece() ? f.piece().id() : f.done().id();
    if (id_.empty() || id_.find_first_not_of("0123456789abcdefcsvrecords-") != std::string::npos)
      return send_refused("no identity");
    const auto [at, inserted] = receiver_.incoming_.try_emplace(id_);
    current_ = &at->second;
    if (inserted) {
      std::string content;
      current_->receipt = std::make_unique<ledger::ExportReceiver>(
          store::read_file(receiver_.files_, receiver_.options_.folder + "/" + id_, content) == 0);
    }
    if (f.has_offer()) {
      current_->digest = f.offer().digest();
      current_->receipt->on_offer(*this, f.offer().size());
    } else if (f.has_piece()) {
      current_->receipt->on_piece(*this, f.piece().offset(), f.piece().data());
    } else if (f.has_done()) {
      const auto digest = ledger::chain_digest(ledger::Digest{}, current_->bytes);
      current_->receipt->on_done(*this, current_->digest == ledger::digest_view(digest));
    }
  }
  void send(const ledger::wire::Frame& f) {
    const std::string bytes = ledger::encode_frame(f);
    const auto out = [this, bytes] {
      if (stream_.open()) stream_.send({reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
    };
    const double chance = receiver_.draw();
    const ReceiverOptions& o = receiver_.options_;
    if (chance < o.lost_reply_fraction) return stream_.close();
    if (chance < o.lost_reply_fraction + o.late_reply_fraction) {
      receiver_.loop_.run_at(receiver_.loop_.now() + kReplyDelay, out);
      return;
    }
    out();
    if (chance < o.lost_reply_fraction + o.late_reply_fraction + o.duplicate_reply_fraction) out();
  }

  Receiver& receiver_;
  Stream stream_;
  std::string id_;
  Incoming* current_ = nullptr;
};

Receiver::Receiver(Loop& loop, const ReceiverOptions& options)
    : loop_(loop), options_(options), random_(options.seed + 1) {
  random_.discard(16);  // the first values of small seeds are small
  if (files_.create_directories(options.folder) != 0)
    throw std::runtime_error("cannot create folder " + options.folder);
  Fd fd = listen_on(options.listen);
  if (!fd) throw std::runtime_error("cannot listen on " + options.listen.to_string());
  listener_ = std::make_unique<Listener>(loop, std::move(fd), [this](Fd accepted) {
    // Closed connections stay until the end because delayed replies may still refer to them.
    connections_.push_back(std::make_unique<Connection>(*this, std::move(accepted)));
  });
}

Receiver::~Receiver() = default;

double Receiver::draw() { return static_cast<double>(random_() - 1) / 2147483646.0; }

void Receiver::maybe_crash() {
  if (draw() < options_.crash_fraction) ::_exit(9);
}

}  // namespace heronworks::lab
