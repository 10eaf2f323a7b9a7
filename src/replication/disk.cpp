#include "lovagedale/replication/disk.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>

#include "lovagedale/replication/errors.h"

namespace lovagedale {
namespace {

constexpr mode_t kFileMode = 0640;

[[noreturn]] auto Fail(const std::string& action, const std::string& path)
    -> void {
  throw storage_error(action + " " + path + ": " + std::strerror(errno));
}

}  // namespace

auto posix_disk::OpenAppend(const std::string& path) -> int {
  const int fd = ::open(path.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC,
                        kFileMode);
  if (fd < 0) Fail("cannot open", path);
  return fd;
}

auto posix_disk::Write(int fd, std::string_view bytes) -> void {
  while (!bytes.empty()) {
    const auto written = ::write(fd, bytes.data(), bytes.size());
    if (written < 0) {
      if (errno == EINTR) continue;
      Fail("cannot write", "log file");
    }
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
}

auto posix_disk::SyncFile(int fd) -> void {
  if (::fdatasync(fd) != 0) Fail("cannot sync", "log file");
}

auto posix_disk::SyncPath(const std::string& path) -> void {
  const int fd = ::open(path.c_str(), O_WRONLY | O_CLOEXEC);
  if (fd < 0) Fail("cannot open", path);
  const int result = ::fsync(fd);
  const int sync_errno = errno;
  ::close(fd);
  errno = sync_errno;
  if (result != 0) Fail("cannot sync", path);
}

auto posix_disk::CloseFile(int fd) -> void {
  if (::close(fd) != 0) Fail("cannot close", "log file");
}

auto posix_disk::SyncFolder(const std::string& path) -> void {
  const int fd = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) Fail("cannot open", path);
  const int result = ::fsync(fd);
  ::close(fd);
  if (result != 0) Fail("cannot sync", path);
}

auto posix_disk::Rename(const std::string& from, const std::string& to)
    -> void {
  if (::rename(from.c_str(), to.c_str()) != 0) Fail("cannot rename", from);
}

auto posix_disk::Remove(const std::string& path) -> void {
  if (::unlink(path.c_str()) != 0 && errno != ENOENT) {
    Fail("cannot remove", path);
  }
}

auto posix_disk::Truncate(const std::string& path, std::size_t bytes) -> void {
  std::error_code error;
  std::filesystem::resize_file(path, bytes, error);
  if (error) {
    throw storage_error("cannot truncate " + path + ": " + error.message());
  }
  SyncPath(path);
}

}  // namespace lovagedale
