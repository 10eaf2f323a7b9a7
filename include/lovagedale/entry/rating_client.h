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
  evidence_key key;  ///< evidence row that counts the rating
};

/// Requests ratings from the rating service and records the scores as evidence.
/// Background requests keep to this thread's share of the service's rate limit.
/// Used by one traffic thread.
class rating_client {
 public:
  explicit rating_client(traffic_context& context) : context_(context) {}

  /// Waits for the score, from 0 to 1; nullopt if the service does not answer.
  /// Not subject to the rate limit, since a caller is waiting.
  auto Rate(const rating_service& service, const rating_request& item,
            boost::asio::yield_context yield) -> std::optional<double>;
  /// Requests a rating in the background, or none if the rate limit is reached.
  auto RateInBackground(const rating_service& service, rating_request item)
      -> void;

 private:
  auto TryAcquireQuota(const rating_service& service) -> bool;

  traffic_context& context_;
};

}  // namespace lovagedale
