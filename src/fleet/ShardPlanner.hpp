#pragma once

#include "fleet/ShardTable.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace redwing {

/// What shards a server may get beside those that it has.
enum class ShardIntake : std::uint8_t
{
  /// Its part by capacity.
  Fair,
  /// As many as keep its part of the recent traffic within a limit.
  Limited,
  /// None; it keeps those that it has.
  Frozen,
};

/// An instance with a backend server of the planned service.
struct ShardCandidate
{
  std::string instanceId_;
  /// Incarnation of the server that may hold shards; empty if there is none.
  std::string serverIncarnation_;
  /// Relative capacity of the server.
  double capacity_ = 1;
  /// The server accepts new shards; otherwise its shards are moved away.
  bool accepts_ = false;
  ShardIntake intake_ = ShardIntake::Fair;
  /// Limit of ShardIntake::Limited, a part of the service's traffic.
  double limit_ = 0;
};

struct ShardPlannerSettings
{
  /// Share of the total load that is attributed to all shards evenly, whatever their traffic, so
  /// that idle shards are distributed as well.
  double evenShare_ = 0.25;
  /// Shards are moved away from a server whose load exceeds its fair share by this factor.
  double overloadFactor_ = 1.3;
  /// Maximum share of the total load that one rebalancing round moves.
  double moveShare_ = 0.15;
};

/// Decides which instance holds which shards in response to lost, new and leaving servers and to
/// hot key ranges. Shards whose server has restarted stay with its instance, other orphaned shards
/// are reassigned at once, shards of leaving servers by handover, and as few other shards are moved
/// as balancing the load requires.
class ShardPlanner
{
public:
  explicit ShardPlanner(ShardPlannerSettings aSettings = {})
    : settings_(aSettings)
  {
  }

  /// Returns the planned table, which equals aTable if no change is needed. aLoad is the recent
  /// traffic of each shard, or empty. Without aRebalance, shards move only if their server is lost
  /// or leaving; without aAssign, shards without a holder get none.
  ///
  /// Preconditions: aLoad is empty or has as many entries as aTable has shards. Thread safety:
  /// callable from any thread.
  ShardTable Plan(const ShardTable& aTable,
                  std::span<const ShardCandidate> aCandidates,
                  std::span<const double> aLoad,
                  bool aRebalance = true,
                  bool aAssign = true) const;

private:
  ShardPlannerSettings settings_;
};

} // namespace redwing
