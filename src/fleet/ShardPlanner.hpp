#pragma once

#include "fleet/ShardTable.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace redwing {

/// An instance with a backend server of the planned service.
struct ShardCandidate
{
  std::string instanceId_;
  /// Run of the server that may hold shards; empty if there is none.
  std::string life_;
  /// Relative share of the load that the server can take.
  double capacity_ = 1;
  /// The server takes new shards; otherwise its shards are moved away.
  bool accepts_ = false;
};

struct ShardPlannerSettings
{
  /// Share of the load that is spread evenly over all shards whatever their traffic, so that idle
  /// shards are spread as well.
  double evenShare_ = 0.25;
  /// A server is relieved if its load exceeds its fair share by this factor.
  double overload_ = 1.3;
  /// Part of the whole load that one round of relief moves at the most.
  double moveShare_ = 0.15;
};

/// Decides which instance holds which shards: orphaned shards at once, shards of leaving servers by
/// handover, and as few others as the balance of load needs. It answers lost, new and leaving
/// servers, and hot ranges of keys.
class ShardPlanner
{
public:
  explicit ShardPlanner(ShardPlannerSettings aSettings = {})
    : settings_(aSettings)
  {
  }

  /// Returns the table that aTable should become; equal to it if nothing is to be changed. aLoad
  /// has the recent traffic of each shard, or is empty. Without aRelieve shards move only if their
  /// server is lost or leaves.
  ///
  /// Preconditions: aLoad is empty or has as many entries as aTable has shards. Thread safety:
  /// callable from any thread.
  ShardTable Plan(const ShardTable& aTable,
                  std::span<const ShardCandidate> aCandidates,
                  std::span<const double> aLoad,
                  bool aRelieve = true) const;

private:
  ShardPlannerSettings settings_;
};

} // namespace redwing
