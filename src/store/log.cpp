// The log: see log.h.
#include "store/log.h"

#include <isa-l/crc.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace heronworks::store {
namespace {

constexpr char kMagic[8] = {'H', 'W', 'K', 'L', 'O', 'G', '0', '1'};
constexpr char kSnapshotMagic[8] = {'H', 'W', 'K', 'S', 'N', 'A', 'P', '1'};

std::uint32_t crc(const std::uint8_t* data, std::size_t size, std::uint32_t seed = 0) {
  return ~crc32_iscsi(const_cast<std::uint8_t*>(data), static_cast<int>(size), ~seed);
}

// First in a segment, little endian as all of the store.
struct SegmentHead {
  char magic[8];
  std::uint64_t first;  // sequence of its first record
  std::uint32_t zero;
  std::uint32_t crc;  // CRC32C of what stands before
};
static_assert(sizeof(SegmentHead) == 24);

// Before each record. `durable`: up to where the log was known to be durable as this was written. A record
// that is damaged although a later one says that it was durable is damage; otherwise it is a torn tail.
struct RecordHead {
  std::uint32_t size;
  std::uint32_t crc;  // CRC32C of what follows it, head and record
  std::uint64_t sequence;
  std::uint64_t durable;
};
static_assert(sizeof(RecordHead) == 24);

struct SnapshotHead {
  char magic[8];
  std::uint64_t upto;
  std::uint64_t size;
  std::uint32_t content_crc;
  std::uint32_t crc;
};
static_assert(sizeof(SnapshotHead) == 32);

std::string numbered(const char* what, std::uint64_t n) {
  char text[64];
  std::snprintf(text, sizeof text, "%s-%016llx", what, static_cast<unsigned long long>(n));
  return text;
}

bool number_of(const std::string& name, const std::string& what, std::uint64_t& n) {
  if (name.size() != what.size() + 17 || name.compare(0, what.size() + 1, what + "-") != 0) return false;
  n = 0;
  for (const char c : name.substr(what.size() + 1)) {
    const int digit = c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
    if (digit < 0) return false;
    n = n << 4 | static_cast<std::uint64_t>(digit);
  }
  return true;
}

SegmentHead segment_head(std::uint64_t first) {
  SegmentHead h{};
  std::memcpy(h.magic, kMagic, 8);
  h.first = first;
  h.crc = crc(reinterpret_cast<const std::uint8_t*>(&h), 20);
  return h;
}

void put_record(std::vector<std::uint8_t>& out, std::uint64_t sequence, std::uint64_t durable, View record) {
  RecordHead h{static_cast<std::uint32_t>(record.size()), 0, sequence, durable};
  h.crc = crc(reinterpret_cast<const std::uint8_t*>(&h) + 8, 16,
              crc(reinterpret_cast<const std::uint8_t*>(&h), 4));
  h.crc = crc(record.data(), record.size(), h.crc);
  const auto* head = reinterpret_cast<const std::uint8_t*>(&h);
  out.insert(out.end(), head, head + sizeof h);
  out.insert(out.end(), record.begin(), record.end());
}

// A sound record at this place, whatever its number.
bool record_at(View bytes, std::size_t offset, RecordHead& h) {
  if (bytes.size() < offset + sizeof h) return false;
  std::memcpy(&h, bytes.data() + offset, sizeof h);
  if (h.size > kMostRecord || bytes.size() - offset - sizeof h < h.size) return false;
  const auto* head = bytes.data() + offset;
  return h.crc == crc(head + sizeof h, h.size, crc(head + 8, 16, crc(head, 4)));
}

struct Scan {
  std::uint64_t end = 0;   // offset after the last good record
  std::uint64_t next = 0;  // sequence expected there
  std::uint64_t told = 0;  // newest word on how far the log was durable
  bool head_good = false;
  bool torn = false;     // something stands after `end` that is no record
  bool damaged = false;  // and it was durable once
};

Scan scan(View bytes, std::uint64_t first, const std::function<void(std::uint64_t, View)>& record) {
  Scan s;
  s.next = first;
  SegmentHead head{};
  if (bytes.size() >= sizeof head) std::memcpy(&head, bytes.data(), sizeof head);
  const SegmentHead good = segment_head(first);
  s.head_good = bytes.size() >= sizeof head && std::memcmp(&head, &good, sizeof head) == 0;
  std::size_t at = sizeof head;
  RecordHead h{};
  if (s.head_good) {
    while (record_at(bytes, at, h) && h.sequence == s.next) {
      if (h.size > 0 && record) record(h.sequence, bytes.subspan(at + sizeof h, h.size));
      s.told = std::max(s.told, h.durable);
      s.next += h.size > 0 ? 1 : 0;  // a mark has no number of its own
      at += sizeof h + h.size;
    }
    s.end = at;
    s.torn = at < bytes.size();
    if (!s.torn) return s;
  }
  // Does anything behind the gap say that what is lost was durable?
  for (std::size_t look = s.head_good ? at + 1 : 0; look + sizeof h <= bytes.size(); ++look) {
    std::memcpy(&h, bytes.data() + look, sizeof h);
    if (h.size > kMostRecord || h.sequence < s.next || h.sequence - s.next > bytes.size() / sizeof h)
      continue;
    if (!record_at(bytes, look, h)) continue;
    if (!s.head_good || h.durable >= s.next) {
      s.damaged = true;
      return s;
    }
    look += sizeof h + h.size - 1;
  }
  return s;
}

int load(Files& files, const std::string& path, std::vector<std::uint8_t>& bytes) {
  std::unique_ptr<File> f;
  if (const int e = files.open(path, Open::kRead, f); e != 0) return e;
  bytes.resize(f->size());
  std::size_t got = 0;
  const int e = f->read(0, bytes, got);
  bytes.resize(got);
  return e;
}

// Empty where it is good.
std::string check_snapshot(View bytes, std::uint64_t upto) {
  SnapshotHead h{};
  if (bytes.size() < sizeof h) return "too short";
  std::memcpy(&h, bytes.data(), sizeof h);
  if (std::memcmp(h.magic, kSnapshotMagic, 8) != 0 || h.crc != crc(bytes.data(), 28) || h.upto != upto)
    return "its head is damaged";
  if (bytes.size() - sizeof h != h.size) return "of the wrong length";
  return h.content_crc == crc(bytes.data() + sizeof h, h.size) ? "" : "its content is damaged";
}

struct Contents {
  std::vector<std::uint64_t> segments;   // first sequences, ascending
  std::vector<std::uint64_t> snapshots;  // ascending
  std::vector<std::string> litter;
};

int look(Files& files, const std::string& folder, Contents& c) {
  std::vector<std::string> names;
  if (const int e = files.list(folder, names); e != 0) return e;
  c = {};
  for (const std::string& name : names) {
    std::uint64_t n = 0;
    if (number_of(name, "log", n)) c.segments.push_back(n);
    else if (number_of(name, "snapshot", n)) c.snapshots.push_back(n);
    else if (name.ends_with(".new")) c.litter.push_back(name);
  }
  return 0;
}

struct Tail {
  std::uint64_t first = 0;  // of the last segment; 0: there is none
  std::uint64_t end = 0;
  std::uint64_t told = 0;
  bool remove = false;  // it was being made
};

// Reads all, as recovery and as a viewer.
bool read(Files& files, const std::string& folder, bool from_snapshot, const Reader& reader, LogState& state,
          Tail& tail, Contents& c, Fault& fault) {
  state = {};
  fault = {};
  const auto refuse = [&](const std::string& file, std::uint64_t offset, std::string text, int code = 0) {
    fault = {folder + "/" + file, offset, std::move(text), code};
    return false;
  };
  if (const int e = look(files, folder, c); e != 0) return refuse("", 0, "cannot be listed", e);
  std::vector<std::uint8_t> bytes;
  if (from_snapshot) {
    for (auto s = c.snapshots.rbegin(); s != c.snapshots.rend() && state.snapshot == 0; ++s) {
      const std::string name = numbered("snapshot", *s);
      if (const int e = load(files, folder + "/" + name, bytes); e != 0)
        return refuse(name, 0, "cannot be read", e);
      std::string why = check_snapshot(bytes, *s);
      if (why.empty() && reader.snapshot && !reader.snapshot(*s, View(bytes).subspan(sizeof(SnapshotHead))))
        why = "of no use";
      if (why.empty()) state.snapshot = *s;
      else state.set_aside.push_back({folder + "/" + name, 0, why, 0});
    }
  }
  for (const std::uint64_t s :
       from_snapshot ? std::vector<std::uint64_t>{} : c.snapshots) {  // each is checked
    const std::string name = numbered("snapshot", s);
    if (const int e = load(files, folder + "/" + name, bytes); e != 0)
      return refuse(name, 0, "cannot be read", e);
    if (const std::string why = check_snapshot(bytes, s); !why.empty())
      state.set_aside.push_back({folder + "/" + name, 0, why, 0});
  }
  const std::uint64_t wanted = state.snapshot + 1;
  state.first = c.segments.empty() ? wanted : c.segments.front();
  if (from_snapshot && !c.segments.empty() && c.segments.front() > wanted) {
    const Fault* bad = state.set_aside.empty() ? nullptr : &state.set_aside.front();
    return refuse(numbered("log", c.segments.front()), 0,
                  "records " + std::to_string(wanted) + " to " + std::to_string(c.segments.front() - 1) +
                      " are missing" + (bad ? "; " + bad->shown() : ""));
  }
  if (from_snapshot && c.segments.empty() && !state.set_aside.empty())
    return refuse("", 0, "no log; " + state.set_aside.front().shown());
  state.last = state.snapshot;
  std::uint64_t next = c.segments.empty() ? wanted : c.segments.front();
  for (std::size_t i = 0; i < c.segments.size(); ++i) {
    const std::uint64_t first = c.segments[i];
    const std::string name = numbered("log", first);
    const bool newest = i + 1 == c.segments.size();
    if (first != next)
      return refuse(name, 0,
                    "records " + std::to_string(next) + " to " + std::to_string(first - 1) + " are missing");
    if (!newest && c.segments[i + 1] <= wanted && from_snapshot) {  // all of it is in the snapshot
      next = c.segments[i + 1];
      ++state.segments;
      continue;
    }
    if (const int e = load(files, folder + "/" + name, bytes); e != 0)
      return refuse(name, 0, "cannot be read", e);
    const Scan s = scan(bytes, first, [&](std::uint64_t sequence, View record) {
      if ((!from_snapshot || sequence >= wanted) && reader.record) reader.record(sequence, record);
    });
    state.bytes += bytes.size();
    ++state.segments;
    if (s.damaged || (!newest && (s.torn || !s.head_good)))
      return refuse(name, s.head_good ? s.end : 0,
                    "a damaged record; " + std::to_string(s.next) + " was expected");
    if (newest) tail = {first, s.end, s.told, !s.head_good};
    if (s.torn || !s.head_good)
      state.cut = Fault{folder + "/" + name, s.end,
                        "a torn tail of " + std::to_string(bytes.size() - s.end) + " bytes", 0};
    next = s.next;
    state.last = std::max(state.last, next - 1);
  }
  if (next < wanted && !c.segments.empty())
    return refuse(numbered("log", c.segments.back()), 0,
                  "the log ends before the snapshot of " + std::to_string(wanted - 1));
  return true;
}

}  // namespace

