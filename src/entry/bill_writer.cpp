#include "lovagedale/entry/bill_writer.h"

#include <algorithm>

#include "lovagedale/common/codec.h"
#include "lovagedale/common/spawn.h"
#include "lovagedale/ledger/messages.h"

namespace lovagedale {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kCopies = 2;
constexpr std::size_t kMaxBatchBills = 2'000;
constexpr milliseconds kCallTimeout{1'500};
/// How long to wait for the second copy before one copy is enough.
constexpr milliseconds kSecondCopyWait{250};
constexpr milliseconds kResendDelay{50};
/// Ejection time after a call that failed.
constexpr milliseconds kFailedEjection{100};
/// Range of the ejection time after an unanswered call; it doubles each time.
constexpr milliseconds kMinUnresponsiveEjection{1'000};
constexpr milliseconds kMaxUnresponsiveEjection{30'000};

}  // namespace

/// Progress of sending one batch to several ledgers. Shared by the fibers that
/// send it.
struct bill_writer::batch_copies {
  explicit batch_copies(const asio::any_io_executor& executor)
      : stored_or_failed(executor), all_finished(executor) {}
  std::string body;
  std::size_t sent = 0;
  std::size_t stored = 0;
  std::size_t finished = 0;
  fiber_event stored_or_failed;  ///< one copy is stored, or all calls failed
  fiber_event all_finished;
};

bill_writer::bill_writer(asio::io_context& context,
                         const std::vector<process_address>& ledgers,
                         const std::string& zone)
    : context_(context) {
  for (const auto& address : OwnZoneFirst(ledgers, zone)) {
    ledgers_.push_back({std::make_unique<rpc_channel>(context, address)});
  }
}

auto bill_writer::Store(const bill_record& bill, milliseconds timeout,
                        asio::yield_context yield) -> bill_durability {
  const fiber_event stored(context_.get_executor());
  const auto durability =
      std::make_shared<bill_durability>(bill_durability::kPending);
  queued_.push_back({bill, stored, durability});
  if (!flushing_) {
    flushing_ = true;
    SpawnTask(context_, [this](asio::yield_context flush_yield) {
      FlushLoop(flush_yield);
    });
  }
  stored.Wait(timeout, yield);
  return *durability;
}

auto bill_writer::FlushLoop(asio::yield_context yield) -> void {
  while (!queued_.empty()) {
    const auto count = std::min(queued_.size(), kMaxBatchBills);
    const auto split = queued_.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<queued_bill> batch(std::make_move_iterator(queued_.begin()),
                                   std::make_move_iterator(split));
    queued_.erase(queued_.begin(), split);
    bills_in_flight_ = batch.size();
    auto durability = SendBatch(batch, yield);
    while (durability == bill_durability::kPending) {
      Pause(context_.get_executor(), kResendDelay, yield);
      // Safe to resend after a lost answer: records merge by request id.
      durability = SendBatch(batch, yield);
    }
    bills_in_flight_ = 0;
    for (const auto& item : batch) {
      *item.durability = durability;
      item.stored.Set();
    }
  }
  flushing_ = false;
}

auto bill_writer::SendBatch(const std::vector<queued_bill>& batch,
                            asio::yield_context yield) -> bill_durability {
  bill_batch message;
  for (const auto& item : batch) message.records.push_back(item.bill);
  const auto copies = std::make_shared<batch_copies>(context_.get_executor());
  copies->body = Encode(ledger_request(message));
  const auto targets = ChooseLedgers();
  copies->sent = targets.size();
  for (auto* target : targets) {
    SpawnTask(context_, [target, copies](asio::yield_context copy_yield) {
      SendCopy(*target, *copies, copy_yield);
    });
  }
  if (!copies->all_finished.Wait(kSecondCopyWait, yield)) {
    copies->stored_or_failed.Wait(kCallTimeout, yield);
    for (auto* target : targets) EjectUnresponsive(*target);
  }
  if (copies->stored >= kCopies) return bill_durability::kTwoDisks;
  return copies->stored > 0 ? bill_durability::kOneDisk
                            : bill_durability::kPending;
}

auto bill_writer::ChooseLedgers() -> std::vector<ledger*> {
  const auto now = steady_clock::now();
  std::vector<ledger*> chosen;
  for (auto& candidate : ledgers_) {
    if (chosen.size() < kCopies && candidate.ejected_until <= now) {
      chosen.push_back(&candidate);
    }
  }
  if (!chosen.empty()) return chosen;
  const auto soonest = std::min_element(
      ledgers_.begin(), ledgers_.end(), [](const auto& a, const auto& b) {
        return a.ejected_until < b.ejected_until;
      });
  return {&*soonest};
}

auto bill_writer::SendCopy(ledger& target, batch_copies& copies,
                           asio::yield_context yield) -> void {
  ++target.calls_in_flight;
  try {
    target.channel->Call(copies.body, kCallTimeout, yield);
    target.ejection_duration = milliseconds(0);
    target.ejected_until = {};
    ++copies.stored;
  } catch (const rpc_error&) {
    // A ledger that fails at once delays no bill and may recover soon, so it is
    // ejected only briefly.
    target.ejected_until =
        std::max(target.ejected_until, steady_clock::now() + kFailedEjection);
  }
  --target.calls_in_flight;
  ++copies.finished;
  if (copies.stored > 0 || copies.finished == copies.sent) {
    copies.stored_or_failed.Set();
  }
  if (copies.finished == copies.sent) copies.all_finished.Set();
}

auto bill_writer::EjectUnresponsive(ledger& target) -> void {
  // The unanswered call also fails later, when it times out. A ledger that is
  // ejected already is left as it is, so that one call does not count twice.
  if (target.calls_in_flight == 0 ||
      target.ejected_until > steady_clock::now()) {
    return;
  }
  target.ejection_duration =
      std::clamp(2 * target.ejection_duration, kMinUnresponsiveEjection,
                 kMaxUnresponsiveEjection);
  target.ejected_until = steady_clock::now() + target.ejection_duration;
}

}  // namespace lovagedale
