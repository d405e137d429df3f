// An append-only log in segments, with snapshots. docs/store.md has the form of the files and the rules of
// recovery.
//
// One owner at a time. `append` keeps a record in memory; `commit` writes all that was appended and makes it
// durable. Once a call fails, nothing that was not durable before is taken for written: the log is read-only,
// still holds what was appended, and `mend` tries to go on. Not for two threads at a time.
#pragma once

#include <functional>
#include <optional>

#include "store/files.h"

namespace heronworks::store {

// Where and why a log cannot be taken, or what recovery did.
struct Fault {
  std::string file;
  std::uint64_t offset = 0;
  std::string text;
  int code = 0;  // errno, if the system refused
  std::string shown() const;
};

struct LogOptions {
  std::uint64_t segment_bytes = std::uint64_t{64} << 20;  // a new one begins after this
  std::size_t keep_snapshots = 2;                         // and the segments that the oldest of them needs
  bool keep_all = false;                                  // segments: the log itself is what counts
};

inline constexpr std::size_t kMostRecord = std::size_t{1} << 20;  // bytes

// What is told while a log is read, in order: the snapshot, if there is one, then each record after it.
struct Reader {
  std::function<bool(std::uint64_t sequence, View content)>
      snapshot;  // false: it cannot be used, like a bad one
  std::function<void(std::uint64_t sequence, View record)> record;
};

struct LogState {
  std::uint64_t snapshot = 0;  // sequence that the snapshot used covers; 0: none
  std::uint64_t first = 1;     // oldest record that is there
  std::uint64_t last = 0;      // newest
  std::uint64_t bytes = 0;
  std::size_t segments = 0;
  std::optional<Fault> cut;      // a torn tail: from there on it is not part of the log
  std::vector<Fault> set_aside;  // snapshots that could not be used
};

// Reads a log that another owner may be writing. `from_snapshot` false: every record that is there, and every
// snapshot is checked but none used.
bool read_log(Files& files, const std::string& folder, bool from_snapshot, const Reader& reader,
              LogState& state, Fault& fault);

class Log {
 public:
  // Recovers, or refuses with a fault and changes nothing.
  static std::unique_ptr<Log> open(Files& files, const std::string& folder, const LogOptions& options,
                                   const Reader& reader, LogState& state, Fault& fault);
  ~Log();

  // Returns the record's sequence number. Records are of 1 to kMostRecord bytes.
  std::uint64_t append(View record);
  int commit();
  // Whole and durable, or the one before stands. `content` covers every record up to `upto`, all durable.
  // Then removes what no kept snapshot needs.
  int snapshot(std::uint64_t upto, View content);
  // After a failure: cuts what is not known to be durable and goes on in a new segment.
  int mend();
  // Says on disk how far the log is durable, so that damage there is told from a torn tail. Not needed for
  // safety.
  void mark();

  std::uint64_t last() const { return next_ - 1; }
  std::uint64_t durable() const { return durable_; }
  std::size_t pending() const { return pending_.size(); }
  bool read_only() const { return failed_; }
  const std::string& folder() const { return folder_; }

 private:
  Log(Files& files, std::string folder, const LogOptions& options)
      : files_(files), folder_(std::move(folder)), options_(options) {}
  int begin_segment();
  int compact();

  struct Pending {
    std::uint64_t sequence;
    std::string record;
  };
  Files& files_;
  const std::string folder_;
  const LogOptions options_;
  std::unique_ptr<File> lock_;
  std::unique_ptr<File> segment_;
  std::string segment_path_;
  std::uint64_t segment_size_ = 0;  // written
  std::uint64_t durable_size_ = 0;  // of it
  std::uint64_t next_ = 1;
  std::uint64_t durable_ = 0;
  std::uint64_t told_durable_ = 0;  // by the newest record on disk
  std::vector<Pending> pending_;    // emptied by commit; the owner bounds it
  std::vector<std::uint8_t> buffer_;
  bool failed_ = false;
};

}  // namespace heronworks::store
