#include "lovagedale/http/client.h"

#include <doctest/doctest.h>

#include <vector>

#include "support/raw_server.h"

namespace lovagedale::testing {
namespace {

using std::chrono::milliseconds;
using stage = http_call_error::stage;

/// Well above every deadline in kShort, and well below the time that the
/// endless answers of the tests would take.
constexpr milliseconds kSoon{3'000};

auto ShortDeadlines() -> http_deadlines {
  http_deadlines deadlines;
  deadlines.first_byte = milliseconds(400);
  deadlines.between_reads = milliseconds(300);
  deadlines.body = milliseconds(400);
  return deadlines;
}

/// The end of a call to a server: its answer, or how it failed.
struct call_end {
  std::optional<http_answer> answer;
  std::optional<stage> failed_at;
  bool timed_out = false;
  milliseconds took{0};
};

auto Call(const raw_server& server,
          std::size_t max_body_bytes = kMaxAnswerBytes,
          const http_request& request = {"GET", "/", {}, ""}) -> call_end {
  call_end end;
  const auto started = std::chrono::steady_clock::now();
  try {
    end.answer = BlockingHttpCall("127.0.0.1", server.port(), request,
                                  ShortDeadlines(), max_body_bytes);
  } catch (const http_call_error& error) {
    end.failed_at = error.failure_stage();
    end.timed_out = error.timed_out();
  }
  end.took = std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - started);
  return end;
}

auto Upload(const raw_server& server, std::size_t bytes) -> call_end {
  return Call(server, kMaxAnswerBytes,
              {"POST", "/", {}, std::string(bytes, 'x')});
}

/// The last one does not fit into the buffers of the system, so that it is
/// still being written when the answer comes.
constexpr std::size_t kUploads[] = {300'000, 3'900'000, 32'000'000};

const std::string kOkLine = "HTTP/1.1 200 OK\r\n";

}  // namespace

// Guards against a head that arrives without end holding a call for ever.
TEST_CASE("a head without end fails the call by its deadline") {
  const std::pair<std::string, std::string> heads[] = {
      {"", std::string(1'000, 'x')},               // no end of line
      {kOkLine, "Field: value\r\n"},               // no end of the fields
      {kOkLine + "A: ", std::string(4'096, 'x')},  // no end of a value
  };
  for (const auto& [start, repeated] : heads) {
    for (const auto pause : {milliseconds(0), milliseconds(20)}) {
      CAPTURE(start);
      CAPTURE(pause.count());
      raw_server server([&](raw_server::peer& client, const std::string&) {
        client.Send(start);
        client.SendForever(repeated, pause);
      });
      const auto end = Call(server);
      CHECK(end.failed_at == stage::kSent);
      CHECK(end.took < kSoon);
      CHECK(server.AreScriptsEnded());
    }
  }
}

// Guards against an interim response being taken for the answer.
TEST_CASE("interim responses are skipped") {
  raw_server server([](raw_server::peer& client, const std::string&) {
    client.Send("HTTP/1.1 100 Continue\r\n\r\n");
    client.Send("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n");
    client.Send(kOkLine + "Content-Length: 2\r\n\r\nok");
  });
  const auto end = Call(server);
  REQUIRE(end.answer);
  CHECK(end.answer->head.status == 200);
  CHECK(end.answer->body == "ok");
}

// Guards against interim responses without end holding a call for ever.
TEST_CASE("interim responses without end fail the call by its deadline") {
  for (const auto pause : {milliseconds(0), milliseconds(50)}) {
    raw_server server([&](raw_server::peer& client, const std::string&) {
      client.SendForever("HTTP/1.1 102 Processing\r\n\r\n", pause);
    });
    const auto end = Call(server);
    CHECK(end.failed_at == stage::kSent);
    CHECK(end.took < kSoon);
    CHECK(server.AreScriptsEnded());
  }
}

// Guards against a status that no final answer can have being passed on.
TEST_CASE("a status that is no final one is no answer") {
  for (const auto* status : {"000", "099", "101", "600", "999"}) {
    CAPTURE(status);
    raw_server server([&](raw_server::peer& client, const std::string&) {
      client.Send("HTTP/1.1 " + std::string(status) +
                  " X\r\nContent-Length: 2\r\n\r\nno");
    });
    CHECK(Call(server).failed_at == stage::kSent);
  }
}

// Guards against a body of which each read is in time but which never ends.
TEST_CASE("a body that trickles without end fails the call by its deadline") {
  const std::pair<std::string, std::string> bodies[] = {
      {"\r\n", "x"},
      {"Content-Length: 1000000\r\n\r\n", "x"},
      {"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
      // An extension of a chunk without end.
      {"Transfer-Encoding: chunked\r\n\r\n1;", "x"},
      // Trailer fields without end.
      {"Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
  };
  for (const auto& [start, repeated] : bodies) {
    CAPTURE(start);
    raw_server server([&](raw_server::peer& client, const std::string&) {
      client.Send(kOkLine + start);
      client.SendForever(repeated, milliseconds(20));
    });
    const auto end = Call(server);
    CHECK(end.failed_at == stage::kAnswerBroken);
    CHECK(end.timed_out);
    CHECK(end.took < kSoon);
    CHECK(server.AreScriptsEnded());
  }
}

// Guards against a body that arrives without end filling the memory.
TEST_CASE("a body above the byte limit fails the call at once") {
  constexpr std::size_t kLimit = 100'000;
  const auto block = std::string(10'000, 'x');
  const std::pair<std::string, std::string> bodies[] = {
      {"\r\n", block},
      {"Content-Length: 1000000000000\r\n\r\n", block},
      {"Transfer-Encoding: chunked\r\n\r\n", "2710\r\n" + block + "\r\n"},
      {"Transfer-Encoding: chunked\r\n\r\n1;", block},
      {"Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + block + "\r\n"},
  };
  for (const auto& [start, repeated] : bodies) {
    CAPTURE(start);
    raw_server server([&](raw_server::peer& client, const std::string&) {
      client.Send(kOkLine + start);
      client.SendForever(repeated);
    });
    const auto end = Call(server, kLimit);
    CHECK(end.failed_at == stage::kAnswerBroken);
    CHECK_FALSE(end.timed_out);
    CHECK(end.took < kSoon);
    CHECK(server.AreScriptsEnded());
  }
}

TEST_CASE("a body of exactly the byte limit is an answer") {
  constexpr std::size_t kLimit = 100'000;
  for (const auto bytes : {kLimit, kLimit + 1}) {
    const auto body = std::string(bytes, 'x');
    for (const auto& framing :
         {std::string(), "Content-Length: " + std::to_string(bytes) + "\r\n"}) {
      raw_server server([&](raw_server::peer& client, const std::string&) {
        client.Send(kOkLine + framing + "\r\n" + body);
      });
      CHECK(Call(server, kLimit).answer.has_value() == (bytes == kLimit));
    }
  }
}

// Guards against a reset answer without a length being taken for a whole one.
TEST_CASE("an answer without a length is whole at an orderly end only") {
  for (const bool is_reset : {false, true}) {
    raw_server server([&](raw_server::peer& client, const std::string&) {
      client.Send(kOkLine + "\r\nall of it");
      // A reset would discard bytes that the client has not read.
      std::this_thread::sleep_for(milliseconds(100));
      if (is_reset) client.Reset();
    });
    const auto end = Call(server);
    CHECK(end.answer.has_value() == !is_reset);
    if (is_reset) CHECK(end.failed_at == stage::kAnswerBroken);
  }
}

// Guards against part of an answer being taken for all of it: a reset that is
// reported to the write looks like an orderly end to the read.
TEST_CASE("an answer without a length is broken by a reset during the upload") {
  const std::string heads[] = {kOkLine, "HTTP/1.0 200 OK\r\n",
                               "HTTP/1.1 100 Continue\r\n\r\n" + kOkLine};
  for (const auto& head : heads) {
    for (const auto bytes : kUploads) {
      for (const bool is_close : {false, true}) {
        for (const auto pause : {milliseconds(0), milliseconds(50)}) {
          CAPTURE(head);
          CAPTURE(bytes);
          CAPTURE(is_close);
          CAPTURE(pause.count());
          raw_server server([&](raw_server::peer& client, const std::string&) {
            client.Send(head + "\r\npart of it");
            std::this_thread::sleep_for(pause);
            if (is_close) {
              client.Close();
            } else {
              client.Reset();
            }
          });
          const auto end = Upload(server, bytes);
          CHECK(end.failed_at == stage::kAnswerBroken);
          CHECK_FALSE(end.timed_out);
        }
      }
    }
  }
}

// Guards against sound answers being lost: the end of the answer counts, not
// what happens to the rest of the upload.
TEST_CASE("an answer that ends before the upload is whole") {
  const std::pair<std::string, std::string> answers[] = {
      {kOkLine + "\r\nall of it", "all of it"},
      {kOkLine + "Content-Length: 2\r\n\r\nok", "ok"},
      {kOkLine + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
       "ok"}};
  for (const auto& [answer, body] : answers) {
    for (const auto bytes : kUploads) {
      for (const bool reads_on : {false, true}) {
        raw_server server([&](raw_server::peer& client, const std::string&) {
          client.Send(answer);
          client.EndSending();
          if (reads_on) client.AwaitClose();
          // Otherwise the connection is reset after the end of the answer.
        });
        CAPTURE(answer);
        CAPTURE(bytes);
        CAPTURE(reads_on);
        boost::asio::io_context context(1);
        boost::asio::spawn(
            context,
            [&](boost::asio::yield_context yield) {
              http_connection connection(context, "127.0.0.1", server.port());
              connection.Connect({}, yield);
              connection.Send({"POST", "/", {}, std::string(bytes, 'x')}, {},
                              yield);
              // The end and a reset are both there before the body is read.
              std::this_thread::sleep_for(milliseconds(50));
              CHECK(connection.ReadAll({}, yield) == body);
            },
            [](std::exception_ptr error) { CHECK_FALSE(error); });
        context.run();
      }
    }
  }
}

// Guards against a line that is no field being passed on, or taken for a part
// of the field before it.
TEST_CASE(
    "a blank or a control byte in a name, or a folded line, is no answer") {
  const std::string nul(1, '\0');
  std::vector<std::string> lines = {
      " Name: v",     "\tName: v",  "Na me: v",        "Name : v",  "Name\t: v",
      ": v",          "no colon",   "Na(me: v",        "N\x7f: v",  "N\x80: v",
      "N\r: v",       "N\n: v",     "N: a\rb",         "N: a\nb",   "N: a\x7f",
      "N: a\r\n b:c", "N: \r\n\tb", "N" + nul + ": v", "N: a" + nul};
  for (char control = 1; control < ' '; ++control) {
    lines.push_back(std::string("N") + control + ": v");
    if (control != '\t') lines.push_back(std::string("N: a") + control);
  }
  for (const auto& line : lines) {
    for (const auto& before : {std::string(), std::string("Before: x\r\n")}) {
      CAPTURE(before + line);
      raw_server server([&](raw_server::peer& client, const std::string&) {
        client.Send(kOkLine + before + line +
                    "\r\nContent-Length: 2\r\n\r\nno");
        client.AwaitClose();
      });
      const auto end = Call(server);
      CHECK(end.failed_at == stage::kSent);
      CHECK_FALSE(end.timed_out);
    }
  }
}

// Guards against sound answers being lost to the checks above and below.
TEST_CASE("an unusual but valid head is an answer") {
  const std::string heads[] = {
      kOkLine + "Value: caf\xe9 \xc3\xbc\r\n",
      kOkLine + "Value: a\tb  c\r\n",
      kOkLine + "Value:\r\nOther: \r\n",
      kOkLine + "!#$%&'*+-.^_`|~1: a\r\n",
      kOkLine + "Content-Length: 2\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nContent-Length: 0\r\n"
      "Link:\r\n\r\n" +
          kOkLine,
      "HTTP/1.0 200 OK\r\n",
      "HTTP/1.1 299 \r\n"};
  for (const auto& head : heads) {
    CAPTURE(head);
    raw_server server([&](raw_server::peer& client, const std::string&) {
      client.Send(head + "Content-Length: 2\r\n\r\nok");
    });
    const auto end = Call(server);
    REQUIRE(end.answer);
    CHECK(end.answer->body == "ok");
  }
  const std::string bodiless[] = {
      "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n",
      "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n"};
  for (const auto& head : bodiless) {
    raw_server server([&](raw_server::peer& client, const std::string&) {
      client.Send(head + "\r\n");
    });
    CHECK(Call(server).answer);
  }
}

// Guards against a body other than the server's, where two readers of the head
// can find different lengths.
TEST_CASE("a head that leaves the length of the body open is no answer") {
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string length = "Content-Length: 2\r\n";
  const std::string heads[] = {
      kOkLine + "Content-Length:\r\n",
      kOkLine + "Content-Length: -2\r\n",
      kOkLine + "Content-Length: +2\r\n",
      kOkLine + "Content-Length: 0x2\r\n",
      kOkLine + "Content-Length: 2 2\r\n",
      kOkLine + "Content-Length: 2,3\r\n",
      kOkLine + "Content-Length: 2;\r\n",
      kOkLine + "Content-Length: 18446744073709551616\r\n",
      kOkLine + length + "Content-Length: 3\r\n",
      kOkLine + length + chunked,
      kOkLine + chunked + length,
      kOkLine + chunked + chunked,
      kOkLine + "Transfer-Encoding: gzip\r\n" + length,
      kOkLine + "Transfer-Encoding: gzip\r\n" + chunked,
      kOkLine + "Transfer-Encoding: gzip, chunked\r\n",
      kOkLine + "Transfer-Encoding: chunked, gzip\r\n",
      kOkLine + "Transfer-Encoding: identity\r\n",
      kOkLine + "Transfer-Encoding: xchunked\r\n",
      "HTTP/1.0 200 OK\r\n" + chunked,
      "HTTP/1.1 204 No Content\r\n" + length,
      "HTTP/1.1 204 No Content\r\n" + chunked,
      "HTTP/1.1 100 Continue\r\nContent-Length: 45\r\n",
      "HTTP/1.1 103 Early Hints\r\n" + chunked};
  for (const auto& head : heads) {
    CAPTURE(head);
    raw_server server([&](raw_server::peer& client, const std::string&) {
      client.Send(head + "\r\n2\r\nno\r\n0\r\n\r\n" + kOkLine + length +
                  "\r\nno");
      // A reset would discard the answer before it is read.
      std::this_thread::sleep_for(milliseconds(20));
    });
    CHECK(Call(server).failed_at == stage::kSent);
  }
}

// Guards against part of an answer being taken for all of it, and against the
// end of the process by a last chunk that arrives in pieces.
TEST_CASE("an answer is whole in any pieces, and broken without its end") {
  const auto chunked = kOkLine + "Transfer-Encoding: chunked\r\n\r\n";
  const std::pair<std::string, std::string> answers[] = {
      {kOkLine + "Content-Length: 2\r\n\r\nok", "ok"},
      {chunked + "1\r\no\r\n1;a=b\r\nk\r\n0\r\nTrailer: x\r\n\r\n", "ok"},
      {chunked + "0\r\n\r\n", ""},
      {"HTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 204 OK\r\nA: b\r\n\r\n",
       ""}};
  for (const auto& [answer, body] : answers) {
    CAPTURE(answer);
    raw_server whole([&](raw_server::peer& client, const std::string&) {
      for (const char byte : answer) {
        client.Send({byte});
        std::this_thread::sleep_for(milliseconds(1));
      }
    });
    const auto end = Call(whole);
    REQUIRE(end.answer);
    CHECK(end.answer->body == body);
    for (std::size_t cut = 1; cut < answer.size(); ++cut) {
      CAPTURE(cut);
      raw_server broken([&](raw_server::peer& client, const std::string&) {
        client.Send(answer.substr(0, cut));
      });
      CHECK_FALSE(Call(broken).answer);
    }
  }
}

// Guards against bytes after an answer being read as part of the next one.
TEST_CASE("a connection with bytes after its answer is not reused") {
  for (const bool is_later : {false, true}) {
    raw_server server([&](raw_server::peer& client, const std::string&) {
      const auto answer = kOkLine + "Content-Length: 2\r\n\r\nok";
      if (is_later) {
        client.Send(answer);
        std::this_thread::sleep_for(milliseconds(50));
        client.SendForever("more");
      } else {
        client.Send(answer + "more");
        client.AwaitClose();
      }
    });
    boost::asio::io_context context(1);
    bool is_usable = true;
    boost::asio::spawn(
        context,
        [&](boost::asio::yield_context yield) {
          http_connection connection(context, "127.0.0.1", server.port());
          connection.Connect({}, yield);
          connection.Send({"GET", "/", {}, ""}, {}, yield);
          CHECK(connection.ReadAll({}, yield) == "ok");
          std::this_thread::sleep_for(milliseconds(200));
          is_usable = connection.IsReusable() && !connection.IsStale();
        },
        [](std::exception_ptr error) { CHECK_FALSE(error); });
    context.run();
    CHECK_FALSE(is_usable);
    CHECK(server.AreScriptsEnded());
  }
}

}  // namespace lovagedale::testing
