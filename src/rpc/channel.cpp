#include "lovagedale/rpc/channel.h"

#include <algorithm>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "lovagedale/rpc/connection.h"

namespace lovagedale {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr int kAckTimeoutMs = 5'000;
/// A few round trips between regions. Shorter than the kernel's initial SYN
/// retransmission timeout of 1 s, so that a lost SYN is retried sooner.
constexpr std::chrono::milliseconds kConnectTimeout{300};
constexpr std::chrono::milliseconds kReconnectDelay{100};
constexpr std::chrono::milliseconds kConnectPollPeriod{2};
constexpr std::chrono::milliseconds kPingPeriod{500};
constexpr std::chrono::milliseconds kReceiveTimeout{1'500};

auto Now() -> std::chrono::steady_clock::time_point {
  return std::chrono::steady_clock::now();
}

}  // namespace

auto OwnZoneFirst(std::vector<process_address> addresses,
                  const std::string& zone) -> std::vector<process_address> {
  std::stable_partition(
      addresses.begin(), addresses.end(),
      [&](const process_address& address) { return address.zone == zone; });
  return addresses;
}

rpc_channel::rpc_channel(asio::io_context& context, process_address address)
    : context_(context), address_(std::move(address)) {}

rpc_channel::~rpc_channel() {
  *alive_ = false;
  Close();
}

auto rpc_channel::EnsureConnected() -> void {
  if (connecting_ || (connection_ && connection_->IsOpen())) return;
  if (Now() < retry_at_) return;
  connecting_ = true;
  asio::spawn(
      context_,
      [this, alive = alive_](asio::yield_context yield) {
        if (*alive) Connect(yield);
      },
      asio::detached);
}

auto rpc_channel::Connect(asio::yield_context yield) -> void {
  const auto alive = alive_;
  tcp::socket socket(context_);
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address_.host, error);
  asio::steady_timer deadline(context_, kConnectTimeout);
  deadline.async_wait([&socket](boost::system::error_code cancelled) {
    boost::system::error_code ignored;
    if (!cancelled) socket.close(ignored);
  });
  if (!error) socket.async_connect({ip, address_.port}, yield[error]);
  const bool timed_out = deadline.cancel() == 0;
  if (timed_out) {
    // The timer's handler refers to `socket`: let it run before returning.
    asio::post(context_, yield);
  }
  if (!*alive) return;
  connecting_ = false;
  if (error || timed_out) {
    retry_at_ = Now() + kReconnectDelay;
    return;
  }
  ConfigureSocket(socket, kAckTimeoutMs);
  connection_ = std::make_shared<frame_connection>(std::move(socket));
  connection_->Start(
      [this, alive](const frame_header& header, std::string body) {
        if (!*alive) return;
        const auto found = pending_.find(header.call_id);
        if (found == pending_.end()) return;
        found->second->answer = std::move(body);
        found->second->wake->cancel();
      },
      [this, alive] {
        if (*alive) FailPending();
      });
}

auto rpc_channel::FailPending() -> void {
  for (auto& [id, call] : pending_) {
    call->failed = true;
    call->wake->cancel();
  }
  pending_.clear();
}

auto rpc_channel::Call(const std::string& body,
                       std::chrono::milliseconds timeout,
                       asio::yield_context yield) -> std::string {
  const auto alive = alive_;
  const auto started = Now();
  const auto deadline = started + timeout;
  asio::steady_timer wake(context_);
  boost::system::error_code ignored;
  EnsureConnected();
  while (!connection_ || !connection_->IsOpen()) {
    if (!connecting_ || Now() >= deadline) {
      throw rpc_error(rpc_error::outcome::kNotSent,
                      "cannot connect to " + address_.name);
    }
    wake.expires_after(kConnectPollPeriod);
    wake.async_wait(yield[ignored]);
    if (!*alive) {
      throw rpc_error(rpc_error::outcome::kNotSent, "channel closed");
    }
  }
  const auto id = next_call_id_++;
  pending_call call{&wake, std::nullopt, false};
  pending_[id] = &call;
  wake.expires_at(deadline);
  connection_->Send(id, frame_kind::kRequest, body);
  if (!connection_->IsOpen()) FailPending();
  if (!call.failed) wake.async_wait(yield[ignored]);
  if (!*alive) {
    throw rpc_error(rpc_error::outcome::kMaybeSent, "channel closed");
  }
  pending_.erase(id);
  if (call.answer) return std::move(*call.answer);
  if (!call.failed && connection_->last_received() < started) Close();
  throw rpc_error(
      rpc_error::outcome::kMaybeSent,
      address_.name + (call.failed ? " closed the connection" : " timed out"));
}

auto rpc_channel::SendOneWay(const std::string& body) -> void {
  EnsureConnected();
  if (connection_ && connection_->IsOpen()) {
    ProbeConnection();
    connection_->Send(0, frame_kind::kOneWay, body);
  }
}

auto rpc_channel::ProbeConnection() -> void {
  const auto now = Now();
  const auto last_received = connection_->last_received();
  if (now - last_received > kReceiveTimeout && pinged_at_ > last_received) {
    Close();
    return;
  }
  if (now - pinged_at_ < kPingPeriod) return;
  pinged_at_ = now;
  connection_->Send(0, frame_kind::kPing, "");
}

auto rpc_channel::Close() -> void {
  if (connection_) connection_->Close();
  FailPending();
}

}  // namespace lovagedale
