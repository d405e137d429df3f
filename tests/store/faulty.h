// A file system in memory that behaves as badly as one may: what was not synced is lost, torn or kept out of
// order at a crash; it fills up; any call fails or is the last before a crash.
#pragma once

#include <algorithm>
#include <cerrno>
#include <map>
#include <random>
#include <set>

#include "store/files.h"

namespace heronworks::test {

struct Crash {};  // the process died in this call

enum class Loss { kAll, kNone, kTorn, kReordered };

class FaultyFiles final : public store::Files {
  struct Inode {
    std::string now;      // as the process sees it
    std::string durable;  // as of the last sync
    bool locked = false;
    // Written and then called clean by a sync that failed: no later sync brings it to the disk.
    std::vector<std::pair<std::size_t, std::size_t>> lost;
    void sync() {
      durable = now;
      for (const auto& [from, to] : lost)
        std::fill(durable.begin() + static_cast<long>(from), durable.begin() + static_cast<long>(to), '\0');
    }
    void truncate(std::size_t size) {
      now.resize(size);
      std::erase_if(lost, [&](auto& l) { return l.first >= size; });
      for (auto& l : lost) l.second = std::min(l.second, size);
    }
  };
  using Names = std::map<std::string, std::shared_ptr<Inode>>;

 public:
  // ---- What goes wrong ----
  long calls = 0;            // that change or sync anything
  long crash_at = -1;        // the number of the call in which the process dies
  bool crash_after = false;  // once its effect has happened, not before
  long fail_at = -1;         // the number of the call that fails
  long fail_for = 1;         // and so many after it
  int fail_with = EIO;
  std::uint64_t room = UINT64_MAX;  // bytes that files may hold together
  std::string last_call;

  // What the next process finds.
  void power_loss(Loss loss, unsigned seed) {
    std::minstd_rand random(seed + 1);
    if (loss == Loss::kAll) {
      names_ = durable_names_;
    } else if (loss != Loss::kNone) {
      // Of names made, renamed or removed since the sync, any may have reached the disk.
      Names mixed = durable_names_;
      for (const auto& [path, inode] : names_) {
        const auto d = durable_names_.find(path);
        if ((d == durable_names_.end() || d->second != inode) && random() % 2 == 0) mixed[path] = inode;
      }
      for (const auto& [path, inode] : durable_names_) {
        if (!names_.contains(path) && random() % 2 == 0) mixed.erase(path);
      }
      names_ = mixed;
    }
    for (auto& [path, inode] : names_) {
      std::string& now = inode->now;
      const std::string& durable = inode->durable;
      inode->locked = false;
      if (loss == Loss::kAll) {
        now = durable;
      } else if (loss == Loss::kTorn && now.size() > durable.size()) {
        now.resize(durable.size() + random() % (now.size() - durable.size() + 1));
      } else if (loss == Loss::kReordered && now.size() > durable.size()) {
        // Sectors of what was not synced reach the disk or stay zeros, each by itself; so may the new length.
        constexpr std::size_t kSector = 64;
        for (std::size_t at = durable.size(); at < now.size();) {
          const std::size_t end = std::min((at / kSector + 1) * kSector, now.size());
          if (random() % 2 == 0)
            std::fill(now.begin() + static_cast<long>(at), now.begin() + static_cast<long>(end), '\0');
          at = end;
        }
        if (random() % 2 == 0) now.resize(durable.size() + random() % (now.size() - durable.size() + 1));
      }
      inode->durable = now;
      inode->lost.clear();
    }
    durable_names_ = names_;
    crash_at = fail_at = -1;
  }

  std::string& content(const std::string& path) { return names_.at(path)->now; }
  bool has(const std::string& path) const { return names_.contains(path); }
  std::vector<std::string> paths() const {
    std::vector<std::string> out;
    for (const auto& [path, inode] : names_) out.push_back(path);
    return out;
  }
  void harden() {
    for (auto& [path, inode] : names_) inode->durable = inode->now;
    durable_names_ = names_;
  }

