#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lovagedale/billing/bill_store.h"
#include "lovagedale/claim/claim_machine.h"
#include "lovagedale/control/settings.h"
#include "lovagedale/http/server.h"
#include "lovagedale/ledger/messages.h"
#include "lovagedale/replication/replica_node.h"
#include "lovagedale/rpc/server.h"

namespace lovagedale {

/// One ledger: a replica of the claims, and a bill store that exchanges its
/// records with the other ledgers. Runs on one thread, except that a second
/// thread reads the files for operators' bill reports.
class ledger_service {
 public:
  ledger_service(boost::asio::io_context& context, replica_settings settings,
                 log_store& store, bill_store& bills);

  auto Start() -> void;
  /// Transfers leadership and saves a checkpoint; bills are still stored.
  auto BeginStop() -> void;
  /// Whether the process may exit: no bills are queued, and another ledger can
  /// serve the entries or no entry is running.
  auto MayStop() const -> bool;
  /// GET /health, /ready, /v1/status and /v1/bills?customer=NAME.
  auto HandleHttp(http_exchange& exchange) -> void;

 private:
  struct queued_batch {
    std::vector<bill_record> records;
    rpc_reply reply;
  };
  struct peer_state {
    std::unique_ptr<rpc_channel> channel;
    bool stopping = false;
    monotonic_ms answered_at_ms = -1;  ///< last valid answer; -1: none yet
  };

  auto HandleRpc(const std::string& body, const rpc_reply& reply) -> void;
  auto HandleClaim(const claim_request& request, const rpc_reply& reply)
      -> void;
  auto QueueBills(bill_batch batch, const rpc_reply& reply) -> void;
  auto StoreQueuedBills() -> void;
  auto ExchangeLoop(const std::string& name, peer_state& peer,
                    boost::asio::yield_context yield) -> void;
  /// Reads a page of the peer's records of one source and stores it. Returns
  /// whether another page can be read immediately.
  auto ExchangePage(const std::string& name, peer_state& peer,
                    bill_source source, boost::asio::yield_context yield)
      -> bool;
  auto CheckpointLoop(boost::asio::yield_context yield) -> void;
  auto SaveCheckpoint() -> void;
  /// Whether this ledger has every record that the others had when it first
  /// contacted them.
  auto HasAllBills() const -> bool;
  auto ExpireClaimsLoop(boost::asio::yield_context yield) -> void;
  auto HandleStatus(http_exchange& exchange) -> void;
  auto HandleBills(http_exchange& exchange) -> void;

  boost::asio::io_context& context_;
  replica_settings settings_;
  claim_machine claims_;
  bill_store& bills_;
  replica_node<claim_machine> node_;
  rpc_server server_;
  std::vector<queued_batch> queued_batches_;
  std::map<std::string, peer_state> peers_;
  exchange_progress_map progress_;
  exchange_progress_map saved_progress_;
  std::map<std::string, monotonic_ms> entry_last_seen_ms_;
  system_monotonic_clock clock_;
  bool store_scheduled_ = false;
  bool stopping_ = false;
  monotonic_ms stopping_since_ms_ = 0;
  /// Declared last, so that it is joined before the members that it uses are
  /// destroyed.
  boost::asio::thread_pool bill_reader_{1};
};

}  // namespace lovagedale
