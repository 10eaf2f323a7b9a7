// A server for tests whose answers are broken in the way that a file names. It
// prints a line for each request. Arguments: port, file.

#include <fstream>
#include <iostream>
#include <map>

#include "raw_server.h"

namespace {

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kBody = "Content-Length: 4\r\n\r\npart";

const std::map<std::string, std::string> kAnswers = {
    {"status", "HTTP/1.1 000 X\r\n" + kBody},
    {"blank_in_name", kOk + "Bad Name: 1\r\n" + kBody},
    {"control_byte_in_name", kOk + "Bad\x01: 1\r\n" + kBody},
    {"folded_line", kOk + "Other: 1\r\n Name: 1\r\n" + kBody},
    {"coding", kOk + "Transfer-Encoding: gzip\r\n" + kBody},
    {"reset", kOk + "\r\npart"},
    {"close", kOk + "\r\npart"},
    {"early", kOk + "Value: caf\xe9\r\n\r\nall of it"}};

}  // namespace

auto main(int argc, char** argv) -> int {
  if (argc != 3) return 2;
  const std::string file = argv[2];
  const auto port = static_cast<std::uint16_t>(std::stoi(argv[1]));
  using lovagedale::testing::raw_server;
  const raw_server server(
      [&](raw_server::peer& client, const std::string&) {
        std::string kind;
        std::ifstream(file) >> kind;
        std::cout << kind << std::endl;
        client.Send(kAnswers.at(kind));
        if (kind == "reset") return client.Reset();
        if (kind == "close") return client.Close();
        client.EndSending();
        client.AwaitClose();
      },
      port);
  std::this_thread::sleep_for(std::chrono::minutes(10));
}
