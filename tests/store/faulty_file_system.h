// In-memory file system with fault injection: failing calls, a full disk, a crash before or after any call,
// and power loss that drops, tears or reorders unsynced data.
#pragma once

#include <algorithm>
#include <cerrno>
#include <map>
#include <random>
#include <set>

#include "store/file_system.h"

namespace heronworks::test {

// Thrown in place of the death of the process.
struct Crash {};

// What a power loss does to unsynced data and names.
enum class UnsyncedData { kLost, kKept, kTorn, kReordered };

class FaultyFileSystem final : public store::FileSystem {
  struct Inode {
    std::string content;          // as the process sees it
    std::string durable_content;  // as of the last sync
    bool locked = false;
    // Ranges that a failed sync marked clean: no later sync writes them to the disk.
    std::vector<std::pair<std::size_t, std::size_t>> dropped_ranges;
    void sync() {
      durable_content = content;
      for (const auto& [from, to] : dropped_ranges)
        std::fill(durable_content.begin() + static_cast<long>(from),
                  durable_content.begin() + static_cast<long>(to), '\0');
    }
    void truncate(std::size_t size) {
      content.resize(size);
      std::erase_if(dropped_ranges, [&](auto& range) { return range.first >= size; });
      for (auto& range : dropped_ranges) range.second = std::min(range.second, size);
    }
  };
  using InodesByPath = std::map<std::string, std::shared_ptr<Inode>>;

 public:
  // ---- Fault settings ----
  long calls = 0;                   // calls so far that change or sync something; numbers the next one
  long crash_at = -1;               // number of the call that throws Crash; -1: none
  bool crash_after_effect = false;  // the call takes effect before it throws
  long fail_at = -1;                // number of the first call that fails; -1: none
  long fail_count = 1;              // calls in a row that fail
  int fail_errno = EIO;
  std::uint64_t capacity_bytes = UINT64_MAX;  // of all files together
  std::string last_call;

  // Replaces the content by what a process finds after a power loss, and ends the injected faults.
  void lose_power(UnsyncedData unsynced, unsigned seed) {
    std::minstd_rand random(seed + 1);
    if (unsynced == UnsyncedData::kLost) {
      inodes_ = durable_inodes_;
    } else if (unsynced != UnsyncedData::kKept) {
      // Each name created, renamed or removed since the last sync may have reached the disk.
      InodesByPath mixed = durable_inodes_;
      for (const auto& [path, inode] : inodes_) {
        const auto durable = durable_inodes_.find(path);
        if ((durable == durable_inodes_.end() || durable->second != inode) && random() % 2 == 0)
          mixed[path] = inode;
      }
      for (const auto& [path, inode] : durable_inodes_) {
        if (!inodes_.contains(path) && random() % 2 == 0) mixed.erase(path);
      }
      inodes_ = mixed;
    }
    for (auto& [path, inode] : inodes_) {
      std::string& content = inode->content;
      const std::string& durable = inode->durable_content;
      inode->locked = false;
      if (unsynced == UnsyncedData::kLost) {
        content = durable;
      } else if (unsynced == UnsyncedData::kTorn && content.size() > durable.size()) {
        content.resize(durable.size() + random() % (content.size() - durable.size() + 1));
      } else if (unsynced == UnsyncedData::kReordered && content.size() > durable.size()) {
        // Each unsynced sector reaches the disk or stays zero, independently; so may the new length.
        constexpr std::size_t kSectorBytes = 64;
        for (std::size_t at = durable.size(); at < content.size();) {
          const std::size_t end = std::min((at / kSectorBytes + 1) * kSectorBytes, content.size());
          if (random() % 2 == 0)
            std::fill(content.begin() + static_cast<long>(at), content.begin() + static_cast<long>(end),
                      '\0');
          at = end;
        }
        if (random() % 2 == 0)
          content.resize(durable.size() + random() % (content.size() - durable.size() + 1));
      }
      inode->durable_content = content;
      inode->dropped_ranges.clear();
    }
    durable_inodes_ = inodes_;
    crash_at = fail_at = -1;
  }

  std::string& content(const std::string& path) { return inodes_.at(path)->content; }
  bool exists(const std::string& path) const { return inodes_.contains(path); }
  std::vector<std::string> paths() const {
    std::vector<std::string> out;
    for (const auto& [path, inode] : inodes_) out.push_back(path);
    return out;
  }
  void make_all_durable() {
    for (auto& [path, inode] : inodes_) inode->durable_content = inode->content;
    durable_inodes_ = inodes_;
  }

