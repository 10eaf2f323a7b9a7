#pragma once

#include <boost/json/fwd.hpp>
#include <cstdint>
#include <functional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace lovagedale {

/// One error in a settings or configuration document.
struct setting_error {
  std::string path;     ///< e.g. `customers[2].limits.rate_per_s`
  std::string value;    ///< the invalid value; empty if the field is missing
  std::string allowed;  ///< description of the accepted values

  auto operator==(const setting_error&) const -> bool = default;
  auto Describe() const -> std::string;
};

/// Thrown for an invalid document; holds every error found in it.
class settings_invalid : public std::runtime_error {
 public:
  explicit settings_invalid(std::vector<setting_error> errors);
  auto errors() const -> const std::vector<setting_error>& { return errors_; }

 private:
  std::vector<setting_error> errors_;
};

/// Reads typed fields of one JSON object and appends each error to a list, so
/// that one pass reports all of them. A field that is absent or invalid yields
/// `fallback`. The document and the list must outlive the reader.
class object_reader {
 public:
  object_reader(const boost::json::value& value, std::string path,
                std::vector<setting_error>& errors);

  auto Has(std::string_view key) const -> bool;
  /// Accepts a key that other code reads and checks.
  auto AllowKey(std::string_view key) -> void { known_keys_.emplace(key); }
  /// Adds an error if the string is absent or empty.
  auto RequiredString(std::string_view key) -> std::string;
  auto String(std::string_view key, std::string fallback) -> std::string;
  auto Choice(std::string_view key, const std::vector<std::string>& allowed,
              std::string fallback) -> std::string;
  /// Bounds are inclusive.
  auto Integer(std::string_view key, std::int64_t min, std::int64_t max,
               std::int64_t fallback) -> std::int64_t;
  auto Number(std::string_view key, double min, double max, double fallback)
      -> double;
  auto Bool(std::string_view key, bool fallback) -> bool;
  auto StringList(std::string_view key) -> std::vector<std::string>;
  /// Calls `visit` with a reader for each object in the array at `key`.
  auto ForEach(std::string_view key,
               const std::function<void(object_reader&)>& visit) -> void;
  /// Calls `visit` with the object at `key`, if present.
  auto Object(std::string_view key,
              const std::function<void(object_reader&)>& visit) -> void;
  /// Adds an error for each key that was neither read nor allowed. Call it
  /// last.
  auto Finish() -> void;
  auto AddError(std::string_view key, std::string value, std::string allowed)
      -> void;
  auto PathOf(std::string_view key) const -> std::string;

 private:
  auto Find(std::string_view key) -> const boost::json::value*;

  const boost::json::object* object_ = nullptr;
  std::string path_;
  std::vector<setting_error>* errors_;
  std::set<std::string, std::less<>> known_keys_;
};

/// Parses `text` as a JSON object and lets `read` take its fields; unknown
/// keys are errors. Throws settings_invalid with all errors found.
auto ReadSettings(std::string_view text,
                  const std::function<void(object_reader&)>& read) -> void;

/// Returns the content of a file. Throws std::runtime_error with the path.
auto ReadFile(const std::string& path) -> std::string;

}  // namespace lovagedale
