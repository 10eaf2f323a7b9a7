#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "lovagedale/replication/disk.h"
#include "lovagedale/replication/errors.h"

namespace lovagedale::testing {

/// A posix_disk with a quota on the bytes written, to simulate a full disk. A
/// write that exceeds the quota stores the bytes that fit, as a real disk does.
class quota_disk {
 public:
  explicit quota_disk(std::size_t quota_bytes)
      : remaining_bytes_(quota_bytes) {}

  auto AddQuota(std::size_t bytes) -> void { remaining_bytes_ += bytes; }
  auto OpenAppend(const std::string& path) -> int {
    return disk_.OpenAppend(path);
  }
  auto Write(int fd, std::string_view bytes) -> void {
    const auto fits = bytes.substr(0, remaining_bytes_);
    disk_.Write(fd, fits);
    remaining_bytes_ -= fits.size();
    if (fits.size() < bytes.size()) {
      throw storage_error("cannot write log file: No space left on device");
    }
  }
  auto SyncFile(int fd) -> void { disk_.SyncFile(fd); }
  auto SyncPath(const std::string& path) -> void { disk_.SyncPath(path); }
  auto CloseFile(int fd) -> void { disk_.CloseFile(fd); }
  auto SyncFolder(const std::string& path) -> void { disk_.SyncFolder(path); }
  auto Rename(const std::string& from, const std::string& to) -> void {
    disk_.Rename(from, to);
  }
  auto Remove(const std::string& path) -> void { disk_.Remove(path); }
  auto Truncate(const std::string& path, std::size_t bytes) -> void {
    disk_.Truncate(path, bytes);
  }

 private:
  posix_disk disk_;
  std::size_t remaining_bytes_;
};

}  // namespace lovagedale::testing
