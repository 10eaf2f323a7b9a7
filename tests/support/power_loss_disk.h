#pragma once

#include <algorithm>
#include <cstddef>
#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "lovagedale/replication/disk.h"

namespace lovagedale::testing {

/// Thrown where the simulated process is killed.
struct process_killed {};

/// A posix_disk whose power can fail: files then have what was synced. A
/// process that is killed leaves its unsynced writes readable. Files that this
/// disk has not opened are never changed.
class power_loss_disk {
 public:
  auto OpenAppend(const std::string& path) -> int {
    durable_bytes_.try_emplace(path, SizeOf(path));
    const int fd = disk_.OpenAppend(path);
    paths_[fd] = path;
    return fd;
  }
  auto Write(int fd, std::string_view bytes) -> void { disk_.Write(fd, bytes); }
  auto SyncFile(int fd) -> void {
    if (is_killed_at_sync_) {
      is_killed_at_sync_ = false;
      throw process_killed();
    }
    disk_.SyncFile(fd);
    durable_bytes_[paths_.at(fd)] = SizeOf(paths_.at(fd));
  }
  auto SyncPath(const std::string& path) -> void {
    durable_bytes_[path] = SizeOf(path);
  }
  auto CloseFile(int fd) -> void {
    paths_.erase(fd);
    disk_.CloseFile(fd);
  }
  auto SyncFolder(const std::string& path) -> void { disk_.SyncFolder(path); }
  auto Rename(const std::string& from, const std::string& to) -> void {
    disk_.Rename(from, to);
    durable_bytes_[to] = durable_bytes_[from];
    durable_bytes_.erase(from);
  }
  auto Remove(const std::string& path) -> void {
    if (removals_left_ && (*removals_left_)-- == 0) {
      removals_left_.reset();
      throw process_killed();
    }
    disk_.Remove(path);
    durable_bytes_.erase(path);
  }
  auto Truncate(const std::string& path, std::size_t bytes) -> void {
    disk_.Truncate(path, bytes);
    durable_bytes_[path] = bytes;
  }

  /// The Remove after so many others throws process_killed.
  auto KillAfterRemovals(int count) -> void { removals_left_ = count; }
  /// The next SyncFile throws process_killed instead of syncing.
  auto KillAtNextSync() -> void { is_killed_at_sync_ = true; }
  auto LosePower() -> void {
    for (const auto& [path, bytes] : durable_bytes_) {
      if (SizeOf(path) > bytes) std::filesystem::resize_file(path, bytes);
    }
  }

 private:
  static auto SizeOf(const std::string& path) -> std::size_t {
    return std::filesystem::exists(path) ? std::filesystem::file_size(path) : 0;
  }

  posix_disk disk_;
  std::map<std::string, std::size_t> durable_bytes_;  ///< by path
  std::map<int, std::string> paths_;                  ///< of open files
  bool is_killed_at_sync_ = false;
  std::optional<int> removals_left_;
};

}  // namespace lovagedale::testing