std::string Fault::shown() const {
  return file + (offset > 0 ? ", byte " + std::to_string(offset) : "") + ": " + text +
         (code != 0 ? std::string(": ") + std::strerror(code) : "");
}

bool read_log(Files& files, const std::string& folder, bool from_snapshot, const Reader& reader,
              LogState& state, Fault& fault) {
  Tail tail;
  Contents c;
  return read(files, folder, from_snapshot, reader, state, tail, c, fault);
}

std::unique_ptr<Log> Log::open(Files& files, const std::string& folder, const LogOptions& options,
                               const Reader& reader, LogState& state, Fault& fault) {
  const auto refuse = [&](const std::string& file, const char* text, int code) {
    fault = {file, 0, text, code};
    return nullptr;
  };
  if (const int e = files.make_folder(folder); e != 0) return refuse(folder, "cannot be made", e);
  std::unique_ptr<Log> log(new Log(files, folder, options));
  if (const int e = files.lock(folder + "/lock", log->lock_); e != 0)
    return refuse(folder + "/lock", e == EWOULDBLOCK ? "has another owner" : "cannot be locked", e);
  Tail tail;
  Contents c;
  if (!read(files, folder, true, reader, state, tail, c, fault)) return nullptr;
  // Sound. Now the litter of a crash goes, and the tail is cut.
  for (const std::string& name : c.litter) files.remove(folder + "/" + name);
  log->next_ = state.last + 1;
  log->durable_ = state.last;
  log->told_durable_ = tail.told;
  if (tail.first != 0) {
    const std::string path = folder + "/" + numbered("log", tail.first);
    if (tail.remove) {
      if (const int e = files.remove(path); e != 0) return refuse(path, "cannot be removed", e);
      if (const int e = files.sync_folder(folder); e != 0) return refuse(folder, "cannot be synced", e);
    } else {
      if (const int e = files.open(path, Open::kAppend, log->segment_); e != 0)
        return refuse(path, "cannot be opened", e);
      if (state.cut) {
        if (const int e = log->segment_->truncate(tail.end); e != 0) return refuse(path, "cannot be cut", e);
      }
      // What was read may not have been durable yet, nor the names of what was made.
      if (const int e = log->segment_->sync(); e != 0) return refuse(path, "cannot be synced", e);
      if (const int e = files.sync_folder(folder); e != 0) return refuse(folder, "cannot be synced", e);
      log->segment_path_ = path;
      log->segment_size_ = log->durable_size_ = tail.end;
    }
  }
  return log;
}

