#include <algorithm>

#include "lovagedale/replication/messages.h"

namespace lovagedale {

auto member_set::Find(const std::string& name) const -> const replica_member* {
  const auto found =
      std::find_if(members.begin(), members.end(),
                   [&](const auto& member) { return member.name == name; });
  return found == members.end() ? nullptr : &*found;
}

auto member_set::IsVoter(const std::string& name,
                         incarnation_id incarnation) const -> bool {
  const auto* member = Find(name);
  return member != nullptr && member->voter &&
         member->incarnation == incarnation;
}

auto member_set::VoterCount() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(),
                    [](const auto& member) { return member.voter; }));
}

auto member_set::Without(const std::string& name) const -> member_set {
  auto copy = *this;
  std::erase_if(copy.members,
                [&](const auto& member) { return member.name == name; });
  return copy;
}

auto member_set::With(const replica_member& member) const -> member_set {
  auto copy = *this;
  for (auto& existing : copy.members) {
    if (existing.name == member.name) {
      existing = member;
      return copy;
    }
  }
  copy.members.push_back(member);
  return copy;
}

}  // namespace lovagedale
