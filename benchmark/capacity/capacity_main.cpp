// Measures how the cost of each role grows with its load, at several sizes,
// and extrapolates to the size in docs/CAPACITY.md. Prints a table: the points,
// the slope by least squares, the largest residual and the figure at full size.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <malloc.h>
#include <sys/resource.h>

#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lovagedale/billing/bill_store.h"
#include "lovagedale/claim/claim_machine.h"
#include "lovagedale/common/codec.h"
#include "lovagedale/common/hash.h"
#include "lovagedale/configuration/control_machine.h"
#include "lovagedale/configuration/in_force.h"
#include "lovagedale/control/messages.h"
#include "lovagedale/ledger/messages.h"
#include "scale/scale_fleet.h"
#include "support/temporary_folder.h"

ABSL_FLAG(bool, sizes_only, false,
          "only the figures that do not depend on the clock");

namespace lovagedale::benchmark {
namespace {

constexpr double kMicrosPerSecond = 1e6;

auto CpuMicros() -> double {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  const auto micros = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) * kMicrosPerSecond +
           static_cast<double>(time.tv_usec);
  };
  return micros(usage.ru_utime) + micros(usage.ru_stime);
}

auto HeapBytes() -> double {
  return static_cast<double>(::mallinfo2().uordblks) +
         static_cast<double>(::mallinfo2().hblkhd);
}

struct measured_point {
  double size = 0;
  double value = 0;
};

/// Least-squares line through the points.
struct fitted_line {
  double intercept = 0;
  double slope = 0;
  double largest_residual = 0;  ///< relative to the largest value
};

auto Fit(const std::vector<measured_point>& points) -> fitted_line {
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  double top = 0;
  for (const auto& point : points) {
    sx += point.size;
    sy += point.value;
    sxx += point.size * point.size;
    sxy += point.size * point.value;
    top = std::max(top, point.value);
  }
  const auto n = static_cast<double>(points.size());
  fitted_line line;
  line.slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  line.intercept = (sy - line.slope * sx) / n;
  for (const auto& point : points) {
    const auto error =
        std::abs(point.value - line.intercept - line.slope * point.size);
    line.largest_residual = std::max(line.largest_residual, error / top);
  }
  return line;
}

auto Report(const std::string& name, const std::string& unit,
            const std::vector<measured_point>& points, double full_size)
    -> void {
  const auto line = Fit(points);
  std::printf("%-34s", name.c_str());
  for (const auto& point : points) {
    std::printf(" %g:%.4g", point.size, point.value);
  }
  std::printf("  slope %.4g residual %.1f%%  at %g: %.4g %s\n", line.slope,
              100 * line.largest_residual, full_size,
              line.intercept + line.slope * full_size, unit.c_str());
}

using measure = std::function<double(std::size_t)>;

auto Sweep(const std::string& name, const std::string& unit,
           const std::vector<std::size_t>& sizes, double full_size,
           const measure& at) -> void {
  std::vector<measured_point> points;
  for (const auto size : sizes) {
    points.push_back({static_cast<double>(size), at(size)});
  }
  Report(name, unit, points, full_size);
}

/// Processor time of one call, in microseconds, as the mean of many.
auto MicrosPerCall(std::size_t calls, const std::function<void()>& call)
    -> double {
  const auto before = CpuMicros();
  for (std::size_t i = 0; i < calls; ++i) call();
  return (CpuMicros() - before) / static_cast<double>(calls);
}

auto Heartbeat(std::size_t node) -> entry_heartbeat {
  entry_heartbeat heartbeat;
  heartbeat.node = "entry-" + std::to_string(node);
  heartbeat.zone = "zone-" + std::to_string(node % 7);
  heartbeat.incarnation = node + 1;
  heartbeat.revision = 1;
  return heartbeat;
}

/// What the leader does in a second for the heartbeats of `nodes` entries.
auto LeaderMicrosPerSecond(std::size_t nodes) -> double {
  propagation_tracker tracker(0);
  std::map<std::string, register_node> registered;
  for (std::size_t i = 0; i < nodes; ++i) {
    const auto heartbeat = Heartbeat(i);
    registered[heartbeat.node] = {heartbeat.node, heartbeat.zone};
  }
  constexpr std::size_t kSeconds = 20;
  return MicrosPerCall(kSeconds, [&] {
    for (std::size_t i = 0; i < nodes; ++i) {
      const auto body = Encode(control_request(Heartbeat(i)));
      const auto request = Decode<control_request>(body);
      const auto& heartbeat = std::get<entry_heartbeat>(request);
      tracker.RecordHeartbeat(heartbeat.node, heartbeat.incarnation,
                              heartbeat.revision, 1);
      heartbeat_response response;
      response.is_leader = true;
      response.permit_ms = kPermitLifetimeMs;
      Encode(response);
    }
    tracker.StatusOf(1, false, registered, 1);
  });
}

