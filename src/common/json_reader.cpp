#include "lovagedale/common/json_reader.h"

#include <boost/json.hpp>
#include <fstream>
#include <sstream>

namespace lovagedale {
namespace {

constexpr std::size_t kMaxQuotedValueBytes = 80;

auto SerializeTruncated(const boost::json::value& value) -> std::string {
  auto text = boost::json::serialize(value);
  if (text.size() > kMaxQuotedValueBytes) {
    text.resize(kMaxQuotedValueBytes);
    text += "...";
  }
  return text;
}

auto JoinErrors(const std::vector<setting_error>& errors) -> std::string {
  std::string text;
  for (const auto& error : errors) {
    if (!text.empty()) text += '\n';
    text += error.Describe();
  }
  return text;
}

template <typename Number>
auto DescribeRange(std::string_view kind, Number min, Number max)
    -> std::string {
  std::ostringstream out;
  out << kind << " from " << min << " to " << max;
  return out.str();
}

}  // namespace

auto setting_error::Describe() const -> std::string {
  if (value.empty()) return path + ": missing; allowed: " + allowed;
  return path + ": got " + value + "; allowed: " + allowed;
}

settings_invalid::settings_invalid(std::vector<setting_error> errors)
    : std::runtime_error(JoinErrors(errors)), errors_(std::move(errors)) {}

object_reader::object_reader(const boost::json::value& value, std::string path,
                             std::vector<setting_error>& errors)
    : object_(value.if_object()), path_(std::move(path)), errors_(&errors) {
  if (object_ == nullptr) {
    errors_->push_back({path_.empty() ? "document" : path_,
                        SerializeTruncated(value), "a JSON object"});
  }
}

auto object_reader::PathOf(std::string_view key) const -> std::string {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

auto object_reader::AddError(std::string_view key, std::string value,
                             std::string allowed) -> void {
  errors_->push_back({PathOf(key), std::move(value), std::move(allowed)});
}

auto object_reader::Has(std::string_view key) const -> bool {
  return object_ != nullptr && object_->contains(key);
}

auto object_reader::Find(std::string_view key) -> const boost::json::value* {
  known_keys_.emplace(key);
  return object_ == nullptr ? nullptr : object_->if_contains(key);
}

auto object_reader::RequiredString(std::string_view key) -> std::string {
  const auto* value = Find(key);
  if (value == nullptr) {
    if (object_ != nullptr) AddError(key, "", "a non-empty string");
    return {};
  }
  if (!value->is_string() || value->get_string().empty()) {
    AddError(key, SerializeTruncated(*value), "a non-empty string");
    return {};
  }
  return std::string(value->get_string());
}

auto object_reader::String(std::string_view key, std::string fallback)
    -> std::string {
  const auto* value = Find(key);
  if (value == nullptr) return fallback;
  if (!value->is_string()) {
    AddError(key, SerializeTruncated(*value), "a string");
    return fallback;
  }
  return std::string(value->get_string());
}

auto object_reader::Choice(std::string_view key,
                           const std::vector<std::string>& allowed,
                           std::string fallback) -> std::string {
  const auto* value = Find(key);
  if (value == nullptr) return fallback;
  if (value->is_string()) {
    for (const auto& choice : allowed) {
      if (value->get_string() == choice) return choice;
    }
  }
  std::string description = "one of";
  for (const auto& choice : allowed) description += " \"" + choice + "\"";
  AddError(key, SerializeTruncated(*value), description);
  return fallback;
}

auto object_reader::Integer(std::string_view key, std::int64_t min,
                            std::int64_t max, std::int64_t fallback)
    -> std::int64_t {
  const auto* value = Find(key);
  if (value == nullptr) return fallback;
  boost::system::error_code error;
  const auto number = value->is_number() ? value->to_number<std::int64_t>(error)
                                         : std::int64_t{};
  if (!value->is_number() || error || number < min || number > max) {
    AddError(key, SerializeTruncated(*value),
             DescribeRange("a whole number", min, max));
    return fallback;
  }
  return number;
}

auto object_reader::Number(std::string_view key, double min, double max,
                           double fallback) -> double {
  const auto* value = Find(key);
  if (value == nullptr) return fallback;
  const auto number = value->is_number() ? value->to_number<double>() : 0.0;
  if (!value->is_number() || !(number >= min && number <= max)) {
    AddError(key, SerializeTruncated(*value),
             DescribeRange("a number", min, max));
    return fallback;
  }
  return number;
}

auto object_reader::Bool(std::string_view key, bool fallback) -> bool {
  const auto* value = Find(key);
  if (value == nullptr) return fallback;
  if (!value->is_bool()) {
    AddError(key, SerializeTruncated(*value), "true or false");
    return fallback;
  }
  return value->get_bool();
}

auto object_reader::StringList(std::string_view key)
    -> std::vector<std::string> {
  std::vector<std::string> list;
  const auto* value = Find(key);
  if (value == nullptr) return list;
  if (!value->is_array()) {
    AddError(key, SerializeTruncated(*value), "an array of strings");
    return list;
  }
  for (const auto& element : value->get_array()) {
    if (!element.is_string() || element.get_string().empty()) {
      AddError(key, SerializeTruncated(element),
               "an array of non-empty strings");
      continue;
    }
    list.emplace_back(element.get_string());
  }
  return list;
}

auto object_reader::ForEach(std::string_view key,
                            const std::function<void(object_reader&)>& visit)
    -> void {
  const auto* value = Find(key);
  if (value == nullptr) return;
  if (!value->is_array()) {
    AddError(key, SerializeTruncated(*value), "an array of objects");
    return;
  }
  std::size_t index = 0;
  for (const auto& element : value->get_array()) {
    object_reader reader(
        element, PathOf(key) + "[" + std::to_string(index++) + "]", *errors_);
    visit(reader);
    reader.Finish();
  }
}

auto object_reader::Object(std::string_view key,
                           const std::function<void(object_reader&)>& visit)
    -> void {
  const auto* value = Find(key);
  if (value == nullptr) return;
  object_reader reader(*value, PathOf(key), *errors_);
  visit(reader);
  reader.Finish();
}

auto object_reader::Finish() -> void {
  if (object_ == nullptr) return;
  for (const auto& member : *object_) {
    if (known_keys_.contains(std::string_view(member.key()))) continue;
    std::string allowed = "one of the keys";
    for (const auto& key : known_keys_) allowed += " " + key;
    AddError(member.key(), SerializeTruncated(member.value()), allowed);
  }
}

auto ReadSettings(std::string_view text,
                  const std::function<void(object_reader&)>& read) -> void {
  boost::system::error_code error;
  const auto value = boost::json::parse(text, error);
  if (error) {
    throw settings_invalid(
        {{"document", "text that is not JSON (" + error.message() + ")",
          "a JSON object"}});
  }
  std::vector<setting_error> errors;
  object_reader reader(value, "", errors);
  read(reader);
  reader.Finish();
  if (!errors.empty()) throw settings_invalid(std::move(errors));
}

auto ReadFile(const std::string& path) -> std::string {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw std::runtime_error("cannot read file " + path);
  std::ostringstream out;
  out << in.rdbuf();
  return std::move(out).str();
}

}  // namespace lovagedale
