#include "lovagedale/relay/fleet_loads.h"

#include <algorithm>
#include <cmath>

#include "lovagedale/common/hash.h"

namespace lovagedale {
namespace {

constexpr double kWorkStepsPerDoubling = 8;
constexpr double kPaceStepsPerDoubling = 16;
/// The code of the pace 1.
constexpr double kPaceCodeOfOne = 128;
/// Paces that differ less from 1 are not sent: a single answer is noisier.
constexpr int kMinPaceCodeDifference = 2;

auto PaceCodeDifference(const position_value& pace) -> int {
  return std::abs(static_cast<int>(pace.code) -
                  static_cast<int>(kPaceCodeOfOne));
}

}  // namespace

server_positions::server_positions(const server_list& list)
    : list_number_(list.number) {
  keys_.reserve(list.servers.size());
  for (const auto& server : list.servers) {
    keys_.push_back(ServerKey(Hash64(server.id)));
  }
  std::sort(keys_.begin(), keys_.end());
  keys_.erase(std::unique(keys_.begin(), keys_.end()), keys_.end());
}

auto server_positions::PositionOf(std::uint32_t key) const
    -> std::optional<std::uint16_t> {
  const auto found = std::lower_bound(keys_.begin(), keys_.end(), key);
  if (found == keys_.end() || *found != key) return std::nullopt;
  return static_cast<std::uint16_t>(found - keys_.begin());
}

auto server_positions::KeyAt(std::size_t position) const
    -> std::optional<std::uint32_t> {
  if (position >= keys_.size()) return std::nullopt;
  return keys_[position];
}

auto EncodeWork(std::uint32_t work) -> std::uint8_t {
  if (work == 0) return 0;
  const auto steps = std::round(kWorkStepsPerDoubling * std::log2(work));
  return static_cast<std::uint8_t>(std::min(255.0, 1 + steps));
}

auto DecodeWork(std::uint8_t code) -> std::uint32_t {
  if (code == 0) return 0;
  return static_cast<std::uint32_t>(
      std::round(std::exp2((code - 1) / kWorkStepsPerDoubling)));
}

auto EncodePace(double pace) -> std::uint8_t {
  return static_cast<std::uint8_t>(std::round(
      kPaceCodeOfOne + kPaceStepsPerDoubling * std::log2(ClampPace(pace))));
}

auto DecodePace(std::uint8_t code) -> double {
  return ClampPace(std::exp2((code - kPaceCodeOfOne) / kPaceStepsPerDoubling));
}

auto EncodeEntryLoads(const server_positions& positions,
                      std::vector<server_load> loads,
                      const std::vector<server_speed>& answers) -> entry_loads {
  std::sort(loads.begin(), loads.end(),
            [](const auto& a, const auto& b) { return a.work > b.work; });
  entry_loads report;
  for (const auto& load : loads) {
    if (report.works.size() == entry_loads::kMaxWorks) break;
    const auto position = positions.PositionOf(load.server);
    if (position) report.works.push_back({*position, EncodeWork(load.work)});
  }
  for (auto answer = answers.rbegin(); answer != answers.rend(); ++answer) {
    if (report.answers.size() == entry_loads::kMaxAnswers) break;
    const auto position = positions.PositionOf(answer->server);
    if (position) {
      report.answers.push_back({*position, EncodePace(answer->pace)});
    }
  }
  // The leader takes them in the order of their arrival.
  std::reverse(report.answers.begin(), report.answers.end());
  return report;
}

auto DecodeWorks(const server_positions& positions, const entry_loads& report)
    -> std::vector<server_load> {
  std::vector<server_load> loads;
  for (const auto& work : report.works) {
    const auto key = positions.KeyAt(work.position);
    if (key) loads.push_back({*key, DecodeWork(work.code)});
  }
  return loads;
}

auto DecodeAnswers(const server_positions& positions, const entry_loads& report)
    -> std::vector<server_speed> {
  std::vector<server_speed> answers;
  for (const auto& answer : report.answers) {
    const auto key = positions.KeyAt(answer.position);
    if (key) answers.push_back({*key, DecodePace(answer.code)});
  }
  return answers;
}

auto EncodeFleetLoads(const server_positions& positions,
                      const std::vector<server_load>& loads,
                      const std::vector<server_speed>& paces) -> fleet_loads {
  fleet_loads result;
  result.list_number = positions.list_number();
  for (const auto& load : loads) {
    const auto position = positions.PositionOf(load.server);
    if (!position || load.work == 0) continue;
    if (result.works.size() <= *position) result.works.resize(*position + 1U);
    result.works[*position] = EncodeWork(load.work);
  }
  for (const auto& pace : paces) {
    const auto position = positions.PositionOf(pace.server);
    if (!position) continue;
    const position_value value{*position, EncodePace(pace.pace)};
    if (PaceCodeDifference(value) >= kMinPaceCodeDifference) {
      result.paces.push_back(value);
    }
  }
  constexpr std::size_t kPaceBytes =
      sizeof(position_value::position) + sizeof(position_value::code);
  const auto max_paces =
      (fleet_loads::kMaxBytes -
       std::min(fleet_loads::kMaxBytes, result.works.size())) /
      kPaceBytes;
  if (result.paces.size() > max_paces) {
    const auto end =
        result.paces.begin() + static_cast<std::ptrdiff_t>(max_paces);
    std::nth_element(result.paces.begin(), end, result.paces.end(),
                     [](const auto& a, const auto& b) {
                       return PaceCodeDifference(a) > PaceCodeDifference(b);
                     });
    result.paces.erase(end, result.paces.end());
  }
  return result;
}

auto DecodeFleetLoads(const server_positions& positions,
                      const fleet_loads& loads)
    -> std::optional<
        std::pair<std::vector<server_load>, std::vector<server_speed>>> {
  if (loads.list_number != positions.list_number()) return std::nullopt;
  std::pair<std::vector<server_load>, std::vector<server_speed>> decoded;
  for (std::size_t i = 0; i < loads.works.size(); ++i) {
    const auto key = positions.KeyAt(i);
    if (key && loads.works[i] != 0) {
      decoded.first.push_back({*key, DecodeWork(loads.works[i])});
    }
  }
  for (const auto& pace : loads.paces) {
    const auto key = positions.KeyAt(pace.position);
    if (key) decoded.second.push_back({*key, DecodePace(pace.code)});
  }
  return decoded;
}

}  // namespace lovagedale
