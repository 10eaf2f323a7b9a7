#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "lovagedale/claim/messages.h"
#include "lovagedale/rpc/channel.h"

namespace lovagedale {

/// No majority of the ledgers answered in time.
class ledger_unreachable : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// One traffic thread's client for the ledgers' idempotency claims.
class ledger_client {
 public:
  /// Tries the ledgers in `zone` first.
  ledger_client(boost::asio::io_context& context,
                const std::vector<process_address>& ledgers,
                const std::string& zone);

  /// Executes a command (begin, finish or release) at the leader. A command
  /// without an answer is sent again, since commands are idempotent. Throws
  /// ledger_unreachable after `timeout`.
  auto Execute(const claim_command& command, std::chrono::milliseconds timeout,
               boost::asio::yield_context yield) -> claim_result;
  /// Executes a release in the background and retries it for at most a minute.
  auto ReleaseInBackground(const release_claim& command) -> void;

 private:
  boost::asio::io_context& context_;
  std::vector<std::unique_ptr<rpc_channel>> ledgers_;
  std::size_t leader_ = 0;
};

}  // namespace lovagedale
