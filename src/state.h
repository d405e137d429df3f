// Plain types that pass between the module, its host and its tables. No behaviour.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <vector>

namespace heronworks {

enum class Outcome { kHonoured, kError, kFull, kTimedOut, kNoConnection, kReset, kCancelled, kMoot };
enum class Listing { kGone, kReady, kDraining };
enum class Scope { kChanges, kWhole, kSaved, kFailed };

// One line of the node list. `node` is a small index that stays the same for an address.
struct Entry {
  int node = 0;
  int zone = 0;
  int shard = -1;
  Listing listing = Listing::kReady;
  double came_up = 0;  // 0: long ago
  bool fresh = false;  // the index is another node's from now on; nothing is out at the one that had it
};

// A transaction as it lands. `volume` is a small index.
struct Transaction {
  bool has_key = false;
  std::uint64_t key = 0;
  double time_left = 0;
  double units = 0;
  int volume = 0;
  int profile = 0;
  int plan = 0;
  int shard = -1;      // -1: a new object, any node
  int hosts = 0;       // 0: not said
  bool fresh = false;  // the index is another volume's from now on; nothing is open of the one that had it
};

// The end of one dispatch.
struct Reply {
  int dispatch = 0;
  int node = 0;
  double elapsed = 0;
  Outcome outcome = Outcome::kHonoured;
  bool finished = false;
  double by_others = 0;  // units that the node served the volume through other hosts
  bool metered = false;  // it told of the volume's use everywhere: what others got is known, if nothing
};

// The tables of the module.
struct Open {
  Transaction t;
  double landed_at = 0;
  double contract_at = 0;
  double cut_off_at = 0;
  double not_before = 0;
  double draw = 0;         // of chance, from 0 to 1
  double worth = 0;        // a unit, at the last look
  double part = 1;         // of the benefit that it earns, at the last look
  double label_until = 0;  // end of the repeat window, counted from the first dispatch that may have run
  int first_zone = -1;     // of the first dispatch that may have run
  int first_shard = -1;
  double late = 0;  // units that took from the limit and may be still to come to a node
  int dispatches = 0;
  int out = 0;
  std::uint64_t queued = 0;  // place in the order of holding
  bool used = false;
  bool held = false;
  bool over = false;
  bool may_have_run = false;
};

struct Sent {
  double at = 0;
  double units = 0;
};

struct Node {
  bool listed = false;
  Listing listing = Listing::kGone;
  int zone = 0;
  int shard = -1;
  double came_up = 0;
  int out = 0;
  double units_out = 0;
  double quiet_since = 0;
  double last_sent = 0;
  double spacing = 0;       // between the last two dispatches
  double gap = 0;           // least time between two dispatches
  double gap_at = 0;        // when it last grew
  bool bad_before = false;  // the last reply
  double rate = 0;          // learned, units a second
  double served = 0;
  bool pressed = false;    // the bound was reached in this period
  std::uint64_t full = 0;  // the last look at what is held in which no more went
  double bucket_time = 0;
  double bucket_units = 0;
  double bucket_replies = 0;
  std::array<double, 4> recent{};  // means of latency for each unit, one a period
  int buckets = 0;
  double best = 0;
  double latency = 0;  // recent, of a whole dispatch
  double wait = 0;     // recent, what is over the best for its units
  double success = 1;
  double again_success = 1;
  double weight = 0;
  double turn = 0;
  double cold_store = 0;        // units that may go while it is cold
  double cold_for = 0;          // the start of the process that it is for
  double cold_at = 0;           // when it was last filled
  std::vector<Sent> cold_sent;  // of the last fall time; emptied as it passes
};

struct Volume {
  bool used = false;
  int plan = -1;
  int hosts = 1;
  int gear = 0;
  double arrived = 0;
  double load = 0;  // of the nodes that it asked for, weighted by units
  double arrival_rate = 0;
  double mine = 0;
  double others = 0;
  bool told = false;
  double reserve = 0;
  double extra = 0;
  double pace = 0;
  double store = 0;
  double late = 0;  // of its open ones
  double filled_at = 0;
  std::vector<double> patience;  // by profile: how long its clients waited that left early
};

// What is held for one shard, or as new objects, in order of holding; and bounds on what is in it.
struct Waiting {
  std::vector<int> ids;
  double contract_at = 0;  // no one's is earlier
  double cut_off_at = 0;   // the same
  double least_units = 0;  // no one has fewer
  double most_units = 0;   // or more
  double most_part = 0;    // of its benefit, that one earned at the last look
  bool again = false;      // some have been out before
  bool pressed = false;    // the last look met the bound
};

struct Past {
  int volume = 0;
  int profile = 0;
  double cut_off_at = 0;
  double contract_at = 0;
};

struct Lane {
  std::deque<int> line;
  double rest_until = 0;
};

struct Bucket {
  std::int64_t slot = -1;
  double landed = 0;
  double again = 0;
};

}  // namespace heronworks
