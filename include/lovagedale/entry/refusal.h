#pragma once

#include <stdexcept>
#include <string>

#include "lovagedale/catalog/catalog.h"
#include "lovagedale/http/server.h"

namespace lovagedale {

/// Whether a refused request may have run on a backend server.
enum class ran_state { kNo, kMaybe };

/// A request that the entry refuses, with the error that its caller receives.
class request_refused : public std::runtime_error {
 public:
  request_refused(unsigned status, std::string type, const std::string& message,
                  ran_state ran, int retry_after_s = 0)
      : std::runtime_error(message),
        status_(status),
        type_(std::move(type)),
        ran_(ran),
        retry_after_s_(retry_after_s) {}

  auto status() const -> unsigned { return status_; }
  auto type() const -> const std::string& { return type_; }
  auto ran() const -> ran_state { return ran_; }
  auto retry_after_s() const -> int { return retry_after_s_; }

  /// The same refusal of a request of which an earlier attempt ended with
  /// `earlier`.
  auto After(ran_state earlier) const -> request_refused {
    return {status_, type_, what(),
            earlier == ran_state::kMaybe ? earlier : ran_, retry_after_s_};
  }

 private:
  unsigned status_;
  std::string type_;
  ran_state ran_;
  int retry_after_s_;
};

/// The customer of a request in `config`, which may be newer than the one that
/// the request was admitted by. Throws request_refused if it was removed.
auto RequireCustomer(const catalog& config, const std::string& name,
                     ran_state ran) -> const customer&;

/// Answers with the refusal as JSON, `Lovagedale-Ran` and `Retry-After`.
auto RespondRefusal(http_exchange& exchange, const request_refused& refusal,
                    const std::string& request_id) -> void;

/// The refusal as a JSON body.
auto RefusalJson(const request_refused& refusal, const std::string& request_id)
    -> std::string;

}  // namespace lovagedale
