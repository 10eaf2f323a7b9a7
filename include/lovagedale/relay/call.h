#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "lovagedale/discovery/server_list.h"
#include "lovagedale/http/client.h"
#include "lovagedale/http/server.h"

namespace lovagedale {

/// Thrown for a request that cannot be parsed. The text names the field and the
/// allowed values.
class call_malformed : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// A part of a prompt. Requests whose leading parts are equal can share a
/// server's cache of them.
struct prompt_part {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;

  auto operator==(const prompt_part&) const -> bool = default;
};

/// What a call_protocol reads from a caller's request.
struct call_request {
  std::string id;       ///< unique per attempt of the caller
  std::string key;      ///< customer key; empty if none
  std::string session;  ///< empty if none
  /// How long the caller waits, in milliseconds.
  std::optional<std::int64_t> time_limit_ms;
  /// The model that the caller names, possibly an empty name; nothing if it
  /// names none.
  std::optional<std::string> model;
  /// The caller leaves the choice among the route's models to this process.
  bool leaves_model_choice = false;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  std::vector<prompt_part> parts;  ///< the last one is never shared
  /// Set if the caller resumes a stream: the number of the last event it has.
  std::optional<std::uint64_t> after_event;

  auto operator==(const call_request&) const -> bool = default;
};

/// Parameters of one attempt at one server.
struct call_dispatch {
  const listed_server* server = nullptr;
  std::string customer;           ///< empty if the route needs no key
  std::int64_t remaining_ms = 0;  ///< until the call's deadline
  std::string model;              ///< empty: the caller's choice
  std::uint32_t priority = 0;     ///< 0 is the most urgent
  /// Set if the stream is resumed: the server continues after this event
  /// number.
  std::optional<std::uint64_t> after_event;
};

/// What the headers of a server's answer say, besides its status.
struct server_answer_metadata {
  std::string request_id;  ///< of the request that it answers; may be empty
  bool not_run = false;    ///< the server guarantees that it did not run
  /// Another server has this address now, or the server does not have the
  /// model that the request names.
  bool is_misdirected = false;
  /// Requests a second that the server takes from all entries together; nothing
  /// if it names no limit.
  std::optional<double> limit_per_s;
  bool is_limit_unreadable = false;  ///< it names one that cannot be parsed
  bool is_leaving = false;           ///< the server is shutting down
  /// How long the server wants no more requests of this entry, in seconds; only
  /// of a server that turns a request away.
  std::optional<double> pause_s;
  /// Requests a second that the server can reject; nothing if it names no
  /// number.
  std::optional<std::uint32_t> max_rejections_per_s;
  /// Names of notices that cannot be parsed, separated by commas; empty if
  /// none.
  std::string unreadable_notices;
  /// The confidence that the model reports, 0 to 1.
  std::optional<double> confidence;

  auto operator==(const server_answer_metadata&) const -> bool = default;
};

/// Headers between two entries, of a call that one forwards to the other.
namespace forwarding_header {
/// Of the request: how many servers may still run the call.
inline constexpr std::string_view kAttemptsLeft = "Lovagedale-Attempts-Left";
/// Of the request: the configuration revision by which it was admitted.
inline constexpr std::string_view kRevision = "Lovagedale-Revision";
/// Of the answer: how many servers may have run the call.
inline constexpr std::string_view kAttempts = "Lovagedale-Attempts";
/// Of a refusal that no server gave: kEntryRefuses or kFleetRefuses.
inline constexpr std::string_view kRefusedBy = "Lovagedale-Refused-By";
}  // namespace forwarding_header
/// Another entry may serve the call.
inline constexpr std::string_view kEntryRefuses = "entry";
inline constexpr std::string_view kFleetRefuses = "fleet";

/// Whether a header is one of forwarding_header, which never leave the entries.
auto IsForwardingHeader(std::string_view name) -> bool;

/// Translates between the HTTP headers of a platform and the relay's types.
template <typename T>
concept call_protocol = requires(const T& protocol, const http_request& request,
                                 const call_request& call,
                                 const call_dispatch& dispatch,
                                 const http_response_head& head) {
  /// Throws call_malformed.
  { protocol.ReadCall(request) } -> std::same_as<call_request>;
  {
    protocol.ServerRequest(request, call, dispatch)
    } -> std::same_as<http_request>;
  /// The caller's request for another entry, with the time that is left and the
  /// event after which a stream resumes. `dispatch` has no server.
  {
    protocol.ForwardedRequest(request, dispatch)
    } -> std::same_as<http_request>;
  { protocol.ReadAnswer(head) } -> std::same_as<server_answer_metadata>;
  /// Headers of an answer that this process generates itself.
  { protocol.OwnAnswerHeaders(call) } -> std::same_as<header_list>;
};

}  // namespace lovagedale
