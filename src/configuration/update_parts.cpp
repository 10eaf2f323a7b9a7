#include "lovagedale/configuration/update_parts.h"

#include <algorithm>

#include "lovagedale/common/codec.h"
#include "lovagedale/common/hash.h"

namespace lovagedale {

auto update_part_source::PartFor(const fleet_view& view,
                                 const update_request& request,
                                 monotonic_ms now) -> update_part {
  const auto progress = request.progress.value_or(update_progress{});
  auto offset = progress.received_bytes;
  auto kept = kept_.find(progress.update_hash);
  if (kept == kept_.end() || offset >= kept->second.encoded.size()) {
    kept = kept_.find(UpdateTo(view, request.held, now));
    offset = 0;
  }
  kept->second.last_used = now;
  const auto& encoded = kept->second.encoded;
  return {kept->first, encoded.size(), offset,
          encoded.substr(offset, kMaxUpdatePartBytes)};
}

auto update_part_source::UpdateTo(const fleet_view& view,
                                  const view_position& held, monotonic_ms now)
    -> std::uint64_t {
  for (const auto& [hash, kept] : kept_) {
    if (kept.from == held && kept.revision == view.revision) return hash;
  }
  auto encoded = Encode(updates_.UpdateFor(view, held));
  const auto hash = Hash64(encoded);
  if (kept_.contains(hash)) return hash;
  DropUnused(encoded.size(), now);
  kept_bytes_ += encoded.size();
  kept_[hash] = {std::move(encoded), held, view.revision, now};
  return hash;
}

auto update_part_source::DropUnused(std::size_t added_bytes, monotonic_ms now)
    -> void {
  while (!kept_.empty()) {
    const auto oldest = std::min_element(
        kept_.begin(), kept_.end(), [](const auto& a, const auto& b) {
          return a.second.last_used < b.second.last_used;
        });
    if (now - oldest->second.last_used <= kKeptMs &&
        kept_bytes_ + added_bytes <= kMaxKeptBytes) {
      return;
    }
    kept_bytes_ -= oldest->second.encoded.size();
    kept_.erase(oldest);
  }
}

auto update_assembler::Add(const update_part& part)
    -> std::optional<view_update> {
  if (part.offset == 0) Reset(part.update_hash);
  if (part.update_hash != update_hash_ || part.offset != received_.size()) {
    return std::nullopt;
  }
  received_ += part.bytes;
  if (received_.size() < part.total_bytes) return std::nullopt;
  const auto encoded = std::move(received_);
  Reset(0);
  if (Hash64(encoded) != part.update_hash) {
    throw codec_error("the parts are not those of the update");
  }
  return Decode<view_update>(encoded);
}

auto update_assembler::Reset(std::uint64_t update_hash) -> void {
  update_hash_ = update_hash;
  received_.clear();
}

}  // namespace lovagedale
