#pragma once

#include "ownership/ShardRow.hpp"

#include <span>
#include <string>
#include <vector>

/// Order of one region's members in the ring of lease grantors.
namespace redwing {

struct RingMember
{
  InstanceRef ref_;
  std::string dataCentre_;
  std::string rack_;
  std::string region_;
};

/// Returns the members of aRegion in ring order. Any three consecutive members lie in different
/// data centres, or at least racks, where the members allow it. The order depends only on the set
/// of members, and a join or loss changes few neighbours.
///
/// Preconditions: ids are unique. Thread safety: callable from any thread.
std::vector<RingMember> OrderRing(std::span<const RingMember> aMembers, const std::string& aRegion);

} // namespace redwing
