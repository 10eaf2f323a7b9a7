#include "lovagedale/replication/log_store.h"

#include <algorithm>
#include <filesystem>
#include <random>

#include "lovagedale/common/codec.h"
#include "lovagedale/common/log.h"
#include "lovagedale/replication/batch_file.h"
#include "lovagedale/replication/errors.h"

namespace lovagedale {
namespace {

namespace fs = std::filesystem;

/// Incarnation of the replicas that the group was created with.
constexpr incarnation_id kFirstIncarnation = 1;

/// Content of the file `identity`.
struct folder_identity {
  incarnation_id incarnation = 0;

  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(incarnation);
  }
};

auto CreateFolder(const std::string& folder) -> void {
  std::error_code error;
  const bool is_new = fs::create_directories(folder, error);
  if (error) {
    throw storage_error("cannot create folder " + folder + ": " +
                        error.message());
  }
  if (is_new) {
    posix_disk disk;
    disk.SyncFolder(fs::absolute(folder).parent_path().string());
  }
}

auto NewIncarnation() -> incarnation_id {
  std::random_device device;
  const auto high = static_cast<std::uint64_t>(device()) << 32U;
  return std::max<incarnation_id>(high | device(), kFirstIncarnation + 1);
}

auto ReadIdentity(const std::string& folder, const std::string& payload)
    -> decoded_message<folder_identity> {
  try {
    return DecodeWithFormat<folder_identity>(payload);
  } catch (const codec_error& error) {
    throw storage_error(folder + ": " + error.what());
  }
}

auto ReadOrCreateIdentity(const std::string& folder)
    -> decoded_message<folder_identity> {
  const auto payload = ReadSingleBatch(folder + "/" + kIdentityFile);
  if (payload) return ReadIdentity(folder, *payload);
  if (!ListSegments(folder, kLogPrefix).empty() ||
      fs::exists(folder + "/snapshot")) {
    throw storage_error(folder + ": has a log but no identity file");
  }
  const folder_identity identity{NewIncarnation()};
  posix_disk disk;
  ReplaceFile(disk, folder, kIdentityFile, Encode(identity));
  return {identity, {}};
}

auto ApplyBatch(const log_batch& batch, stored_state& state) -> void {
  if (batch.hard) state.hard = *batch.hard;
  auto& entries = state.entries;
  if (batch.truncate_from) {
    std::erase_if(entries, [&](const auto& entry) {
      return entry.index >= *batch.truncate_from;
    });
  }
  for (const auto& entry : batch.entries) {
    if (entry.index <= state.snapshot.index) continue;
    const auto expected =
        entries.empty() ? state.snapshot.index + 1 : entries.back().index + 1;
    if (entry.index != expected) {
      throw storage_error("log entry " + std::to_string(entry.index) +
                          " found where " + std::to_string(expected) +
                          " was expected");
    }
    entries.push_back(entry);
  }
}

auto ReadSegment(const std::string& path, bool is_last, stored_state& state)
    -> recovered_segment {
  const auto content = ReadWholeFile(path);
  const auto scan = ScanBatches(path, content, [&](std::string_view bytes) {
    ApplyBatch(Decode<log_batch>(bytes), state);
  });
  if (scan.HasTornTail() && !is_last) {
    throw storage_error(path + ": incomplete, but a later segment exists");
  }
  return {path, scan.valid_bytes, scan.file_bytes};
}

}  // namespace

auto EncodeLogBatch(const log_batch& batch) -> std::string {
  return EncodeBatch(Encode(batch));
}

auto EncodeIdentity(incarnation_id incarnation, format_number required_format)
    -> std::string {
  return Encode(folder_identity{incarnation}, required_format);
}

auto OpenDataFolder(const std::string& folder) -> opened_folder {
  CreateFolder(folder);
  opened_folder opened;
  const auto identity = ReadOrCreateIdentity(folder);
  opened.state.incarnation = identity.message.incarnation;
  opened.required_format = identity.footer.oldest_reader;
  if (const auto payload = ReadSingleBatch(folder + "/snapshot")) {
    opened.state.snapshot = Decode<log_snapshot>(*payload);
  }
  const auto segments = ListSegments(folder, kLogPrefix);
  for (const auto number : segments) {
    // A process that stopped between its start and its first write leaves an
    // empty segment, so a torn batch is allowed in any segment that is followed
    // only by empty ones.
    const bool is_last =
        std::all_of(segments.begin(), segments.end(), [&](std::uint64_t other) {
          return other <= number ||
                 fs::file_size(SegmentPath(folder, kLogPrefix, other)) == 0;
        });
    const auto segment = ReadSegment(SegmentPath(folder, kLogPrefix, number),
                                     is_last, opened.state);
    if (segment.file_bytes > 0) opened.segments.push_back(segment);
    opened.last_segment = number;
  }
  return opened;
}

auto InitializeDataFolder(const std::string& folder,
                          const std::vector<std::string>& voter_names) -> void {
  CreateFolder(folder);
  if (!fs::is_empty(folder)) {
    throw storage_error(folder + " is not empty; a group is created only once");
  }
  log_snapshot snapshot;
  for (const auto& name : voter_names) {
    snapshot.members.members.push_back(
        {name, kFirstIncarnation, /*voter=*/true});
  }
  posix_disk disk;
  ReplaceFile(disk, folder, "snapshot", Encode(snapshot));
  ReplaceFile(disk, folder, kIdentityFile,
              Encode(folder_identity{kFirstIncarnation}));
}

}  // namespace lovagedale
