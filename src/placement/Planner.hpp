#pragma once

#include "ownership/ShardRow.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <variant>
#include <vector>

/// Placement of shards on instances.
namespace redwing {

/// An instance that may own shards of the service being planned.
struct Candidate
{
  InstanceRef ref_;
  std::string dataCentre_;
  std::string rack_;
  /// Weight of the instance when load is distributed, usually its slots; with 0 it gets no shards.
  double capacity_ = 0;
  /// False while the instance leaves or drains, or its data centre is withdrawn; its shards are
  /// then moved to other instances.
  bool acceptsShards_ = true;

  bool operator==(const Candidate&) const = default;
};

/// A shard and its load, as input of the planner.
struct PlannedShard
{
  ShardRow row_;
  /// Requests per second, or 0 if unknown.
  double load_ = 0;
};

/// Assigns a shard without owner to target_. An empty successor_ means that there is none.
struct AssignShard
{
  ShardId shard_;
  InstanceRef target_;
  InstanceRef successor_;
};

/// Makes owner_ hand the shard over to target_.
struct MoveShard
{
  ShardId shard_;
  InstanceRef owner_;
  InstanceRef target_;
  /// Reason of the move, for the log.
  std::string reason_;
};

/// Makes owner_ record another successor.
struct ChangeSuccessor
{
  ShardId shard_;
  InstanceRef owner_;
  InstanceRef successor_;
};

using PlanStep = std::variant<AssignShard, MoveShard, ChangeSuccessor>;

/// Limits on the moves of one planning round.
struct PlannerLimits
{
  /// Maximum moves per round away from each instance that accepts no shards.
  std::size_t evacuationsPerSource_ = 8;
  /// Maximum moves per round that balance the load.
  std::size_t balanceMoves_ = 2;
  /// The load is balanced while the largest relative load exceeds the mean by this factor.
  double imbalance_ = 1.25;
};

/// Plans the placement of the shards of one keyed service, in rounds. A round first assigns unowned
/// shards, then moves shards away from instances that accept none, then balances the load with a
/// few moves, then replaces unsuitable successors. A balancing move must leave its target less
/// loaded than its source was, so that rounds do not undo each other.
class Planner
{
public:
  explicit Planner(PlannerLimits aLimits);

  /// Returns the steps of this round.
  ///
  /// Preconditions: aShards are the shards of one service. Thread safety: not thread-safe.
  std::vector<PlanStep> Plan(std::span<const PlannedShard> aShards,
                             std::span<const Candidate> aCandidates) const;

private:
  PlannerLimits limits_;
};

} // namespace redwing
