// Stand-ins of the provider's list of replicas and of the replicas, in one
// process:
//   deployment_stand_in RECORD REPLICAS SPARE_PORTS
// Prints the port of the list, those of the replicas and SPARE_PORTS free ports
// for other programs, one a line, and holds them until it gets SIGTERM. Writes
// to the file RECORD what the replicas do, one line each, with the time in
// milliseconds since the start.
//
// GET on the list's port: /replicas is the list; /fault/NAME sets the fault
// that is in force and answers when it is:
//   none    all replicas are sound
//   poison  a request whose X-Lovagedale-Prefix-Hash names the part dead1
//           crashes the replica that begins to answer it; the replica is back
//           after 2 s
//   torn    the list has one more entry, whose text its writer has cut short
//   unsure  answers of the model small-1 have a confidence of 10 instead of 95
//
// A replica answers a path that begins with /stream/ with five events, 20 ms
// apart, and any other path after 20 ms.

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using std::chrono::milliseconds;
using error_code = boost::system::error_code;
using string_request = http::request<http::string_body>;

constexpr const char* kLoopback = "127.0.0.1";
constexpr milliseconds kAnswerTime{20};
constexpr std::uint64_t kEvents = 5;
constexpr milliseconds kDownTime{2'000};
constexpr std::string_view kSmallModel = "small-1";
constexpr std::string_view kPoisonPart = "dead1:";
constexpr std::string_view kTornEntry =
    R"({"id":"i-other","backend":"engines","addr)";

auto StartTime() -> std::chrono::steady_clock::time_point {
  static const auto start = std::chrono::steady_clock::now();
  return start;
}

auto NowMs() -> std::int64_t {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::steady_clock::now() - StartTime())
      .count();
}

