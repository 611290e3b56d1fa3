#pragma once

#include "fleet/RolloutDecider.hpp"
#include "rollout/RolloutJudge.hpp"
#include "rollout/RolloutRamp.hpp"

namespace redwing {

/// Decides on a rollout by RolloutJudge and RolloutRamp.
class JudgedRollout final : public RolloutDecider
{
public:
  /// Preconditions: the order of aRecord has a duration above 0, or the record has a final phase.
  JudgedRollout(const RolloutBounds& aBounds, const RolloutRecord& aRecord, TimePoint aOrderedAt);

  void Add(RolloutSide aSide, const RouteCounts& aDelta, TimePoint aAt, bool aCold) override;
  void AddEarlier(RolloutSide aSide, const RouteCounts& aCounts) override;
  RolloutDecision Next(const RolloutInput& aInput) override;
  void Extend(const RolloutOrder& aOrder) override;

private:
  TimePoint orderedAt_;
  RolloutJudge judge_;
  RolloutRamp ramp_;
};

/// Returns a factory of such deciders.
///
/// Preconditions: none. Thread safety: callable from any thread.
RolloutDeciderFactory MakeJudgedRollouts(const RolloutBounds& aBounds);

} // namespace redwing
