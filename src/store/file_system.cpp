#include "store/file_system.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>

#include "loop/fd.h"

namespace heronworks::store {
namespace {

constexpr mode_t kFileMode = 0640;

class PosixFile final : public File {
 public:
  explicit PosixFile(Fd fd) : fd_(std::move(fd)) {}
  int append(ByteView bytes) override {
    while (!bytes.empty()) {
      const auto written = ::write(fd_.get(), bytes.data(), bytes.size());
      if (written < 0 && errno == EINTR) continue;
      if (written < 0) return errno;
      if (written == 0) return EIO;
      bytes = bytes.subspan(static_cast<std::size_t>(written));
    }
    return 0;
  }
  int sync() override { return ::fdatasync(fd_.get()) == 0 ? 0 : errno; }
  int truncate(std::uint64_t size) override {
    return ::ftruncate(fd_.get(), static_cast<off_t>(size)) == 0 ? 0 : errno;
  }
  int read(std::uint64_t offset, std::span<std::uint8_t> into, std::size_t& bytes_read) override {
    bytes_read = 0;
    while (bytes_read < into.size()) {
      const auto result = ::pread(fd_.get(), into.data() + bytes_read, into.size() - bytes_read,
                                  static_cast<off_t>(offset + bytes_read));
      if (result < 0 && errno == EINTR) continue;
      if (result < 0) return errno;
      if (result == 0) return 0;
      bytes_read += static_cast<std::size_t>(result);
    }
    return 0;
  }
  std::uint64_t size() override {
    struct stat status {};
    return ::fstat(fd_.get(), &status) == 0 ? static_cast<std::uint64_t>(status.st_size) : 0;
  }

 private:
  Fd fd_;
};

}  // namespace

int PosixFileSystem::open(const std::string& path, OpenMode mode, std::unique_ptr<File>& file) {
  const int flags = mode == OpenMode::kRead     ? O_RDONLY
                    : mode == OpenMode::kAppend ? O_RDWR | O_APPEND
                                                : O_RDWR | O_APPEND | O_CREAT | O_EXCL;
  Fd fd(::open(path.c_str(), flags | O_CLOEXEC, kFileMode));
  if (!fd) return errno;
  file = std::make_unique<PosixFile>(std::move(fd));
  return 0;
}

int PosixFileSystem::rename(const std::string& from, const std::string& to) {
  return ::rename(from.c_str(), to.c_str()) == 0 ? 0 : errno;
}

int PosixFileSystem::remove(const std::string& path) { return ::unlink(path.c_str()) == 0 ? 0 : errno; }

int PosixFileSystem::list_directory(const std::string& directory, std::vector<std::string>& names) {
  std::error_code error;
  names.clear();
  for (const auto& entry : std::filesystem::directory_iterator(directory, error))
    names.push_back(entry.path().filename().string());
  std::sort(names.begin(), names.end());
  return error.value();
}

int PosixFileSystem::create_directories(const std::string& directory) {
  std::error_code error;
  std::filesystem::create_directories(directory, error);
  if (error) return error.value();
  const std::string parent = std::filesystem::absolute(directory).parent_path().string();
  return sync_directory(parent);
}

int PosixFileSystem::sync_directory(const std::string& directory) {
  const Fd fd(::open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!fd) return errno;
  return ::fsync(fd.get()) == 0 ? 0 : errno;
}

int PosixFileSystem::lock(const std::string& path, std::unique_ptr<File>& lock_file) {
  Fd fd(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode));
  if (!fd) return errno;
  if (::flock(fd.get(), LOCK_EX | LOCK_NB) != 0) return errno;
  lock_file = std::make_unique<PosixFile>(std::move(fd));
  return 0;
}

int read_file(FileSystem& file_system, const std::string& path, std::string& content) {
  std::unique_ptr<File> file;
  if (const int e = file_system.open(path, OpenMode::kRead, file); e != 0) return e;
  content.resize(file->size());
  std::size_t bytes_read = 0;
  const int e = file->read(0, {reinterpret_cast<std::uint8_t*>(content.data()), content.size()}, bytes_read);
  content.resize(bytes_read);
  return e;
}

int write_file_atomically(FileSystem& file_system, const std::string& directory, const std::string& name,
                          ByteView content) {
  const std::string path = directory + "/" + name;
  const std::string temporary_path = path + kTemporarySuffix;
  file_system.remove(temporary_path);  // left by an interrupted write
  std::unique_ptr<File> file;
  int e = file_system.open(temporary_path, OpenMode::kCreateNew, file);
  if (e == 0) e = file->append(content);
  if (e == 0) e = file->sync();
  file.reset();
  if (e == 0) e = file_system.rename(temporary_path, path);
  if (e == 0) return file_system.sync_directory(directory);
  file_system.remove(temporary_path);
  return e;
}

}  // namespace heronworks::store
