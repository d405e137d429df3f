#include "platform/call_id_table.h"

#include <xxhash.h>

namespace heronworks::platform {

CallIdTable::Fingerprint CallIdTable::fingerprint(std::string_view id) const {
  return XXH3_64bits_withSeed(id.data(), id.size(), seed_);
}

bool CallIdTable::contains(double now, std::string_view id) {
  forget_ended(now, dispatched_);
  forget_ended(now, not_dispatched_);
  return known_.contains(fingerprint(id));
}

void CallIdTable::begin(std::string_view id) { known_.insert(fingerprint(id)); }

void CallIdTable::end(double now, std::string_view id, bool was_dispatched) {
  EndedQueue& ended = was_dispatched ? dispatched_ : not_dispatched_;
  if (ended.size() >= (was_dispatched ? kMaxDispatched : kMaxNotDispatched)) forget_first(ended);
  ended.push_back({fingerprint(id), now + retention_});
}

void CallIdTable::forget_ended(double now, EndedQueue& ended) {
  while (!ended.empty() && ended.front().forget_at <= now) forget_first(ended);
}

void CallIdTable::forget_first(EndedQueue& ended) {
  known_.erase(ended.front().id);
  ended.pop_front();
}

}  // namespace heronworks::platform
