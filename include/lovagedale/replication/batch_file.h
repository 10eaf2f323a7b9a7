#pragma once

#include <cstddef>
#include <cstdint>
#include <fstream>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace lovagedale {

/// Bytes before each batch: u32 length and u64 checksum, little-endian.
inline constexpr std::size_t kBatchHeaderBytes = 12;

/// One batch as stored: header and payload. A batch is the unit of one sync,
/// so only the last batch of a file can be incomplete after a crash.
auto EncodeBatch(std::string_view payload) -> std::string;

/// Result of reading a batch file.
struct batch_scan {
  std::size_t batches = 0;
  /// Bytes of complete batches; the rest is an incomplete last batch.
  std::size_t valid_bytes = 0;
  std::size_t file_bytes = 0;

  auto HasTornTail() const -> bool { return valid_bytes < file_bytes; }
};

/// Calls `visit` with the payload of each complete batch in `content`. A
/// damaged last batch counts as an unfinished write. Throws storage_error with
/// `path` and the byte offset if any other batch is damaged, since its records
/// may have been acknowledged.
auto ScanBatches(const std::string& path, std::string_view content,
                 const std::function<void(std::string_view)>& visit)
    -> batch_scan;

/// Content of a file; empty if the file does not exist. Throws storage_error
/// if it cannot be read.
auto ReadWholeFile(const std::string& path) -> std::string;

/// Payload of a file that is one batch (see ReplaceFile); empty if the file
/// does not exist. Throws storage_error if it is damaged.
auto ReadSingleBatch(const std::string& path) -> std::optional<std::string>;

/// Reads a file's batches sequentially without loading the whole file.
class batch_reader {
 public:
  /// Reads the batches in the byte range [`offset`, `end`); both must be batch
  /// boundaries. Throws storage_error if the file cannot be opened.
  batch_reader(std::string path, std::uint64_t offset, std::uint64_t end);
  /// The next payload, or nothing at `end`. Throws storage_error if the batch
  /// is damaged.
  auto Next() -> std::optional<std::string>;
  /// Offset of the batch that Next returns.
  auto offset() const -> std::uint64_t { return offset_; }

 private:
  [[noreturn]] auto FailDamaged() const -> void;

  std::string path_;
  std::ifstream in_;
  std::uint64_t offset_;
  std::uint64_t end_;
};

}  // namespace lovagedale
