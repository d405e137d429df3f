// The system's files: see files.h.
#include "store/files.h"

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

class DiskFile final : public File {
 public:
  explicit DiskFile(Fd fd) : fd_(std::move(fd)) {}
  int append(View bytes) override {
    while (!bytes.empty()) {
      const auto n = ::write(fd_.get(), bytes.data(), bytes.size());
      if (n < 0 && errno == EINTR) continue;
      if (n < 0) return errno;
      if (n == 0) return EIO;
      bytes = bytes.subspan(static_cast<std::size_t>(n));
    }
    return 0;
  }
  int sync() override { return ::fdatasync(fd_.get()) == 0 ? 0 : errno; }
  int truncate(std::uint64_t size) override {
    return ::ftruncate(fd_.get(), static_cast<off_t>(size)) == 0 ? 0 : errno;
  }
  int read(std::uint64_t offset, std::span<std::uint8_t> into, std::size_t& got) override {
    got = 0;
    while (got < into.size()) {
      const auto n =
          ::pread(fd_.get(), into.data() + got, into.size() - got, static_cast<off_t>(offset + got));
      if (n < 0 && errno == EINTR) continue;
      if (n < 0) return errno;
      if (n == 0) return 0;
      got += static_cast<std::size_t>(n);
    }
    return 0;
  }
  std::uint64_t size() override {
    struct stat s {};
    return ::fstat(fd_.get(), &s) == 0 ? static_cast<std::uint64_t>(s.st_size) : 0;
  }

 private:
  Fd fd_;
};

}  // namespace

int DiskFiles::open(const std::string& path, Open how, std::unique_ptr<File>& file) {
  const int flags = how == Open::kRead     ? O_RDONLY
                    : how == Open::kAppend ? O_RDWR | O_APPEND
                                           : O_RDWR | O_APPEND | O_CREAT | O_EXCL;
  Fd fd(::open(path.c_str(), flags | O_CLOEXEC, 0640));
  if (!fd) return errno;
  file = std::make_unique<DiskFile>(std::move(fd));
  return 0;
}

int DiskFiles::rename(const std::string& from, const std::string& to) {
  return ::rename(from.c_str(), to.c_str()) == 0 ? 0 : errno;
}

int DiskFiles::remove(const std::string& path) { return ::unlink(path.c_str()) == 0 ? 0 : errno; }

int DiskFiles::list(const std::string& folder, std::vector<std::string>& names) {
  std::error_code error;
  names.clear();
  for (const auto& f : std::filesystem::directory_iterator(folder, error))
    names.push_back(f.path().filename().string());
  std::sort(names.begin(), names.end());
  return error.value();
}

int DiskFiles::make_folder(const std::string& folder) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  if (error) return error.value();
  const std::string parent = std::filesystem::absolute(folder).parent_path().string();
  return sync_folder(parent);
}

int DiskFiles::sync_folder(const std::string& folder) {
  const Fd fd(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!fd) return errno;
  return ::fsync(fd.get()) == 0 ? 0 : errno;
}

int DiskFiles::lock(const std::string& path, std::unique_ptr<File>& held) {
  Fd fd(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0640));
  if (!fd) return errno;
  if (::flock(fd.get(), LOCK_EX | LOCK_NB) != 0) return errno;
  held = std::make_unique<DiskFile>(std::move(fd));
  return 0;
}

int read_all(Files& files, const std::string& path, std::string& content) {
  std::unique_ptr<File> f;
  if (const int e = files.open(path, Open::kRead, f); e != 0) return e;
  content.resize(f->size());
  std::size_t got = 0;
  const int e = f->read(0, {reinterpret_cast<std::uint8_t*>(content.data()), content.size()}, got);
  content.resize(got);
  return e;
}

int replace(Files& files, const std::string& folder, const std::string& name, View content) {
  const std::string path = folder + "/" + name;
  const std::string beside = path + ".new";
  files.remove(beside);  // of a try before
  std::unique_ptr<File> f;
  int e = files.open(beside, Open::kCreate, f);
  if (e == 0) e = f->append(content);
  if (e == 0) e = f->sync();
  f.reset();
  if (e == 0) e = files.rename(beside, path);
  if (e == 0) return files.sync_folder(folder);
  files.remove(beside);
  return e;
}

}  // namespace heronworks::store
