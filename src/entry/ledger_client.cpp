#include "lovagedale/entry/ledger_client.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

#include "lovagedale/common/codec.h"
#include "lovagedale/common/spawn.h"
#include "lovagedale/ledger/messages.h"

namespace lovagedale {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kCallTimeout{1'500};
constexpr milliseconds kRetryDelay{20};
constexpr milliseconds kReleaseLimit{60'000};
constexpr milliseconds kBillRetryDelay{50};
constexpr std::size_t kMaxBatchBills = 2'000;

}  // namespace

ledger_client::ledger_client(asio::io_context& context,
                             const std::vector<process_address>& ledgers,
                             const std::string& zone)
    : context_(context) {
  auto sorted = ledgers;
  std::stable_partition(
      sorted.begin(), sorted.end(),
      [&](const process_address& ledger) { return ledger.zone == zone; });
  for (const auto& ledger : sorted) {
    ledgers_.push_back(std::make_unique<rpc_channel>(context, ledger));
  }
}

auto ledger_client::Claim(const claim_command& command, milliseconds timeout,
                          asio::yield_context yield) -> claim_result {
  const auto deadline = steady_clock::now() + timeout;
  const auto body = Encode(ledger_request(claim_request{command}));
  asio::steady_timer pause(context_);
  boost::system::error_code ignored;
  while (steady_clock::now() < deadline) {
    const auto left = std::chrono::duration_cast<milliseconds>(
        deadline - steady_clock::now());
    auto& channel = *ledgers_[leader_ % ledgers_.size()];
    std::string leader;
    try {
      const auto response = Decode<claim_response>(channel.Call(
          body, std::min(left + milliseconds(1), kCallTimeout), yield));
      if (response.reply == claim_reply::kDecided) return response.result;
      leader = response.leader;
    } catch (const std::runtime_error&) {
      // Lost, refused or not understood: the next ledger may know more.
    }
    const auto known = std::find_if(
        ledgers_.begin(), ledgers_.end(),
        [&](const auto& item) { return item->address().name == leader; });
    if (known != ledgers_.end() && known->get() != &channel) {
      leader_ = static_cast<std::size_t>(known - ledgers_.begin());
      continue;
    }
    ++leader_;
    pause.expires_after(kRetryDelay);
    pause.async_wait(yield[ignored]);
  }
  throw ledger_unreachable("no ledger majority answered in time");
}

auto ledger_client::ReleaseInBackground(const release_claim& command) -> void {
  SpawnTask(context_, [this, command](asio::yield_context yield) {
    try {
      Claim(command, kReleaseLimit, yield);
    } catch (const ledger_unreachable&) {
      // The claim stays; a resend is refused as "maybe run", which is safe.
    }
  });
}

auto ledger_client::PendingBills() const -> std::size_t {
  return queued_.size() + sending_;
}

auto ledger_client::StoreBill(const bill_record& bill, milliseconds timeout,
                              asio::yield_context yield) -> bool {
  const fiber_event stored(context_.get_executor());
  queued_.push_back({bill, stored});
  if (!flushing_) {
    flushing_ = true;
    SpawnTask(context_,
              [this](asio::yield_context flush) { FlushLoop(flush); });
  }
  return stored.Wait(timeout, yield);
}

auto ledger_client::FlushLoop(asio::yield_context yield) -> void {
  asio::steady_timer pause(context_);
  boost::system::error_code ignored;
  while (!queued_.empty()) {
    const auto count = std::min(queued_.size(), kMaxBatchBills);
    const auto split = queued_.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<bill_wait> batch(std::make_move_iterator(queued_.begin()),
                                 std::make_move_iterator(split));
    queued_.erase(queued_.begin(), split);
    sending_ = batch.size();
    while (!SendBatch(batch, yield)) {
      pause.expires_after(kBillRetryDelay);
      pause.async_wait(yield[ignored]);
    }
    sending_ = 0;
    for (const auto& item : batch) item.stored.Set();
  }
  flushing_ = false;
}

auto ledger_client::SendBatch(const std::vector<bill_wait>& batch,
                              asio::yield_context yield) -> bool {
  bill_batch message;
  for (const auto& item : batch) message.records.push_back(item.bill);
  const auto body = Encode(ledger_request(message));
  auto& channel = *ledgers_[bill_target_ % ledgers_.size()];
  try {
    // Sent again after a lost answer: records merge by request id.
    channel.Call(body, kCallTimeout, yield);
    return true;
  } catch (const rpc_error&) {
    ++bill_target_;
    return false;
  }
}

}  // namespace lovagedale
