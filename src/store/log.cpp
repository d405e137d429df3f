#include "store/log.h"

#include <isa-l/crc.h>

#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <cstring>

namespace heronworks::store {
namespace {

// Files of a log directory: segments "log-N", where N is the sequence number of the first record; snapshots
// "snapshot-N", where N is the last record covered; "lock". N has 16 hexadecimal digits. All integers are
// little-endian.
constexpr std::size_t kSequenceDigits = 16;
constexpr char kSegmentMagic[8] = {'H', 'W', 'K', 'L', 'O', 'G', '0', '1'};
constexpr char kSnapshotMagic[8] = {'H', 'W', 'K', 'S', 'N', 'A', 'P', '1'};

std::uint32_t crc32c(const std::uint8_t* data, std::size_t size, std::uint32_t seed = 0) {
  return ~crc32_iscsi(const_cast<std::uint8_t*>(data), static_cast<int>(size), ~seed);
}

// At the start of each segment.
struct SegmentHeader {
  char magic[8];
  std::uint64_t first_sequence;
  std::uint32_t reserved;    // 0
  std::uint32_t header_crc;  // CRC32C of the fields before
};
static_assert(sizeof(SegmentHeader) == 24);

// Before each record. A record without payload is a durability marker; its sequence number is that of the
// next record. `durable_sequence` is the last record known to be durable when this one was written: an
// invalid record that a later one reports as durable is corruption, any other invalid tail is a torn write.
struct RecordHeader {
  std::uint32_t payload_size;
  std::uint32_t crc;  // CRC32C of all other fields and the payload
  std::uint64_t sequence;
  std::uint64_t durable_sequence;
};
static_assert(sizeof(RecordHeader) == 24);
// The checksum covers the header's bytes before and after its own field.
constexpr std::size_t kRecordCrcStart = offsetof(RecordHeader, crc);
constexpr std::size_t kRecordCrcEnd = offsetof(RecordHeader, sequence);

// At the start of each snapshot file.
struct SnapshotHeader {
  char magic[8];
  std::uint64_t sequence;  // last record covered
  std::uint64_t content_size;
  std::uint32_t content_crc;  // CRC32C
  std::uint32_t header_crc;   // CRC32C of the fields before
};
static_assert(sizeof(SnapshotHeader) == 32);

std::string numbered_file_name(const char* prefix, std::uint64_t number) {
  char text[64];
  std::snprintf(text, sizeof text, "%s-%016llx", prefix, static_cast<unsigned long long>(number));
  return text;
}

bool parse_numbered_file_name(const std::string& name, const std::string& prefix, std::uint64_t& number) {
  if (name.size() != prefix.size() + 1 + kSequenceDigits ||
      name.compare(0, prefix.size() + 1, prefix + "-") != 0)
    return false;
  number = 0;
  for (const char c : name.substr(prefix.size() + 1)) {
    const int digit = c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
    if (digit < 0) return false;
    number = number << 4 | static_cast<std::uint64_t>(digit);
  }
  return true;
}

SegmentHeader make_segment_header(std::uint64_t first_sequence) {
  SegmentHeader header{};
  std::memcpy(header.magic, kSegmentMagic, sizeof kSegmentMagic);
  header.first_sequence = first_sequence;
  header.header_crc =
      crc32c(reinterpret_cast<const std::uint8_t*>(&header), offsetof(SegmentHeader, header_crc));
  return header;
}

void encode_record(std::vector<std::uint8_t>& out, std::uint64_t sequence, std::uint64_t durable_sequence,
                   ByteView payload) {
  RecordHeader header{static_cast<std::uint32_t>(payload.size()), 0, sequence, durable_sequence};
  header.crc =
      crc32c(reinterpret_cast<const std::uint8_t*>(&header) + kRecordCrcEnd, sizeof header - kRecordCrcEnd,
             crc32c(reinterpret_cast<const std::uint8_t*>(&header), kRecordCrcStart));
  header.crc = crc32c(payload.data(), payload.size(), header.crc);
  const auto* header_bytes = reinterpret_cast<const std::uint8_t*>(&header);
  out.insert(out.end(), header_bytes, header_bytes + sizeof header);
  out.insert(out.end(), payload.begin(), payload.end());
}

// True if a complete record with a valid checksum starts at `offset`, whatever its sequence number.
bool read_record_header(ByteView bytes, std::size_t offset, RecordHeader& header) {
  if (bytes.size() < offset + sizeof header) return false;
  std::memcpy(&header, bytes.data() + offset, sizeof header);
  if (header.payload_size > kMaxRecordBytes || bytes.size() - offset - sizeof header < header.payload_size)
    return false;
  const auto* header_bytes = bytes.data() + offset;
  return header.crc == crc32c(header_bytes + sizeof header, header.payload_size,
                              crc32c(header_bytes + kRecordCrcEnd, sizeof header - kRecordCrcEnd,
                                     crc32c(header_bytes, kRecordCrcStart)));
}

struct SegmentScan {
  std::uint64_t valid_size = 0;        // bytes up to the end of the last valid record
  std::uint64_t next_sequence = 0;     // expected after it
  std::uint64_t durable_sequence = 0;  // newest that a record states
  bool header_valid = false;
  bool trailing_data = false;  // invalid bytes follow the last valid record
  bool corrupt = false;        // records that were durable are lost
};

SegmentScan scan_segment(ByteView bytes, std::uint64_t first_sequence,
                         const std::function<void(std::uint64_t, ByteView)>& on_record) {
  SegmentScan scan;
  scan.next_sequence = first_sequence;
  SegmentHeader segment_header{};
  if (bytes.size() >= sizeof segment_header)
    std::memcpy(&segment_header, bytes.data(), sizeof segment_header);
  const SegmentHeader expected_header = make_segment_header(first_sequence);
  scan.header_valid = bytes.size() >= sizeof segment_header &&
                      std::memcmp(&segment_header, &expected_header, sizeof segment_header) == 0;
  std::size_t offset = sizeof segment_header;
  RecordHeader header{};
  if (scan.header_valid) {
    while (read_record_header(bytes, offset, header) && header.sequence == scan.next_sequence) {
      if (header.payload_size > 0 && on_record)
        on_record(header.sequence, bytes.subspan(offset + sizeof header, header.payload_size));
      scan.durable_sequence = std::max(scan.durable_sequence, header.durable_sequence);
      scan.next_sequence += header.payload_size > 0 ? 1 : 0;  // a durability marker uses no number
      offset += sizeof header + header.payload_size;
    }
    scan.valid_size = offset;
    scan.trailing_data = offset < bytes.size();
    if (!scan.trailing_data) return scan;
  }
  // Searches for a later valid record which proves that a lost one was durable. The segment header is synced
  // before the first record is written, so any record after an invalid header is proof.
  for (std::size_t candidate = scan.header_valid ? offset + 1 : 0; candidate + sizeof header <= bytes.size();
       ++candidate) {
    std::memcpy(&header, bytes.data() + candidate, sizeof header);
    // Rejects implausible headers before the costly checksum: a segment holds at most size / header size
    // records.
    if (header.payload_size > kMaxRecordBytes || header.sequence < scan.next_sequence ||
        header.sequence - scan.next_sequence > bytes.size() / sizeof header)
      continue;
    if (!read_record_header(bytes, candidate, header)) continue;
    if (!scan.header_valid || header.durable_sequence >= scan.next_sequence) {
      scan.corrupt = true;
      return scan;
    }
    candidate += sizeof header + header.payload_size - 1;
  }
  return scan;
}

int read_file_bytes(FileSystem& file_system, const std::string& path, std::vector<std::uint8_t>& bytes) {
  std::unique_ptr<File> file;
  if (const int e = file_system.open(path, OpenMode::kRead, file); e != 0) return e;
  bytes.resize(file->size());
  std::size_t bytes_read = 0;
  const int e = file->read(0, bytes, bytes_read);
  bytes.resize(bytes_read);
  return e;
}

// Returns what is wrong with a snapshot file; empty if it is valid.
std::string validate_snapshot(ByteView bytes, std::uint64_t sequence) {
  SnapshotHeader header{};
  if (bytes.size() < sizeof header) return "snapshot is truncated: shorter than its header";
  std::memcpy(&header, bytes.data(), sizeof header);
  if (std::memcmp(header.magic, kSnapshotMagic, sizeof kSnapshotMagic) != 0 ||
      header.header_crc != crc32c(bytes.data(), offsetof(SnapshotHeader, header_crc)) ||
      header.sequence != sequence)
    return "snapshot header is corrupt";
  if (bytes.size() - sizeof header != header.content_size)
    return "snapshot size differs from the size in its header";
  return header.content_crc == crc32c(bytes.data() + sizeof header, header.content_size)
             ? ""
             : "snapshot content does not match its checksum";
}

struct LogFiles {
  std::vector<std::uint64_t> segments;   // first sequence numbers, ascending
  std::vector<std::uint64_t> snapshots;  // sequence numbers covered, ascending
  std::vector<std::string> temporary;    // names of files left by interrupted writes
};

int list_log_files(FileSystem& file_system, const std::string& directory, LogFiles& files) {
  std::vector<std::string> names;
  if (const int e = file_system.list_directory(directory, names); e != 0) return e;
  files = {};
  for (const std::string& name : names) {
    std::uint64_t number = 0;
    if (parse_numbered_file_name(name, "log", number)) files.segments.push_back(number);
    else if (parse_numbered_file_name(name, "snapshot", number)) files.snapshots.push_back(number);
    else if (name.ends_with(kTemporarySuffix)) files.temporary.push_back(name);
  }
  return 0;
}

// The newest segment as found by a replay.
struct NewestSegment {
  std::uint64_t first_sequence = 0;  // 0: there is no segment
  std::uint64_t valid_size = 0;
  std::uint64_t durable_sequence = 0;  // newest that a record states
  bool header_missing = false;         // a crash interrupted its creation
};

// Replay for Log::open and read_log; changes no file.
bool replay(FileSystem& file_system, const std::string& directory, bool from_snapshot,
            const ReplayHandler& handler, ReplayResult& result, NewestSegment& newest_segment,
            LogFiles& files, FileError& error) {
  result = {};
  error = {};
  const auto fail = [&](const std::string& name, std::uint64_t offset, std::string message, int code = 0) {
    error = {directory + "/" + name, offset, std::move(message), code};
    return false;
  };
  if (const int e = list_log_files(file_system, directory, files); e != 0)
    return fail("", 0, "cannot list the directory", e);
  std::vector<std::uint8_t> bytes;
  if (from_snapshot) {
    for (auto s = files.snapshots.rbegin(); s != files.snapshots.rend() && result.snapshot_sequence == 0;
         ++s) {
      const std::string name = numbered_file_name("snapshot", *s);
      if (const int e = read_file_bytes(file_system, directory + "/" + name, bytes); e != 0)
        return fail(name, 0, "cannot read the snapshot", e);
      std::string problem = validate_snapshot(bytes, *s);
      if (problem.empty() && handler.load_snapshot &&
          !handler.load_snapshot(*s, ByteView(bytes).subspan(sizeof(SnapshotHeader))))
        problem = "snapshot content cannot be loaded";
      if (problem.empty()) result.snapshot_sequence = *s;
      else result.unusable_snapshots.push_back({directory + "/" + name, 0, problem, 0});
    }
  }
  for (const std::uint64_t s : from_snapshot ? std::vector<std::uint64_t>{} : files.snapshots) {
    const std::string name = numbered_file_name("snapshot", s);
    if (const int e = read_file_bytes(file_system, directory + "/" + name, bytes); e != 0)
      return fail(name, 0, "cannot read the snapshot", e);
    if (const std::string problem = validate_snapshot(bytes, s); !problem.empty())
      result.unusable_snapshots.push_back({directory + "/" + name, 0, problem, 0});
  }
  const std::uint64_t first_needed = result.snapshot_sequence + 1;
  result.first_sequence = files.segments.empty() ? first_needed : files.segments.front();
  if (from_snapshot && !files.segments.empty() && files.segments.front() > first_needed) {
    const FileError* unusable =
        result.unusable_snapshots.empty() ? nullptr : &result.unusable_snapshots.front();
    return fail(numbered_file_name("log", files.segments.front()), 0,
                "records " + std::to_string(first_needed) + " to " +
                    std::to_string(files.segments.front() - 1) + " are missing" +
                    (unusable ? "; " + unusable->to_string() : ""));
  }
  if (from_snapshot && files.segments.empty() && !result.unusable_snapshots.empty())
    return fail("", 0, "no log segment found; " + result.unusable_snapshots.front().to_string());
  result.last_sequence = result.snapshot_sequence;
  std::uint64_t next_sequence = files.segments.empty() ? first_needed : files.segments.front();
  for (std::size_t i = 0; i < files.segments.size(); ++i) {
    const std::uint64_t first_sequence = files.segments[i];
    const std::string name = numbered_file_name("log", first_sequence);
    const bool newest = i + 1 == files.segments.size();
    if (first_sequence != next_sequence)
      return fail(name, 0,
                  "records " + std::to_string(next_sequence) + " to " + std::to_string(first_sequence - 1) +
                      " are missing");
    // Skips a segment whose records the snapshot covers.
    if (!newest && files.segments[i + 1] <= first_needed && from_snapshot) {
      next_sequence = files.segments[i + 1];
      ++result.segment_count;
      continue;
    }
    if (const int e = read_file_bytes(file_system, directory + "/" + name, bytes); e != 0)
      return fail(name, 0, "cannot read the segment", e);
    const SegmentScan scan =
        scan_segment(bytes, first_sequence, [&](std::uint64_t sequence, ByteView record) {
          if ((!from_snapshot || sequence >= first_needed) && handler.apply_record)
            handler.apply_record(sequence, record);
        });
    result.bytes_read += bytes.size();
    ++result.segment_count;
    if (scan.corrupt || (!newest && (scan.trailing_data || !scan.header_valid)))
      return fail(name, scan.header_valid ? scan.valid_size : 0,
                  "corrupt data where record " + std::to_string(scan.next_sequence) + " was expected");
    if (newest) newest_segment = {first_sequence, scan.valid_size, scan.durable_sequence, !scan.header_valid};
    if (scan.trailing_data || !scan.header_valid)
      result.torn_write =
          FileError{directory + "/" + name, scan.valid_size,
                    "torn write of " + std::to_string(bytes.size() - scan.valid_size) + " bytes", 0};
    next_sequence = scan.next_sequence;
    result.last_sequence = std::max(result.last_sequence, next_sequence - 1);
  }
  if (next_sequence < first_needed && !files.segments.empty())
    return fail(
        numbered_file_name("log", files.segments.back()), 0,
        "the log ends before record " + std::to_string(first_needed - 1) + ", which the snapshot covers");
  return true;
}

}  // namespace

std::string FileError::to_string() const {
  return path + (offset > 0 ? ", byte " + std::to_string(offset) : "") + ": " + message +
         (code != 0 ? std::string(": ") + std::strerror(code) : "");
}

bool read_log(FileSystem& file_system, const std::string& directory, bool from_snapshot,
              const ReplayHandler& handler, ReplayResult& result, FileError& error) {
  NewestSegment newest_segment;
  LogFiles files;
  return replay(file_system, directory, from_snapshot, handler, result, newest_segment, files, error);
}

std::unique_ptr<Log> Log::open(FileSystem& file_system, const std::string& directory,
                               const LogOptions& options, const ReplayHandler& handler, ReplayResult& result,
                               FileError& error) {
  const auto fail = [&](const std::string& path, const char* message, int code) {
    error = {path, 0, message, code};
    return nullptr;
  };
  if (const int e = file_system.create_directories(directory); e != 0)
    return fail(directory, "cannot create the directory", e);
  std::unique_ptr<Log> log(new Log(file_system, directory, options));
  if (const int e = file_system.lock(directory + "/lock", log->lock_file_); e != 0)
    return fail(directory + "/lock",
                e == EWOULDBLOCK ? "the log is in use by another process" : "cannot lock the file", e);
  NewestSegment newest_segment;
  LogFiles files;
  if (!replay(file_system, directory, true, handler, result, newest_segment, files, error)) return nullptr;
  for (const std::string& name : files.temporary) file_system.remove(directory + "/" + name);
  log->next_sequence_ = result.last_sequence + 1;
  log->durable_sequence_ = result.last_sequence;
  log->recorded_durable_sequence_ = newest_segment.durable_sequence;
  if (newest_segment.first_sequence != 0) {
    const std::string path = directory + "/" + numbered_file_name("log", newest_segment.first_sequence);
    if (newest_segment.header_missing) {
      if (const int e = file_system.remove(path); e != 0) return fail(path, "cannot remove the segment", e);
      if (const int e = file_system.sync_directory(directory); e != 0)
        return fail(directory, "cannot sync the directory", e);
    } else {
      if (const int e = file_system.open(path, OpenMode::kAppend, log->segment_); e != 0)
        return fail(path, "cannot open the segment", e);
      if (result.torn_write) {
        if (const int e = log->segment_->truncate(newest_segment.valid_size); e != 0)
          return fail(path, "cannot truncate the segment", e);
      }
      // Records and file names that were replayed may not be durable yet.
      if (const int e = log->segment_->sync(); e != 0) return fail(path, "cannot sync the segment", e);
      if (const int e = file_system.sync_directory(directory); e != 0)
        return fail(directory, "cannot sync the directory", e);
      log->segment_path_ = path;
      log->segment_size_ = log->durable_segment_size_ = newest_segment.valid_size;
    }
  }
  return log;
}

Log::~Log() = default;

std::uint64_t Log::append(ByteView record) {
  pending_.push_back({next_sequence_, std::string(record.begin(), record.end())});
  return next_sequence_++;
}

int Log::start_segment() {
  const std::uint64_t first_sequence = durable_sequence_ + 1;
  const std::string path = directory_ + "/" + numbered_file_name("log", first_sequence);
  std::unique_ptr<File> file;
  const SegmentHeader header = make_segment_header(first_sequence);
  int e = file_system_.open(path, OpenMode::kCreateNew, file);
  if (e == EEXIST) {  // left by a failed attempt; contains no durable record
    e = file_system_.remove(path);
    if (e == 0) e = file_system_.open(path, OpenMode::kCreateNew, file);
  }
  if (e == 0) e = file->append({reinterpret_cast<const std::uint8_t*>(&header), sizeof header});
  if (e == 0) e = file->sync();
  if (e == 0) e = file_system_.sync_directory(directory_);
  if (e != 0) {
    if (file) file_system_.remove(path);
    return e;
  }
  segment_ = std::move(file);
  segment_path_ = path;
  segment_size_ = durable_segment_size_ = sizeof header;
  return 0;
}

int Log::commit() {
  if (read_only_) return EROFS;
  if (pending_.empty()) return 0;
  const auto fail = [&](int e) {
    read_only_ = true;
    return e;
  };
  if (!segment_ || segment_size_ >= options_.segment_bytes) {
    if (segment_ && segment_size_ > durable_segment_size_) {  // durability markers are not synced yet
      if (const int e = segment_->sync(); e != 0) return fail(e);
      durable_segment_size_ = segment_size_;
    }
    if (const int e = start_segment(); e != 0) return fail(e);
  }
  write_buffer_.clear();
  for (const PendingRecord& record : pending_)
    encode_record(write_buffer_, record.sequence, durable_sequence_, byte_view(record.payload));
  if (const int e = segment_->append(write_buffer_); e != 0) return fail(e);
  segment_size_ += write_buffer_.size();
  if (const int e = segment_->sync(); e != 0) return fail(e);
  durable_segment_size_ = segment_size_;
  recorded_durable_sequence_ = durable_sequence_;
  durable_sequence_ = pending_.back().sequence;
  pending_.clear();
  return 0;
}

void Log::write_durability_marker() {
  if (read_only_ || !segment_ || !pending_.empty() || recorded_durable_sequence_ == durable_sequence_) return;
  write_buffer_.clear();
  encode_record(write_buffer_, next_sequence_, durable_sequence_, {});
  if (segment_->append(write_buffer_) != 0) {
    read_only_ = true;
    return;
  }
  segment_size_ += write_buffer_.size();
  recorded_durable_sequence_ = durable_sequence_;
}

int Log::resume() {
  if (!read_only_) return 0;
  // After a failed fsync the kernel may mark pages clean that never reached the disk: data that reads back
  // correctly can be gone after the next crash. Only what was durable before is kept; pending records are
  // written again.
  if (segment_) {
    if (const int e = segment_->truncate(durable_segment_size_); e != 0) return e;
    if (const int e = segment_->sync(); e != 0) return e;
  }
  segment_size_ = durable_segment_size_;
  const bool segment_empty =
      segment_ && segment_path_ == directory_ + "/" + numbered_file_name("log", durable_sequence_ + 1);
  if (!segment_empty) {
    if (const int e = start_segment(); e != 0) return e;
  }
  read_only_ = false;
  return 0;
}

int Log::write_snapshot(std::uint64_t sequence, ByteView content) {
  if (read_only_) return EROFS;
  if (sequence > durable_sequence_) return EINVAL;
  SnapshotHeader header{};
  std::memcpy(header.magic, kSnapshotMagic, sizeof kSnapshotMagic);
  header.sequence = sequence;
  header.content_size = content.size();
  header.content_crc = crc32c(content.data(), content.size());
  header.header_crc =
      crc32c(reinterpret_cast<const std::uint8_t*>(&header), offsetof(SnapshotHeader, header_crc));
  std::vector<std::uint8_t> bytes(sizeof header);
  std::memcpy(bytes.data(), &header, sizeof header);
  bytes.insert(bytes.end(), content.begin(), content.end());
  if (const int e =
          write_file_atomically(file_system_, directory_, numbered_file_name("snapshot", sequence), bytes);
      e != 0)
    return e;
  return compact();
}

// Removes old snapshots, and segments that none of the kept snapshots needs.
int Log::compact() {
  LogFiles files;
  if (const int e = list_log_files(file_system_, directory_, files); e != 0) return e;
  if (files.snapshots.size() <= options_.snapshots_to_keep) return 0;
  const std::uint64_t oldest_kept = files.snapshots[files.snapshots.size() - options_.snapshots_to_keep];
  // Snapshots first: without the segments that follow it, a snapshot is useless.
  for (const std::uint64_t s : files.snapshots) {
    if (s >= oldest_kept) break;
    if (const int e = file_system_.remove(directory_ + "/" + numbered_file_name("snapshot", s)); e != 0)
      return e;
  }
  if (const int e = file_system_.sync_directory(directory_); e != 0) return e;
  for (std::size_t i = 0; !options_.keep_all_segments && i + 1 < files.segments.size() &&
                          files.segments[i + 1] <= oldest_kept + 1;
       ++i) {
    if (const int e = file_system_.remove(directory_ + "/" + numbered_file_name("log", files.segments[i]));
        e != 0)
      return e;
  }
  return file_system_.sync_directory(directory_);
}

}  // namespace heronworks::store
