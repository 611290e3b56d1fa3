#pragma once

#include "control/FleetState.hpp"
#include "core/Random.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Inputs at the design scale.
namespace redwing::micro {

constexpr std::size_t kInstances = 4000;
constexpr std::uint32_t kShards = 65536;
constexpr std::size_t kDataCentres = 11;
constexpr std::size_t kRegions = 3;
constexpr std::size_t kWorkspaces = 10000;
constexpr const char* kService = "bookings";

/// Returns member number aIndex; racks hold about 16 members.
Member MakeMember(std::size_t aIndex, std::uint64_t aIncarnation = 1048576);

/// Returns the row of aShard under aToken.
ShardRow MakeRow(std::uint32_t aShard, std::uint64_t aToken = 1);

/// Returns the gossip items of all members and rows, as other instances send them.
std::vector<GossipItem> AllItems();

/// Returns the item of a newer version of one row.
GossipItem NewerRow(std::uint32_t aShard, std::uint64_t aToken);

/// Returns a configuration document of nearly 1 MB.
std::string LargeDocument();

} // namespace redwing::micro
