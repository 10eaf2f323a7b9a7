#include "lovagedale/billing/bill_journal.h"

#include <filesystem>
#include <iterator>

#include "lovagedale/replication/errors.h"

namespace lovagedale {
namespace {

/// Size in bytes of the segment's complete batches. Throws storage_error.
auto SegmentEnd(const journal_view& view, std::uint64_t segment)
    -> std::uint64_t {
  if (segment == view.end.segment) return view.end.offset;
  const auto path = SegmentPath(view.folder, view.prefix, segment);
  std::error_code error;
  const auto bytes = std::filesystem::file_size(path, error);
  if (error) {
    throw storage_error("cannot read " + path + ": " + error.message());
  }
  return bytes;
}

}  // namespace

auto ReadJournal(const journal_view& view, journal_position from,
                 std::size_t limit) -> journal_page {
  // Segments are numbered from 1.
  journal_page page{{}, from.segment == 0 ? journal_position{1, 0} : from};
  if (page.next_position.segment > view.end.segment) {
    page.next_position = {1, 0};
  }
  for (;;) {
    auto& [segment, offset] = page.next_position;
    const auto end = SegmentEnd(view, segment);
    // A reader's offset is beyond the end only if the journal lost its tail.
    if (offset > end) offset = 0;
    if (offset < end) {
      batch_reader reader(SegmentPath(view.folder, view.prefix, segment),
                          offset, end);
      while (page.records.size() < limit) {
        const auto payload = reader.Next();
        if (!payload) break;
        auto records = Decode<std::vector<bill_record>>(*payload);
        page.records.insert(page.records.end(),
                            std::make_move_iterator(records.begin()),
                            std::make_move_iterator(records.end()));
        offset = reader.offset();
      }
    }
    if (page.records.size() >= limit || segment == view.end.segment) {
      return page;
    }
    page.next_position = {segment + 1, 0};
  }
}

}  // namespace lovagedale
