#pragma once

#include "core/Clock.hpp"
#include "fleet/RolloutDecider.hpp"
#include "fleet/RolloutUsage.hpp"
#include "rollout/RolloutTypes.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace redwing {

/// A member with a server of a service that is rolled out, as the leader sees it.
struct RolloutServer
{
  std::string instanceId_;
  /// Version of the server; empty while it has not said so, which counts as an old version.
  std::string version_;
  /// When the leader first knew of the server with this version; the start of time if it can't
  /// tell.
  TimePoint seenAt_{};
  /// The server takes requests: it is up, reachable, and its data centre is not withdrawn.
  bool accepts_ = false;
  /// The shard table names the server as a holder.
  bool holdsShards_ = false;
};

/// What the leader knows of a service beside its servers.
struct RolloutService
{
  /// All servers are known; false for a time after the store came back from an older copy.
  bool complete_ = true;
  std::vector<RolloutServer> servers_;
  /// How long a new server is cold, and how many requests a second it can handle then; 0 if it is
  /// not limited.
  Duration coldTime_{};
  double coldPerSecond_ = 0;
  /// Version of an order that waits for the end of this rollout; empty if there is none.
  std::string nextVersion_;
};

/// The rollout of one service as its leader conducts it: steps, permissions, and what the record
/// has to say. Runs on the context's thread.
class ServiceRollout
{
public:
  /// aResumed tells that another leader may have given permissions before aLeadsSince.
  ///
  /// Preconditions: aDecider is not null. Thread safety: not thread-safe, like all functions here.
  ServiceRollout(RolloutRecord aRecord,
                 std::unique_ptr<RolloutDecider> aDecider,
                 TimePoint aOrderedAt,
                 TimePoint aLeadsSince,
                 bool aResumed);

  /// Takes the service as it is now.
  ///
  /// Preconditions: none.
  void SetService(RolloutService aService, TimePoint aNow);

  /// Adds a report and appends the directive that answers it to aDirectives. There is none while an
  /// earlier leader's permissions may run.
  ///
  /// Preconditions: the report is about this service.
  void OnReport(const RolloutReport& aReport,
                TimePoint aNow,
                std::vector<RolloutDirective>& aDirectives);

  /// Takes the next step.
  ///
  /// Preconditions: none.
  void Step(TimePoint aNow);

  /// Goes back for aReason, whatever the evidence.
  ///
  /// Preconditions: the rollout runs.
  void RollBack(std::string aReason);

  /// Follows a repeated order for the same version.
  ///
  /// Preconditions: the rollout runs.
  void Extend(const RolloutOrder& aOrder, TimePoint aNow);

  /// Returns the record that the store should have, as far as it may be written now.
  const RolloutRecord& Wanted() const { return wanted_; }

  /// Records that the store has aRecord.
  ///
  /// Preconditions: none.
  void OnWritten(const RolloutRecord& aRecord);

  /// Records that a write was not made; with aMaybe it may have been.
  ///
  /// Preconditions: none.
  void OnNotWritten(bool aMaybe);

  /// Returns whether the store has yet to take Wanted().
  bool MustWrite() const { return mustWrite_; }
  /// Makes the store take the record again, because it came back from an older copy.
  void WriteAgain() { mustWrite_ = true; }

  /// Returns whether the rollout has ended and the store knows.
  bool Ended() const;

  /// Returns whether permissions of an earlier leader may still run, so that nothing is directed.
  bool Gathering(TimePoint aNow) const;

  /// Returns what notices tell all instances.
  RolloutDirective Announced() const;

  /// Returns the servers that may be sent requests of the target version.
  const std::vector<std::string>& Targets() const { return targets_; }
  const RolloutDecision& Decision() const { return decision_; }
  const RolloutUsage& Usage() const { return usage_; }
  RolloutPhase Phase() const { return phase_; }
  std::string Reason() const;
  const RolloutService& Service() const { return service_; }
  const RolloutOrder& Order() const { return wanted_.order_; }
  TimePoint OrderedAt() const { return orderedAt_; }
  bool IsTarget(const RolloutServer& aServer) const;

private:
  bool IsOld(const RolloutServer& aServer) const;
  std::vector<std::string> ClosedVersions() const;
  bool AllReported() const;
  bool OldClosed() const;
  bool PermittedForClosing() const;
  /// Returns whether a closing must be given up, since no server is left to take the requests.
  bool ClosesWithoutTargets(const std::vector<std::string>& aUsable, TimePoint aNow);
  bool WasCold(const std::string& aInstanceId, TimePoint aNow) const;
  std::vector<std::string> UsableTargets(TimePoint aNow) const;
  RolloutInput InputAt(TimePoint aNow, const std::vector<std::string>& aUsable) const;
  void Apply(const RolloutDecision& aDecision, const std::vector<std::string>& aUsable);
  void Enter(RolloutPhase aPhase);
  void Want(RolloutPhase aPhase);
  void ChooseTargets(const std::vector<std::string>& aUsable);
  void LogStep(TimePoint aNow);

  /// What the store should have, and what it was last known to have.
  RolloutRecord wanted_;
  bool mustWrite_ = true;
  /// The store has a record of this rollout, so a new leader will know of it.
  bool recorded_ = false;
  /// A write of a final phase may have taken effect, so the phase is not reconsidered.
  bool mayBeFinal_ = false;
  std::unique_ptr<RolloutDecider> decider_;
  TimePoint orderedAt_;
  TimePoint leadsSince_;
  bool resumed_;
  bool gathered_ = false;
  bool stepped_ = false;
  RolloutPhase phase_;
  RolloutDecision decision_;
  RolloutUsage usage_;
  RolloutService service_;
  std::vector<std::string> targets_;
  /// Since when the servers of the target version are members.
  std::map<std::string, TimePoint> seenAt_;
  /// Target servers that were given a permission for the closing.
  std::set<std::string> closingPermitted_;
  /// Since when a closing has had no target server that takes requests.
  std::optional<TimePoint> targetsLostAt_;
  bool closingAnnounced_ = false;
  std::string logged_;
};

} // namespace redwing
