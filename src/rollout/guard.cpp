#include "lovagedale/rollout/guard.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>

namespace lovagedale {
namespace {

/// Means are clamped, as the log likelihood ratio is infinite at 0 and 1.
constexpr double kMinMean = 1e-3;
constexpr double kMaxMean = 1 - 1e-3;
/// A baseline mean of fewer values is replaced by the configured one.
constexpr std::uint64_t kMinBaselineCount = 100;

auto ClampMean(double mean) -> double {
  return std::clamp(mean, kMinMean, kMaxMean);
}

/// Logarithm of the average of the numbers whose logarithms are `logs`.
auto LogMeanExp(const alternative_values& logs) -> double {
  const auto max_log = *std::max_element(logs.begin(), logs.end());
  double sum = 0;
  for (const auto value : logs) sum += std::exp(value - max_log);
  return max_log + std::log(sum / static_cast<double>(logs.size()));
}

struct baseline_means {
  double quality;
  double success;
};

auto BaselineMeansOf(const evidence_counts& counts, const guard_input& input,
                     const guard_options& options) -> baseline_means {
  baseline_means means{input.expected_quality, 1 - options.expected_error_rate};
  if (counts.ratings >= kMinBaselineCount) means.quality = counts.MeanRating();
  if (counts.requests >= kMinBaselineCount) {
    means.success = 1 - static_cast<double>(counts.errors) /
                            static_cast<double>(counts.requests);
  }
  return means;
}

auto Successes(const evidence_counts& counts) -> double {
  return static_cast<double>(counts.requests - counts.errors);
}

/// One hypothesis test: on the version's total or on one of its task classes.
struct guard_test {
  std::string name;
  evidence_counts candidate;
  evidence_counts baseline;
  double false_alarm_rate;
};

/// The test of the version's total first, then those of its task classes.
auto MakeTests(const guard_input& input, const guard_options& options)
    -> std::vector<guard_test> {
  guard_test total_test{"all classes", {}, {}, options.false_alarm_rate / 2};
  std::map<std::string, guard_test> classes;
  for (const auto& [key, counts] : input.candidate) {
    total_test.candidate += counts;
    auto& test = classes[key.task_class];
    test.name = "class " + key.task_class;
    test.candidate += counts;
  }
  for (const auto& [key, counts] : input.baseline) {
    total_test.baseline += counts;
    const auto found = classes.find(key.task_class);
    if (found != classes.end()) found->second.baseline += counts;
  }
  std::vector<guard_test> tests = {total_test};
  const auto class_rate =
      options.false_alarm_rate / 2 / static_cast<double>(options.max_classes);
  for (auto& [name, test] : classes) {
    if (tests.size() > options.max_classes) break;
    test.false_alarm_rate = class_rate;
    tests.push_back(std::move(test));
  }
  return tests;
}

/// Describes how the test shows the version to be worse than its baseline;
/// nullopt if it does not.
auto FindAlarm(const guard_test& test, const guard_input& input,
               const guard_options& options) -> std::optional<std::string> {
  const auto means = BaselineMeansOf(test.baseline, input, options);
  // A test's false-alarm rate is divided between ratings and errors.
  const auto threshold = std::log(2 / test.false_alarm_rate);
  const auto& counts = test.candidate;
  if (LogEvidenceOfDrop(counts.rating_sum, static_cast<double>(counts.ratings),
                        means.quality - options.quality_tolerance,
                        kQualityEffectSizes) >= threshold) {
    return "quality of " + test.name + " " +
           std::to_string(counts.MeanRating()) + " against " +
           std::to_string(means.quality) + " after " +
           std::to_string(counts.ratings) + " ratings";
  }
  if (LogEvidenceOfDrop(Successes(counts), static_cast<double>(counts.requests),
                        means.success - options.error_tolerance,
                        kSuccessEffectSizes) >= threshold) {
    return "errors of " + test.name + ": " + std::to_string(counts.errors) +
           " in " + std::to_string(counts.requests) + " requests against " +
           std::to_string(1 - means.success) + " a request";
  }
  return std::nullopt;
}

auto IsQualityAcceptable(const guard_test& test, const guard_input& input,
                         const guard_options& options) -> bool {
  const auto means = BaselineMeansOf(test.baseline, input, options);
  const auto& counts = test.candidate;
  return LogEvidenceOfRise(
             counts.rating_sum, static_cast<double>(counts.ratings),
             means.quality - options.unacceptable_quality_drop,
             kQualityEffectSizes) >= std::log(1 / options.false_advance_rate);
}

auto IsErrorRateAcceptable(const guard_test& test, const guard_options& options)
    -> bool {
  const auto& counts = test.candidate;
  return LogEvidenceOfRise(
             Successes(counts), static_cast<double>(counts.requests),
             1 - options.unacceptable_error_rate,
             kSuccessEffectSizes) >= std::log(1 / options.false_advance_rate);
}

/// `tests`: the result of MakeTests.
auto IsAcceptable(const std::vector<guard_test>& tests,
                  const guard_input& input, const guard_options& options)
    -> bool {
  const auto& total_test = tests.front();
  if (!IsErrorRateAcceptable(total_test, options)) return false;
  const auto min_class_requests =
      options.min_class_share *
      static_cast<double>(total_test.candidate.requests);
  return std::all_of(tests.begin(), tests.end(), [&](const guard_test& test) {
    return static_cast<double>(test.candidate.requests) < min_class_requests ||
           IsQualityAcceptable(test, input, options);
  });
}

}  // namespace

auto LogEvidenceOfDrop(double sum, double count, double null_mean,
                       const alternative_values& drops) -> double {
  const auto p0 = ClampMean(null_mean);
  alternative_values logs{};
  for (std::size_t i = 0; i < drops.size(); ++i) {
    const auto p1 = ClampMean(p0 - drops[i]);
    // The Bernoulli likelihood ratio, extended linearly to values in [0, 1]. By
    // convexity its mean is at most 1 under the null hypothesis.
    logs[i] =
        sum * std::log(p1 / p0) + (count - sum) * std::log((1 - p1) / (1 - p0));
  }
  return LogMeanExp(logs);
}

auto LogEvidenceOfRise(double sum, double count, double null_mean,
                       const alternative_values& rises) -> double {
  return LogEvidenceOfDrop(count - sum, count, 1 - null_mean, rises);
}

auto JudgeRollout(const guard_input& input, const guard_options& options)
    -> guard_decision {
  const auto tests = MakeTests(input, options);
  for (const auto& test : tests) {
    if (auto alarm = FindAlarm(test, input, options)) {
      return {guard_verdict::kWithdraw, std::move(*alarm)};
    }
  }
  const auto& total_test = tests.front();
  const auto stage_requests =
      total_test.candidate.requests - input.requests_at_stage_start;
  if (total_test.candidate.requests >= input.requests_at_stage_start &&
      stage_requests >= options.min_requests_per_stage &&
      IsAcceptable(tests, input, options)) {
    return {guard_verdict::kAdvance,
            std::to_string(stage_requests) +
                " requests at this stage, mean rating " +
                std::to_string(total_test.candidate.MeanRating())};
  }
  return {};
}

auto BaselineEvidence(const catalog& config, const fleet_view& view,
                      const std::string& version, const evidence_table& total)
    -> evidence_table {
  evidence_table baseline;
  const auto id = config.FindVersion(version);
  if (!id) return baseline;
  for (const auto& [key, counts] : total) {
    const auto other = config.FindVersion(key.version);
    if (!other || *other == *id ||
        config.versions[*other].model != config.versions[*id].model) {
      continue;
    }
    const auto* status = view.StatusOf(key.version);
    if (status != nullptr && status->phase != version_phase::kSteady) continue;
    baseline[key] += counts;
  }
  return baseline;
}

auto DefaultSuccessor(const catalog& config, const fleet_view& view,
                      const std::string& version) -> std::string {
  const auto id = config.FindVersion(version);
  if (!id) return {};
  const auto& item = config.versions[*id];
  if (!item.successor.empty()) return item.successor;
  const model_version* best = nullptr;
  for (const auto& other : config.versions) {
    if (other.model != item.model || other.name == version) continue;
    const auto* status = view.StatusOf(other.name);
    if (status != nullptr && status->phase != version_phase::kSteady) continue;
    if (best == nullptr || other.expected_quality > best->expected_quality) {
      best = &other;
    }
  }
  return best == nullptr ? std::string{} : best->name;
}

}  // namespace lovagedale