  // ---- Files ----
  int open(const std::string& path, store::Open how, std::unique_ptr<store::File>& file) override {
    const auto at = names_.find(path);
    if (how == store::Open::kCreate) {
      if (at != names_.end()) return EEXIST;
      return change("create " + path, [&] {
        auto inode = std::make_shared<Inode>();
        names_[path] = inode;
        file = std::make_unique<Handle>(*this, inode, path);
        return 0;
      });
    }
    if (at == names_.end()) return ENOENT;
    file = std::make_unique<Handle>(*this, at->second, path);
    return 0;
  }
  int rename(const std::string& from, const std::string& to) override {
    if (!names_.contains(from)) return ENOENT;
    return change("rename " + from, [&] {
      names_[to] = names_[from];
      names_.erase(from);
      return 0;
    });
  }
  int remove(const std::string& path) override {
    if (!names_.contains(path)) return ENOENT;
    return change("remove " + path, [&] {
      names_.erase(path);
      return 0;
    });
  }
  int list(const std::string& folder, std::vector<std::string>& out) override {
    out.clear();
    for (const auto& [path, inode] : names_) {
      if (path.starts_with(folder + "/") && path.find('/', folder.size() + 1) == std::string::npos)
        out.push_back(path.substr(folder.size() + 1));
    }
    return 0;
  }
  int make_folder(const std::string&) override { return 0; }
  int sync_folder(const std::string& folder) override {
    return change("sync folder " + folder, [&] {
      std::erase_if(durable_names_,
                    [&](auto& n) { return n.first.starts_with(folder + "/") && !names_.contains(n.first); });
      for (const auto& [path, inode] : names_) {
        if (path.starts_with(folder + "/")) durable_names_[path] = inode;
      }
      return 0;
    });
  }
  int lock(const std::string& path, std::unique_ptr<store::File>& held) override {
    auto& inode = names_[path];
    if (!inode) inode = std::make_shared<Inode>();
    if (inode->locked) return EWOULDBLOCK;
    inode->locked = true;
    held = std::make_unique<Lock>(inode);
    return 0;
  }

 private:
  class Lock final : public store::File {
   public:
    explicit Lock(std::shared_ptr<Inode> inode) : inode_(std::move(inode)) {}
    ~Lock() override { inode_->locked = false; }
    int append(store::View) override { return EBADF; }
    int sync() override { return EBADF; }
    int truncate(std::uint64_t) override { return EBADF; }
    int read(std::uint64_t, std::span<std::uint8_t>, std::size_t&) override { return EBADF; }
    std::uint64_t size() override { return 0; }

   private:
    std::shared_ptr<Inode> inode_;
  };

  class Handle final : public store::File {
   public:
    Handle(FaultyFiles& files, std::shared_ptr<Inode> inode, std::string path)
        : files_(files), inode_(std::move(inode)), path_(std::move(path)) {}
    int append(store::View bytes) override {
      const std::uint64_t used = files_.used();
      const bool full = used + bytes.size() > files_.room;
      const std::size_t fits =
          full ? static_cast<std::size_t>(files_.room > used ? files_.room - used : 0) : bytes.size();
      const auto put = [&](std::size_t n) {
        inode_->now.append(reinterpret_cast<const char*>(bytes.data()), n);
      };
      const int e = files_.change(
          "append " + path_, [&] { return put(fits), full ? ENOSPC : 0; }, [&] { put(bytes.size() / 2); });
      return e;
    }
    int sync() override {
      return files_.change(
          "sync " + path_,
          [&] {
            inode_->sync();
            return 0;
          },
          [&] {
            if (inode_->now.size() > inode_->durable.size())
              inode_->lost.push_back({inode_->durable.size(), inode_->now.size()});
          });
    }
    int truncate(std::uint64_t size) override {
      return files_.change("truncate " + path_, [&] {
        inode_->truncate(size);
        return 0;
      });
    }
    int read(std::uint64_t offset, std::span<std::uint8_t> into, std::size_t& got) override {
      const std::string& s = inode_->now;
      got = offset >= s.size() ? 0 : std::min<std::size_t>(into.size(), s.size() - offset);
      if (got > 0) std::copy_n(s.begin() + static_cast<long>(offset), got, into.begin());
      return 0;
    }
    std::uint64_t size() override { return inode_->now.size(); }

   private:
    FaultyFiles& files_;
    std::shared_ptr<Inode> inode_;
    const std::string path_;
  };

  std::uint64_t used() const {
    std::uint64_t n = 0;
    for (const auto& [path, inode] : names_) n += inode->now.size();
    return n;
  }

  template <typename Do>
  int change(const std::string& what, Do act) {
    return change(what, act, [] {});
  }
  // `half`: what a call that fails leaves behind.
  template <typename Do, typename Half>
  int change(const std::string& what, Do act, Half half) {
    const long number = calls++;
    last_call = what;
    if (number == crash_at && !crash_after) {
      half();
      throw Crash{};
    }
    if (fail_at >= 0 && number >= fail_at && number < fail_at + fail_for) {
      half();
      return fail_with;
    }
    const int e = act();
    if (number == crash_at) throw Crash{};
    return e;
  }

  Names names_;
  Names durable_names_;
};

}  // namespace heronworks::test
