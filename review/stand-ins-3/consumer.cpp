// Sends one HTTP request and reads the answer:
//   consumer METHOD HOST PORT TARGET BODY_FILE SECONDS [NAME:VALUE...] [=BODY]
// NAME:VALUE is a header of the request. Writes the answer's body to BODY_FILE
// and prints its status and its X-Lovagedale-Replica-Signature; the status is
// 000 if no complete answer comes within SECONDS.

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

constexpr int kFirstHeaderArgument = 7;

struct arguments {
  http::request<http::string_body> request;
  tcp::endpoint endpoint;
  std::string body_file;
  std::chrono::seconds timeout{0};
};

auto ReadArguments(const std::vector<std::string>& texts) -> arguments {
  arguments result;
  auto& request = result.request;
  request.method_string(texts[1]);
  request.target(texts[4]);
  request.version(11);
  request.keep_alive(false);
  request.set(http::field::host, texts[2] + ":" + texts[3]);
  for (std::size_t i = kFirstHeaderArgument; i < texts.size(); ++i) {
    const auto& text = texts[i];
    if (text.starts_with('=')) {
      request.body() = text.substr(1);
      continue;
    }
    const auto colon = text.find(':');
    request.set(text.substr(0, colon), text.substr(colon + 1));
  }
  request.prepare_payload();
  result.endpoint = {asio::ip::make_address(texts[2]),
                     static_cast<std::uint16_t>(std::stoi(texts[3]))};
  result.body_file = texts[5];
  result.timeout = std::chrono::seconds(std::stoi(texts[6]));
  return result;
}

/// Throws boost::system::system_error.
auto Exchange(asio::io_context& context, const arguments& arguments,
              asio::yield_context yield) -> http::response<http::string_body> {
  beast::tcp_stream stream(context);
  stream.expires_after(arguments.timeout);
  stream.async_connect(arguments.endpoint, yield);
  http::async_write(stream, arguments.request, yield);
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  http::async_read(stream, buffer, response, yield);
  return response;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  const std::vector<std::string> texts(argv, argv + argc);
  if (texts.size() < kFirstHeaderArgument) {
    std::cerr << "usage: consumer METHOD HOST PORT TARGET BODY_FILE SECONDS "
                 "[NAME:VALUE...] [=BODY]\n";
    return 2;
  }
  const auto arguments = ReadArguments(texts);
  std::ofstream body_file(arguments.body_file, std::ios::binary);
  asio::io_context context(1);
  asio::spawn(
      context,
      [&](asio::yield_context yield) {
        try {
          const auto response = Exchange(context, arguments, yield);
          body_file << response.body();
          std::cout << response.result_int() << " "
                    << response["X-Lovagedale-Replica-Signature"] << "\n";
        } catch (const boost::system::system_error& error) {
          body_file << error.what();
          std::cout << "000 \n";
        }
      },
      asio::detached);
  context.run();
  return 0;
}