/// Of the responses that bring a configuration, in parts.
auto ViewBytes(std::size_t servers) -> double {
  update_part_source source;
  update_assembler assembler;
  const auto view = MakeFleetView({servers, 13, 10});
  std::size_t bytes = 0;
  for (bool is_complete = false; !is_complete;) {
    heartbeat_response response;
    response.update_bytes =
        source.PartFor(view, {{}, assembler.progress()}, /*now=*/0);
    bytes += Encode(response).size();
    is_complete = assembler.Add(*response.update_bytes).has_value();
  }
  return static_cast<double>(bytes);
}

auto TableBytes(std::size_t servers) -> double {
  const auto view = MakeFleetView({servers, 13, 10});
  ::malloc_trim(0);
  const auto before = HeapBytes();
  server_registry registry;
  const routing_table table(view, "zone-0", registry);
  return HeapBytes() - before;
}

auto PrefixIndexBytes(std::size_t entries) -> double {
  ::malloc_trim(0);
  const auto before = HeapBytes();
  prefix_index index(entries);
  for (std::size_t i = 0; i < entries; ++i) {
    const auto hash = MixBits(i);
    index.Record(static_cast<server_id>(i % 600), std::span(&hash, 1));
  }
  return HeapBytes() - before;
}

auto ControlStateBytes(std::size_t changes) -> double {
  ::malloc_trim(0);
  const auto before = HeapBytes();
  control_machine machine;
  for (std::size_t i = 0; i < changes; ++i) {
    const change item{"change-" + std::to_string(i), kAnyRevision, "operator",
                      0, lift_quarantine{i}};
    machine.Apply(
        {i + 1, 1, entry_kind::kCommand, Encode(control_command(item))});
  }
  return HeapBytes() - before;
}

auto Bill(std::size_t number) -> bill_record {
  bill_record bill;
  bill.request_id = "entry-akl-a-4b8bec52-0-" + std::to_string(number);
  bill.customer = "coconut-carts";
  bill.version = "scholar@2";
  bill.entry = "entry-akl-a";
  bill.status = bill_status::kComplete;
  bill.output_tokens = number;
  return bill;
}

constexpr std::size_t kBillsPerBatch = 20;

auto BillBatch(std::size_t first) -> bill_batch {
  bill_batch batch;
  for (std::size_t i = 0; i < kBillsPerBatch; ++i) {
    batch.records.push_back(Bill(first + i));
  }
  return batch;
}

/// A ledger's work for `bills` bills, that come in batches.
auto BillMicros(std::size_t bills) -> double {
  testing::temporary_folder folder;
  posix_disk disk;
  bill_store store(disk, folder.path(), 1);
  const auto before = CpuMicros();
  for (std::size_t i = 0; i < bills; i += kBillsPerBatch) {
    const auto request =
        Decode<ledger_request>(Encode(ledger_request(BillBatch(i))));
    store.Add(std::get<bill_batch>(request).records);
  }
  return CpuMicros() - before;
}

auto BillHeapBytes(std::size_t bills) -> double {
  testing::temporary_folder folder;
  posix_disk disk;
  ::malloc_trim(0);
  const auto before = HeapBytes();
  bill_store store(disk, folder.path(), 1);
  for (std::size_t i = 0; i < bills; i += kBillsPerBatch) {
    store.Add(BillBatch(i).records);
  }
  return HeapBytes() - before;
}

/// Processor time of one part of a report, a pass over all files.
auto BillReportMicros(std::size_t bills) -> double {
  testing::temporary_folder folder;
  posix_disk disk;
  bill_store store(disk, folder.path(), 1);
  std::vector<bill_record> batch;
  for (std::size_t i = 0; i < bills; ++i) batch.push_back(Bill(i));
  store.Add(batch);
  const auto before = CpuMicros();
  ReadBills(store.view(), {"", 0, 16});
  return CpuMicros() - before;
}