auto UnixMs() -> std::int64_t {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

auto Pause(asio::io_context& context, milliseconds duration,
           asio::yield_context yield) -> void {
  asio::steady_timer timer(context, duration);
  error_code ignored;
  timer.async_wait(yield[ignored]);
}

/// Binds a port without listening: connections to it are refused, and no other
/// program gets it. Programs that reuse addresses can listen on it.
auto HoldPort(asio::io_context& context, std::uint16_t port) -> tcp::acceptor {
  tcp::acceptor held(context);
  held.open(tcp::v4());
  held.set_option(asio::socket_base::reuse_address(true));
  held.bind({asio::ip::address_v4::any(), port});
  return held;
}

auto ListenOn(asio::io_context& context, std::uint16_t port) -> tcp::acceptor {
  tcp::acceptor acceptor(context);
  acceptor.open(tcp::v4());
  acceptor.set_option(asio::socket_base::reuse_address(true));
  acceptor.bind({asio::ip::make_address_v4(kLoopback), port});
  acceptor.listen();
  return acceptor;
}

struct shared_state {
  asio::io_context& context;
  std::ofstream record;
  std::string fault = "none";

  auto Write(const std::string& line) -> void {
    record << NowMs() << " " << line << std::endl;
  }
};

class replica {
 public:
  replica(shared_state& state, std::size_t number)
      : state_(state),
        held_(HoldPort(state.context, 0)),
        port_(held_.local_endpoint().port()),
        id_("i-" + std::to_string(number)) {
    Start();
  }

  auto port() const -> std::uint16_t { return port_; }
  auto Entry() const -> json::object {
    return {{"backend", "engines"},
            {"address", std::string(kLoopback) + ":" + std::to_string(port_)},
            {"zone", "akl-a"},
            {"version", "v1"},
            {"capacity", 64},
            {"state", "ready"},
            {"cold_remaining_ms", 0},
            {"id", id_},
            {"born", born_}};
  }

 private:
  struct connection {
    tcp::socket socket;
  };

  auto Start() -> void {
    born_ = UnixMs();
    acceptor_ =
        std::make_unique<tcp::acceptor>(ListenOn(state_.context, port_));
    asio::spawn(
        state_.context,
        [this, acceptor = acceptor_.get()](asio::yield_context yield) {
          Accept(*acceptor, yield);
        },
        asio::detached);
  }
  auto Accept(tcp::acceptor& acceptor, asio::yield_context yield) -> void {
    for (;;) {
      error_code error;
      tcp::socket socket(state_.context);
      acceptor.async_accept(socket, yield[error]);
      if (error) return;
      auto opened = std::make_shared<connection>(std::move(socket));
      connections_.push_back(opened);
      asio::spawn(
          state_.context,
          [this, opened](asio::yield_context session_yield) {
            Serve(*opened, session_yield);
            connections_.remove(opened);
          },
          asio::detached);
    }
  }
  auto Serve(connection& client, asio::yield_context yield) -> void {
    beast::flat_buffer buffer;
    for (;;) {
      string_request request;
      error_code error;
      http::async_read(client.socket, buffer, request, yield[error]);
      if (error || !Answer(client, request, yield)) return;
    }
  }
  /// False if the connection has ended.
  auto Answer(connection& client, const string_request& request,
              asio::yield_context yield) -> bool {
    const std::string request_id(request["X-Lovagedale-Request-Id"]);
    const std::string head = "X-Lovagedale-Request-Id: " + request_id + "\r\n";
    if (request["X-Lovagedale-Target-Replica"] != id_) {
      return Send(client,
                  "HTTP/1.1 421 Misdirected Request\r\n"
                  "X-Lovagedale-Not-Executed: 1\r\nContent-Length: 0\r\n" +
                      head + "\r\n",
                  yield);
    }
    const std::string line = request_id + " " + id_ + " " +
                             std::string(request.method_string()) + " " +
                             std::string(request.target());
    const std::string model(request["X-Lovagedale-Model"]);
    state_.Write("run " + line + (model.empty() ? "" : " " + model));
    const bool is_poison = request["X-Lovagedale-Prefix-Hash"].find(
                               kPoisonPart) != std::string_view::npos;
    Pause(state_.context, kAnswerTime, yield);
    if (!client.socket.is_open()) return false;
    if (is_poison && state_.fault == "poison") {
      state_.Write("crash " + line);
      Crash();
      return false;
    }
    const bool is_unsure = state_.fault == "unsure" && model == kSmallModel;
    const auto confidence =
        model.empty() ? std::string()
                      : "X-Lovagedale-Confidence: " +
                            std::string(is_unsure ? "10" : "95") + "\r\n";
    const auto full_head = "HTTP/1.1 200 OK\r\n" + head + confidence +
                           "X-Lovagedale-Replica-Signature: signed-" +
                           request_id + "\r\nX-Lovagedale-Weights-Version: 1" +
                           "\r\nKeep-Alive: timeout=10\r\n";
    return request.target().starts_with("/stream/")
               ? SendEvents(client, request, full_head, yield)
               : SendBody(client, request, full_head, yield);
  }
  auto SendBody(connection& client, const string_request& request,
                const std::string& head, asio::yield_context yield) -> bool {
    const auto body =
        "answer to " + std::string(request["X-Lovagedale-Request-Id"]);
    const bool is_head = request.method() == http::verb::head;
    return Send(client,
                head + "Content-Type: text/plain\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" +
                    (is_head ? "" : body),
                yield);
  }
  auto SendEvents(connection& client, const string_request& request,
                  const std::string& head, asio::yield_context yield) -> bool {
    std::uint64_t last = 0;
    const auto after = request["Last-Event-Id"];
    std::from_chars(after.data(), after.data() + after.size(), last);
    const auto stream_head = head +
                             "Content-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    if (!Send(client, stream_head, yield)) return false;
    if (request.method() == http::verb::head) return true;
    const std::string request_id(request["X-Lovagedale-Request-Id"]);
    for (auto number = last + 1; number <= kEvents; ++number) {
      const auto event =
          "id: " + std::to_string(number) + "\ndata: " + request_id + "\n\n";
      char size[16];
      const auto end =
          std::to_chars(size, size + sizeof(size), event.size(), 16).ptr;
      if (!Send(client, std::string(size, end) + "\r\n" + event + "\r\n",
                yield)) {
        return false;
      }
      Pause(state_.context, kAnswerTime, yield);
    }
    return Send(client, "0\r\n\r\n", yield);
  }
  static auto Send(connection& client, std::string_view bytes,
                   asio::yield_context yield) -> bool {
    error_code error;
    asio::async_write(client.socket, asio::buffer(bytes), yield[error]);
    return !error;
  }
  /// Resets all connections and refuses new ones until the replica is back.
  auto Crash() -> void {
    if (!acceptor_->is_open()) return;
    error_code ignored;
    acceptor_->close(ignored);
    for (const auto& open : connections_) {
      open->socket.set_option(asio::socket_base::linger(true, 0), ignored);
      open->socket.close(ignored);
    }
    asio::spawn(
        state_.context,
        [this](asio::yield_context yield) {
          Pause(state_.context, kDownTime, yield);
          retired_.push_back(std::move(acceptor_));
          Start();
        },
        asio::detached);
  }

  shared_state& state_;
  tcp::acceptor held_;
  std::uint16_t port_;
  std::string id_;
  std::int64_t born_ = 0;
  std::unique_ptr<tcp::acceptor> acceptor_;
  std::vector<std::unique_ptr<tcp::acceptor>> retired_;
  std::list<std::shared_ptr<connection>> connections_;
};

/// The provider.
class provider {
 public:
  provider(shared_state& state,
           const std::vector<std::unique_ptr<replica>>& replicas)
      : state_(state),
        replicas_(replicas),
        acceptor_(ListenOn(state.context, 0)) {
    asio::spawn(
        state_.context, [this](asio::yield_context yield) { Accept(yield); },
        asio::detached);
  }
  auto port() const -> std::uint16_t {
    return acceptor_.local_endpoint().port();
  }

 private:
  auto Accept(asio::yield_context yield) -> void {
    for (;;) {
      error_code error;
      auto socket = std::make_shared<tcp::socket>(state_.context);
      acceptor_.async_accept(*socket, yield[error]);
      if (error) return;
      asio::spawn(
          state_.context,
          [this, socket](asio::yield_context session_yield) {
            Serve(*socket, session_yield);
          },
          asio::detached);
    }
  }
  auto Serve(tcp::socket& socket, asio::yield_context yield) -> void {
    beast::flat_buffer buffer;
    for (;;) {
      string_request request;
      error_code error;
      http::async_read(socket, buffer, request, yield[error]);
      if (error) return;
      http::response<http::string_body> response(http::status::ok, 11);
      response.set(http::field::content_type, "application/json");
      response.body() = Body(request.target());
      response.prepare_payload();
      http::async_write(socket, response, yield[error]);
      if (error) return;
    }
  }
  auto Body(std::string_view target) -> std::string {
    constexpr std::string_view kFaultPath = "/fault/";
    if (target.starts_with(kFaultPath)) {
      state_.fault = std::string(target.substr(kFaultPath.size()));
      state_.Write("fault " + state_.fault);
      return "{}";
    }
    std::string entries;
    for (const auto& item : replicas_) {
      if (!entries.empty()) entries += ',';
      entries += json::serialize(item->Entry());
    }
    if (state_.fault == "torn") entries.append(",").append(kTornEntry);
    return R"({"instances":[)" + entries + R"(],"next":null})";
  }

  shared_state& state_;
  const std::vector<std::unique_ptr<replica>>& replicas_;
  tcp::acceptor acceptor_;
};

}  // namespace

auto main(int argc, char** argv) -> int {
  if (argc != 4) {
    std::cerr << "usage: deployment_stand_in RECORD REPLICAS SPARE_PORTS\n";
    return 2;
  }
  StartTime();
  asio::io_context context(1);
  shared_state state{context, std::ofstream(argv[1])};
  std::vector<std::unique_ptr<replica>> replicas;
  const auto count = std::strtoul(argv[2], nullptr, 10);
  for (std::size_t i = 0; i < count; ++i) {
    replicas.push_back(std::make_unique<replica>(state, i));
  }
  const provider list(state, replicas);
  std::cout << list.port() << "\n";
  for (const auto& item : replicas) std::cout << item->port() << "\n";
  std::vector<tcp::acceptor> spare_ports;
  for (auto i = std::strtoul(argv[3], nullptr, 10); i > 0; --i) {
    spare_ports.push_back(HoldPort(context, 0));
    std::cout << spare_ports.back().local_endpoint().port() << "\n";
  }
  std::cout << "ready" << std::endl;
  asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](error_code, int) { context.stop(); });
  context.run();
  // Fibers that still wait are not unwound.
  std::_Exit(0);
}
