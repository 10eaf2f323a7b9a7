#include "decisions/guard_study.h"

#include <array>
#include <fstream>
#include <random>

#include "lovagedale/rollout/guard.h"

namespace lovagedale::benchmark {
namespace {

constexpr std::array<double, 4> kStages = {0.01, 0.1, 0.5, 1.0};
constexpr std::size_t kRequestsPerStage = 5'000;
/// A guarded roll-out takes the time it needs; this bounds the study.
constexpr std::size_t kGuardedRequests = 1'000'000;
constexpr std::size_t kClasses = 4;
constexpr std::uint64_t kRollouts = 400;
constexpr std::uint64_t kGoodRollouts = 2'000;
constexpr double kBaselineQuality = 0.8;
constexpr double kBaselineErrors = 0.005;

/// How a version differs from its baseline.
struct candidate_version {
  double quality_drop = 0;
  double error_rate = kBaselineErrors;
  std::size_t bad_class = kClasses;  ///< only class that is worse, if less
};

/// Draws a candidate's answers and keeps its evidence.
class rollout_run {
 public:
  rollout_run(const candidate_version& version, std::uint64_t seed)
      : version_(version), random_(seed) {
    input_.expected_quality = kBaselineQuality;
    for (std::size_t c = 0; c < kClasses; ++c) {
      input_.baseline[{"old", Name(c)}] = {20'000, 100, 2'000, 1'600, 1'600};
    }
  }

  auto Serve() -> void {
    const auto c = random_() % kClasses;
    const bool is_bad =
        version_.bad_class >= kClasses || version_.bad_class == c;
    auto& counts = input_.candidate[{"new", Name(c)}];
    ++counts.requests;
    ++exposed_;
    const auto errors = is_bad ? version_.error_rate : kBaselineErrors;
    if (unit_(random_) < errors) {
      ++counts.errors;
      return;
    }
    const auto quality =
        kBaselineQuality - (is_bad ? version_.quality_drop : 0);
    const double score = unit_(random_) < quality ? 1 : 0;
    ++counts.ratings;
    counts.rating_sum += score;
    counts.rating_square_sum += score;
  }

  auto Judge(const guard_options& options) -> guard_verdict {
    return JudgeRollout(input_, options).verdict;
  }
  auto StartStage() -> void { input_.requests_at_stage_start = exposed_; }
  auto exposed() const -> std::size_t { return exposed_; }

 private:
  static auto Name(std::size_t c) -> std::string {
    return "class" + std::to_string(c);
  }

  candidate_version version_;
  std::mt19937_64 random_;
  std::uniform_real_distribution<double> unit_{0, 1};
  guard_input input_;
  std::size_t exposed_ = 0;
};

struct rollout_end {
  std::size_t exposed = 0;
  bool withdrawn = false;
};

/// Judged after each answer; goes on as soon as a stage is shown acceptable.
auto RunGuarded(const candidate_version& version, std::uint64_t seed,
                const guard_options& options = {}) -> rollout_end {
  rollout_run run(version, seed);
  std::mt19937_64 traffic(seed + 1'000'000);
  std::uniform_real_distribution<double> unit(0, 1);
  std::size_t stage = 0;
  for (std::size_t i = 0; stage < kStages.size() && i < kGuardedRequests; ++i) {
    if (unit(traffic) >= kStages[stage]) continue;
    run.Serve();
    const auto verdict = run.Judge(options);
    if (verdict == guard_verdict::kWithdraw) return {run.exposed(), true};
    if (verdict == guard_verdict::kAdvance) {
      ++stage;
      run.StartStage();
    }
  }
  return {run.exposed(), false};
}

/// Judged at the end of each stage only.
auto RunFixedStages(const candidate_version& version, std::uint64_t seed)
    -> rollout_end {
  rollout_run run(version, seed);
  std::mt19937_64 traffic(seed + 1'000'000);
  std::uniform_real_distribution<double> unit(0, 1);
  for (const auto share : kStages) {
    for (std::size_t i = 0; i < kRequestsPerStage; ++i) {
      if (unit(traffic) < share) run.Serve();
    }
    if (run.Judge({}) == guard_verdict::kWithdraw) return {run.exposed(), true};
  }
  return {run.exposed(), false};
}

struct exposure_means {
  double guarded = 0;
  double fixed = 0;
  double caught = 0;
};

auto MeanExposure(const candidate_version& version) -> exposure_means {
  exposure_means means;
  for (std::uint64_t seed = 1; seed <= kRollouts; ++seed) {
    const auto guarded = RunGuarded(version, seed);
    const auto fixed = RunFixedStages(version, seed);
    means.guarded += static_cast<double>(guarded.exposed) / kRollouts;
    means.fixed += static_cast<double>(fixed.exposed) / kRollouts;
    means.caught += guarded.withdrawn ? 1.0 / kRollouts : 0;
  }
  return means;
}

}  // namespace

auto RunGuardStudy(figure_report& report) -> void {
  constexpr double kMaxShare = 1.0 / 3;
  const auto add = [&](const std::string& name,
                       const candidate_version& version, bool is_bounded) {
    const auto means = MeanExposure(version);
    const auto note = std::to_string(means.guarded) + " requests against " +
                      std::to_string(means.fixed);
    if (is_bounded) {
      report.AtMost("guard." + name + ".exposure_to_fixed_stages",
                    means.guarded / means.fixed, kMaxShare, note);
    } else {
      report.Plain("guard." + name + ".exposure_to_fixed_stages",
                   means.guarded / means.fixed, note);
    }
    report.AtLeast("guard." + name + ".caught", means.caught, 0.99);
  };
  add("20_points_worse", {.quality_drop = 0.2}, true);
  add("5_percent_errors", {.error_rate = 0.05}, true);
  add("one_class_30_points_worse", {.quality_drop = 0.3, .bad_class = 2},
      false);
  std::size_t alarms = 0;
  for (std::uint64_t seed = 1; seed <= kGoodRollouts; ++seed) {
    if (RunGuarded({}, seed).withdrawn) ++alarms;
  }
  report.AtMost("guard.false_alarm_rate",
                static_cast<double>(alarms) / kGoodRollouts, 0.01,
                "of 2,000 whole roll-outs");
}

auto WriteExposureCurve(const std::string& folder) -> void {
  std::ofstream out(folder + "/exposure.dat");
  out << "# false-alarm rate  exposure at 20 points worse  at 5% errors\n";
  constexpr std::array<double, 5> kRates = {0.001, 0.003, 0.01, 0.05, 0.2};
  constexpr std::uint64_t kRuns = 100;
  for (const auto rate : kRates) {
    guard_options options;
    options.false_alarm_rate = rate;
    double worse = 0;
    double errors = 0;
    for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
      worse += static_cast<double>(
                   RunGuarded({.quality_drop = 0.2}, seed, options).exposed) /
               kRuns;
      errors += static_cast<double>(
                    RunGuarded({.error_rate = 0.05}, seed, options).exposed) /
                kRuns;
    }
    out << rate << " " << worse << " " << errors << "\n";
  }
}

}  // namespace lovagedale::benchmark
