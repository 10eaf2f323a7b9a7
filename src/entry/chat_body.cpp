#include "lovagedale/entry/chat_body.h"

#include <boost/json.hpp>
#include <cmath>

#include "lovagedale/common/bounded_json.h"

namespace lovagedale {
namespace {

namespace json = boost::json;

constexpr std::string_view kEventPrefix = "data:";
constexpr std::size_t kMaxShownValueBytes = 60;
/// The parsed form of a request. A body of 4 MiB with messages of 100 bytes
/// takes some 12 MB.
constexpr std::size_t kMaxParsedBytes = 64UL << 20U;

[[noreturn]] auto RefuseField(const std::string& field,
                              const std::string& found,
                              const std::string& allowed) -> void {
  throw request_refused(400, "invalid",
                        field + ": got " + found + "; allowed: " + allowed,
                        ran_state::kNo);
}

auto Show(const json::value* value) -> std::string {
  if (value == nullptr) return "nothing";
  auto text = json::serialize(*value);
  if (text.size() > kMaxShownValueBytes) text.resize(kMaxShownValueBytes);
  return text;
}

auto ContentOf(const json::object& message) -> std::string {
  const auto* content = message.if_contains("content");
  if (content == nullptr) return {};
  if (content->is_string()) return std::string(content->get_string());
  return json::serialize(*content);
}

auto ReadFlag(const json::object& object, std::string_view key) -> bool {
  const auto* value = object.if_contains(key);
  if (value == nullptr || value->is_null()) return false;
  if (!value->is_bool()) {
    RefuseField(std::string(key), Show(value), "true or false");
  }
  return value->get_bool();
}

/// Servers take a negative limit as none, and the caller would pay for it.
auto CheckTokenLimit(const json::object& object, std::string_view key) -> void {
  const auto* value = object.if_contains(key);
  if (value == nullptr || value->is_null()) return;
  const bool is_negative = (value->is_int64() && value->get_int64() < 0) ||
                           (value->is_double() && value->get_double() < 0);
  if (is_negative) RefuseField(std::string(key), Show(value), "0 or more");
}

/// Throws request_refused unless `body` is JSON of a bounded parsed form.
auto ParseBody(const std::string& body) -> json::value {
  boost::system::error_code error;
  std::string problem;
  try {
    auto value = ParseBoundedJson(body, kMaxParsedBytes, error);
    if (!error) return value;
    problem = "not JSON: " + error.message();
  } catch (const json_too_large& too_large) {
    problem = too_large.what();
  }
  throw request_refused(400, "invalid", "body: " + problem, ran_state::kNo);
}

auto ReadCount(const json::object& usage, std::string_view key)
    -> std::uint64_t {
  const auto* value = usage.if_contains(key);
  if (value == nullptr || !value->is_int64() || value->get_int64() < 0) {
    return 0;
  }
  return static_cast<std::uint64_t>(value->get_int64());
}

auto ReadUsage(const json::object& answer, completion_metadata& metadata)
    -> bool {
  const auto* usage = answer.if_contains("usage");
  if (usage == nullptr || !usage->is_object()) return false;
  metadata.input_tokens = ReadCount(usage->get_object(), "prompt_tokens");
  metadata.output_tokens = ReadCount(usage->get_object(), "completion_tokens");
  return true;
}

auto FirstChoice(const json::object& answer) -> const json::object* {
  const auto* choices = answer.if_contains("choices");
  if (choices == nullptr || !choices->is_array() ||
      choices->get_array().empty()) {
    return nullptr;
  }
  return choices->get_array().front().if_object();
}

auto Member(const json::object& object, std::string_view key)
    -> const json::object* {
  const auto* value = object.if_contains(key);
  return value == nullptr ? nullptr : value->if_object();
}

/// Geometric mean of the token probabilities.
auto SignalOf(const json::object& choice) -> std::optional<double> {
  const auto* logprobs = Member(choice, "logprobs");
  if (logprobs == nullptr) return std::nullopt;
  const auto* content = logprobs->if_contains("content");
  if (content == nullptr || !content->is_array() ||
      content->get_array().empty()) {
    return std::nullopt;
  }
  double sum = 0;
  std::size_t count = 0;
  for (const auto& token : content->get_array()) {
    const auto* object = token.if_object();
    if (object == nullptr) continue;
    const auto* value = object->if_contains("logprob");
    if (value == nullptr || !value->is_number()) continue;
    sum += value->to_number<double>();
    ++count;
  }
  if (count == 0) return std::nullopt;
  return std::exp(sum / static_cast<double>(count));
}

/// The JSON of one `data:` event, or nullopt for `[DONE]` and comments.
auto EventObject(std::string_view event) -> std::optional<json::object> {
  const auto start = event.find(kEventPrefix);
  if (start == std::string_view::npos) return std::nullopt;
  auto data = event.substr(start + kEventPrefix.size());
  while (!data.empty() && data.front() == ' ') data.remove_prefix(1);
  while (!data.empty() && (data.back() == '\n' || data.back() == '\r')) {
    data.remove_suffix(1);
  }
  boost::system::error_code error;
  auto value = json::parse(data, error);
  if (error || !value.is_object()) return std::nullopt;
  return std::move(value.get_object());
}

}  // namespace

auto ParseChatRequest(const std::string& body) -> chat_request {
  const auto value = ParseBody(body);
  const auto* object = value.if_object();
  if (object == nullptr) RefuseField("body", Show(&value), "a JSON object");
  chat_request request;
  const auto* model = object->if_contains("model");
  if (model == nullptr || !model->is_string() || model->get_string().empty()) {
    RefuseField("model", Show(model), "\"auto\", a model, or a model@version");
  }
  request.model = std::string(model->get_string());
  const auto* messages = object->if_contains("messages");
  if (messages == nullptr || !messages->is_array() ||
      messages->get_array().empty()) {
    RefuseField("messages", Show(messages), "an array of one or more messages");
  }
  std::size_t index = 0;
  for (const auto& message : messages->get_array()) {
    const auto* item = message.if_object();
    if (item == nullptr) {
      RefuseField("messages[" + std::to_string(index) + "]", Show(&message),
                  "an object with role and content");
    }
    request.prompt += ContentOf(*item);
    request.prompt += '\n';
    ++index;
  }
  CheckTokenLimit(*object, "max_tokens");
  CheckTokenLimit(*object, "max_completion_tokens");
  request.stream = ReadFlag(*object, "stream");
  if (const auto* options = Member(*object, "stream_options")) {
    request.include_usage = ReadFlag(*options, "include_usage");
  }
  return request;
}

auto MakeEngineBody(const std::string& caller_body,
                    const engine_body_options& options) -> std::string {
  auto value = json::parse(caller_body);
  auto& object = value.as_object();
  object["model"] = options.version;
  object["stream"] = options.stream;
  // Engines that serve by priority run lower numbers first.
  object["priority"] = options.low_priority ? 1 : 0;
  if (options.stream) {
    object["stream_options"] = {{"include_usage", true}};
  } else {
    object.erase("stream_options");
    object["logprobs"] = true;
  }
  if (!options.delivered_text.empty()) {
    object["messages"].as_array().push_back(
        {{"role", "assistant"}, {"content", options.delivered_text}});
    object["continue_final_message"] = true;
    object["add_generation_prompt"] = false;
  }
  return json::serialize(value);
}

auto ParseEngineAnswer(const std::string& body)
    -> std::optional<completion_metadata> {
  boost::system::error_code error;
  const auto value = json::parse(body, error);
  if (error || !value.is_object()) return std::nullopt;
  const auto& answer = value.get_object();
  const auto* choice = FirstChoice(answer);
  if (choice == nullptr) return std::nullopt;
  completion_metadata metadata;
  ReadUsage(answer, metadata);
  metadata.signal = SignalOf(*choice);
  if (const auto* message = Member(*choice, "message")) {
    metadata.text = ContentOf(*message);
  }
  return metadata;
}

auto TextOfEvents(std::string_view events) -> std::string {
  std::string text;
  while (!events.empty()) {
    const auto end = events.find("\n\n");
    const auto event = events.substr(0, end);
    events = end == std::string_view::npos ? std::string_view{}
                                           : events.substr(end + 2);
    const auto object = EventObject(event);
    if (!object) continue;
    const auto* choice = FirstChoice(*object);
    const auto* delta = choice == nullptr ? nullptr : Member(*choice, "delta");
    if (delta != nullptr) text += ContentOf(*delta);
  }
  return text;
}

auto UsageOfEvent(std::string_view event)
    -> std::optional<completion_metadata> {
  if (event.find("\"usage\":{") == std::string_view::npos) return std::nullopt;
  const auto object = EventObject(event);
  completion_metadata metadata;
  if (!object || !ReadUsage(*object, metadata)) return std::nullopt;
  return metadata;
}

auto AnswerAsEvents(const std::string& answer_body) -> std::string {
  auto value = json::parse(answer_body);
  auto& answer = value.as_object();
  answer["object"] = "chat.completion.chunk";
  answer.erase("usage");
  for (auto& item : answer["choices"].as_array()) {
    auto& choice = item.as_object();
    choice["delta"] = choice["message"];
    choice.erase("message");
    choice.erase("logprobs");
  }
  return "data: " + json::serialize(value) + "\n\n";
}

}  // namespace lovagedale