  // ---- store::FileSystem ----
  int open(const std::string& path, store::OpenMode mode, std::unique_ptr<store::File>& file) override {
    const auto existing = inodes_.find(path);
    if (mode == store::OpenMode::kCreateNew) {
      if (existing != inodes_.end()) return EEXIST;
      return faulty_call("create " + path, [&] {
        auto inode = std::make_shared<Inode>();
        inodes_[path] = inode;
        file = std::make_unique<OpenFile>(*this, inode, path);
        return 0;
      });
    }
    if (existing == inodes_.end()) return ENOENT;
    file = std::make_unique<OpenFile>(*this, existing->second, path);
    return 0;
  }
  int rename(const std::string& from, const std::string& to) override {
    if (!inodes_.contains(from)) return ENOENT;
    return faulty_call("rename " + from, [&] {
      inodes_[to] = inodes_[from];
      inodes_.erase(from);
      return 0;
    });
  }
  int remove(const std::string& path) override {
    if (!inodes_.contains(path)) return ENOENT;
    return faulty_call("remove " + path, [&] {
      inodes_.erase(path);
      return 0;
    });
  }
  int list_directory(const std::string& directory, std::vector<std::string>& names) override {
    names.clear();
    for (const auto& [path, inode] : inodes_) {
      if (path.starts_with(directory + "/") && path.find('/', directory.size() + 1) == std::string::npos)
        names.push_back(path.substr(directory.size() + 1));
    }
    return 0;
  }
  int create_directories(const std::string&) override { return 0; }
  int sync_directory(const std::string& directory) override {
    return faulty_call("sync directory " + directory, [&] {
      std::erase_if(durable_inodes_, [&](auto& entry) {
        return entry.first.starts_with(directory + "/") && !inodes_.contains(entry.first);
      });
      for (const auto& [path, inode] : inodes_) {
        if (path.starts_with(directory + "/")) durable_inodes_[path] = inode;
      }
      return 0;
    });
  }
  int lock(const std::string& path, std::unique_ptr<store::File>& lock_file) override {
    auto& inode = inodes_[path];
    if (!inode) inode = std::make_shared<Inode>();
    if (inode->locked) return EWOULDBLOCK;
    inode->locked = true;
    lock_file = std::make_unique<LockFile>(inode);
    return 0;
  }

 private:
  class LockFile final : public store::File {
   public:
    explicit LockFile(std::shared_ptr<Inode> inode) : inode_(std::move(inode)) {}
    ~LockFile() override { inode_->locked = false; }
    int append(store::ByteView) override { return EBADF; }
    int sync() override { return EBADF; }
    int truncate(std::uint64_t) override { return EBADF; }
    int read(std::uint64_t, std::span<std::uint8_t>, std::size_t&) override { return EBADF; }
    std::uint64_t size() override { return 0; }

   private:
    std::shared_ptr<Inode> inode_;
  };

  class OpenFile final : public store::File {
   public:
    OpenFile(FaultyFileSystem& file_system, std::shared_ptr<Inode> inode, std::string path)
        : file_system_(file_system), inode_(std::move(inode)), path_(std::move(path)) {}
    int append(store::ByteView bytes) override {
      const std::uint64_t used = file_system_.used_bytes();
      const bool full = used + bytes.size() > file_system_.capacity_bytes;
      const std::size_t fitting = full ? static_cast<std::size_t>(file_system_.capacity_bytes > used
                                                                      ? file_system_.capacity_bytes - used
                                                                      : 0)
                                       : bytes.size();
      const auto write = [&](std::size_t size) {
        inode_->content.append(reinterpret_cast<const char*>(bytes.data()), size);
      };
      const int e = file_system_.faulty_call(
          "append " + path_, [&] { return write(fitting), full ? ENOSPC : 0; },
          [&] { write(bytes.size() / 2); });
      return e;
    }
    int sync() override {
      return file_system_.faulty_call(
          "sync " + path_,
          [&] {
            inode_->sync();
            return 0;
          },
          [&] {
            if (inode_->content.size() > inode_->durable_content.size())
              inode_->dropped_ranges.push_back({inode_->durable_content.size(), inode_->content.size()});
          });
    }
    int truncate(std::uint64_t size) override {
      return file_system_.faulty_call("truncate " + path_, [&] {
        inode_->truncate(size);
        return 0;
      });
    }
    int read(std::uint64_t offset, std::span<std::uint8_t> into, std::size_t& bytes_read) override {
      const std::string& content = inode_->content;
      bytes_read = offset >= content.size() ? 0 : std::min<std::size_t>(into.size(), content.size() - offset);
      if (bytes_read > 0) std::copy_n(content.begin() + static_cast<long>(offset), bytes_read, into.begin());
      return 0;
    }
    std::uint64_t size() override { return inode_->content.size(); }

   private:
    FaultyFileSystem& file_system_;
    std::shared_ptr<Inode> inode_;
    const std::string path_;
  };

  std::uint64_t used_bytes() const {
    std::uint64_t used = 0;
    for (const auto& [path, inode] : inodes_) used += inode->content.size();
    return used;
  }

  template <typename Effect>
  int faulty_call(const std::string& description, Effect effect) {
    return faulty_call(description, effect, [] {});
  }
  // Runs `effect`, unless this call is set to crash or fail: then `partial_effect`.
  template <typename Effect, typename PartialEffect>
  int faulty_call(const std::string& description, Effect effect, PartialEffect partial_effect) {
    const long number = calls++;
    last_call = description;
    if (number == crash_at && !crash_after_effect) {
      partial_effect();
      throw Crash{};
    }
    if (fail_at >= 0 && number >= fail_at && number < fail_at + fail_count) {
      partial_effect();
      return fail_errno;
    }
    const int e = effect();
    if (number == crash_at) throw Crash{};
    return e;
  }

  InodesByPath inodes_;
  InodesByPath durable_inodes_;
};

}  // namespace heronworks::test
