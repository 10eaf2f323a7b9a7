#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

namespace lovagedale {

/// Whether a message gives its length twice or in two ways, or uses a transfer
/// coding other than chunked. Its next reader could then see another end of the
/// message than this process does (request or response smuggling).
template <typename Fields>
auto HasAmbiguousLength(const Fields& fields) -> bool {
  using field = boost::beast::http::field;
  const auto lengths = fields.count(field::content_length);
  const auto codings = fields.count(field::transfer_encoding);
  if (lengths + codings > 1) return true;
  return codings == 1 &&
         !boost::beast::iequals(fields[field::transfer_encoding], "chunked");
}

}  // namespace lovagedale
