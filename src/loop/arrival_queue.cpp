#include "loop/arrival_queue.h"

#include <algorithm>

namespace heronworks {
namespace {

bool is_later(const ArrivalQueue::Arrival& a, const ArrivalQueue::Arrival& b) {
  return a.time != b.time ? a.time > b.time : a.sequence > b.sequence;
}

}  // namespace

void ArrivalQueue::push(ArrivalTime time, ArrivalHandler& handler, std::uint64_t id) {
  heap_.push_back({time, ++last_sequence_, &handler, id});
  std::push_heap(heap_.begin(), heap_.end(), is_later);
}

ArrivalQueue::Arrival ArrivalQueue::pop() {
  std::pop_heap(heap_.begin(), heap_.end(), is_later);
  const Arrival arrival = heap_.back();
  heap_.pop_back();
  return arrival;
}

ArrivalTime ArrivalQueue::latest() const {
  ArrivalTime latest = 0;
  for (const Arrival& arrival : heap_) latest = std::max(latest, arrival.time);
  return latest;
}

void ArrivalQueue::remove(const ArrivalHandler& handler) {
  std::erase_if(heap_, [&](const Arrival& arrival) { return arrival.handler == &handler; });
  std::make_heap(heap_.begin(), heap_.end(), is_later);
}

}  // namespace heronworks
