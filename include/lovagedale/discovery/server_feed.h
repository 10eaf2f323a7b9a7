#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>
#include <optional>

#include "lovagedale/common/time.h"
#include "lovagedale/discovery/list_changes.h"
#include "lovagedale/discovery/server_list.h"

namespace lovagedale {

/// Reads the platform's complete list of servers. Throws std::exception if it
/// is not available.
using server_source =
    std::function<std::vector<listed_server>(boost::asio::yield_context yield)>;

/// Polls the server list on behalf of all entries while this process is the
/// leader.
class server_feed {
 public:
  /// `term` returns the term in which this process is the leader, or 0 while it
  /// is not. `on_change` is called whenever the list has changed.
  server_feed(boost::asio::io_context& context, server_source source,
              std::function<std::uint64_t()> term,
              std::function<void()> on_change);

  auto Start() -> void;
  auto Stop() -> void { stopped_ = true; }
  /// The latest list that was read; its number is 0 before the first one.
  auto list() const -> const server_list& { return list_; }
  /// What an entry that holds the list `number` needs to have the latest.
  auto UpdateFrom(std::uint64_t number) const -> server_list_update {
    return changes_.UpdateFrom(number);
  }

 private:
  auto ReadLoop(boost::asio::yield_context yield) -> void;
  auto ReadOnce(std::uint64_t term, boost::asio::yield_context yield) -> void;

  boost::asio::io_context& context_;
  server_source source_;
  std::function<std::uint64_t()> leadership_term_;
  std::function<void()> on_change_;
  system_monotonic_clock clock_;
  server_list list_;
  server_list_changes changes_;
  std::uint64_t list_term_ = 0;
  bool is_failing_ = false;
  bool stopped_ = false;
};

}  // namespace lovagedale