Log::~Log() = default;

std::uint64_t Log::append(View record) {
  pending_.push_back({next_, std::string(record.begin(), record.end())});
  return next_++;
}

int Log::begin_segment() {
  const std::uint64_t first = durable_ + 1;
  const std::string path = folder_ + "/" + numbered("log", first);
  std::unique_ptr<File> f;
  const SegmentHead head = segment_head(first);
  int e = files_.open(path, Open::kCreate, f);
  if (e == EEXIST) {  // of a try that failed before: nothing in it counts
    e = files_.remove(path);
    if (e == 0) e = files_.open(path, Open::kCreate, f);
  }
  if (e == 0) e = f->append({reinterpret_cast<const std::uint8_t*>(&head), sizeof head});
  if (e == 0) e = f->sync();
  if (e == 0) e = files_.sync_folder(folder_);
  if (e != 0) {
    if (f) files_.remove(path);
    return e;
  }
  segment_ = std::move(f);
  segment_path_ = path;
  segment_size_ = durable_size_ = sizeof head;
  return 0;
}

int Log::commit() {
  if (failed_) return EROFS;
  if (pending_.empty()) return 0;
  const auto fail = [&](int e) {
    failed_ = true;
    return e;
  };
  if (!segment_ || segment_size_ >= options_.segment_bytes) {
    if (segment_ && segment_size_ > durable_size_) {  // marks
      if (const int e = segment_->sync(); e != 0) return fail(e);
      durable_size_ = segment_size_;
    }
    if (const int e = begin_segment(); e != 0) return fail(e);
  }
  buffer_.clear();
  for (const Pending& p : pending_) put_record(buffer_, p.sequence, durable_, view(p.record));
  if (const int e = segment_->append(buffer_); e != 0) return fail(e);
  segment_size_ += buffer_.size();
  if (const int e = segment_->sync(); e != 0) return fail(e);
  durable_size_ = segment_size_;
  told_durable_ = durable_;
  durable_ = pending_.back().sequence;
  pending_.clear();
  return 0;
}

