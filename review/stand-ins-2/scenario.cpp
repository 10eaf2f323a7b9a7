#include "scenario.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstring>
#include <iostream>
#include <sstream>
#include <utility>

namespace review {
namespace {

using boost::system::error_code;
using std::chrono::milliseconds;

constexpr milliseconds kOperatorTimeout{1'000};
constexpr milliseconds kOperatorPause{100};
constexpr std::int64_t kOperatorMaxMs = 10'000;
constexpr std::int64_t kReadyMaxMs = 20'000;
/// Of the pages: connected_ms is 3,000. A start is a disturbance: a machine is
/// in touch, and the core stable, when that time has passed since.
constexpr milliseconds kConnected{3'200};
/// How long a consumer waits beyond the time that the entry was told, so that
/// an answer that is late by half a second is seen.
constexpr milliseconds kConsumerSlack{700};

auto ParseEndpoints(const std::string& text) -> std::vector<endpoint> {
  std::vector<endpoint> result;
  std::istringstream in(text);
  for (std::string item; std::getline(in, item, ',');) {
    const auto colon = item.rfind(':');
    if (colon == std::string::npos) {
      throw cannot_run("got \"" + item + "\"; allowed: HOST:PORT");
    }
    result.push_back(
        {item.substr(0, colon),
         static_cast<std::uint16_t>(std::stoi(item.substr(colon + 1)))});
  }
  return result;
}

}  // namespace

auto Send(asio::io_context& context, const endpoint& to, const call& item,
          milliseconds timeout, asio::yield_context yield) -> reply {
  reply result;
  const auto fail = [&](const char* where, const error_code& error) {
    result.failure = std::string(where) + ": " + error.message();
    return result;
  };
  boost::beast::tcp_stream stream(context);
  stream.expires_after(timeout);
  error_code error;
  stream.async_connect(tcp::endpoint(asio::ip::make_address(to.host), to.port),
                       yield[error]);
  if (error) return fail("connect", error);
  result.was_connected = true;
  http_request request;
  request.version(11);
  request.method_string(item.method);
  request.target(item.target);
  request.set(http::field::host, to.ToString());
  for (const auto& [name, value] : item.headers) request.set(name, value);
  request.body() = item.body;
  if (!item.body.empty() || item.method != "GET") request.prepare_payload();
  http::async_write(stream, request, yield[error]);
  if (error) return fail("send", error);
  result.was_sent = true;
  const auto sent_at = std::chrono::steady_clock::now();
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> response;
  http::async_read(stream, buffer, response, yield[error]);
  result.took_ms = std::chrono::duration_cast<milliseconds>(
                       std::chrono::steady_clock::now() - sent_at)
                       .count();
  if (error) return fail("read", error);
  result.is_complete = true;
  result.status = response.result_int();
  result.signature = std::string(response["X-Lovagedale-Replica-Signature"]);
  result.body = std::move(response.body());
  return result;
}

scenario::scenario(scenario_settings settings)
    : settings_(std::move(settings)),
      context_(1),
      record_(settings_.record_path),
      list_(context_, settings_.list) {}

auto scenario::Operate(const call& item, asio::yield_context yield)
    -> std::optional<reply> {
  const auto start_ms = record_.NowMs();
  for (std::size_t i = 0; record_.NowMs() - start_ms < kOperatorMaxMs; ++i) {
    const auto& node = settings_.controls[i % settings_.controls.size()];
    auto result = Send(context_, node, item, kOperatorTimeout, yield);
    record_.Write(
        "operator " + item.method + " " + item.target + " at " +
        node.ToString() + ": " +
        (result.is_complete ? std::to_string(result.status) : result.failure));
    if (result.is_complete && result.status < 500) return result;
    Pause(kOperatorPause, yield);
  }
  return std::nullopt;
}

auto scenario::PutConfig(const std::string& document, asio::yield_context yield)
    -> unsigned {
  const auto result = Operate(
      {"PUT", "/api/config", {{"Content-Type", "application/json"}}, document},
      yield);
  if (!result) throw cannot_run("no control node answers a config");
  return result->status;
}

auto scenario::GetConfig(asio::yield_context yield)
    -> std::optional<std::string> {
  const auto result = Operate({"GET", "/api/config", {}, ""}, yield);
  if (!result || result->status != 200) return std::nullopt;
  return result->body;
}

auto scenario::RequireConfig(const std::string& document,
                             asio::yield_context yield) -> void {
  const auto status = PutConfig(document, yield);
  if (status != 200) {
    throw cannot_run("a valid config was answered with " +
                     std::to_string(status));
  }
}

auto scenario::AwaitReady(asio::yield_context yield) -> void {
  const auto start_ms = record_.NowMs();
  for (const auto& entry : settings_.ready) {
    for (;;) {
      const auto result = Send(context_, entry, {"GET", "/api/readyz", {}, ""},
                               kOperatorTimeout, yield);
      if (result.is_complete && result.status == 200) break;
      if (record_.NowMs() - start_ms > kReadyMaxMs) {
        throw cannot_run("the entry at " + entry.ToString() + " is not ready");
      }
      Pause(kOperatorPause, yield);
    }
  }
  record_.Write("all entries are ready");
  Pause(kConnected, yield);
  record_.Write("all entries are in touch");
}

auto scenario::Request(std::size_t entry, const call& item,
                       const std::string& id, milliseconds timeout,
                       asio::yield_context yield) -> reply {
  auto sent = item;
  sent.headers.emplace_back("Host", kHost);
  sent.headers.emplace_back("X-Lovagedale-Request-Id", id);
  sent.headers.emplace_back("X-Lovagedale-Deadline-Ms",
                            std::to_string(timeout.count()));
  record_.Write("consumer sends " + id + " " + item.method + " " + item.target +
                " to entry " + std::to_string(entry));
  auto result = Send(context_, settings_.consumers.at(entry), sent,
                     timeout + kConsumerSlack, yield);
  record_.Write("consumer gets " + id + ": " +
                (result.is_complete
                     ? std::to_string(result.status) +
                           " signature=" + result.signature + " body=\"" +
                           result.body.substr(0, 60) + "\""
                     : "no answer, " + result.failure) +
                " after " + std::to_string(result.took_ms) + " ms");
  return result;
}

auto scenario::Run(const std::function<int(asio::yield_context)>& play) -> int {
  std::optional<int> code;
  Spawn(context_, [&](asio::yield_context yield) {
    code = play(yield);
    context_.stop();
  });
  context_.run();
  return code.value_or(kNotRun);
}

auto ParseArguments(int argc, char** argv) -> scenario_settings {
  scenario_settings settings;
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    const auto equals = argument.find('=');
    const auto name = argument.substr(0, equals);
    const auto value =
        equals == std::string::npos ? "" : argument.substr(equals + 1);
    if (name == "--control") {
      settings.controls = ParseEndpoints(value);
    } else if (name == "--consumer") {
      settings.consumers = ParseEndpoints(value);
    } else if (name == "--ready") {
      settings.ready = ParseEndpoints(value);
    } else if (name == "--list") {
      settings.list = ParseEndpoints(value).at(0);
    } else if (name == "--replica") {
      settings.replicas = ParseEndpoints(value);
    } else if (name == "--record") {
      settings.record_path = value;
    } else if (name == "--trouble") {
      settings.has_trouble = value != "0";
    } else {
      throw cannot_run("unknown argument " + argument);
    }
  }
  return settings;
}

auto RunMain(int argc, char** argv,
             const std::function<int(scenario&, asio::yield_context)>& play)
    -> int {
  try {
    scenario frame(ParseArguments(argc, argv));
    const auto code = frame.Run(
        [&](asio::yield_context yield) { return play(frame, yield); });
    std::cout << (code == kRuleHeld     ? "the rule held"
                  : code == kRuleBroken ? "the rule was broken"
                                        : "not run")
              << std::endl;
    return code;
  } catch (const std::exception& error) {
    std::cout << "not run: " << error.what() << std::endl;
    return kNotRun;
  }
}

auto route::ToJson() const -> boost::json::object {
  boost::json::object object{{"name", name},
                             {"host", kHost},
                             {"path_prefix", prefix},
                             {"route_type", kind},
                             {"timeout_ms", timeout_ms},
                             {"target_latency_ms", 300},
                             {"priority", 1},
                             {"backend", service},
                             {"max_attempts", max_attempts},
                             {"public", false},
                             {"session_affinity", has_models},
                             {"stream_resume", kind == "streaming"}};
  if (kind == "streaming") object["itl_target_ms"] = 800;
  if (has_models) object["model_tiers"] = {"m0", "m1", "m2"};
  return object;
}

auto MakeConfig(int version, const std::vector<route>& routes,
                const std::vector<std::string>& services,
                const std::vector<tenant>& tenants) -> boost::json::object {
  boost::json::array route_list;
  for (const auto& item : routes) route_list.push_back(item.ToJson());
  boost::json::array service_list;
  for (const auto& name : services) {
    service_list.push_back({{"name", name},
                            {"health_check_path", "/healthz"},
                            {"max_connections", 96},
                            {"protocol", "h1"},
                            {"upstream_tls", false}});
  }
  boost::json::array tenant_list;
  for (const auto& item : tenants) {
    tenant_list.push_back(
        {{"name", item.name},
         {"api_keys", boost::json::array(item.keys.begin(), item.keys.end())},
         {"priority", 1}});
  }
  return {{"version", version},
          {"routes", std::move(route_list)},
          {"backends", std::move(service_list)},
          {"limits",
           {{"max_header_bytes", 16'384},
            {"max_body_bytes", 4'194'304},
            {"header_timeout_ms", 3'000},
            {"idle_timeout_ms", 15'000}}},
          {"tenants", std::move(tenant_list)}};
}

}  // namespace review
