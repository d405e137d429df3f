#include "host/process_memory.h"

#include <malloc.h>

#include <fstream>
#include <limits>
#include <string>

namespace heronworks {
namespace {

constexpr std::size_t kBytesPerKilobyte = 1024;

}  // namespace

std::size_t process_anonymous_bytes() {
  std::ifstream file("/proc/self/status");
  for (std::string name; file >> name;) {
    std::size_t kilobytes = 0;
    if (name == "RssAnon:" && file >> kilobytes) return kBytesPerKilobyte * kilobytes;
    file.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
  }
  return 0;
}

HeapUse process_heap_use() {
  const auto info = mallinfo2();
  return {info.uordblks + info.hblkhd, info.fordblks};
}

void return_free_memory() { malloc_trim(0); }

}  // namespace heronworks