auto BillWireBytes(std::size_t bills) -> double {
  bill_batch batch;
  for (std::size_t i = 0; i < bills; ++i) batch.records.push_back(Bill(i));
  return static_cast<double>(Encode(ledger_request(batch)).size());
}

auto Claim(std::size_t number) -> claim_command {
  return begin_claim{{"coconut-carts", "order-" + std::to_string(number)},
                     number,
                     "entry-akl-a-4b8bec52-0-" + std::to_string(number),
                     0};
}

auto ClaimMicros(std::size_t claims) -> double {
  claim_machine machine;
  const auto before = CpuMicros();
  for (std::size_t i = 0; i < claims; ++i) {
    machine.Apply({i + 1, 1, entry_kind::kCommand, Encode(Claim(i))});
  }
  return CpuMicros() - before;
}

auto ClaimHeapBytes(std::size_t claims) -> double {
  ::malloc_trim(0);
  const auto before = HeapBytes();
  claim_machine machine;
  for (std::size_t i = 0; i < claims; ++i) machine.Decide(Claim(i));
  return HeapBytes() - before;
}

auto EvidenceBytes(std::size_t rows) -> double {
  heartbeat_response response;
  for (std::size_t i = 0; i < rows; ++i) {
    response.evidence[{"kokonati-scholar@2", "class-" + std::to_string(i), 1}] =
        {1'000, 5, 50, 30, 30};
  }
  return static_cast<double>(Encode(response).size());
}

auto HeartbeatBytesPerSecond(std::size_t control_replicas) -> double {
  // Both directions, answers included, once a second to each replica.
  const auto request = Encode(control_request(Heartbeat(359))).size();
  heartbeat_response response;
  response.leader = "control-akl-a";
  const auto answer = Encode(response).size();
  constexpr double kFramesAndPackets = 2 * (13 + 40);
  return static_cast<double>(control_replicas) *
         (static_cast<double>(request + answer) + kFramesAndPackets);
}

}  // namespace
}  // namespace lovagedale::benchmark

auto main(int argc, char** argv) -> int {
  using namespace lovagedale::benchmark;  // NOLINT: a program's main file.
  absl::SetProgramUsageMessage("Measures what each role costs by size.");
  absl::ParseCommandLine(argc, argv);
  Sweep("control.heartbeat_bytes_per_s", "B/s per entry", {3, 5, 7}, 7,
        HeartbeatBytesPerSecond);
  Sweep("control.view_bytes", "B per change and entry", {60, 200, 600}, 600,
        ViewBytes);
  Sweep("control.evidence_bytes", "B per message", {50, 200, 500}, 500,
        EvidenceBytes);
  Sweep("ledger.bill_wire_bytes", "B at 1 s of 4,400/s", {100, 1'000, 4'000},
        4'400, BillWireBytes);
  Sweep("entry.routing_table_bytes", "B", {60, 200, 600}, 600, TableBytes);
  Sweep("entry.prefix_index_bytes", "B", {20'000, 50'000, 200'000}, 200'000,
        PrefixIndexBytes);
  Sweep("control.state_bytes", "B at 20,000 kept changes",
        {2'000, 6'000, 20'000}, 20'000, ControlStateBytes);
  Sweep("ledger.bill_heap_bytes", "B at one hour of 4,400/s",
        {40'000, 100'000, 200'000}, 4'400.0 * 3'600, BillHeapBytes);
  Sweep("ledger.claim_heap_bytes", "B at 6 h of 100/s",
        {10'000, 50'000, 200'000}, 100.0 * 6 * 3'600, ClaimHeapBytes);
  if (absl::GetFlag(FLAGS_sizes_only)) return 0;
  Sweep("control.leader_us_per_s", "us of processor time a second",
        {60, 180, 360}, 360, LeaderMicrosPerSecond);
  Sweep("ledger.bill_us", "us for 1 s of 4,400/s", {2'000, 10'000, 40'000},
        4'400, BillMicros);
  Sweep("ledger.bill_report_us", "us for a report over one hour of 4,400/s",
        {20'000, 50'000, 200'000}, 4'400.0 * 3'600, BillReportMicros);
  Sweep("ledger.claim_us", "us for 1 s of 440/s", {2'000, 10'000, 40'000}, 440,
        ClaimMicros);
  return 0;
}
