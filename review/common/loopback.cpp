#include "loopback.h"

#include <algorithm>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <random>
#include <sstream>

namespace review {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kConnectTime{1'000};
constexpr milliseconds kPollPeriod{100};
constexpr std::int64_t kStartTimeMs = 15'000;
/// Requests that wait at a replica beyond its capacity.
constexpr std::uint32_t kMaxWaiting = 24;
constexpr std::size_t kMaxBodyBytes = 64UL << 20U;
constexpr const char* kRequestIdHeader = "X-Lovagedale-Request-Id";

auto Split(const std::string& text, char separator)
    -> std::vector<std::string> {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, separator);) {
    parts.push_back(part);
  }
  return parts;
}

auto Write(tcp::socket& socket, const std::string& bytes,
           asio::yield_context yield) -> bool {
  beast::error_code error;
  asio::async_write(socket, asio::buffer(bytes), yield[error]);
  return !error;
}

auto Respond(tcp::socket& socket, const std::string& status,
             const std::string& headers, const std::string& body,
             asio::yield_context yield) -> bool {
  return Write(socket,
               "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body,
               yield);
}

auto AwaitVoice(const replica& item, asio::yield_context yield) -> void {
  while (NowMs() < item.silent_until_ms) {
    Sleep(milliseconds(item.silent_until_ms - NowMs()), yield);
  }
}

/// Serves one request of a connection; false if the connection has ended.
auto ServeReplicaRequest(replica& item, tcp::socket& socket,
                         const http_request& request, std::size_t served,
                         asio::yield_context yield) -> bool {
  const std::string id(request[kRequestIdHeader]);
  item.arrivals.insert(id);
  AwaitVoice(item, yield);
  auto headers = std::string(kRequestIdHeader) + ": " + id +
                 "\r\nKeep-Alive: timeout=5\r\n";
  if (request.target() == "/healthz") {
    return Respond(socket, "200 OK",
                   "X-Lovagedale-Replica-Id: " + item.id + "\r\n", "", yield);
  }
  const auto target = request["X-Lovagedale-Target-Replica"];
  const bool is_other = (!target.empty() && target != item.id) ||
                        (item.rejects && item.rejects(request));
  if (is_other || item.waiting >= kMaxWaiting) {
    return Respond(
        socket,
        is_other ? "421 Misdirected Request" : "503 Service Unavailable",
        headers + "X-Lovagedale-Not-Executed: 1\r\n", "", yield);
  }
  ++item.waiting;
  while (item.running >= item.capacity) Sleep(milliseconds(5), yield);
  --item.waiting;
  ++item.running;
  const auto run = item.runs.size();
  item.runs.push_back({id, NowMs()});
  Sleep(item.work, yield);
  AwaitVoice(item, yield);
  --item.running;
  item.runs[run].answered_ms = NowMs();
  if (item.before_answer) item.before_answer(socket, served, yield);
  headers += "X-Lovagedale-Replica-Signature: " + item.id + "." + id + "\r\n";
  if (item.more_headers) headers += item.more_headers(request);
  const auto body =
      item.body ? item.body(request) : item.id + " answers " + id + "\n";
  const bool has_failed = item.fails && item.fails(request);
  return Respond(socket, has_failed ? "500 Internal Server Error" : "200 OK",
                 headers, body, yield);
}

}  // namespace

