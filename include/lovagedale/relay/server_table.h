#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "lovagedale/discovery/server_list.h"
#include "lovagedale/relay/server_choice.h"
#include "lovagedale/relay/server_health.h"

namespace lovagedale {

/// A discovered server and what this entry knows of it. Requests under way
/// keep their record alive after the server has left the list.
struct server_record {
  listed_server listed;
  std::uint64_t id_hash = 0;
  std::uint32_t in_flight = 0;
  server_health health;
  bool gone = false;  ///< its address belongs to another server by now
};

using server_handle = std::shared_ptr<server_record>;

/// The discovered servers by service. One thread only.
class server_table {
 public:
  /// Takes the servers of a list; what is known of those that stay is kept.
  auto Update(const server_list& list) -> void;
  auto number() const -> std::uint64_t { return number_; }
  auto Servers(const std::string& service) const
      -> const std::vector<server_handle>&;
  auto All() const -> const std::unordered_map<std::string, server_handle>& {
    return by_id_;
  }

 private:
  std::uint64_t number_ = 0;
  std::unordered_map<std::string, server_handle> by_id_;
  std::map<std::string, std::vector<server_handle>> by_service_;
};


}  // namespace lovagedale
