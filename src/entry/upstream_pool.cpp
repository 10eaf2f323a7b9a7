#include "lovagedale/entry/upstream_pool.h"

namespace lovagedale {
namespace {

constexpr std::size_t kMaxIdlePerServer = 256;
/// A connection that was idle for longer is not reused: a device on the path
/// may have dropped its state.
constexpr std::chrono::seconds kMaxIdleTime{15};

auto AddressKey(const std::string& host, std::uint16_t port) -> std::string {
  return host + ":" + std::to_string(port);
}

}  // namespace

auto upstream_pool::Acquire(const std::string& host, std::uint16_t port,
                            bool fresh, const http_deadlines& deadlines,
                            boost::asio::yield_context yield)
    -> std::unique_ptr<http_connection> {
  auto& list = idle_[AddressKey(host, port)];
  const auto oldest = std::chrono::steady_clock::now() - kMaxIdleTime;
  while (!list.empty() && list.front().idle_since < oldest) list.pop_front();
  while (!fresh && !list.empty()) {
    auto connection = std::move(list.back().connection);
    list.pop_back();
    if (!connection->IsStale()) return connection;
  }
  auto connection = std::make_unique<http_connection>(context_, host, port);
  connection->Connect(deadlines, yield);
  return connection;
}

auto upstream_pool::Release(const std::string& host, std::uint16_t port,
                            std::unique_ptr<http_connection> connection)
    -> void {
  if (!connection || !connection->IsReusable()) return;
  auto& list = idle_[AddressKey(host, port)];
  list.push_back({std::move(connection), std::chrono::steady_clock::now()});
  if (list.size() > kMaxIdlePerServer) list.pop_front();
}

auto upstream_pool::DropIdle(const std::string& host, std::uint16_t port)
    -> void {
  idle_.erase(AddressKey(host, port));
}

}  // namespace lovagedale
