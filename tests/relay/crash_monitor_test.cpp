#include "lovagedale/relay/crash_monitor.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <iterator>

namespace lovagedale::testing {
namespace {

/// Candidates of a prompt with `shared` shared parts, of which the first is
/// `first_part`.
auto Candidates(std::uint64_t first_part, std::size_t shared)
    -> std::set<crash_candidate> {
  call_request call;
  for (std::size_t i = 0; i <= shared; ++i) call.parts.push_back({i, 10});
  call.parts.front().id = first_part;
  const auto candidates = CrashCandidates(call, "customer", http_request{});
  return {candidates.begin(), candidates.end()};
}

auto Difference(const std::set<crash_candidate>& a,
                const std::set<crash_candidate>& b)
    -> std::vector<crash_candidate> {
  std::vector<crash_candidate> difference;
  std::set_difference(a.begin(), a.end(), b.begin(), b.end(),
                      std::back_inserter(difference));
  return difference;
}

}  // namespace

// Guards against a bad part at the begin of a long prompt that no quarantine
// can name, so that sound requests with the later parts are refused.
TEST_CASE("each shared part of a prompt is a candidate or part of one") {
  for (const std::size_t shared : {1, 16, 17, 40}) {
    CAPTURE(shared);
    const auto sound = Candidates(1'000, shared);
    const auto bad = Candidates(2'000, shared);
    const auto difference = Difference(bad, sound);
    REQUIRE(difference.size() == 1);
    CHECK(difference.front().specificity == 0);
    // All candidates fit into a report.
    CHECK(bad.size() <= crash_attribution::kMaxCandidates);
  }
}

}  // namespace lovagedale::testing
