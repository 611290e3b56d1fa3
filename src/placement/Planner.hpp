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
  /// Share of the load that the instance should carry, usually its slots; 0 takes no shards.
  double capacity_ = 0;
  /// False while the instance leaves, drains, or its data centre is withdrawn: its shards move
  /// away.
  bool takesWork_ = true;

  bool operator==(const Candidate&) const = default;
};

/// A shard as the planner sees it.
struct PlannedShard
{
  ShardRow row_;
  /// Requests per second, or 0 when unknown.
  double load_ = 0;
};

/// The shard has no owner: target takes it, with successor as its successor.
struct AssignShard
{
  ShardId shard_;
  InstanceRef target_;
  InstanceRef successor_;
};

/// The owner hands the shard over to target.
struct MoveShard
{
  ShardId shard_;
  InstanceRef owner_;
  InstanceRef target_;
  /// Why the shard moves; for the log.
  std::string reason_;
};

/// The owner records another successor.
struct ChangeSuccessor
{
  ShardId shard_;
  InstanceRef owner_;
  InstanceRef successor_;
};

using PlanStep = std::variant<AssignShard, MoveShard, ChangeSuccessor>;

struct PlannerLimits
{
  /// Moves away from instances that take no work, per round and source.
  std::size_t evacuationsPerSource_ = 8;
  /// Moves for balance per round.
  std::size_t balanceMoves_ = 2;
  /// Moves for balance start when the largest relative load exceeds the mean by this factor.
  double imbalance_ = 1.25;
};

/// Plans one round for one keyed service. Unowned shards are assigned first, then shards leave
/// instances that take no work, then at most a few moves improve the balance. A shard moves only to
/// an instance that stays below the mean afterwards, so that rounds do not undo each other.
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
