// File system interface of the store. Tests substitute an implementation that injects faults.
//
// Functions return 0 or an errno. After a failed append or sync, the fate of all data written since the last
// successful sync is unknown.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace heronworks::store {

using ByteView = std::span<const std::uint8_t>;

class File {
 public:
  virtual ~File() = default;
  virtual int append(ByteView bytes) = 0;
  // Makes content and size durable. The file's name is durable only after FileSystem::sync_directory.
  virtual int sync() = 0;
  virtual int truncate(std::uint64_t size) = 0;
  // Fills `into` from `offset` on; `bytes_read` is smaller than into.size() only at the end of the file.
  virtual int read(std::uint64_t offset, std::span<std::uint8_t> into, std::size_t& bytes_read) = 0;
  // In bytes; 0 if the size cannot be determined.
  virtual std::uint64_t size() = 0;
};

enum class OpenMode {
  kRead,
  kAppend,
  kCreateNew,  // for appending; EEXIST if the file exists
};

class FileSystem {
 public:
  virtual ~FileSystem() = default;
  virtual int open(const std::string& path, OpenMode mode, std::unique_ptr<File>& file) = 0;
  virtual int rename(const std::string& from, const std::string& to) = 0;
  virtual int remove(const std::string& path) = 0;
  // Names of the entries, sorted, without the directory.
  virtual int list_directory(const std::string& directory, std::vector<std::string>& names) = 0;
  // Creates missing parents too; 0 if the directory exists.
  virtual int create_directories(const std::string& directory) = 0;
  // Makes created, renamed and removed names in the directory durable.
  virtual int sync_directory(const std::string& directory) = 0;
  // Takes an exclusive lock, held until `lock_file` is destroyed; EWOULDBLOCK if it is taken.
  virtual int lock(const std::string& path, std::unique_ptr<File>& lock_file) = 0;
};

// The operating system's file system, through POSIX calls.
class PosixFileSystem final : public FileSystem {
 public:
  int open(const std::string& path, OpenMode mode, std::unique_ptr<File>& file) override;
  int rename(const std::string& from, const std::string& to) override;
  int remove(const std::string& path) override;
  int list_directory(const std::string& directory, std::vector<std::string>& names) override;
  int create_directories(const std::string& directory) override;
  int sync_directory(const std::string& directory) override;
  int lock(const std::string& path, std::unique_ptr<File>& lock_file) override;
};

int read_file(FileSystem& file_system, const std::string& path, std::string& content);

// Suffix of the file that write_file_atomically writes before it renames it; a crash may leave one behind.
inline constexpr const char* kTemporarySuffix = ".new";

// Creates or replaces a file so that after a crash it has either its old or its new content.
int write_file_atomically(FileSystem& file_system, const std::string& directory, const std::string& name,
                          ByteView content);

inline ByteView byte_view(const std::string& s) {
  return {reinterpret_cast<const std::uint8_t*>(s.data()), s.size()};
}

}  // namespace heronworks::store
