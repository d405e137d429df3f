// libFuzzer targets, out of CI: PDUs at both ends, HTTP messages, and expressions. `make fuzz` runs each for
// a minute.
#include <cstddef>
#include <cstdint>

#ifdef FUZZ_PDU
#include "nvme/framing.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace heronworks::nvme;
  if (size < 1) return 0;
  Framing f((data[0] & 1) != 0 ? End::kHost : End::kController, 1 << 16);
  f.set_digests({(data[0] & 2) != 0, (data[0] & 4) != 0});
  View rest(data + 1, size - 1);
  while (true) {
    std::size_t used = 0;
    std::optional<FatalError> error;
    const auto pdu = f.next(rest, used, error);
    if (!pdu || used == 0 || used > rest.size()) return 0;
    if (pdu->data.size() > used || pdu->head.size() > used) __builtin_trap();
    rest = rest.subspan(used);
  }
}
#elif defined(FUZZ_HTTP)
#include <string>

#include "http/reader.h"

// One piece, and byte by byte: the same end.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace heronworks::http;
  if (size < 1) return 0;
  const MessageKind kind = (data[0] & 1) != 0 ? MessageKind::kRequest : MessageKind::kResponse;
  const MessageLimits limits{256, 64, 8};
  const std::span<const std::uint8_t> all(data + 1, size - 1);
  Reader a(kind, limits);
  const auto used = a.put(all);
  if (used > all.size()) __builtin_trap();
  Reader b(kind, limits);
  std::size_t from = 0;
  for (std::size_t to = 1; to <= all.size() && !b.done() && b.error() == ParseError::kNone; ++to) {
    from += b.put(all.subspan(from, to - from));
  }
  if (a.done() != b.done() || (a.done() && used != from)) __builtin_trap();
  if ((a.error() == ParseError::kNone) != (b.error() == ParseError::kNone)) __builtin_trap();
  if (a.done() && a.message().body != b.message().body) __builtin_trap();
  if (a.message().body.size() > limits.body_bytes) __builtin_trap();
  return 0;
}
#else
#include "expr/program.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace heronworks::expr;
  std::vector<Diagnostic> diagnostics;
  const auto p = compile(std::string_view(reinterpret_cast<const char*>(data), size), {}, Limits{},
                         std::nullopt, diagnostics);
  if (!p) {
    if (diagnostics.empty()) __builtin_trap();
    return 0;
  }
  Record record;
  for (std::size_t i = 0; i < kFieldCount; ++i) {
    if (fields()[i].type == kString) record.values[i] = Value(std::string_view("text"));
  }
  Machine m;
  Value v;
  m.run(*p, record, v);
  if (m.steps_used() > p->max_steps) __builtin_trap();
  return 0;
}
#endif
