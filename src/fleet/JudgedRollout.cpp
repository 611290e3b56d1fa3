#include "fleet/JudgedRollout.hpp"

#include <cstdint>

namespace redwing {

namespace {

RolloutEvidence
EvidenceOf(const RolloutFigures& aFigures)
{
  return { aFigures.requests_, aFigures.failures_, aFigures.typicalMs_ };
}

} // namespace

JudgedRollout::JudgedRollout(const RolloutBounds& aBounds,
                             const RolloutRecord& aRecord,
                             TimePoint aOrderedAt)
  : orderedAt_(aOrderedAt)
  , judge_(RolloutJudgeSettings{})
  , ramp_(aBounds, aRecord.order_, aOrderedAt, aRecord.phase_)
{
}

void
JudgedRollout::Add(RolloutSide aSide, const RouteCounts& aDelta, TimePoint aAt, bool aCold)
{
  judge_.Add(aSide, aDelta, aAt, aCold);
}

void
JudgedRollout::AddEarlier(RolloutSide aSide, const RouteCounts& aCounts)
{
  judge_.AddEarlier(aSide, aCounts);
}

RolloutDecision
JudgedRollout::Next(const RolloutInput& aInput)
{
  RolloutSituation situation;
  situation.now_ = aInput.now_;
  situation.judgement_ = judge_.Evaluate(aInput.now_);
  situation.serviceRequests_ = aInput.serviceRequests_;
  situation.targetRequests_ = aInput.targetRequests_;
  situation.requestsPerSecond_ = aInput.requestsPerSecond_;
  situation.oldServers_ = static_cast<std::uint32_t>(aInput.oldServers_);
  situation.targetServers_ = static_cast<std::uint32_t>(aInput.targetServers_);
  situation.coldTargets_ = static_cast<std::uint32_t>(aInput.coldTargets_);
  situation.coldPerSecond_ = aInput.coldPerSecond_;
  situation.oldClosed_ = aInput.oldClosed_;
  situation.leading_ = aInput.leaderFor_;
  const RolloutStep step = ramp_.Next(situation);
  RolloutDecision decision;
  decision.phase_ = step.phase_;
  decision.share_ = step.share_;
  decision.targets_ = step.targetServers_;
  decision.arrivalLimit_ = step.arrivalLimit_;
  decision.permits_ = step.permits_;
  decision.reason_ = std::string(step.reason_);
  decision.route_ = situation.judgement_.route_;
  decision.old_ = EvidenceOf(situation.judgement_.old_);
  decision.target_ = EvidenceOf(situation.judgement_.target_);
  return decision;
}

void
JudgedRollout::Extend(const RolloutOrder& aOrder)
{
  ramp_.Reorder(aOrder, orderedAt_);
}

RolloutDeciderFactory
MakeJudgedRollouts(const RolloutBounds& aBounds)
{
  return [aBounds](const RolloutRecord& aRecord, TimePoint aOrderedAt) {
    return std::make_unique<JudgedRollout>(aBounds, aRecord, aOrderedAt);
  };
}

} // namespace redwing
