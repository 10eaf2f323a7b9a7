// A crowd of callers that keep to no limit, for tests of the real processes:
//   uncontrolled_callers PORT PATH SHAPE CONNECTIONS SECONDS
// Each connection plays one shape and stays open until the time is over. One
// that the server closes is opened again after a moment. Prints how many
// connections were opened and how many the server closed.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace {

using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::size_t kLegalBodyBytes = 4UL << 20U;
constexpr std::size_t kOversizedBodyBytes = 8UL << 20U;
constexpr std::size_t kLegalHeadBytes = 16'000;
constexpr std::size_t kPieceBytes = 1'000;
constexpr std::size_t kWholeBytes = 256UL << 10U;
constexpr std::size_t kRequestsAhead = 20'000;
constexpr milliseconds kSlowPause{200};
constexpr milliseconds kReopenPause{200};

enum class reading { kNever, kSlowly };

/// What a connection sends: `head`, then `unit` again and again, up to
/// `body_bytes`.
struct shape {
  std::string head;
  std::string unit;
  std::size_t body_bytes = 0;
  std::size_t piece_bytes = kWholeBytes;  ///< of one send
  milliseconds pause{0};                  ///< between sends
  reading reads = reading::kNever;
};

auto Repeat(const std::string& unit, std::size_t bytes) -> std::string {
  std::string text;
  while (text.size() + unit.size() <= bytes) text += unit;
  return text;
}

auto Post(const std::string& path, const std::string& fields) -> std::string {
  return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\n" + fields + "\r\n";
}

auto Length(std::size_t bytes) -> std::string {
  return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

auto MakeShapes(const std::string& path) -> std::map<std::string, shape> {
  const std::string filler(1'024, 'x');
  const std::string chunk = "400\r\n" + filler + "\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string get =
      "GET " + path + " HTTP/1.1\r\nHost: h.example\r\n\r\n";
  const auto short_body = Length(10);
  std::map<std::string, shape> shapes;
  shapes["body_whole"] = {Post(path, Length(kLegalBodyBytes)), filler,
                          kLegalBodyBytes - 1};
  shapes["body_pieces"] = {Post(path, Length(kLegalBodyBytes)), filler,
                           kLegalBodyBytes - 1, kPieceBytes};
  shapes["body_chunks"] = {Post(path, chunked), chunk, kLegalBodyBytes - 4'096};
  shapes["over_length"] = {Post(path, Length(1UL << 30U)), filler,
                           kOversizedBodyBytes};
  shapes["over_chunks"] = {Post(path, chunked), chunk, kOversizedBodyBytes};
  shapes["over_expect"] = {
      Post(path, Length(1UL << 30U) + "Expect: 100-continue\r\n")};
  shapes["expect_stall"] = {
      Post(path, Length(kLegalBodyBytes) + "Expect: 100-continue\r\n")};
  shapes["short_fields"] = {
      Post(path, short_body + Repeat("a:b\r\n", kLegalHeadBytes)), "x", 9};
  shapes["query_fields"] = {
      Post(path + "?" + Repeat("a=b&", kLegalHeadBytes), short_body), "x", 9};
  shapes["pipelined"] = {"", get, get.size() * kRequestsAhead};
  shapes["slow_head"] = {
      "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nX-A: ", "x",
      kLegalHeadBytes, 1, kSlowPause};
  shapes["half_head"] = {"GET " + path + " HTTP/1.1\r\nHos"};
  shapes["slow_body"] = {Post(path, Length(kLegalBodyBytes)), "x",
                         kLegalBodyBytes - 1, 1, kSlowPause};
  shapes["slow_read"] = {"",
                         get,
                         get.size() * kRequestsAhead,
                         kWholeBytes,
                         milliseconds(0),
                         reading::kSlowly};
  shapes["opened"] = {};
  return shapes;
}

/// One connection of the crowd.
class caller {
 public:
  caller(const shape& played, const sockaddr_in& address)
      : shape_(&played), address_(&address) {}

  /// Opens, sends and reads what is due.
  auto Step(clock_type::time_point now) -> void {
    if (now < due_) return;
    if (socket_ < 0) Open();
    if (socket_ < 0) return;
    if (shape_->reads == reading::kSlowly) ReadByte();
    if (HasEnded()) {
      Close(now);
      return;
    }
    Send(now);
  }
  auto opened() const -> std::size_t { return opened_; }
  auto closed() const -> std::size_t { return closed_; }

 private:
  auto Open() -> void {
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (socket_ < 0) return;
    sent_ = 0;
    (void)::connect(socket_, reinterpret_cast<const sockaddr*>(address_),
                    sizeof(*address_));
    ++opened_;
  }
  auto Close(clock_type::time_point now) -> void {
    ::close(socket_);
    socket_ = -1;
    ++closed_;
    due_ = now + kReopenPause;
  }
  /// The server has closed or reset the connection.
  auto HasEnded() const -> bool {
    pollfd item{socket_, POLLRDHUP, 0};
    return ::poll(&item, 1, 0) > 0 &&
           (item.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }
  auto ReadByte() const -> void {
    char byte = 0;
    (void)::recv(socket_, &byte, 1, MSG_DONTWAIT);
  }
  auto Send(clock_type::time_point now) -> void {
    const auto total = shape_->head.size() + shape_->body_bytes;
    std::size_t left = shape_->piece_bytes;
    while (left > 0 && sent_ < total) {
      const bool is_head = sent_ < shape_->head.size();
      const auto& text = is_head ? shape_->head : shape_->unit;
      const auto begin =
          is_head ? sent_ : (sent_ - shape_->head.size()) % text.size();
      const auto bytes = std::min(
          {text.size() - begin, total - sent_, is_head ? text.size() : left});
      const auto result = ::send(socket_, text.data() + begin, bytes,
                                 MSG_DONTWAIT | MSG_NOSIGNAL);
      if (result <= 0) return;
      sent_ += static_cast<std::size_t>(result);
      left -= std::min(left, static_cast<std::size_t>(result));
    }
    due_ = now + shape_->pause;
  }

  const shape* shape_;
  const sockaddr_in* address_;
  int socket_ = -1;
  std::size_t sent_ = 0;
  std::size_t opened_ = 0;
  std::size_t closed_ = 0;
  clock_type::time_point due_;
};

}  // namespace

auto main(int argc, char** argv) -> int {
  if (argc != 6) {
    std::cerr << "usage: uncontrolled_callers PORT PATH SHAPE CONNECTIONS "
                 "SECONDS\n";
    return 2;
  }
  const auto shapes = MakeShapes(argv[2]);
  const auto played = shapes.find(argv[3]);
  if (played == shapes.end()) {
    std::cerr << "no such shape: " << argv[3] << "\n";
    return 2;
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(argv[1])));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  std::vector<caller> crowd(static_cast<std::size_t>(std::stoi(argv[4])),
                            caller(played->second, address));
  const auto end = clock_type::now() + std::chrono::seconds(std::stoi(argv[5]));
  static volatile std::sig_atomic_t stopped = 0;
  std::signal(SIGTERM, [](int) { stopped = 1; });
  while (stopped == 0 && clock_type::now() < end) {
    const auto now = clock_type::now();
    for (auto& item : crowd) item.Step(now);
    (void)::poll(nullptr, 0, 5);
  }
  std::size_t opened = 0;
  std::size_t closed = 0;
  for (const auto& item : crowd) {
    opened += item.opened();
    closed += item.closed();
  }
  std::cout << "opened " << opened << ", closed by the server " << closed
            << "\n";
  return 0;
}
