#pragma once

#include "core/Clock.hpp"
#include "rollout/RolloutJudge.hpp"
#include "rollout/RolloutTypes.hpp"

#include <cstdint>
#include <string_view>

namespace redwing {

/// State of a rollout as the leader knows it.
struct RolloutSituation
{
  TimePoint now_{};
  Judgement judgement_;
  /// Requests since the order, of the service and of the target version.
  std::uint64_t serviceRequests_ = 0;
  std::uint64_t targetRequests_ = 0;
  /// Requests of the service per second.
  double requestsPerSecond_ = 0;
  /// Servers that take requests, by version, and how many of the target servers are cold.
  std::uint32_t oldServers_ = 0;
  std::uint32_t targetServers_ = 0;
  std::uint32_t coldTargets_ = 0;
  /// Requests per second that a cold server can handle.
  double coldPerSecond_ = 0;
  /// Every instance with an old server that is still a member has reported itself closed and idle.
  bool oldClosed_ = false;
  /// Time since this leader began.
  Duration leading_{ 0 };
  /// Each serving instance of the service has reported to this leader or is gone.
  bool allReported_ = true;
};

/// What the leader does next.
struct RolloutStep
{
  RolloutPhase phase_ = RolloutPhase::Waiting;
  /// Part of the service's requests that is to go to the target version.
  double share_ = 0;
  /// Number of target servers to use.
  std::uint32_t targetServers_ = 0;
  /// Highest number of requests that the target version may have got by the end of the next lease.
  /// It does not apply if no permission is given.
  std::uint64_t arrivalLimit_ = 0;
  /// Replies to reports may carry a permission. If not, permissions that are still valid stay
  /// valid.
  bool permits_ = false;
  /// Why the rollout waits or went back; empty if it proceeds.
  std::string_view reason_;
};

/// Plans phases, shares and limits of one rollout. A bad version stays under the bound until the
/// rollout crosses it, which it does as late as the duration allows, and only after the judge found
/// the version good.
class RolloutRamp
{
public:
  /// Creates the plan of an order. After a change of leader aPhase is the phase of the record.
  ///
  /// Preconditions: aOrder.duration_ > 0.
  RolloutRamp(const RolloutBounds& aBounds,
              const RolloutOrder& aOrder,
              TimePoint aOrderedAt,
              RolloutPhase aPhase = RolloutPhase::Waiting);

  /// Extends a running rollout: the same version was ordered again.
  ///
  /// Preconditions: aOrder names the same service and version. Thread safety: not thread-safe.
  void Reorder(const RolloutOrder& aOrder, TimePoint aOrderedAt);

  /// Rolls back a rollout that has not ended: its order was deleted, or names another version.
  ///
  /// Preconditions: aReason is valid as long as the ramp. Thread safety: not thread-safe.
  void Cancel(std::string_view aReason);

  /// Returns what to do now. `Completed` and `RolledBack` are returned from then on.
  ///
  /// Preconditions: the time of the situation does not decrease. Thread safety: not thread-safe.
  RolloutStep Next(const RolloutSituation& aSituation);

private:
  /// Steps of the phase `ramp`: under the exposure bound, and with half of the traffic.
  enum class RampStage : std::uint8_t
  {
    Bounded,
    Half,
  };

  void Plan();
  void Advance(const RolloutSituation& aSituation);
  void AdvanceCanary(const RolloutSituation& aSituation);
  void AdvanceRamp(const RolloutSituation& aSituation);
  bool MayCross(const RolloutSituation& aSituation);
  /// Returns whether all requests of the service up to the end are within the slack of the exposure
  /// bound. Such a service needs no verdict, which its few requests could not give.
  bool IsWithinSlack(const RolloutSituation& aSituation) const;
  void Enter(RolloutPhase aPhase, TimePoint aNow, std::string_view aReason = {});
  RolloutStep CanaryStep(const RolloutSituation& aSituation) const;
  RolloutStep BoundedStep(const RolloutSituation& aSituation) const;
  RolloutStep OpenStep(const RolloutSituation& aSituation) const;
  double ExposureLimit(const RolloutSituation& aSituation) const;
  static void RespectCold(const RolloutSituation& aSituation, RolloutStep& aStep);

  RolloutBounds bounds_;
  RolloutOrder order_;
  TimePoint orderedAt_;
  RolloutPhase phase_;
  RampStage stage_ = RampStage::Bounded;
  /// Begin of the phase or stage; after a change of leader, the first time with a permission.
  TimePoint stageSince_{};
  bool resumed_;
  /// False after a change of leader: counts of instances that are gone since are missing.
  bool countsComplete_;
  std::string_view reason_;
  /// Ends of the canary, of the ramp under the bound, and of the ramp; last times at which the
  /// closing may begin, and end of the duration.
  TimePoint canaryEnd_{};
  TimePoint boundedEnd_{};
  TimePoint rampEnd_{};
  TimePoint lastClosing_{};
  TimePoint end_{};
};

} // namespace redwing
