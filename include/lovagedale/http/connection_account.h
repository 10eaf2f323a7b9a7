#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lovagedale/common/time.h"
#include "lovagedale/http/transfer_pace.h"

namespace lovagedale {

/// Which part of a process's limits the connections of a port draw from.
enum class port_class : std::uint8_t {
  kGeneral,   ///< callers, other entries; each port of a control replica
  kReserved,  ///< readiness, metrics and operators of an entry
};
inline constexpr std::size_t kPortClasses = 2;

/// What a connection does, in the order in which connections give way.
enum class connection_phase : std::uint8_t {
  kRefused,    ///< sends a body that is dropped, or requests ahead
  kReading,    ///< no whole request has arrived yet
  kKept,       ///< waits for the next request after an answer
  kAnswering,  ///< the peer has not read an answer yet
  kRunning,    ///< a request runs; never gives way
};

struct port_limits {
  std::size_t max_connections = 0;
  std::size_t max_bytes = 0;

  auto operator==(const port_limits&) const -> bool = default;
};

struct account_limits {
  port_limits general;
  port_limits reserved;

  auto operator==(const account_limits&) const -> bool = default;
};

/// What the choice of the connection that gives way depends on.
struct connection_view {
  std::uint64_t number = 0;  ///< in the order of opening
  connection_phase phase = connection_phase::kReading;
  /// Its address has more than its share, and another address is connected.
  bool is_over_share = false;
  monotonic_ms behind_ms = 0;  ///< see transfer_pace::BehindMs

  auto operator==(const connection_view&) const -> bool = default;
};

/// Whether `first` gives way before `second`: addresses over their share before
/// others, peers without a whole request before known ones, the most idle
/// first, the newest of those. Peers whose body is not kept come before all
/// others of their address.
auto GivesWayBefore(const connection_view& first, const connection_view& second)
    -> bool;

/// Whether a connection may be closed for another one. `needs_idle`: only if it
/// is behind an ordinary peer, also if its address is over its share.
auto MayGiveWay(const connection_view& connection, bool needs_idle) -> bool;

/// Counts of one class of ports.
struct account_counts {
  std::size_t connections = 0;
  std::size_t bytes = 0;
  std::uint64_t closed_for_connections = 0;  ///< gave way to a new one
  std::uint64_t closed_for_bytes = 0;        ///< gave way to others' memory
  std::uint64_t closed_for_descriptors = 0;
  std::uint64_t refused_connections = 0;  ///< new, none could give way
  std::uint64_t refused_requests = 0;     ///< 503, too little memory

  auto operator==(const account_counts&) const -> bool = default;
};

enum class reserve_result : std::uint8_t {
  kGranted,
  kWait,  ///< others have been told to close; ask again shortly
  kRefused,
};

class accounted_connection;

/// One account of the connections of a thread's ports and of the memory that
/// they hold. Bounds both, by letting the connections that matter least give
/// way. Guards against a process that ends because every request is within its
/// limit and their sum is not. Not thread-safe.
class connection_account {
 public:
  /// Memory of a connection itself: the part of its fiber's stack that is in
  /// use, its first buffer and its socket's objects.
  static constexpr std::size_t kConnectionBytes = 24UL << 10U;
  /// Connections that hold less than this beyond kConnectionBytes may use the
  /// last eighth of the memory, so that large bodies do not keep them out.
  static constexpr std::size_t kSmallBytes = 32UL << 10U;
  /// A peer that is less than this behind does not give way.
  static constexpr monotonic_ms kMinBehindMs = 300;

  explicit connection_account(account_limits limits) : limits_(limits) {}
  connection_account(const connection_account&) = delete;
  auto operator=(const connection_account&) -> connection_account& = delete;

  auto limits() const -> const account_limits& { return limits_; }
  auto counts(port_class ports) const -> const account_counts& {
    return part(ports).counts;
  }
  /// Closes the connection of any class that gives way first, to free its
  /// descriptor; false if none may.
  auto FreeDescriptor(monotonic_ms now) -> bool;

