#pragma once

#include <boost/asio/completion_condition.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

namespace lovagedale {

/// Whether a message has a transfer coding other than chunked alone. The parser
/// takes such a coding for none.
template <typename Fields>
auto HasUnknownCoding(const Fields& fields) -> bool {
  using field = boost::beast::http::field;
  const auto codings = fields.count(field::transfer_encoding);
  if (codings == 0) return false;
  return codings > 1 ||
         !boost::beast::iequals(fields[field::transfer_encoding], "chunked");
}

/// Bytes of the shortest chunked body: "0\r\n\r\n".
inline constexpr std::size_t kMinChunkedBodyBytes = 5;

/// Reads from `stream` until `buffer` holds as many bytes as the shortest
/// chunked body. To be called before the parser gets the first of the body:
/// Beast 1.81 aborts the process if the first chunk is the last one and arrives
/// in pieces. Returns the number of bytes read.
template <typename Stream>
auto ReadMinChunkedBody(Stream& stream, boost::beast::flat_buffer& buffer,
                        boost::asio::yield_context yield,
                        boost::system::error_code& error) -> std::size_t {
  constexpr std::size_t kMaxReadBytes = 16UL << 10U;
  if (buffer.size() >= kMinChunkedBodyBytes) return 0;
  const auto bytes = boost::asio::async_read(
      stream, buffer.prepare(boost::beast::read_size(buffer, kMaxReadBytes)),
      boost::asio::transfer_at_least(kMinChunkedBodyBytes - buffer.size()),
      yield[error]);
  buffer.commit(bytes);
  return bytes;
}

}  // namespace lovagedale
