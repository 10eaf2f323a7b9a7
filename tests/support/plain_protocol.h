#pragma once

#include <charconv>

#include "lovagedale/admission/rejection_guard.h"
#include "lovagedale/admission/server_limit.h"
#include "lovagedale/relay/call.h"

namespace lovagedale::testing {

/// A minimal call protocol with short header names, for tests of the relay.
class plain_protocol {
 public:
  auto ReadCall(const http_request& request) const -> call_request {
    call_request call;
    call.id = std::string(request.Header("Id"));
    if (call.id.empty()) throw call_malformed("Id: missing");
    call.key = std::string(request.Header("Key"));
    for (const auto& [name, value] : request.headers) {
      if (name != "Model") continue;
      call.leaves_model_choice = value == "*";
      if (!call.leaves_model_choice) call.model = value;
    }
    const auto limit = request.Header("Limit");
    std::int64_t limit_ms = 0;
    std::from_chars(limit.data(), limit.data() + limit.size(), limit_ms);
    if (limit_ms > 0) call.time_limit_ms = limit_ms;
    const auto tokens = request.Header("Tokens");
    std::from_chars(tokens.data(), tokens.data() + tokens.size(),
                    call.prompt_tokens);
    // The ids of the prompt's parts, each of one digit.
    for (const char digit : request.Header("Parts")) {
      call.parts.push_back({static_cast<std::uint64_t>(digit - '0'), 1});
    }
    return call;
  }
  auto ServerRequest(const http_request& request, const call_request& call,
                     const call_dispatch& dispatch) const -> http_request {
    auto server_request = request;
    std::erase_if(server_request.headers, [&](const auto& header) {
      return header.first == "Model" && call.leaves_model_choice;
    });
    server_request.headers.emplace_back("Server", dispatch.server->id);
    if (!call.model) {
      server_request.headers.emplace_back("Model", dispatch.model);
    }
    if (dispatch.after_event) {
      server_request.headers.emplace_back(
          "After", std::to_string(*dispatch.after_event));
    }
    return server_request;
  }
  auto ForwardedRequest(const http_request& request,
                        const call_dispatch& dispatch) const -> http_request {
    auto forwarded = request;
    std::erase_if(forwarded.headers, [](const auto& header) {
      return header.first == "Limit" || header.first == "After";
    });
    forwarded.headers.emplace_back("Limit",
                                   std::to_string(dispatch.remaining_ms));
    if (dispatch.after_event) {
      forwarded.headers.emplace_back("After",
                                     std::to_string(*dispatch.after_event));
    }
    return forwarded;
  }
  auto ReadAnswer(const http_response_head& head) const
      -> server_answer_metadata {
    server_answer_metadata metadata;
    metadata.request_id = std::string(head.Header("Id"));
    metadata.is_misdirected = head.status == 421;
    metadata.not_run =
        metadata.is_misdirected || !head.Header("Not-Run").empty();
    const auto limit = head.Header("Server-Limit");
    metadata.limit_per_s = ParseServerLimit(limit);
    metadata.is_limit_unreadable = !limit.empty() && !metadata.limit_per_s;
    metadata.is_leaving = !head.Header("Leaving").empty();
    const auto pause = head.Header("Pause");
    if (!pause.empty()) metadata.pause_s = std::stod(std::string(pause));
    metadata.max_rejections_per_s =
        ParseMaxRejections(head.Header("Max-Rejections"));
    const auto confidence = head.Header("Confidence");
    if (!confidence.empty()) {
      metadata.confidence = std::stod(std::string(confidence));
    }
    return metadata;
  }
  auto OwnAnswerHeaders(const call_request& call) const -> header_list {
    return {{"Id", call.id}};
  }
};

}  // namespace lovagedale::testing
