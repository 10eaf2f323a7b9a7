#include "lovagedale/discovery/server_feed.h"

#include <algorithm>

#include "lovagedale/common/fiber_event.h"
#include "lovagedale/common/log.h"
#include "lovagedale/common/spawn.h"

namespace lovagedale {
namespace {

namespace asio = boost::asio;

/// Poll interval on the leader: well below the few seconds within which a
/// leaving server must stop receiving work, yet only a few calls per second
/// since no other process polls.
constexpr std::chrono::milliseconds kPollPeriod{400};
/// Interval at which a process that does not lead checks whether it does.
constexpr std::chrono::milliseconds kIdlePeriod{50};
/// A list's number is (term << kTermShift) + counter, so that a later leader's
/// numbers are greater.
constexpr unsigned kTermShift = 32;

}  // namespace

server_feed::server_feed(asio::io_context& context, server_source source,
                         std::function<std::uint64_t()> term,
                         std::function<void()> on_change)
    : context_(context),
      source_(std::move(source)),
      leadership_term_(std::move(term)),
      on_change_(std::move(on_change)) {}

auto server_feed::Start() -> void {
  if (!source_) return;
  SpawnTask(context_, [this](asio::yield_context yield) { ReadLoop(yield); });
}

auto server_feed::ReadLoop(asio::yield_context yield) -> void {
  while (!stopped_) {
    const auto term = leadership_term_();
    if (term != 0) ReadOnce(term, yield);
    Pause(context_.get_executor(), term == 0 ? kIdlePeriod : kPollPeriod,
          yield);
  }
}

auto server_feed::ReadOnce(std::uint64_t term, asio::yield_context yield)
    -> void {
  std::string failure;
  std::vector<listed_server> servers;
  try {
    servers = source_(yield);
  } catch (const std::exception& error) {
    failure = error.what();
  }
  if (stopped_ || leadership_term_() != term) return;
  if (!failure.empty()) {
    if (!is_failing_) {
      log_line(log_level::kWarning, "server_list_read_failed")
          .With("reason", failure);
    }
    is_failing_ = true;
    return;
  }
  if (is_failing_) log_line(log_level::kInfo, "server_list_read_recovered");
  is_failing_ = false;
  const bool is_first = list_term_ != term;
  const auto now = clock_.Now();
  const auto is_same = [now](const auto& before, const auto& after) {
    return IsSameListing(before, after, now);
  };
  if (!is_first && std::equal(list_.servers.begin(), list_.servers.end(),
                              servers.begin(), servers.end(), is_same)) {
    return;
  }
  const auto number = is_first ? (term << kTermShift) + 1 : list_.number + 1;
  list_ = {number, std::move(servers)};
  list_term_ = term;
  is_first ? changes_.Restart(list_) : changes_.Record(list_, now);
  const auto leaving =
      std::count_if(list_.servers.begin(), list_.servers.end(),
                    [](const auto& server) { return server.leaving; });
  log_line(log_level::kInfo, "server_list_read")
      .With("number", list_.number)
      .With("servers", list_.servers.size())
      .With("leaving", leaving)
      .With("cold", ColdServers(list_.servers, now).size());
  on_change_();
}

}  // namespace lovagedale
