#include "lovagedale/replication/batch_file.h"

#include <boost/endian/conversion.hpp>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <iterator>

#include "lovagedale/common/hash.h"
#include "lovagedale/replication/errors.h"

namespace lovagedale {
namespace {

constexpr std::size_t kChecksumOffset = 4;

struct batch_header {
  std::size_t length;
  std::uint64_t checksum;
};

auto ReadHeader(std::string_view bytes) -> batch_header {
  const auto* in = reinterpret_cast<const unsigned char*>(bytes.data());
  return {boost::endian::load_little_u32(in),
          boost::endian::load_little_u64(in + kChecksumOffset)};
}

auto IsZeroFilled(std::string_view bytes) -> bool {
  return bytes.find_first_not_of('\0') == std::string_view::npos;
}

}  // namespace

auto EncodeBatch(std::string_view payload) -> std::string {
  std::string bytes(kBatchHeaderBytes, '\0');
  auto* out = reinterpret_cast<unsigned char*>(bytes.data());
  boost::endian::store_little_u32(out,
                                  static_cast<std::uint32_t>(payload.size()));
  boost::endian::store_little_u64(out + kChecksumOffset, Hash64(payload));
  bytes += payload;
  return bytes;
}

auto ScanBatches(const std::string& path, std::string_view content,
                 const std::function<void(std::string_view)>& visit)
    -> batch_scan {
  batch_scan scan{0, 0, content.size()};
  while (scan.valid_bytes < content.size()) {
    const auto rest = content.substr(scan.valid_bytes);
    if (rest.size() < kBatchHeaderBytes || IsZeroFilled(rest)) return scan;
    const auto header = ReadHeader(rest);
    const auto end = kBatchHeaderBytes + header.length;
    // A batch that extends beyond the end of the file is an unfinished write.
    if (end > rest.size()) return scan;
    const auto payload = rest.substr(kBatchHeaderBytes, header.length);
    if (Hash64(payload) != header.checksum) {
      if (end == rest.size() || IsZeroFilled(rest.substr(end))) return scan;
      throw storage_error(path + ": checksum mismatch at byte " +
                          std::to_string(scan.valid_bytes) +
                          ", before the end of the file");
    }
    visit(payload);
    ++scan.batches;
    scan.valid_bytes += end;
  }
  return scan;
}

auto ReadWholeFile(const std::string& path) -> std::string {
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    if (errno == ENOENT) return {};
    throw storage_error("cannot read " + path + ": " + std::strerror(errno));
  }
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

auto ReadSingleBatch(const std::string& path) -> std::optional<std::string> {
  const auto content = ReadWholeFile(path);
  if (content.empty()) return std::nullopt;
  std::optional<std::string> payload;
  const auto scan = ScanBatches(path, content, [&](std::string_view bytes) {
    payload = std::string(bytes);
  });
  if (scan.batches != 1 || scan.HasTornTail()) {
    throw storage_error(path + ": damaged (its checksum does not match)");
  }
  return payload;
}

batch_reader::batch_reader(std::string path, std::uint64_t offset,
                           std::uint64_t end)
    : path_(std::move(path)),
      in_(path_, std::ios::binary),
      offset_(offset),
      end_(end) {
  if (!in_) {
    throw storage_error("cannot read " + path_ + ": " + std::strerror(errno));
  }
  in_.seekg(static_cast<std::streamoff>(offset));
}

auto batch_reader::Next() -> std::optional<std::string> {
  if (offset_ >= end_) return std::nullopt;
  std::string header_bytes(kBatchHeaderBytes, '\0');
  if (!in_.read(header_bytes.data(), kBatchHeaderBytes)) FailDamaged();
  const auto header = ReadHeader(header_bytes);
  if (offset_ + kBatchHeaderBytes + header.length > end_) FailDamaged();
  std::string payload(header.length, '\0');
  if (!in_.read(payload.data(), static_cast<std::streamsize>(header.length)) ||
      Hash64(payload) != header.checksum) {
    FailDamaged();
  }
  offset_ += kBatchHeaderBytes + header.length;
  return payload;
}

auto batch_reader::FailDamaged() const -> void {
  throw storage_error(path_ + ": damaged batch at byte " +
                      std::to_string(offset_));
}

}  // namespace lovagedale
