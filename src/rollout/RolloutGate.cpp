#include "rollout/RolloutGate.hpp"

#include <algorithm>
#include <array>

namespace redwing {

namespace {

constexpr std::array<std::string_view, 4> kAnswerNames{ "open",
                                                        "rollout_no_permission",
                                                        "rollout_limit",
                                                        "rollout_closed" };

bool
IsFinal(RolloutPhase aPhase)
{
  return aPhase == RolloutPhase::Completed || aPhase == RolloutPhase::RolledBack;
}

/// Returns whether servers of the target version get requests under a permission.
bool
PermitsTarget(RolloutPhase aPhase)
{
  return aPhase == RolloutPhase::Canary || aPhase == RolloutPhase::Ramp ||
         aPhase == RolloutPhase::Closing;
}

bool
ClosesOld(RolloutPhase aPhase)
{
  return aPhase == RolloutPhase::Closing || aPhase == RolloutPhase::Completed;
}

} // namespace

std::string_view
NameOf(RolloutAnswer aAnswer)
{
  return kAnswerNames.at(static_cast<std::size_t>(aAnswer));
}

RolloutGate::RolloutGate(RouteCounter& aCounter)
  : counter_(aCounter)
{
}

void
RolloutGate::OnDirective(const RolloutDirective& aDirective, TimePoint aSentAt)
{
  const bool reply = aSentAt != TimePoint{};
  counter_.OnOrder(aDirective.orderRevision_);
  State& state = states_[aDirective.service_];
  const RolloutPhase phase = state.directive_.phase_;
  const bool sameOrder = state.directive_.orderRevision_ == aDirective.orderRevision_ &&
                         state.directive_.targetVersion_ == aDirective.targetVersion_;
  if (reply && aSentAt < state.sentAt_) {
    return;
  }
  if (sameOrder && IsFinal(phase) && aDirective.phase_ != phase) {
    return;
  }
  // Notices and replies may overtake each other; a late notice must not open a closed server.
  if (sameOrder && !reply && phase == RolloutPhase::Closing && !ClosesOld(aDirective.phase_) &&
      aDirective.phase_ != RolloutPhase::RolledBack) {
    return;
  }
  if (reply) {
    Apply(state, aDirective, sameOrder);
    state.sentAt_ = aSentAt;
    state.permittedUntil_ = aSentAt + std::chrono::milliseconds(aDirective.validForMs_);
    return;
  }
  const std::uint64_t limit = sameOrder ? state.directive_.arrivalLimit_ : 0;
  Apply(state, aDirective, sameOrder);
  state.directive_.arrivalLimit_ = limit;
  if (!sameOrder || !PermitsTarget(aDirective.phase_)) {
    state.permittedUntil_ = {};
  }
}

void
RolloutGate::Apply(State& aState, const RolloutDirective& aDirective, bool aSameOrder) const
{
  aState.directive_ = aDirective;
  if (!aSameOrder) {
    aState.closedVersions_.erase(aDirective.targetVersion_);
  }
  if (aDirective.phase_ == RolloutPhase::RolledBack) {
    aState.closedVersions_.insert(aDirective.targetVersion_);
  } else if (aDirective.phase_ == RolloutPhase::Completed &&
             counter_.Service() == aDirective.service_ &&
             counter_.Version() != aDirective.targetVersion_) {
    aState.closedVersions_.insert(counter_.Version());
  }
}

RolloutAnswer
RolloutGate::Check(const RolloutRouting* aRouting, std::size_t aWaiting, TimePoint aNow) const
{
  const State* state = Present();
  if (state == nullptr) {
    if (aRouting == nullptr) {
      return RolloutAnswer::Open;
    }
    const bool target = aRouting->targetVersion_ == counter_.Version();
    const bool completed = aRouting->phase_ == RolloutPhase::Completed;
    if (target == completed) {
      return RolloutAnswer::Open;
    }
    if (target) {
      return RolloutAnswer::NoPermission;
    }
    return completed ? RolloutAnswer::Closed : RolloutAnswer::Open;
  }
  if (IsClosed(*state)) {
    return RolloutAnswer::Closed;
  }
  if (!NeedsPermission(*state)) {
    return RolloutAnswer::Open;
  }
  if (!PermitsTarget(state->directive_.phase_) || aNow >= state->permittedUntil_) {
    return RolloutAnswer::NoPermission;
  }
  const std::uint64_t arrivals = counter_.ArrivalsSince(state->directive_.orderRevision_);
  return arrivals + aWaiting < state->directive_.arrivalLimit_ ? RolloutAnswer::Open
                                                               : RolloutAnswer::LimitReached;
}

bool
RolloutGate::Closed() const
{
  const State* state = Present();
  return state != nullptr && IsClosed(*state);
}

TimePoint
RolloutGate::PermittedUntil() const
{
  const State* state = Present();
  return state != nullptr && NeedsPermission(*state) ? state->permittedUntil_ : TimePoint::max();
}

const RolloutDirective*
RolloutGate::Directive() const
{
  const State* state = Present();
  return state == nullptr ? nullptr : &state->directive_;
}

const RolloutGate::State*
RolloutGate::Present() const
{
  const auto found = states_.find(counter_.Service());
  return found == states_.end() ? nullptr : &found->second;
}

bool
RolloutGate::NeedsPermission(const State& aState) const
{
  return aState.directive_.targetVersion_ == counter_.Version() &&
         aState.directive_.phase_ != RolloutPhase::Completed;
}

bool
RolloutGate::IsClosed(const State& aState) const
{
  return aState.closedVersions_.contains(counter_.Version()) ||
         (ClosesOld(aState.directive_.phase_) &&
          aState.directive_.targetVersion_ != counter_.Version());
}

} // namespace redwing
