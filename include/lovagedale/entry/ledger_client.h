#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "lovagedale/billing/bill.h"
#include "lovagedale/claim/messages.h"
#include "lovagedale/common/fiber_event.h"
#include "lovagedale/rpc/channel.h"

namespace lovagedale {

/// No ledger majority could be reached in time.
class ledger_unreachable : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// One traffic thread's way to the ledgers.
class ledger_client {
 public:
  /// Ledgers of `zone` are asked first.
  ledger_client(boost::asio::io_context& context,
                const std::vector<process_address>& ledgers,
                const std::string& zone);

  /// Carries out a claim command, at the leader. A command that may have been
  /// lost is sent again: each is idempotent. Throws ledger_unreachable.
  auto Claim(const claim_command& command, std::chrono::milliseconds timeout,
             boost::asio::yield_context yield) -> claim_result;
  /// Carries a release out in the background, until it succeeds or
  /// `kReleaseLimit` has passed.
  auto ReleaseInBackground(const release_claim& command) -> void;
  /// Waits until the bill lasts on a ledger's disk. Returns false if none
  /// could store it within `timeout`; it is then stored when one can.
  auto StoreBill(const bill_record& bill, std::chrono::milliseconds timeout,
                 boost::asio::yield_context yield) -> bool;
  /// Bills not stored yet.
  auto PendingBills() const -> std::size_t;

 private:
  struct bill_wait {
    bill_record bill;
    fiber_event stored;
  };

  auto FlushLoop(boost::asio::yield_context yield) -> void;
  auto SendBatch(const std::vector<bill_wait>& batch,
                 boost::asio::yield_context yield) -> bool;

  boost::asio::io_context& context_;
  std::vector<std::unique_ptr<rpc_channel>> ledgers_;
  std::size_t leader_ = 0;
  std::size_t bill_target_ = 0;
  std::vector<bill_wait> queued_;
  std::size_t sending_ = 0;
  bool flushing_ = false;
};

}  // namespace lovagedale
