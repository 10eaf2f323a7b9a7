#include "platform.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/json.hpp>
#include <stdexcept>
#include <utility>

namespace review {
namespace {

using boost::system::error_code;

auto Listen(asio::io_context& context, const endpoint& address)
    -> tcp::acceptor {
  return {context,
          tcp::endpoint(asio::ip::make_address(address.host), address.port)};
}

auto MakeHead(const http_request& request, unsigned status,
              const std::string& content_type) -> std::string {
  const auto id = HeaderOf(request, "X-Lovagedale-Request-Id");
  return "HTTP/1.1 " + std::to_string(status) + " " +
         std::string(http::obsolete_reason(static_cast<http::status>(status))) +
         "\r\nContent-Type: " + content_type +
         "\r\nX-Lovagedale-Request-Id: " + id +
         "\r\nX-Lovagedale-Replica-Signature: " + SignatureOf(id) + "\r\n";
}

}  // namespace

auto endpoint::ToString() const -> std::string {
  return host + ":" + std::to_string(port);
}

recorder::recorder(const std::string& path)
    : file_(path), start_(std::chrono::steady_clock::now()) {
  if (!file_) throw std::runtime_error("cannot write " + path);
}

auto recorder::NowMs() const -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start_)
      .count();
}

auto recorder::Write(const std::string& line) -> void {
  file_ << NowMs() << " ms " << line << std::endl;
}

auto Pause(std::chrono::milliseconds duration, asio::yield_context yield)
    -> void {
  asio::steady_timer timer(yield.get_executor(), duration);
  error_code ignored;
  timer.async_wait(yield[ignored]);
}

auto Spawn(asio::io_context& context,
           std::function<void(asio::yield_context)> run) -> void {
  asio::spawn(context, std::move(run), [](std::exception_ptr failure) {
    if (failure) std::rethrow_exception(failure);
  });
}

auto SignatureOf(const std::string& request_id) -> std::string {
  return "signed-" + request_id;
}

auto BodyOf(const std::string& request_id) -> std::string {
  return "answer to " + request_id;
}

auto HeaderOf(const http_request& request, const char* name) -> std::string {
  return std::string(request[name]);
}

auto MakeAnswer(const http_request& request, unsigned status) -> std::string {
  const auto body = BodyOf(HeaderOf(request, "X-Lovagedale-Request-Id"));
  return MakeHead(request, status, "text/plain") +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto MakeStream(const http_request& request, int events) -> std::string {
  auto text = MakeHead(request, 200, "text/event-stream") +
              "Transfer-Encoding: chunked\r\n\r\n";
  for (int i = 1; i <= events; ++i) {
    const auto event = "id: " + std::to_string(i) + "\ndata: token\n\n";
    std::ostringstream size;
    size << std::hex << event.size();
    text += size.str() + "\r\n" + event + "\r\n";
  }
  return text + "0\r\n\r\n";
}

replica_list::replica_list(asio::io_context& context, const endpoint& address)
    : context_(context),
      acceptor_(Listen(context, address)),
      body_(std::make_shared<std::string>()) {
  Set({});
  Spawn(context, [this](asio::yield_context yield) { Accept(yield); });
}

auto replica_list::Set(std::vector<listed_replica> replicas) -> void {
  boost::json::array instances;
  for (const auto& item : replicas) {
    instances.push_back({{"id", item.id},
                         {"backend", item.service},
                         {"address", item.address.ToString()},
                         {"zone", item.zone},
                         {"version", item.version},
                         {"capacity", item.capacity},
                         {"state", item.state},
                         {"cold_remaining_ms", 0}});
  }
  *body_ = boost::json::serialize(boost::json::value{
      {"instances", std::move(instances)}, {"next", nullptr}});
}

auto replica_list::Accept(asio::yield_context yield) -> void {
  for (;;) {
    auto socket = std::make_shared<tcp::socket>(context_);
    acceptor_.async_accept(*socket, yield);
    Spawn(context_, [socket, body = body_](asio::yield_context session) {
      boost::beast::flat_buffer buffer;
      error_code error;
      while (!error) {
        http_request request;
        http::async_read(*socket, buffer, request, session[error]);
        if (error) return;
        http::response<http::string_body> response(http::status::ok, 11);
        response.set(http::field::content_type, "application/json");
        response.body() = *body;
        response.prepare_payload();
        http::async_write(*socket, response, session[error]);
      }
    });
  }
}

replica::replica(asio::io_context& context, listed_replica listing,
                 recorder& record, request_handler handler)
    : context_(context),
      listing_(std::move(listing)),
      record_(record),
      handler_(std::move(handler)),
      acceptor_(Listen(context, listing_.address)) {
  Spawn(context, [this](asio::yield_context yield) { Accept(yield); });
}

auto replica::Accept(asio::yield_context yield) -> void {
  for (;;) {
    auto socket = std::make_shared<tcp::socket>(context_);
    acceptor_.async_accept(*socket, yield);
    Spawn(context_, [this, socket](asio::yield_context session) {
      Serve(*socket, session);
    });
  }
}

auto replica::Serve(tcp::socket& socket, asio::yield_context yield) -> void {
  boost::beast::flat_buffer buffer;
  error_code error;
  for (int number = 0; !error; ++number) {
    http_request request;
    http::async_read(socket, buffer, request, yield[error]);
    if (error) return;
    std::string answer;
    const auto id = HeaderOf(request, "X-Lovagedale-Request-Id");
    const auto target = HeaderOf(request, "X-Lovagedale-Target-Replica");
    if (request.target() == "/healthz") {
      answer = "HTTP/1.1 200 OK\r\nX-Lovagedale-Replica-Id: " + listing_.id +
               "\r\nContent-Length: 0\r\n\r\n";
    } else if (!target.empty() && target != listing_.id) {
      answer =
          "HTTP/1.1 421 Misdirected Request\r\nX-Lovagedale-Request-Id: " + id +
          "\r\nX-Lovagedale-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    } else {
      ++runs_[id];
      record_.Write("replica " + listing_.id + " runs " + id + " " +
                    std::string(request.target()) +
                    " tenant=" + HeaderOf(request, "X-Lovagedale-Tenant") +
                    " model=" + HeaderOf(request, "X-Lovagedale-Model"));
      answer = handler_(request, {socket, number}, yield);
    }
    asio::async_write(socket, asio::buffer(answer), yield[error]);
  }
}

}  // namespace review
