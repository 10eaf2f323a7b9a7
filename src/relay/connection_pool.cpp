#include "lovagedale/relay/connection_pool.h"

namespace lovagedale {
namespace {

/// Longest idle time if the server sent no keep-alive timeout.
constexpr monotonic_ms kDefaultIdleMs = 4'000;
/// Requests sent just before the server's keep-alive timeout may be lost.
constexpr monotonic_ms kCloseMarginMs = 500;
constexpr std::size_t kMaxIdlePerServer = 64;

}  // namespace

auto connection_pool::Acquire(const listed_server& server,
                              monotonic_ms max_idle_ms) -> pooled_connection {
  auto& list = idle_[server.id];
  const auto now = clock_.Now();
  while (!list.empty()) {
    auto idle = std::move(list.back());
    list.pop_back();
    const bool is_usable =
        now < idle.expires_ms && now - idle.idle_since_ms <= max_idle_ms;
    if (is_usable && !idle.connection->IsStale()) {
      return {std::move(idle.connection), /*is_fresh=*/false};
    }
  }
  return Create(server);
}

auto connection_pool::Create(const listed_server& server) -> pooled_connection {
  return {std::make_unique<http_connection>(context_, server.host, server.port,
                                            dead_after_),
          /*is_fresh=*/true};
}

auto connection_pool::Release(const std::string& server_id,
                              std::unique_ptr<http_connection> connection,
                              std::optional<std::chrono::seconds> keep_alive)
    -> void {
  if (!connection || !connection->IsReusable()) return;
  auto idle_ms = kDefaultIdleMs;
  if (keep_alive) idle_ms = keep_alive->count() * 1'000 - kCloseMarginMs;
  if (idle_ms <= 0) return;
  const auto now = clock_.Now();
  auto& list = idle_[server_id];
  list.push_back({std::move(connection), now, now + idle_ms});
  if (list.size() > kMaxIdlePerServer) list.pop_front();
}

auto connection_pool::DropExpired() -> void {
  const auto now = clock_.Now();
  for (auto& [id, list] : idle_) {
    std::erase_if(list,
                  [&](const auto& idle) { return now >= idle.expires_ms; });
  }
  std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

}  // namespace lovagedale
