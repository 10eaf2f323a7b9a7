#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>

#include "formats/samples.h"
#include "lovagedale/billing/bill_store.h"
#include "lovagedale/common/codec.h"
#include "lovagedale/configuration/control_machine.h"
#include "lovagedale/replication/errors.h"
#include "lovagedale/replication/log_store.h"
#include "support/temporary_folder.h"

namespace lovagedale {
namespace {

namespace fs = std::filesystem;
using testing::ForEachSample;
using testing::ForEachSampleOf;
using testing::MakeSample;

auto SamplesOf(format_number format) -> fs::path {
  return fs::path(FORMAT_SAMPLES) / std::to_string(format);
}

auto ReadBytes(const fs::path& path) -> std::string {
  std::ifstream in(path, std::ios::binary);
  REQUIRE_MESSAGE(in.good(), path.string());
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

/// A message as a build of the next format writes it: with a field that this
/// build does not know.
template <typename Message>
auto EncodeAsNextFormat(const Message& message, format_number oldest_reader)
    -> std::string {
  const added_fields added{{60'000, "a value of the next format"}};
  auto bytes = EncodeFixed(message) + EncodeFixed(added);
  return bytes +=
         EncodeFormatFooter({kFormat + 1, oldest_reader}, bytes.size());
}

/// Puts a copy of the stored data folder of a format into `target`.
auto CopyDataFolder(format_number format, const std::string& target) -> void {
  fs::copy(SamplesOf(format) / "data", target, fs::copy_options::recursive);
}

struct extended_message {
  std::uint32_t count = 0;
  std::string note;

  auto AddedFields() const -> added_fields {
    if (note.empty()) return {};
    return {{1, EncodeFixed(note)}};
  }
  auto SetAddedFields(const added_fields& fields) -> void {
    const auto found = fields.find(1);
    if (found != fields.end()) note = DecodeFixed<std::string>(found->second);
  }
  template <typename Archive>
  auto serialize(Archive& archive) -> void {
    archive(count);
  }
};

}  // namespace

// Guards against a build that cannot read what an earlier build has sent or
// stored.
TEST_CASE("messages and items of each released format decode") {
  for (format_number format = kFirstFormat; format <= kFormat; ++format) {
    CAPTURE(format);
    ForEachSampleOf(format, [&](const std::string& name, const auto& sample) {
      CAPTURE(name);
      using message = std::remove_cvref_t<decltype(sample)>;
      const auto stored = ReadBytes(SamplesOf(format) / (name + ".bin"));
      const auto decoded = DecodeWithFormat<message>(stored);
      CHECK(decoded.footer.written == format);
      CHECK(EncodeFixed(decoded.message) == EncodeFixed(sample));
      CHECK(AddedFieldsOf(decoded.message) == AddedFieldsOf(sample));
    });
  }
}

// Guards against a field that is added to a message without a new format.
TEST_CASE("messages of this format are encoded as they were released") {
  ForEachSampleOf(kFormat, [&](const std::string& name, const auto& sample) {
    CAPTURE(name);
    CHECK(Encode(sample) == ReadBytes(SamplesOf(kFormat) / (name + ".bin")));
  });
}

// Guards against an added field that is written under one number and read under
// another.
TEST_CASE("added fields of this format are read back") {
  auto update = MakeSample<view_update>();
  testing::AddFieldsOf(kFormat, update);
  const auto update_bytes = ReadBytes(SamplesOf(4) / "view_update.bin");
  CHECK(Decode<view_update>(update_bytes).cold_limits == update.cold_limits);
  auto response = MakeSample<heartbeat_response>();
  testing::AddFieldsOf(kFormat, response);
  const auto bytes = ReadBytes(SamplesOf(4) / "heartbeat_response.bin");
  CHECK(Decode<heartbeat_response>(bytes).cold_servers ==
        response.cold_servers);
  // From a build of format 3.
  const auto former_bytes = ReadBytes(SamplesOf(3) / "view_update.bin");
  CHECK_FALSE(Decode<view_update>(former_bytes).cold_limits);
}

// Guards against an added field that is sent but not read, or the reverse.
TEST_CASE("added fields of this format survive a round trip") {
  ForEachSampleOf(kFormat, [&](const std::string& name, const auto& sample) {
    CAPTURE(name);
    using message = std::remove_cvref_t<decltype(sample)>;
    const auto bytes = Encode(sample);
    CHECK(Encode(Decode<message>(bytes)) == bytes);
  });
}

// Builds without formats read the fixed fields and ignore what follows.
TEST_CASE("messages begin with the bytes of the first format") {
  ForEachSample(
      [&](const std::string& name, const auto& sample) {
        CAPTURE(name);
        const auto first = ReadBytes(SamplesOf(kFirstFormat) / (name + ".bin"));
        CHECK(Encode(sample).starts_with(first));
      },
      kFormat);
}

TEST_CASE("fields of a later format are skipped") {
  ForEachSampleOf(kFormat, [&](const std::string& name, const auto& sample) {
    CAPTURE(name);
    using message = std::remove_cvref_t<decltype(sample)>;
    const auto decoded =
        DecodeWithFormat<message>(EncodeAsNextFormat(sample, kFirstFormat));
    CHECK(decoded.footer.written == kFormat + 1);
    CHECK(EncodeFixed(decoded.message) == EncodeFixed(sample));
  });
}

TEST_CASE("a message that needs a later format is refused with both formats") {
  const auto bytes =
      EncodeAsNextFormat(MakeSample<join_request>(), kFormat + 1);
  try {
    Decode<join_request>(bytes);
    FAIL("decoded");
  } catch (const codec_error& error) {
    const std::string text = error.what();
    CHECK(text.find("format " + std::to_string(kFormat + 1)) !=
          std::string::npos);
    CHECK(text.find("with format " + std::to_string(kFormat)) !=
          std::string::npos);
  }
}

TEST_CASE("added fields reach a reader that knows them, and only when set") {
  const extended_message sent{3, "new"};
  CHECK(Decode<extended_message>(Encode(sent)).note == "new");
  CHECK(Decode<extended_message>(Encode(extended_message{3, ""})).note.empty());
  CHECK(Encode(extended_message{3, ""}).size() ==
        EncodeFixed(sent).size() + kFormatFooterBytes);
  using either = std::variant<join_request, extended_message>;
  const auto received = Decode<either>(Encode(either(sent)));
  CHECK(std::get<extended_message>(received).note == "new");
}

// Guards against a ledger of this build that does not start on the log of one
// of the first format, in which the last command came from this build.
TEST_CASE("an item of the first format may end with one of this format") {
  const auto command = Encode(control_command(register_node{"e0", "akl-a"}));
  const log_batch batch{{}, {}, {{1, 1, entry_kind::kCommand, command}}};
  const auto decoded = DecodeWithFormat<log_batch>(EncodeFixed(batch));
  CHECK(decoded.footer.written == kFirstFormat);
  CHECK(decoded.message.entries.front().payload == command);
  const auto body = EncodeFixed(ledger_request(replica_envelope{
      "l0", 1, "akl-a", "l1", append_request{1, 0, 0, 0, 0, batch.entries}}));
  CHECK(DecodeWithFormat<ledger_request>(body).footer.written == kFirstFormat);
}

// Guards against a damaged length that makes the process allocate memory until
// it is killed.
TEST_CASE("a length beyond the end of the message is refused") {
  auto bytes = EncodeFixed(std::vector<std::string>{"a", "b"});
  bytes[1 + 7] = 1;  // The vector's length is now 2 + 2^56.
  CHECK_THROWS_AS(DecodeFixed<std::vector<std::string>>(bytes), codec_error);
  auto numbers = EncodeFixed(std::vector<std::uint64_t>{1, 2});
  numbers[1 + 3] = 16;  // 2 + 2^28 elements.
  CHECK_THROWS_AS(DecodeFixed<std::vector<std::uint64_t>>(numbers),
                  codec_error);
}

TEST_CASE("a message that is cut at any byte is refused or decodes") {
  ForEachSampleOf(kFormat, [&](const std::string& name, const auto& sample) {
    CAPTURE(name);
    using message = std::remove_cvref_t<decltype(sample)>;
    for (const auto& bytes :
         {Encode(sample), EncodeAsNextFormat(sample, kFirstFormat)}) {
      for (std::size_t length = 0; length < bytes.size(); ++length) {
        try {
          Decode<message>(bytes.substr(0, length));
        } catch (const codec_error&) {
          // Refused.
        }
      }
    }
  });
}

TEST_CASE("a message with noise is refused or decodes") {
  ForEachSampleOf(kFormat, [&](const std::string& name, const auto& sample) {
    CAPTURE(name);
    using message = std::remove_cvref_t<decltype(sample)>;
    const auto good = EncodeAsNextFormat(sample, kFirstFormat);
    const bool holds = rc::check(name, [&](std::uint32_t seed) {
      std::mt19937 random(seed);
      auto bytes = good;
      const auto changes = 1 + random() % 4;
      for (std::size_t i = 0; i < changes; ++i) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
      }
      try {
        Decode<message>(bytes);
      } catch (const codec_error&) {
        // Refused.
      }
    });
    CHECK(holds);
  });
}

TEST_CASE("a data folder of each released format opens without loss") {
  for (format_number format = kFirstFormat; format <= kFormat; ++format) {
    CAPTURE(format);
    testing::temporary_folder folder;
    const auto path = folder.path() + "/data";
    CopyDataFolder(format, path);
    posix_disk disk;
    log_store store(disk, path);
    const auto& recovered = store.recovered();
    CHECK(store.required_format() == kFirstFormat);
    CHECK(recovered.hard == hard_state{3, "c1"});
    CHECK(recovered.snapshot.members.VoterCount() == 3);
    REQUIRE(recovered.entries.size() == 1);
    control_machine machine;
    machine.Restore(recovered.snapshot.state);
    CHECK(machine.view().routes == testing::MakeRoutes());
    CHECK(machine.entries().contains("e0"));
    CHECK(machine.FindRecord("first") != nullptr);
    machine.Apply(recovered.entries.front());
    CHECK(machine.entries().empty());

    basic_bill_store<posix_disk> bills(disk, path, /*store_id=*/7, {});
    CHECK(bills.record_count() == 2);
    const auto page = bills.ReadPage(bill_source::kEntry, {}, 10);
    CHECK(page.records == MakeSample<bill_batch>().records);
    CHECK(bills.recovered_progress().at("l1") ==
          MakeSample<exchange_progress>());
  }
}

TEST_CASE("a folder that needs a later format is refused and left as it is") {
  testing::temporary_folder folder;
  const auto path = folder.path() + "/data";
  CopyDataFolder(kFormat, path);
  posix_disk disk;
  ReplaceFile(disk, path, kIdentityFile, EncodeIdentity(1, kFormat + 1));
  const auto files = [&] {
    std::map<std::string, std::string> contents;
    for (const auto& file : fs::directory_iterator(path)) {
      contents[file.path().filename()] = ReadBytes(file.path());
    }
    return contents;
  };
  const auto before = files();
  CHECK_THROWS_AS(log_store(disk, path), storage_error);
  CHECK(files() == before);
}

TEST_CASE("a folder says which format it needs after a restart") {
  testing::temporary_folder folder;
  posix_disk disk;
  const auto path = folder.path() + "/data";
  InitializeDataFolder(path, {"c0"});
  {
    log_store store(disk, path);
    CHECK(store.required_format() == kFirstFormat);
    store.RequireFormat(kFormat);
  }
  log_store store(disk, path);
  CHECK(store.required_format() == kFormat);
  CHECK(store.recovered().snapshot.members.VoterCount() == 1);
}

// Guards against replicas of two builds whose states differ after the same log.
TEST_CASE("control's state has the first format's bytes until a raise") {
  const auto snapshot =
      ReadSingleBatch((SamplesOf(kFirstFormat) / "data" / "snapshot").string());
  REQUIRE(snapshot);
  const auto state = Decode<log_snapshot>(*snapshot).state;
  control_machine machine;
  machine.Restore(state);
  CHECK(machine.TakeSnapshot() == state);

  machine.Apply({9, 3, entry_kind::kCommand,
                 Encode(control_command(raise_fleet_format{kFormat}))});
  CHECK(machine.RequiredFormat() == kFormat);
  control_machine restored;
  restored.Restore(machine.TakeSnapshot());
  CHECK(restored.RequiredFormat() == kFormat);
  CHECK(restored.view().routes == machine.view().routes);
  machine.Apply({10, 3, entry_kind::kCommand,
                 Encode(control_command(raise_fleet_format{kFirstFormat}))});
  CHECK(machine.RequiredFormat() == kFormat);
}

TEST_CASE("a command of the log that this build does not know ends it") {
  control_machine machine;
  auto bytes = EncodeFixed(control_command(raise_fleet_format{kFormat}));
  bytes[1] = 4;  // The variant's index.
  bytes += EncodeFormatFooter({kFormat + 1, kFormat + 1}, bytes.size());
  CHECK_THROWS_AS(machine.Apply({1, 1, entry_kind::kCommand, bytes}),
                  codec_error);
}

}  // namespace lovagedale
