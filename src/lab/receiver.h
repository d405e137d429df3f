// A stand-in for the members' billing system: receives exports, stores each identity once, and behaves badly
// on purpose. What is stored is a file under its identity, made by write, sync, rename, sync.
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
  double lose_answer = 0;  // part of its answers that are lost, with the connection
  double answer_twice = 0;
  double answer_late = 0;  // part that come kLate s later
  double crash = 0;        // part of messages at which the process dies, before or after its work
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

  static constexpr double kLate = 0.3;  // s
  Loop& loop_;
  const ReceiverOptions options_;
  store::PosixFileSystem files_;
  std::minstd_rand random_;
  std::map<std::string, Incoming> incoming_;  // by identity; as many as were offered since the start
  std::vector<std::unique_ptr<Connection>> connections_;
  std::unique_ptr<Listener> listener_;
};

}  // namespace heronworks::lab
