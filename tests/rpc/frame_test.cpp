#include "lovagedale/rpc/frame.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "lovagedale/common/codec.h"
#include "lovagedale/rpc/message_faults.h"

namespace lovagedale {
namespace {

auto HeaderOf(const std::string& frame) -> frame_header {
  std::array<char, kFrameHeaderBytes> bytes{};
  std::copy_n(frame.begin(), bytes.size(), bytes.begin());
  const auto header = DecodeFrameHeader(bytes);
  REQUIRE(header);
  return *header;
}

auto BodyOf(const std::string& frame) -> std::string {
  return frame.substr(kFrameHeaderBytes);
}

}  // namespace

TEST_CASE("the format of a message travels in the frame's header") {
  const auto message = Encode(std::string("text"), kFormat);
  for (const auto kind :
       {frame_kind::kRequest, frame_kind::kResponse, frame_kind::kOneWay}) {
    const auto frame = EncodeFrame(kCallIdLimit - 1, kind, message);
    const auto header = HeaderOf(frame);
    CHECK(header.call_id == kCallIdLimit - 1);
    CHECK(header.format == format_footer{kFormat, kFormat});
    CHECK(BodyOf(frame) == EncodeFixed(std::string("text")));
    CHECK(RestoreBody(header, BodyOf(frame)) == message);
  }
}

// Guards against entries of the first format that find no call for a response.
TEST_CASE("a response to a build of the first format has its call id alone") {
  const auto message = Encode(std::string("text"));
  const auto frame = EncodeFrame(7, frame_kind::kResponse, message,
                                 /*of_first_format=*/true);
  // Length, then a u64 call id.
  CHECK(frame.substr(4, 8) == std::string("\7\0\0\0\0\0\0\0", 8));
  CHECK(HeaderOf(frame).format == format_footer{});
}

TEST_CASE("a response that returns the request's format is of the first one") {
  auto frame = EncodeFrame(7, frame_kind::kRequest, Encode(std::string("a")));
  frame[kFrameHeaderBytes - 1] = static_cast<char>(frame_kind::kResponse);
  const auto header = HeaderOf(frame);
  CHECK(header.call_id == 7);
  CHECK(header.format == format_footer{});
  CHECK(RestoreBody(header, "body") == "body");
}

TEST_CASE("faults are logged once for each peer and reason, and all counted") {
  message_faults faults;
  CHECK(faults.Record("10.0.0.1", "reason"));
  CHECK_FALSE(faults.Record("10.0.0.1", "reason"));
  CHECK(faults.Record("10.0.0.2", "reason"));
  CHECK(faults.Record("10.0.0.1", "another reason"));
  CHECK(faults.count() == 4);
  for (std::size_t i = 0; i < 2 * message_faults::kMaxLogged; ++i) {
    faults.Record("10.0.0.3", std::to_string(i));
  }
  CHECK_FALSE(faults.Record("10.0.0.4", "reason"));
}

}  // namespace lovagedale
