#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "lovagedale/replication/batch_file.h"
#include "lovagedale/replication/disk.h"

namespace lovagedale {

/// Path of a numbered segment: FOLDER/PREFIX-000000000017.
auto SegmentPath(const std::string& folder, std::string_view prefix,
                 std::uint64_t number) -> std::string;

/// Numbers of the folder's segments with that prefix, ascending.
auto ListSegments(const std::string& folder, std::string_view prefix)
    -> std::vector<std::uint64_t>;

/// Atomically replaces a file by a single checksummed batch: a reader finds
/// either the old or the new content. The new content is durable when this
/// returns. Throws storage_error.
template <durable_disk Disk>
auto ReplaceFile(Disk& disk, const std::string& folder, const std::string& name,
                 std::string_view payload) -> void {
  const auto temporary = folder + "/" + name + ".new";
  disk.Remove(temporary);
  const int fd = disk.OpenAppend(temporary);
  try {
    disk.Write(fd, EncodeBatch(payload));
    disk.SyncFile(fd);
  } catch (...) {
    disk.CloseFile(fd);
    throw;
  }
  disk.CloseFile(fd);
  disk.Rename(temporary, folder + "/" + name);
  disk.SyncFolder(folder);
}

}  // namespace lovagedale
