// All that the store asks of a file system, so that tests can put one in its place that loses, tears and
// fails. Calls return 0 or an errno. After an error of `append` or `sync` nothing is known of what was not
// synced before.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace heronworks::store {

using View = std::span<const std::uint8_t>;

class File {
 public:
  virtual ~File() = default;
  virtual int append(View bytes) = 0;
  virtual int sync() = 0;  // contents and size are durable; the name needs Files::sync_folder
  virtual int truncate(std::uint64_t size) = 0;
  // Fewer bytes than asked for only at the end of the file.
  virtual int read(std::uint64_t offset, std::span<std::uint8_t> into, std::size_t& got) = 0;
  virtual std::uint64_t size() = 0;
};

enum class Open { kRead, kAppend, kCreate };  // kCreate: it must not be there

class Files {
 public:
  virtual ~Files() = default;
  virtual int open(const std::string& path, Open how, std::unique_ptr<File>& file) = 0;
  virtual int rename(const std::string& from, const std::string& to) = 0;
  virtual int remove(const std::string& path) = 0;
  virtual int list(const std::string& folder, std::vector<std::string>& names) = 0;  // sorted
  virtual int make_folder(const std::string& folder) = 0;  // parents too; 0 if it is there
  virtual int sync_folder(const std::string& folder) = 0;
  // Held until the object goes; EWOULDBLOCK if another owner has it.
  virtual int lock(const std::string& path, std::unique_ptr<File>& held) = 0;
};

// The system's own.
class DiskFiles final : public Files {
 public:
  int open(const std::string& path, Open how, std::unique_ptr<File>& file) override;
  int rename(const std::string& from, const std::string& to) override;
  int remove(const std::string& path) override;
  int list(const std::string& folder, std::vector<std::string>& names) override;
  int make_folder(const std::string& folder) override;
  int sync_folder(const std::string& folder) override;
  int lock(const std::string& path, std::unique_ptr<File>& held) override;
};

// The whole of a file; writes one whole so that a crash leaves the old or the new: write, sync, rename, sync.
int read_all(Files& files, const std::string& path, std::string& content);
int replace(Files& files, const std::string& folder, const std::string& name, View content);

inline View view(const std::string& s) { return {reinterpret_cast<const std::uint8_t*>(s.data()), s.size()}; }

}  // namespace heronworks::store