 private:
  friend class accounted_connection;

  struct peer_use {
    std::size_t connections = 0;
    std::size_t bytes = 0;
  };
  struct class_part {
    account_counts counts;
    std::size_t large_bytes = 0;    ///< beyond kSmallBytes of each connection
    std::size_t closing_bytes = 0;  ///< of connections told to close
    std::size_t closing_large_bytes = 0;
    std::map<std::string, peer_use, std::less<>> peers;
    std::list<accounted_connection*> open;
  };

  auto part(port_class ports) -> class_part& {
    return parts_[static_cast<std::size_t>(ports)];
  }
  auto part(port_class ports) const -> const class_part& {
    return parts_[static_cast<std::size_t>(ports)];
  }
  auto LimitsOf(port_class ports) const -> const port_limits& {
    return ports == port_class::kGeneral ? limits_.general : limits_.reserved;
  }
  auto IsOverShare(port_class ports, const peer_use& use) const -> bool;
  auto ViewOf(const accounted_connection& connection, monotonic_ms now) const
      -> connection_view;
  /// Closes the one that gives way first; `newcomer` may be null.
  auto CloseOne(port_class ports, const accounted_connection* newcomer,
                monotonic_ms now) -> bool;
  auto CloseForBytes(accounted_connection& wanting, std::size_t bytes,
                     monotonic_ms now) -> bool;
  auto Close(accounted_connection& connection) -> void;

  account_limits limits_;
  std::array<class_part, kPortClasses> parts_;
  std::uint64_t next_number_ = 0;
};

/// One connection in an account, from its acceptance until it is destroyed.
class accounted_connection {
 public:
  /// `close` closes the socket; the connection is destroyed soon afterwards. It
  /// is called at most once and not from the constructor.
  accounted_connection(std::shared_ptr<connection_account> account,
                       port_class ports, const std::string& peer,
                       monotonic_ms now, std::function<void()> close);
  ~accounted_connection();
  accounted_connection(const accounted_connection&) = delete;
  auto operator=(const accounted_connection&) -> accounted_connection& = delete;

  /// False if it must be closed without being served: the limits are reached,
  /// and none may give way to it.
  auto IsAccepted() const -> bool { return is_accepted_; }
  /// Whether it was told to close.
  auto IsClosing() const -> bool { return is_closing_; }
  auto SetPhase(connection_phase phase, monotonic_ms now) -> void;
  /// Bytes that moved in the current phase.
  auto AddProgress(std::size_t bytes, monotonic_ms now) -> void {
    pace_.Add(bytes, now);
  }
  auto pace() const -> const transfer_pace& { return pace_; }
  /// Changes what it holds beyond kConnectionBytes to `bytes`.
  auto Reserve(std::size_t bytes, monotonic_ms now) -> reserve_result;
  /// The same for memory that is in use already; others give way to it.
  auto Charge(std::size_t bytes, monotonic_ms now) -> void;
  auto held_bytes() const -> std::size_t { return held_bytes_; }
  auto CountRefusedRequest() -> void;

 private:
  friend class connection_account;

  auto LargeBytes(std::size_t bytes) const -> std::size_t;
  auto Fits(std::size_t bytes) const -> bool;
  auto SetHeld(std::size_t bytes) -> void;

  std::shared_ptr<connection_account> account_;
  const port_class ports_;
  std::map<std::string, connection_account::peer_use, std::less<>>::iterator
      peer_;
  std::list<accounted_connection*>::iterator position_;
  std::function<void()> close_;
  const std::uint64_t number_;
  connection_phase phase_ = connection_phase::kReading;
  transfer_pace pace_;
  std::size_t held_bytes_ = 0;
  bool is_accepted_ = true;
  bool is_closing_ = false;
};

}  // namespace lovagedale
