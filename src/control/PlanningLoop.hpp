#pragma once

#include "config/Configuration.hpp"
#include "control/FleetState.hpp"
#include "control/OwnershipDriver.hpp"
#include "control/PlannerRole.hpp"
#include "core/Clock.hpp"
#include "placement/Planner.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace redwing {

/// Runs the planner while this instance has the planner role, and passes its steps to the owners.
class PlanningLoop
{
public:
  PlanningLoop(const Clock& aClock,
               std::string aInstanceId,
               Store& aStore,
               FleetState& aFleet,
               OwnershipDriver& aDriver);

  /// Plans a round if one is due.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void Tick(const Configuration& aConfiguration, bool aIsCandidate);

  /// Returns whether this instance is the planner.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  bool IsPlanner() const { return role_.IsHeld(); }

private:
  /// A step that was passed on and is not visible in the shard's row yet.
  struct PendingStep
  {
    PendingStep(PlanStep aStep, TimePoint aUntil)
      : step_(std::move(aStep))
      , until_(aUntil)
    {
    }

    PlanStep step_;
    TimePoint until_;
  };

  /// Changes aRow to what it will be when its pending step has been carried out; forgets the step
  /// when that is so or when it has taken too long.
  void ApplyPending(ShardRow& aRow);
  /// Returns whether no instance or backend server has come for a while. Placement while a fleet
  /// starts would move most shards again when the next instances join.
  bool IsSettled();
  void ReadRows();
  void PlanService(const std::string& aService,
                   std::uint32_t aShards,
                   const std::vector<Candidate>& aCandidates);
  std::vector<Candidate> CandidatesOf(const std::string& aService,
                                      const std::set<std::string>& aWithdrawn) const;
  /// Returns whether the owner of aRow is gone and nobody took the shard over. The ownership
  /// protocol checks again that neither owner nor successor can act.
  bool IsOrphan(const ShardRow& aRow);
  void Carry(const PlanStep& aStep);

  const Clock& clock_;
  FleetState& fleet_;
  OwnershipDriver& driver_;
  PlannerRole role_;
  Planner planner_;
  TimePoint nextRound_;
  TimePoint nextRead_;
  std::map<ShardId, TimePoint> absentSince_;
  std::map<ShardId, PendingStep> pending_;
  /// Instances that were seen, and those whose backend server was seen to serve.
  std::set<InstanceRef> joined_;
  std::set<InstanceRef> served_;
  TimePoint stableSince_;
  bool reading_ = false;
  bool rowsRead_ = false;
};

} // namespace redwing
