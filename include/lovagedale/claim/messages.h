#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace lovagedale {

/// Identifies one non-repeatable request by the customer's idempotency key.
struct claim_key {
  std::string customer;
  std::string idempotency_key;

  auto operator<=>(const claim_key&) const = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(customer, idempotency_key);
  }
};

/// An answer kept for callers that send the request again.
struct stored_answer {
  /// HTTP status; 0 in a finished claim: the answer was too large to store.
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;
  std::string request_id;

  auto operator==(const stored_answer&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(status, content_type, body, request_id);
  }
};

/// Claims the right to run a request. The same attempt may repeat the command
/// if it did not receive the result.
struct begin_claim {
  claim_key key;
  std::uint64_t body_hash = 0;
  std::string attempt_id;
  std::int64_t begun_at_ms = 0;  ///< wall clock, for expiry only
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(key, body_hash, attempt_id, begun_at_ms);
  }
};

/// Records that the request ran, and stores its answer.
struct finish_claim {
  claim_key key;
  std::string attempt_id;
  stored_answer answer;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(key, attempt_id, answer);
  }
};

/// Releases the claim because no byte of the request reached a server; the key
/// can then be claimed again.
struct release_claim {
  claim_key key;
  std::string attempt_id;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(key, attempt_id);
  }
};

/// Removes claims that began before a wall-clock time.
struct expire_claims {
  std::int64_t before_ms = 0;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(before_ms);
  }
};

using claim_command =
    std::variant<begin_claim, finish_claim, release_claim, expire_claims>;

enum class claim_status : std::uint8_t {
  kGranted,  ///< this attempt, and no other, may run the request
  /// Another attempt holds the claim and may have run the request.
  kRunning,
  kFinished,      ///< the request ran; `answer` is set
  kBodyMismatch,  ///< the key belongs to a request with another body
  kDone,          ///< a finish, release or expiry was applied
  /// A finish or release by an attempt that does not hold the claim, or a
  /// release of a finished claim.
  kRefused,
};

struct claim_result {
  claim_status status = claim_status::kRefused;
  stored_answer answer;

  auto operator==(const claim_result&) const -> bool = default;
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(status, answer);
  }
};

}  // namespace lovagedale
