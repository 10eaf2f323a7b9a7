#include "lovagedale/relay/relay.h"

#include <array>
#include <boost/beast/core/string.hpp>
#include <cstdio>

namespace lovagedale {
namespace {

/// Retry-After of refusals: a configuration or a list of servers has had time
/// to arrive, or, for kBusySeconds, servers have completed some queued
/// requests.
constexpr double kSoonSeconds = 0.3;
/// Another entry can handle the call at once.
constexpr double kOtherEntrySeconds = 0.05;
constexpr double kBusySeconds = 0.5;
/// Partitions and crashes last for seconds, and callers retry a few times only.
constexpr double kUnreachableSeconds = 2;

}  // namespace

auto FormatSeconds(double seconds) -> std::string {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.2f", seconds);
  return text.data();
}

auto IsForwardingHeader(std::string_view name) -> bool {
  using boost::beast::iequals;
  return iequals(name, forwarding_header::kAttemptsLeft) ||
         iequals(name, forwarding_header::kRevision) ||
         iequals(name, forwarding_header::kAttempts) ||
         iequals(name, forwarding_header::kRefusedBy);
}

auto MayServeElsewhere(refusal why) -> bool {
  return why == refusal::kNoConfiguration || why == refusal::kStopping ||
         why == refusal::kStopped || why == refusal::kNoServer ||
         why == refusal::kUnreachable;
}

auto AnswerFor(refusal why) -> refusal_answer {
  switch (why) {
    case refusal::kNoConfiguration:
      return {503, "no_configuration", kSoonSeconds};
    case refusal::kMalformed:
      return {400, "malformed", std::nullopt};
    case refusal::kNoRoute:
      return {404, "no_route", std::nullopt};
    case refusal::kUnknownKey:
      return {401, "unknown_key", std::nullopt};
    case refusal::kStopping:
      return {503, "stopping", kOtherEntrySeconds};
    case refusal::kStopped:
      return {502, "stopped", std::nullopt};
    case refusal::kNoServer:
      return {503, "no_server", kSoonSeconds};
    case refusal::kUnreachable:
      return {503, "servers_unreachable", kUnreachableSeconds};
    case refusal::kServersRefuse:
      return {503, "servers_refuse", kBusySeconds};
    case refusal::kExpired:
      return {503, "expired", kBusySeconds};
    case refusal::kBadGateway:
      return {502, "answer_lost", std::nullopt};
    case refusal::kTimeout:
      return {504, "timeout", std::nullopt};
    case refusal::kQuarantined:
      return {503, "quarantined", kUnreachableSeconds};
    case refusal::kUnknownModel:
      return {421, "unknown_model", std::nullopt};
    case refusal::kEvacuated:
      return {503, "zones_evacuated", kUnreachableSeconds};
    case refusal::kOverloaded:
      return {503, "overloaded", kBusySeconds};
    case refusal::kServersLimited:
      return {503, "servers_limited", kBusySeconds};
  }
  return {500, "internal", std::nullopt};
}

}  // namespace lovagedale
