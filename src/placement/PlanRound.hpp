#pragma once

#include "placement/Planner.hpp"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace redwing::Detail {

/// State of one planning round: loads as they will be once the steps have been carried out.
class PlanRound
{
public:
  PlanRound(std::span<const PlannedShard> aShards,
            std::span<const Candidate> aCandidates,
            const PlannerLimits& aLimits);

  /// Runs all phases and returns the steps.
  std::vector<PlanStep> Run();

private:
  struct Node
  {
    const Candidate* candidate_ = nullptr;
    double load_ = 0;
    /// Load that a loss of other instances would bring.
    double inherited_ = 0;
  };

  void AssignUnowned();
  void Evacuate();
  void Balance();
  void FixSuccessors();

  double WeightOf(const PlannedShard& aShard) const;
  double RelativeLoad(const Node& aNode) const;
  double MeanRelativeLoad() const;
  Node* Find(const InstanceRef& aRef);
  Node* LeastLoaded(double aWeight);
  std::optional<InstanceRef> ChooseSuccessor(const InstanceRef& aOwner, double aWeight);
  bool IsGoodSuccessor(const InstanceRef& aSuccessor, const InstanceRef& aOwner);
  bool AnotherDataCentreExists(const Candidate& aOwner) const;

  std::span<const PlannedShard> shards_;
  const PlannerLimits& limits_;
  std::vector<Node> nodes_;
  std::map<InstanceRef, std::size_t> index_;
  double defaultWeight_ = 1;
  std::vector<bool> moved_;
  std::vector<PlanStep> steps_;
};

} // namespace redwing::Detail
