#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "lovagedale/discovery/server_list.h"
#include "lovagedale/http/client.h"
#include "lovagedale/http/server.h"

namespace lovagedale {

/// A caller's request cannot be read; names the field and what is allowed.
class call_malformed : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// A part of a prompt; requests with the same leading parts share their cache.
struct prompt_part {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;

  auto operator==(const prompt_part&) const -> bool = default;
};

/// What the relay knows of a caller's request beyond its HTTP message.
struct call_request {
  std::string id;       ///< one per attempt of the caller
  std::string key;      ///< of a customer; empty if none
  std::string session;  ///< empty if none
  /// How long the caller waits, in milliseconds.
  std::optional<std::int64_t> time_limit_ms;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  std::vector<prompt_part> parts;  ///< the last one is the request's own
  /// The caller goes on with a stream after this event.
  std::optional<std::uint64_t> after_event;

  auto operator==(const call_request&) const -> bool = default;
};

/// How a request is sent to one server.
struct call_dispatch {
  const listed_server* server = nullptr;
  std::string customer;           ///< empty if the route needs no key
  std::int64_t remaining_ms = 0;  ///< of the time limit
  std::string model;              ///< empty: as the caller asked
  std::uint32_t priority = 0;     ///< 0 is the most urgent
  /// The stream goes on after this event.
  std::optional<std::uint64_t> after_event;
};

/// What a server's answer says beside its status.
struct server_answer_metadata {
  std::string request_id;  ///< of the request that it answers; may be empty
  bool not_run = false;    ///< the server promises that it did not run it
  bool address_reassigned = false;  ///< another server has this address now
  /// The answer's own confidence, 0 to 1.
  std::optional<double> confidence;

  auto operator==(const server_answer_metadata&) const -> bool = default;
};

/// How callers and servers write what the relay needs to know.
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
  { protocol.ReadAnswer(head) } -> std::same_as<server_answer_metadata>;
  /// Headers of an answer that this process gives itself.
  { protocol.OwnAnswerHeaders(call) } -> std::same_as<header_list>;
};

}  // namespace lovagedale
