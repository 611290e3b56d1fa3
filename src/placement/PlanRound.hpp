#pragma once

#include "placement/Planner.hpp"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace redwing::Detail {

/// State of one planning round. Loads are those expected after the planned steps.
class PlanRound
{
public:
  PlanRound(std::span<const PlannedShard> aShards,
            std::span<const Candidate> aCandidates,
            const PlannerLimits& aLimits);

  /// Runs all phases and returns the steps. May be called once.
  std::vector<PlanStep> Run();

private:
  /// A candidate with its expected load.
  struct Node
  {
    const Candidate* candidate_ = nullptr;
    double load_ = 0;
    /// Load of the shards whose successor this instance is; it takes them over if their owners
    /// fail.
    double failoverLoad_ = 0;
  };

  /// Assigns shards without owner to the least loaded instances.
  void AssignUnowned();
  /// Moves shards away from instances that accept none.
  void Evacuate();
  /// Moves shards from the busiest instances until none exceeds the allowed imbalance.
  void Balance();
  /// Replaces successors that are lost, accept no shards, or are in the data centre of the owner
  /// although another one is available.
  void FixSuccessors();

  /// Returns the load of the shard, but at least minWeight_.
  double WeightOf(const PlannedShard& aShard) const;
  /// Returns load divided by capacity; infinity without capacity.
  double RelativeLoad(const Node& aNode) const;
  double MeanRelativeLoad() const;
  /// Returns the candidate, or null if the instance is none.
  Node* Find(const InstanceRef& aRef);
  /// Returns the instance with the lowest relative load after adding aWeight, or null.
  Node* LeastLoaded(double aWeight);
  /// Returns the instance that would have the lowest relative load after taking over aWeight and
  /// all shards whose successor it is, and adds aWeight to its failover load. Considers only other
  /// data centres than that of aOwner if one is available.
  std::optional<InstanceRef> ChooseSuccessor(const InstanceRef& aOwner, double aWeight);
  bool IsValidSuccessor(const InstanceRef& aSuccessor, const InstanceRef& aOwner);
  bool AnotherDataCentreExists(const Candidate& aOwner) const;

  std::span<const PlannedShard> shards_;
  const PlannerLimits& limits_;
  std::vector<Node> nodes_;
  std::map<InstanceRef, std::size_t> index_;
  /// Weight that every shard has at least; 1 while no load is known.
  double minWeight_ = 1;
  /// By shard: whether this round assigns or moves it.
  std::vector<bool> moved_;
  std::vector<PlanStep> steps_;
};

} // namespace redwing::Detail
