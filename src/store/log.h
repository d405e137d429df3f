// Append-only write-ahead log in segments, with snapshots and crash recovery. docs/store.md describes the
// file formats and the recovery rules.
//
// A log directory has one writer at a time. `append` buffers a record in memory; `commit` writes all buffered
// records and makes them durable. Once a write fails, the log is in read-only mode: only records that were
// durable before count as written, the buffered ones are kept, and `resume` tries to continue.
// Not thread-safe.
#pragma once

#include <functional>
#include <optional>

#include "store/file_system.h"

namespace heronworks::store {

// A problem found in a file, or an operation on it that failed.
struct FileError {
  std::string path;
  std::uint64_t offset = 0;  // bytes
  std::string message;
  int code = 0;  // errno of a failed system call; 0: none failed
  std::string to_string() const;
};

// Limits and retention.
struct LogOptions {
  std::uint64_t segment_bytes = std::uint64_t{64} << 20;  // size from which on a new segment is started
  std::size_t snapshots_to_keep = 2;                      // with the segments that the oldest of them needs
  bool keep_all_segments = false;                         // compaction removes snapshots only
};

inline constexpr std::size_t kMaxRecordBytes = std::size_t{1} << 20;

// Callbacks of a replay: the snapshot, if one is used, then each record in order of sequence numbers.
struct ReplayHandler {
  // Returns false if the content cannot be loaded; replay then tries the next older snapshot.
  std::function<bool(std::uint64_t sequence, ByteView content)> load_snapshot;
  std::function<void(std::uint64_t sequence, ByteView record)> apply_record;
};

// What a replay found.
struct ReplayResult {
  std::uint64_t snapshot_sequence = 0;  // last record covered by the snapshot that was loaded; 0: none was
  std::uint64_t first_sequence = 1;     // oldest record in the segments; without segments, the next one
  std::uint64_t last_sequence = 0;      // newest record
  std::uint64_t bytes_read = 0;         // from segments
  std::size_t segment_count = 0;
  std::optional<FileError> torn_write;        // at the end of the newest segment; not part of the log
  std::vector<FileError> unusable_snapshots;  // corrupt, or refused by the handler
};

// Replays a log read-only, even while another process writes it. With `from_snapshot`, loads the newest
// usable snapshot and the records after it. Otherwise reads every record and validates every snapshot without
// loading one. Returns false with `error` if the log is corrupt or cannot be read.
bool read_log(FileSystem& file_system, const std::string& directory, bool from_snapshot,
              const ReplayHandler& handler, ReplayResult& result, FileError& error);

// A log opened for appending.
class Log {
 public:
  // Locks the directory, replays the log from its newest usable snapshot and cuts off a torn write. Returns
  // null with `error` if the log is corrupt or in use, or if a file operation fails. A corrupt log is not
  // modified.
  static std::unique_ptr<Log> open(FileSystem& file_system, const std::string& directory,
                                   const LogOptions& options, const ReplayHandler& handler,
                                   ReplayResult& result, FileError& error);
  ~Log();

  // Buffers a record of 1 to kMaxRecordBytes bytes. Returns its sequence number.
  std::uint64_t append(ByteView record);
  // Makes all buffered records durable. Returns 0 or an errno; EROFS in read-only mode.
  int commit();
  // Atomically writes a snapshot that covers every record up to `sequence`, then compacts the log. EINVAL if
  // one of these records is not durable yet.
  int write_snapshot(std::uint64_t sequence, ByteView content);
  // Leaves read-only mode: truncates the segment to its durable size and continues in a new segment.
  int resume();
  // Appends an empty record with the newest durable sequence number, without syncing it. Replay uses it to
  // tell corruption of the last records from a torn write. Optional.
  void write_durability_marker();

  std::uint64_t last_sequence() const { return next_sequence_ - 1; }
  std::uint64_t durable_sequence() const { return durable_sequence_; }
  std::size_t pending_count() const { return pending_.size(); }
  bool read_only() const { return read_only_; }
  const std::string& directory() const { return directory_; }

 private:
  Log(FileSystem& file_system, std::string directory, const LogOptions& options)
      : file_system_(file_system), directory_(std::move(directory)), options_(options) {}
  int start_segment();
  int compact();

  struct PendingRecord {
    std::uint64_t sequence;
    std::string payload;
  };
  FileSystem& file_system_;
  const std::string directory_;
  const LogOptions options_;
  std::unique_ptr<File> lock_file_;
  std::unique_ptr<File> segment_;
  std::string segment_path_;
  std::uint64_t segment_size_ = 0;          // bytes written
  std::uint64_t durable_segment_size_ = 0;  // bytes synced
  std::uint64_t next_sequence_ = 1;
  std::uint64_t durable_sequence_ = 0;
  std::uint64_t recorded_durable_sequence_ = 0;  // stated by the newest record in the segment
  std::vector<PendingRecord> pending_;           // cleared by commit; bounded by the caller
  std::vector<std::uint8_t> write_buffer_;
  bool read_only_ = false;
};

}  // namespace heronworks::store
