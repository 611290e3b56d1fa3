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

/// Runs the planner while this instance holds the planner role, and sends the planned steps to the
/// owners of the shards.
class PlanningLoop
{
public:
  PlanningLoop(const Clock& aClock,
               std::string aInstanceId,
               Store& aStore,
               FleetState& aFleet,
               OwnershipDriver& aDriver);

  /// Renews or acquires the planner role, and runs a planning round if one is due.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void Tick(const Configuration& aConfiguration, bool aIsCandidate);

  /// Returns whether this instance holds the planner role.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  bool IsPlanner() const { return role_.IsHeld(); }

private:
  /// A step that was sent to the owner but is not visible in the shard's row yet.
  struct PendingStep
  {
    PendingStep(PlanStep aStep, TimePoint aUntil)
      : step_(std::move(aStep))
      , deadline_(aUntil)
    {
    }

    PlanStep step_;
    TimePoint deadline_;
  };

  /// Changes aRow to the expected result of its pending step. Discards the step instead if it has
  /// completed or timed out.
  void ApplyPending(ShardRow& aRow);
  /// Returns whether no new instance or backend server has appeared for the settle time. Shards
  /// placed while a fleet is starting would mostly be moved again when further instances join.
  bool IsSettled();
  void ReadRows();
  void PlanService(const std::string& aService,
                   std::uint32_t aShards,
                   const std::vector<Candidate>& aCandidates);
  std::vector<Candidate> CandidatesOf(const std::string& aService,
                                      const std::set<std::string>& aWithdrawn) const;
  /// Returns whether the owner of aRow has been absent so long that no takeover is to be expected.
  /// The ownership protocol verifies again that neither owner nor successor can act.
  bool IsOrphan(const ShardRow& aRow);
  void ExecuteStep(const PlanStep& aStep);

  const Clock& clock_;
  FleetState& fleet_;
  OwnershipDriver& driver_;
  PlannerRole role_;
  Planner planner_;
  TimePoint nextRound_;
  TimePoint nextRead_;
  std::map<ShardId, TimePoint> absentSince_;
  std::map<ShardId, PendingStep> pending_;
  /// Incarnations that have been members.
  std::set<InstanceRef> seenMembers_;
  /// Incarnations whose backend server has served.
  std::set<InstanceRef> seenServing_;
  /// Time at which the last new instance or backend server appeared.
  TimePoint lastArrival_;
  bool reading_ = false;
  /// Whether the rows have been read from the store since the role was acquired.
  bool rowsRead_ = false;
};

} // namespace redwing
