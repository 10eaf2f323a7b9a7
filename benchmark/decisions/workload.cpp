#include "decisions/workload.h"

#include <algorithm>
#include <cmath>

namespace lovagedale::benchmark {
namespace {

/// Share of a request's luck that all versions have in common.
constexpr double kSharedLuck = 0.6;
constexpr double kGoodSignal = 0.75;
constexpr double kBadSignal = 0.35;
constexpr double kSignalSpread = 0.18;
constexpr double kLengthSigma = 1.0;

auto Versions(double middle_price, double best_price)
    -> std::vector<true_version> {
  return {{"draft", 1, 0.95, 0.25, 40, 300},
          {"scholar", middle_price, 0.97, 0.70, 80, 700},
          {"sage", best_price, 0.985, 0.92, 160, 1'600}};
}

auto Classes(double first, double second, double third)
    -> std::vector<true_class> {
  return {
      {"match", 0.5, first}, {"summary", 0.3, second}, {"dispute", 0.2, third}};
}

}  // namespace

auto Shapes() -> const std::vector<workload_shape>& {
  static const std::vector<workload_shape> shapes = {
      {"mostly_easy", 0.88, 0.5, Versions(6, 20), Classes(0.75, 0.6, 0.3)},
      {"rarely_suffices", 0.85, 0.5, Versions(6, 20), Classes(0.25, 0.2, 0.1)},
      {"even", 0.88, 0.5, Versions(3, 9), Classes(0.5, 0.5, 0.5)}};
  return shapes;
}

auto DrawRequest(const workload_shape& shape, std::mt19937_64& random)
    -> true_request {
  std::uniform_real_distribution<double> unit(0, 1);
  std::normal_distribution<double> noise(0, kSignalSpread);
  std::normal_distribution<double> normal(0, 1);
  true_request request;
  auto draw = unit(random);
  while (request.class_index + 1 < shape.classes.size() &&
         draw >= shape.classes[request.class_index].weight) {
    draw -= shape.classes[request.class_index].weight;
    ++request.class_index;
  }
  const bool easy =
      unit(random) < shape.classes[request.class_index].easy_share;
  request.length =
      std::exp(kLengthSigma * normal(random) - kLengthSigma * kLengthSigma / 2);
  const auto shared = unit(random);
  const bool uses_shared = unit(random) < kSharedLuck;
  for (const auto& version : shape.versions) {
    const auto chance = easy ? version.good_easy : version.good_hard;
    const auto luck = uses_shared ? shared : unit(random);
    const bool good = luck < chance;
    request.chance.push_back(chance);
    request.good.push_back(good);
    request.signal.push_back(std::clamp(
        (good ? kGoodSignal : kBadSignal) + noise(random), 0.0, 1.0));
  }
  return request;
}

}  // namespace lovagedale::benchmark
