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

}  // namespace

ledger_client::ledger_client(asio::io_context& context,
                             const std::vector<process_address>& ledgers,
                             const std::string& zone)
    : context_(context) {
  for (const auto& ledger : OwnZoneFirst(ledgers, zone)) {
    ledgers_.push_back(std::make_unique<rpc_channel>(context, ledger));
  }
}

auto ledger_client::Execute(const claim_command& command, milliseconds timeout,
                            asio::yield_context yield) -> claim_result {
  const auto deadline = steady_clock::now() + timeout;
  const auto body = Encode(ledger_request(claim_request{command}));
  asio::steady_timer pause(context_);
  boost::system::error_code ignored;
  while (steady_clock::now() < deadline) {
    const auto remaining = std::chrono::duration_cast<milliseconds>(
        deadline - steady_clock::now());
    auto& channel = *ledgers_[leader_ % ledgers_.size()];
    std::string leader;
    try {
      const auto response = Decode<claim_response>(channel.Call(
          body, std::min(remaining + milliseconds(1), kCallTimeout), yield));
      if (response.outcome == claim_outcome::kDecided) return response.result;
      leader = response.leader;
    } catch (const std::runtime_error&) {
      // No answer, an error or an unreadable answer: try the next ledger.
    }
    const auto leader_channel = std::find_if(
        ledgers_.begin(), ledgers_.end(),
        [&](const auto& item) { return item->address().name == leader; });
    if (leader_channel != ledgers_.end() && leader_channel->get() != &channel) {
      leader_ = static_cast<std::size_t>(leader_channel - ledgers_.begin());
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
      Execute(command, kReleaseLimit, yield);
    } catch (const ledger_unreachable&) {
      // The claim stays, so a repeated request is refused with
      // `Lovagedale-Ran: maybe`, which is safe.
    }
  });
}

}  // namespace lovagedale
