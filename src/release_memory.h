// Returns the memory of a container, or of an object that holds some, to the allocator.
#pragma once

#include <utility>

namespace heronworks {

// Sets `value` to a default-constructed one. `value = {}` is no substitute: a string or vector keeps its
// capacity then.
template <typename T>
void release_memory(T& value) {
  const T released = std::exchange(value, T());
}

}  // namespace heronworks
