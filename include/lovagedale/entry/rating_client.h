#pragma once

#include <boost/asio/spawn.hpp>
#include <optional>
#include <string>

#include "lovagedale/catalog/catalog.h"
#include "lovagedale/entry/traffic_context.h"
#include "lovagedale/http/server.h"
#include "lovagedale/quality/evidence.h"

namespace lovagedale {

/// An answer to be rated.
struct rating_request {
  std::string request_id;
  std::string customer;
  std::string task_class;
  std::string version;
  std::string prompt;
  std::string answer;
  evidence_key key;  ///< what the rating is counted under
};

/// Asks the rating service and counts its scores as evidence. Keeps to this
/// thread's share of the service's limit. One traffic thread.
class rating_client {
 public:
  explicit rating_client(traffic_context& context) : context_(context) {}

  /// Waits for the score, 0 to 1; nothing if the service does not answer.
  /// Not held back by the limit: a caller waits.
  auto Rate(const rating_service& service, const rating_request& item,
            boost::asio::yield_context yield) -> std::optional<double>;
  /// Asks in the background if the limit allows it now.
  auto RateInBackground(const rating_service& service, rating_request item)
      -> void;

 private:
  auto TryAcquireQuota(const rating_service& service) -> bool;

  traffic_context& context_;
};

}  // namespace lovagedale