auto NowMs() -> std::int64_t {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

auto Sleep(milliseconds duration, asio::yield_context yield) -> void {
  asio::steady_timer timer(yield.get_executor(), duration);
  beast::error_code ignored;
  timer.async_wait(yield[ignored]);
}

auto ParseAddress(const std::string& text) -> tcp::endpoint {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) throw std::invalid_argument(text);
  return {asio::ip::make_address(text.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

auto ToString(const tcp::endpoint& address) -> std::string {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

auto RandomId() -> std::string {
  static std::mt19937_64 random{std::random_device{}()};
  std::ostringstream out;
  out << std::hex << random();
  return out.str();
}

auto consumer_connection::Connect(const tcp::endpoint& address,
                                  asio::yield_context yield) -> bool {
  beast::error_code error;
  stream_.expires_after(kConnectTime);
  stream_.async_connect(address, yield[error]);
  is_open_ = !error;
  return is_open_;
}

auto consumer_connection::Call(http_request request, milliseconds time_limit,
                               asio::yield_context yield) -> call_result {
  call_result result;
  result.id = RandomId();
  request.set(kRequestIdHeader, result.id);
  request.set("X-Lovagedale-Deadline-Ms", std::to_string(time_limit.count()));
  request.prepare_payload();
  beast::error_code error;
  stream_.expires_after(time_limit);
  http::async_write(stream_, request, yield[error]);
  result.was_sent = !error;
  result.sent_ms = NowMs();
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  if (!error) http::async_read(stream_, buffer_, parser, yield[error]);
  result.ended_ms = NowMs();
  if (parser.is_header_done()) {
    const auto& head = parser.get();
    result.status = head.result_int();
    result.signature = std::string(head["X-Lovagedale-Replica-Signature"]);
    result.answered_id = std::string(head[kRequestIdHeader]);
    result.body = head.body();
  }
  result.is_complete = !error;
  result.has_timed_out = error == beast::error::timeout;
  if (error) result.error = error.message();
  is_open_ = !error && parser.keep_alive();
  return result;
}

auto CallOnce(asio::io_context& context, const tcp::endpoint& address,
              const http_request& request, milliseconds time_limit,
              asio::yield_context yield) -> call_result {
  consumer_connection connection(context);
  if (connection.Connect(address, yield)) {
    return connection.Call(request, time_limit, yield);
  }
  call_result result;
  result.error = "not connected";
  result.ended_ms = NowMs();
  return result;
}

auto Serve(asio::io_context& context, const tcp::endpoint& address,
           connection_handler handler) -> void {
  auto acceptor = std::make_shared<tcp::acceptor>(context, address);
  asio::spawn(
      context,
      [&context, acceptor,
       handler = std::move(handler)](asio::yield_context yield) {
        for (;;) {
          auto socket = std::make_shared<tcp::socket>(context);
          beast::error_code error;
          acceptor->async_accept(*socket, yield[error]);
          if (error) continue;
          asio::spawn(
              context,
              [socket, handler](asio::yield_context session) {
                socket->set_option(tcp::no_delay(true));
                handler(*socket, session);
              },
              asio::detached);
        }
      },
      asio::detached);
}

auto ServeReplica(asio::io_context& context,
                  const std::shared_ptr<replica>& item) -> void {
  Serve(context, item->address,
        [item](tcp::socket& socket, asio::yield_context yield) {
          beast::flat_buffer buffer;
          for (std::size_t served = 0;; ++served) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(kMaxBodyBytes);
            beast::error_code error;
            http::async_read(socket, buffer, parser, yield[error]);
            if (error || !ServeReplicaRequest(*item, socket, parser.get(),
                                              served, yield)) {
              break;
            }
          }
        });
}

auto ServeReplicaList(asio::io_context& context, const tcp::endpoint& address,
                      const replica_list& replicas) -> void {
  Serve(context, address,
        [&replicas](tcp::socket& socket, asio::yield_context yield) {
          beast::flat_buffer buffer;
          for (;;) {
            http_request request;
            beast::error_code error;
            http::async_read(socket, buffer, request, yield[error]);
            if (error) return;
            boost::json::array instances;
            for (const auto& item : replicas) {
              if (item->state == "gone") continue;
              instances.push_back({{"id", item->id},
                                   {"backend", item->service},
                                   {"address", ToString(item->address)},
                                   {"zone", item->zone},
                                   {"version", item->version},
                                   {"capacity", item->capacity},
                                   {"state", item->state},
                                   {"cold_remaining_ms", 0}});
            }
            const boost::json::value list{{"instances", instances},
                                          {"next", nullptr}};
            if (!Respond(socket, "200 OK", "Content-Type: application/json\r\n",
                         boost::json::serialize(list), yield)) {
              return;
            }
          }
        });
}

auto RecordRuns(const replica_list& replicas, record_file& record) -> void {
  for (const auto& item : replicas) {
    for (const auto& run : item->runs) {
      record.Line("run of " + run.id + " by " + item->id + " (" +
                  item->service + " " + item->version + ") from " +
                  std::to_string(run.began_ms) + " to " +
                  std::to_string(run.answered_ms));
    }
  }
}

auto OperatorCall(asio::io_context& context, const tcp::endpoint& control,
                  http::verb method, const std::string& path,
                  const std::string& body, asio::yield_context yield)
    -> call_result {
  http_request request(method, path, 11);
  request.set(http::field::host, "control");
  request.set(http::field::content_type, "application/json");
  request.body() = body;
  return CallOnce(context, control, request, milliseconds(1'000), yield);
}

auto OperatorCallUntilAnswered(asio::io_context& context,
                               const std::vector<tcp::endpoint>& control,
                               http::verb method, const std::string& path,
                               const std::string& body,
                               asio::yield_context yield) -> call_result {
  const auto deadline = NowMs() + kStartTimeMs;
  for (std::size_t i = 0; NowMs() < deadline; ++i) {
    auto result = OperatorCall(context, control[i % control.size()], method,
                               path, body, yield);
    if (result.is_complete && result.status < 500) return result;
    Sleep(kPollPeriod, yield);
  }
  return {};
}

auto PutConfig(asio::io_context& context,
               const std::vector<tcp::endpoint>& control,
               const std::string& document, asio::yield_context yield) -> bool {
  return OperatorCallUntilAnswered(context, control, http::verb::put,
                                   "/api/config", document, yield)
             .status == 200;
}

auto IsReady(asio::io_context& context, const tcp::endpoint& readiness,
             asio::yield_context yield) -> bool {
  http_request request(http::verb::get, "/api/readyz", 11);
  request.set(http::field::host, "entry");
  const auto result =
      CallOnce(context, readiness, request, milliseconds(1'000), yield);
  return result.is_complete && result.status == 200;
}

auto AwaitReady(asio::io_context& context,
                const std::vector<tcp::endpoint>& readiness,
                asio::yield_context yield) -> bool {
  const auto deadline = NowMs() + kStartTimeMs;
  for (const auto& address : readiness) {
    while (!IsReady(context, address, yield)) {
      if (NowMs() > deadline) return false;
      Sleep(kPollPeriod, yield);
    }
  }
  return true;
}

auto ParseArguments(int argc, char** argv) -> case_arguments {
  case_arguments arguments;
  for (int i = 1; i < argc; ++i) {
    const std::string text(argv[i]);
    const auto equals = text.find('=');
    if (equals == std::string::npos) throw std::invalid_argument(text);
    const auto key = text.substr(0, equals);
    const auto value = text.substr(equals + 1);
    if (key == "directory") {
      arguments.directory = ParseAddress(value);
    } else if (key == "control") {
      for (const auto& item : Split(value, ',')) {
        arguments.control.push_back(ParseAddress(item));
      }
    } else if (key == "entries") {
      for (const auto& item : Split(value, ',')) {
        const auto parts = Split(item, '/');
        arguments.entries.push_back({ParseAddress(parts.at(0)),
                                     ParseAddress(parts.at(1)),
                                     std::stoi(parts.at(2))});
      }
    } else if (key == "replicas") {
      arguments.replica_host = value;
    } else if (key == "record") {
      arguments.record = value;
    } else if (key == "pids") {
      arguments.pid_files = Split(value, ',');
    } else if (key == "trouble") {
      arguments.has_trouble = value != "0";
    } else {
      throw std::invalid_argument(text);
    }
  }
  return arguments;
}

auto RunCase(asio::io_context& context, std::chrono::seconds limit,
             std::function<int(asio::yield_context)> body) -> int {
  int exit_code = kNotRun;
  asio::spawn(
      context, [&](asio::yield_context yield) { exit_code = body(yield); },
      [&](std::exception_ptr failure) {
        context.stop();
        if (!failure) return;
        try {
          std::rethrow_exception(failure);
        } catch (const std::exception& error) {
          std::cerr << "not run: " << error.what() << '\n';
        }
      });
  context.run_for(limit);
  return exit_code;
}

}  // namespace review
