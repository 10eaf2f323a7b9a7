#pragma once

#include <boost/json/value.hpp>
#include <cstddef>
#include <stdexcept>
#include <string_view>

namespace lovagedale {

/// A JSON text whose parsed form would take more memory than allowed.
class json_too_large : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Parses JSON from a peer. A text of many short values takes up to 30 times
/// its size once parsed. Throws json_too_large if the parsed form exceeds
/// `max_bytes`; sets `error` if the text is not valid.
auto ParseBoundedJson(std::string_view text, std::size_t max_bytes,
                      boost::system::error_code& error) -> boost::json::value;

}  // namespace lovagedale
