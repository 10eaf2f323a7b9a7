#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>
#include <optional>

#include "lovagedale/common/time.h"
#include "lovagedale/discovery/server_list.h"

namespace lovagedale {

/// Reads the platform's whole list of servers. Throws std::exception if it
/// cannot be had now.
using server_source =
    std::function<std::vector<listed_server>(boost::asio::yield_context yield)>;

/// Reads the list for the whole fleet while this process is the one to do so.
class server_feed {
 public:
  /// `term` tells the term of this process's leadership, or 0 while another
  /// process reads the list. `on_change` is called after each new list.
  server_feed(boost::asio::io_context& context, server_source source,
              std::function<std::uint64_t()> term,
              std::function<void()> on_change);

  auto Start() -> void;
  auto Stop() -> void { stopped_ = true; }
  /// The latest reading of the present term; number 0 before the first.
  auto list() const -> const server_list& { return list_; }

 private:
  auto ReadLoop(boost::asio::yield_context yield) -> void;
  auto ReadOnce(std::uint64_t term, boost::asio::yield_context yield) -> void;

  boost::asio::io_context& context_;
  server_source source_;
  std::function<std::uint64_t()> term_;
  std::function<void()> on_change_;
  server_list list_;
  std::uint64_t list_term_ = 0;
  bool is_failing_ = false;
  bool stopped_ = false;
};

}  // namespace lovagedale
