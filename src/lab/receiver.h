// A stand-in for an external billing system: receives ledger exports, stores each export once under its
// identity (write, sync, rename, sync) and injects lost, late and duplicated replies and crashes.
#pragma once

#include <map>
#include <memory>
#include <random>

#include "ledger/export_protocol.h"
#include "loop/stream.h"
#include "store/file_system.h"

namespace heronworks::lab {

struct ReceiverOptions {
  Address listen;
  std::string folder;
  unsigned seed = 1;
  double lost_reply_fraction = 0;  // fraction of replies lost together with the connection
  double duplicate_reply_fraction = 0;
  double late_reply_fraction = 0;  // fraction of replies delayed by kReplyDelay
  double crash_fraction = 0;       // probability of a crash before or after handling a message
};

class Receiver {
 public:
  Receiver(Loop& loop, const ReceiverOptions& options);
  ~Receiver();
  Address address() const { return listener_->address(); }

 private:
  class Connection;
  struct Incoming {
    std::unique_ptr<ledger::ExportReceiver> receipt;
    std::string bytes;
    std::string digest;
  };
  double draw();
  void maybe_crash();

  static constexpr double kReplyDelay = 0.3;  // s
  Loop& loop_;
  const ReceiverOptions options_;
  store::PosixFileSystem files_;
  std::minstd_rand random_;
  std::map<std::string, Incoming> incoming_;  // by identity; grows with the exports offered since the start
  std::vector<std::unique_ptr<Connection>> connections_;
  std::unique_ptr<Listener> listener_;
};

}  // namespace heronworks::lab
