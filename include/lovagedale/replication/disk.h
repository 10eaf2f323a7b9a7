#pragma once

#include <concepts>
#include <cstddef>
#include <string>
#include <string_view>

namespace lovagedale {

/// File operations that the stores need. Every call throws storage_error on
/// failure. Tests use an implementation with a quota.
template <typename T>
concept durable_disk = requires(T& disk, int fd, const std::string& path,
                                std::string_view bytes) {
  { disk.OpenAppend(path) } -> std::same_as<int>;
  { disk.Write(fd, bytes) } -> std::same_as<void>;
  { disk.SyncFile(fd) } -> std::same_as<void>;
  { disk.SyncPath(path) } -> std::same_as<void>;
  { disk.CloseFile(fd) } -> std::same_as<void>;
  { disk.SyncFolder(path) } -> std::same_as<void>;
  { disk.Rename(path, path) } -> std::same_as<void>;
  { disk.Remove(path) } -> std::same_as<void>;
  { disk.Truncate(path, std::size_t{}) } -> std::same_as<void>;
};

/// The local POSIX file system.
class posix_disk {
 public:
  /// Opens for appending, creating the file if it is missing.
  auto OpenAppend(const std::string& path) -> int;
  auto Write(int fd, std::string_view bytes) -> void;
  auto SyncFile(int fd) -> void;
  /// Syncs a file that is not open.
  auto SyncPath(const std::string& path) -> void;
  auto CloseFile(int fd) -> void;
  auto SyncFolder(const std::string& path) -> void;
  auto Rename(const std::string& from, const std::string& to) -> void;
  auto Remove(const std::string& path) -> void;
  /// The new length is durable when this returns.
  auto Truncate(const std::string& path, std::size_t bytes) -> void;
};

}  // namespace lovagedale
