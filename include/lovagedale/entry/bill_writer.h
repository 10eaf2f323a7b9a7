#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "lovagedale/billing/bill.h"
#include "lovagedale/common/fiber_event.h"
#include "lovagedale/rpc/channel.h"

namespace lovagedale {

/// On how many disks a bill is known to last.
enum class bill_durability : std::uint8_t {
  kPending,   ///< none yet; it is sent until a ledger has stored it
  kOneDisk,   ///< one; the ledgers exchange it within a second
  kTwoDisks,  ///< two, in two zones if the ledgers are in several
};

/// One traffic thread's way to store bills: each batch goes to two ledgers at
/// once, the own zone's first, so that the loss of one disk loses no bill. A
/// ledger that does not answer is left out for a while, and bills then wait for
/// the other one alone.
class bill_writer {
 public:
  /// Ledgers of `zone` are preferred, then the order given.
  bill_writer(boost::asio::io_context& context,
              const std::vector<process_address>& ledgers,
              const std::string& zone);

  /// Waits until the bill lasts on two disks, or on one if no second ledger
  /// answers soon. Returns kPending after `timeout`; it is then stored when a
  /// ledger can.
  auto Store(const bill_record& bill, std::chrono::milliseconds timeout,
             boost::asio::yield_context yield) -> bill_durability;
  /// Bills that no ledger has stored yet.
  auto Pending() const -> std::size_t {
    return queued_.size() + bills_in_flight_;
  }

 private:
  struct ledger {
    std::unique_ptr<rpc_channel> channel;
    std::chrono::steady_clock::time_point retry_at{};
    std::chrono::milliseconds retry_delay{0};
    std::size_t calls_in_flight = 0;  ///< under way
  };
  struct queued_bill {
    bill_record bill;
    fiber_event stored;
    std::shared_ptr<bill_durability> durability;
  };
  struct batch_copies;

  auto FlushLoop(boost::asio::yield_context yield) -> void;
  auto SendBatch(const std::vector<queued_bill>& batch,
                 boost::asio::yield_context yield) -> bill_durability;
  /// The first ledgers that are not left out now; at least one.
  auto ChooseLedgers() -> std::vector<ledger*>;
  static auto SendCopy(ledger& target, batch_copies& copies,
                       boost::asio::yield_context yield) -> void;
  /// Leaves a ledger out if a call to it is still without an answer.
  static auto EjectUnresponsive(ledger& target) -> void;

  boost::asio::io_context& context_;
  std::vector<ledger> ledgers_;
  std::vector<queued_bill> queued_;
  std::size_t bills_in_flight_ = 0;
  bool flushing_ = false;
};

}  // namespace lovagedale
