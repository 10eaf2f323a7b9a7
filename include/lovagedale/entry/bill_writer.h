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

/// On how many disks a bill is confirmed to be stored.
enum class bill_durability : std::uint8_t {
  kPending,   ///< none yet; it is resent until a ledger stores it
  kOneDisk,   ///< one; the ledgers replicate it within a second
  kTwoDisks,  ///< two, in two zones if the ledgers span several
};

/// Stores the bills of one traffic thread. Each batch is sent to two ledgers in
/// parallel, preferably in the own zone, so that the loss of one disk loses no
/// bill. A ledger that does not answer is ejected for a while, and bills then
/// wait only for the remaining ones; with one ledger remaining, they are
/// confirmed on one disk only.
class bill_writer {
 public:
  /// Prefers the ledgers in `zone`, then follows the given order.
  bill_writer(boost::asio::io_context& context,
              const std::vector<process_address>& ledgers,
              const std::string& zone);

  /// Waits until the bill is stored on two disks, or on one if no second ledger
  /// answers soon. Returns kPending after `timeout`; the bill is then resent in
  /// the background until a ledger stores it.
  auto Store(const bill_record& bill, std::chrono::milliseconds timeout,
             boost::asio::yield_context yield) -> bill_durability;
  /// Bills that no ledger has stored yet.
  auto Pending() const -> std::size_t {
    return queued_.size() + bills_in_flight_;
  }

 private:
  struct ledger {
    std::unique_ptr<rpc_channel> channel;
    std::chrono::steady_clock::time_point ejected_until{};
    std::chrono::milliseconds ejection_duration{0};
    std::size_t calls_in_flight = 0;
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
  /// Returns up to two ledgers that are not ejected; if all are, the one whose
  /// ejection ends first.
  auto ChooseLedgers() -> std::vector<ledger*>;
  static auto SendCopy(ledger& target, batch_copies& copies,
                       boost::asio::yield_context yield) -> void;
  /// Ejects a ledger if a call to it is unanswered and it is not ejected yet.
  static auto EjectUnresponsive(ledger& target) -> void;

  boost::asio::io_context& context_;
  std::vector<ledger> ledgers_;
  std::vector<queued_bill> queued_;
  std::size_t bills_in_flight_ = 0;
  bool flushing_ = false;
};

}  // namespace lovagedale
