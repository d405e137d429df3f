// libFuzzer targets: NVMe/TCP PDUs (FUZZ_PDU), HTTP messages (FUZZ_HTTP) and, with neither macro,
// expressions. run.sh fuzzes them; replay.cpp runs them over the stored corpora.
#include <cstddef>
#include <cstdint>

#ifdef FUZZ_PDU
#include "nvme/pdu.h"

// The first byte selects the receiving role and the digests; the rest is parsed as a stream of PDUs.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace heronworks::nvme;
  constexpr std::uint32_t kMaxPduSize = 1 << 16;
  if (size < 1) return 0;
  PduParser parser((data[0] & 1) != 0 ? Role::kHost : Role::kController, kMaxPduSize);
  parser.set_digests({(data[0] & 2) != 0, (data[0] & 4) != 0});
  ByteView unparsed(data + 1, size - 1);
  while (true) {
    std::size_t consumed = 0;
    std::optional<FatalError> error;
    const auto pdu = parser.parse(unparsed, consumed, error);
    if (!pdu || consumed == 0 || consumed > unparsed.size()) return 0;
    if (pdu->data.size() > consumed || pdu->header_bytes.size() > consumed) __builtin_trap();
    unparsed = unparsed.subspan(consumed);
  }
}
#elif defined(FUZZ_HTTP)
#include <string>

#include "http/reader.h"

// The first byte selects requests or responses. Parsing the rest at once and byte by byte must give one
// result.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace heronworks::http;
  if (size < 1) return 0;
  const MessageKind kind = (data[0] & 1) != 0 ? MessageKind::kRequest : MessageKind::kResponse;
  const MessageLimits limits{256, 64, 8};
  const std::span<const std::uint8_t> input(data + 1, size - 1);
  Reader at_once(kind, limits);
  const auto at_once_used = at_once.put(input);
  if (at_once_used > input.size()) __builtin_trap();
  Reader bytewise(kind, limits);
  std::size_t bytewise_used = 0;
  for (std::size_t end = 1; end <= input.size() && !bytewise.done() && bytewise.error() == ParseError::kNone;
       ++end) {
    bytewise_used += bytewise.put(input.subspan(bytewise_used, end - bytewise_used));
  }
  if (at_once.done() != bytewise.done() || (at_once.done() && at_once_used != bytewise_used))
    __builtin_trap();
  if ((at_once.error() == ParseError::kNone) != (bytewise.error() == ParseError::kNone)) __builtin_trap();
  if (at_once.done() && at_once.message().body != bytewise.message().body) __builtin_trap();
  if (at_once.message().body.size() > limits.body_bytes) __builtin_trap();
  return 0;
}
#else
#include "expr/program.h"

// Compiles the input as an expression and runs it within the number of steps that the compiler computed.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace heronworks::expr;
  std::vector<Diagnostic> diagnostics;
  const auto program = compile(std::string_view(reinterpret_cast<const char*>(data), size), {}, Limits{},
                               std::nullopt, diagnostics);
  if (!program) {
    if (diagnostics.empty()) __builtin_trap();
    return 0;
  }
  Record record;
  for (std::size_t i = 0; i < kFieldCount; ++i) {
    if (fields()[i].type == kString) record.values[i] = Value(std::string_view("text"));
  }
  Machine machine;
  Value value;
  machine.run(*program, record, value);
  if (machine.steps_used() > program->max_steps) __builtin_trap();
  return 0;
}
#endif
