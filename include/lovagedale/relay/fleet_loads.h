#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "lovagedale/common/format.h"
#include "lovagedale/discovery/server_list.h"
#include "lovagedale/relay/server_load.h"
#include "lovagedale/relay/server_pace.h"

namespace lovagedale {

/// Oldest format of processes that exchange entry_loads and fleet_loads.
inline constexpr format_number kFleetLoadsFormat = 4;

/// The positions that stand for the servers of one list in frequent messages:
/// ids are long, and a ServerKey has four bytes. The order is that of the keys,
/// because lists with the same number may differ in theirs.
class server_positions {
 public:
  server_positions() = default;
  explicit server_positions(const server_list& list);

  auto list_number() const -> std::uint64_t { return list_number_; }
  auto size() const -> std::size_t { return keys_.size(); }
  /// Nothing if the list has no such server.
  auto PositionOf(std::uint32_t key) const -> std::optional<std::uint16_t>;
  /// Nothing beyond the last position.
  auto KeyAt(std::size_t position) const -> std::optional<std::uint32_t>;

 private:
  std::uint64_t list_number_ = 0;
  std::vector<std::uint32_t> keys_;  ///< ascending
};

/// A work or a pace of the server at a position, in one byte.
struct position_value {
  std::uint16_t position = 0;
  std::uint8_t code = 0;  ///< see EncodeWork and EncodePace

  auto operator==(const position_value&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(position, code);
  }
};

/// What an entry reports of the servers of the list that its heartbeat names.
struct entry_loads {
  /// Most items of `works` and of `answers`, in the bytes that control may cost
  /// an entry.
  static constexpr std::size_t kMaxWorks = 32;
  static constexpr std::size_t kMaxAnswers = 24;

  std::vector<position_value> works;    ///< of its requests in progress
  std::vector<position_value> answers;  ///< pace of each new answer

  auto operator==(const entry_loads&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(works, answers);
  }
};

/// Work and pace of all servers of a list, from the reports of all entries.
struct fleet_loads {
  /// Most bytes of `works` and `paces` together, unless `works` alone has more.
  static constexpr std::size_t kMaxBytes = 720;

  std::uint64_t list_number = 0;
  /// By position; servers beyond the end have no work.
  std::vector<std::uint8_t> works;
  /// Those farthest from 1 if there are too many; the others count as 1.
  std::vector<position_value> paces;

  auto operator==(const fleet_loads&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(list_number, works, paces);
  }
};

/// Maps works to bytes on a logarithmic scale of 8 steps per factor of 2: the
/// error is at most 5%, which is less than what changes between two reports.
auto EncodeWork(std::uint32_t work) -> std::uint8_t;
auto DecodeWork(std::uint8_t code) -> std::uint32_t;
/// The same for paces, with 16 steps per factor of 2. Paces outside kMinPace to
/// kMaxPace are clamped, also if the byte is damaged.
auto EncodePace(double pace) -> std::uint8_t;
auto DecodePace(std::uint8_t code) -> double;

/// The largest `loads` and the latest `answers` of servers in the list.
auto EncodeEntryLoads(const server_positions& positions,
                      std::vector<server_load> loads,
                      const std::vector<server_speed>& answers) -> entry_loads;
/// Leaves out positions that the list does not have.
auto DecodeWorks(const server_positions& positions, const entry_loads& report)
    -> std::vector<server_load>;
auto DecodeAnswers(const server_positions& positions, const entry_loads& report)
    -> std::vector<server_speed>;

auto EncodeFleetLoads(const server_positions& positions,
                      const std::vector<server_load>& loads,
                      const std::vector<server_speed>& paces) -> fleet_loads;
/// Loads and paces; nothing if `loads` is of another list than `positions`.
auto DecodeFleetLoads(const server_positions& positions,
                      const fleet_loads& loads)
    -> std::optional<
        std::pair<std::vector<server_load>, std::vector<server_speed>>>;

}  // namespace lovagedale
