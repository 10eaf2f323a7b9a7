#pragma once

#include <memory>
#include <optional>
#include <string>

#include "lovagedale/billing/bill.h"
#include "lovagedale/entry/chat_body.h"
#include "lovagedale/entry/dispatcher.h"
#include "lovagedale/entry/event_relay.h"
#include "lovagedale/entry/rating_client.h"
#include "lovagedale/entry/traffic_context.h"
#include "lovagedale/entry/version_choice.h"
#include "lovagedale/http/server.h"

namespace lovagedale {

/// A request's id and its authenticated customer.
struct caller_identity {
  std::string request_id;
  std::string customer;
};

/// Answers chat completions: chooses the version, runs the cascade, streams or
/// returns the answer, and waits for its bill to be stored, for at most 1 s,
/// before the end of the answer is sent.
class chat_handler {
 public:
  chat_handler(traffic_context& context, dispatcher& request_dispatcher)
      : context_(context),
        dispatcher_(request_dispatcher),
        versions_(context),
        ratings_(context) {}

  /// Throws request_refused or caller_disconnected_error.
  auto Handle(http_exchange& exchange, const caller_identity& caller) -> void;

 private:
  struct chat_run;
  struct buffered_answer;

  /// Goes on by the newest configuration. Throws request_refused if the
  /// customer was removed.
  auto AdoptNewestTable(chat_run& run) -> void;
  auto ChooseVersions(chat_run& run) -> void;
  auto RunPlan(chat_run& run) -> void;
  auto RunBuffered(chat_run& run, std::size_t step) -> buffered_answer;
  auto RunStreamed(chat_run& run, std::size_t step) -> void;
  auto MakeJob(chat_run& run, std::size_t step) -> dispatch_job;
  /// Whether a step's answer is good enough to skip the remaining steps.
  auto IsAccepted(chat_run& run, std::size_t step,
                  const buffered_answer& answer) -> bool;
  auto RespondBuffered(chat_run& run, const buffered_answer& answer) -> void;
  auto EndStream(chat_run& run) -> void;
  auto Bill(chat_run& run, bill_status status) -> void;
  /// Evidence key of an answer. After an escalation it contains the rejected
  /// version and the signal bin of the rejected answer, not the answer's own.
  auto MakeEvidenceKey(const chat_run& run, const std::string& version,
                       std::optional<double> signal) const -> evidence_key;
  auto RecordOutcome(const chat_run& run, const std::string& version,
                     std::optional<double> signal) -> void;
  auto MakeRatingRequest(const chat_run& run, const std::string& version,
                         const std::string& answer,
                         std::optional<double> signal) const -> rating_request;
  auto RateIfSampled(const chat_run& run, const std::string& version,
                     const std::string& answer, std::optional<double> signal)
      -> void;
  auto AnswerHeaders(const chat_run& run) const -> header_list;

  traffic_context& context_;
  dispatcher& dispatcher_;
  version_chooser versions_;
  rating_client ratings_;
};

}  // namespace lovagedale
