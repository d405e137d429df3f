// The memory of this process, as the operating system and the allocator see it.
#pragma once

#include <cstddef>

namespace heronworks {

// Anonymous resident memory in bytes: RssAnon of /proc/self/status. Returns 0 if it is not available.
std::size_t process_anonymous_bytes();

struct HeapUse {
  std::size_t used = 0;  // bytes allocated, including blocks with a mapping of their own
  std::size_t free = 0;  // bytes freed, but not returned to the operating system
};

HeapUse process_heap_use();

// Returns memory that was freed to the operating system. Visits the whole heap.
void return_free_memory();

}  // namespace heronworks