void Log::mark() {
  if (failed_ || !segment_ || !pending_.empty() || told_durable_ == durable_) return;
  buffer_.clear();
  put_record(buffer_, next_, durable_, {});
  if (segment_->append(buffer_) != 0) {
    failed_ = true;
    return;
  }
  segment_size_ += buffer_.size();
  told_durable_ = durable_;
}

int Log::mend() {
  if (!failed_) return 0;
  // Danger: after a failed sync the system may call pages clean that never reached the disk, so what reads
  // back well may be gone after the next crash. Only what was durable before counts; the rest is written
  // again.
  if (segment_) {
    if (const int e = segment_->truncate(durable_size_); e != 0) return e;
    if (const int e = segment_->sync(); e != 0) return e;
  }
  segment_size_ = durable_size_;
  const bool empty = segment_ && segment_path_ == folder_ + "/" + numbered("log", durable_ + 1);
  if (!empty) {
    if (const int e = begin_segment(); e != 0) return e;
  }
  failed_ = false;
  return 0;
}

int Log::snapshot(std::uint64_t upto, View content) {
  if (failed_) return EROFS;
  if (upto > durable_) return EINVAL;
  SnapshotHead h{};
  std::memcpy(h.magic, kSnapshotMagic, 8);
  h.upto = upto;
  h.size = content.size();
  h.content_crc = crc(content.data(), content.size());
  h.crc = crc(reinterpret_cast<const std::uint8_t*>(&h), 28);
  std::vector<std::uint8_t> bytes(sizeof h);
  std::memcpy(bytes.data(), &h, sizeof h);
  bytes.insert(bytes.end(), content.begin(), content.end());
  if (const int e = replace(files_, folder_, numbered("snapshot", upto), bytes); e != 0) return e;
  return compact();
}

int Log::compact() {
  Contents c;
  if (const int e = look(files_, folder_, c); e != 0) return e;
  if (c.snapshots.size() <= options_.keep_snapshots) return 0;
  const std::uint64_t keep = c.snapshots[c.snapshots.size() - options_.keep_snapshots];
  // Snapshots go first: one without its segments would be of no use.
  for (const std::uint64_t s : c.snapshots) {
    if (s >= keep) break;
    if (const int e = files_.remove(folder_ + "/" + numbered("snapshot", s)); e != 0) return e;
  }
  if (const int e = files_.sync_folder(folder_); e != 0) return e;
  for (std::size_t i = 0; !options_.keep_all && i + 1 < c.segments.size() && c.segments[i + 1] <= keep + 1;
       ++i) {
    if (const int e = files_.remove(folder_ + "/" + numbered("log", c.segments[i])); e != 0) return e;
  }
  return files_.sync_folder(folder_);
}

}  // namespace heronworks::store
