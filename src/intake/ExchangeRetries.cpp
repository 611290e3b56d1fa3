// Part of Exchange: what follows the refusal of an attempt, and the retry budget.

#include "intake/CallerSlot.hpp"
#include "intake/Exchange.hpp"
#include "intake/IntakeCore.hpp"

#include <algorithm>
#include <utility>

namespace redwing::Detail {

namespace {

constexpr std::uint32_t kMaxBackoffDoublings = 3;
/// A request that crashes its backend server must not reach a third one.
constexpr std::uint32_t kMaxPossibleRuns = 2;

/// Refusals that end when ownership of the shard settles.
bool
ConcernsOwnership(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::NotOwner:
    case ErrorCode::NoOwner:
    case ErrorCode::PeerUnreachable:
    case ErrorCode::LinkLost:
    case ErrorCode::NoBackendServer:
    case ErrorCode::BackendFailed:
    case ErrorCode::Draining:
      return true;
    default:
      return false;
  }
}

/// Refusals that another member of the pool may not repeat.
bool
ConcernsMember(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::Overloaded:
    case ErrorCode::QueueFull:
      return true;
    default:
      return ConcernsOwnership(aCode);
  }
}

} // namespace

bool
Exchange::HasRetry() const
{
  return core_.Retries().HasRoom(WorkspaceId(), ServiceId());
}

bool
Exchange::TakeRetry()
{
  if (!std::exchange(charged_, false) || core_.Retries().TryTake(WorkspaceId(), ServiceId())) {
    return true;
  }
  if (attempts_.empty()) {
    // Other requests have used the budget since this attempt was decided on.
    RefuseFinally(std::move(*lastRefusal_));
  }
  return false;
}

void
Exchange::OnRefusal(Attempt&& aAttempt, Refusal&& aRefusal)
{
  if (responding_) {
    BreakResponse("the response broke off");
    return;
  }
  if (aAttempt.load_ != nullptr && aRefusal.load_.slots_ > 0) {
    aAttempt.load_->OnReport(aRefusal.load_, core_.Now());
  }
  if (aRefusal.outcome_ == Outcome::Unknown) {
    ++unknownCount_;
  }
  if (!attempts_.empty()) {
    // The other attempt of a hedged request is still running.
    excluded_.push_back(aAttempt.instanceId_);
    return;
  }
  const bool inTime = core_.Now() < std::min(deadline_, core_.AnswerBy());
  if (inTime && CanReplay() && RetryAfter(aAttempt, aRefusal)) {
    return;
  }
  if (aRefusal.code_ == ErrorCode::DeadlineExceeded && aRefusal.outcome_ == Outcome::NotRun &&
      core_.AnswerBy() < deadline_) {
    RefuseStopping();
    return;
  }
  RefuseFinally(std::move(aRefusal));
}

void
Exchange::RefuseFinally(Refusal&& aRefusal)
{
  Refuse(aRefusal.code_,
         std::move(aRefusal.detail_),
         unknownCount_ > 0 ? Outcome::Unknown : aRefusal.outcome_,
         aRefusal.retryAfterMs_);
}

bool
Exchange::RetryAfter(const Attempt& aAttempt, const Refusal& aRefusal)
{
  if (aRefusal.outcome_ == Outcome::Unknown) {
    const std::uint32_t mostRuns = std::min(kMaxPossibleRuns, entry_->route_->maxAttempts_);
    const bool repeatable =
      start_.idempotent_ && unknownCount_ < mostRuns && ConcernsOwnership(aRefusal.code_);
    if (!repeatable) {
      return false;
    }
  }
  const bool charged = IsCharged(aRefusal);
  if (charged && !HasRetry()) {
    return false;
  }
  charged_ = charged_ || charged;
  lastRefusal_ = aRefusal;
  return start_.shard_ ? RetryKeyed(aAttempt, aRefusal) : RetryPooled(aAttempt, aRefusal);
}

bool
Exchange::IsCharged(const Refusal& aRefusal) const
{
  if (aRefusal.outcome_ == Outcome::Unknown) {
    return true;
  }
  // With a budget for the whole service only requests that reach its backend servers count.
  const bool perWorkspace = core_.Settings().retryBudget_.perWorkspace_;
  return start_.shard_ ? aRefusal.reachedServer_ && !perWorkspace
                       : aRefusal.reachedServer_ || perWorkspace;
}

bool
Exchange::RetryKeyed(const Attempt& aAttempt, const Refusal& aRefusal)
{
  if (!ConcernsOwnership(aRefusal.code_)) {
    return false;
  }
  // After a lost response the instance may still own the shard.
  const bool lostResponse =
    aRefusal.outcome_ == Outcome::Unknown && aRefusal.code_ == ErrorCode::BackendFailed;
  lastFailed_ = lostResponse ? std::string() : aAttempt.instanceId_;
  core_.RetryCounter().Add();
  const bool hinted = aRefusal.code_ == ErrorCode::NotOwner && !aRefusal.ownerHint_.empty() &&
                      aRefusal.ownerHint_ != lastFailed_;
  if (hinted) {
    ownerHint_ = aRefusal.ownerHint_;
    core_.Owners().Learn(ServiceId(), start_.shard_->shard_, ownerHint_, aRefusal.ownerToken_);
    // A first hint is followed at once; hints that go in circles wait for ownership to settle.
    if (backoffs_ == 0) {
      ++backoffs_;
      SendAttempt("owner-hint");
      return true;
    }
  }
  RetryLater();
  return true;
}

bool
Exchange::RetryPooled(const Attempt& aAttempt, const Refusal& aRefusal)
{
  if (!ConcernsMember(aRefusal.code_)) {
    return false;
  }
  excluded_.push_back(aAttempt.instanceId_);
  core_.RefreshView();
  if (core_.Selector().Choose(*entry_->route_, excluded_) == nullptr) {
    // The connection to the only server may have ended by itself.
    const bool again = aRefusal.outcome_ == Outcome::Unknown &&
                       aRefusal.code_ == ErrorCode::BackendFailed && excluded_.size() == 1;
    if (!again) {
      return false;
    }
    excluded_.clear();
    if (core_.Selector().Choose(*entry_->route_, excluded_) == nullptr) {
      return false;
    }
  }
  afterOverload_ =
    aRefusal.code_ == ErrorCode::Overloaded || aRefusal.code_ == ErrorCode::QueueFull;
  if (afterOverload_ &&
      !core_.RetriesOfOverload().TryTake(start_.class_, core_.Selector().Size(*entry_->route_))) {
    core_.RetryWithheldCounter().Add();
    return false;
  }
  core_.RetryCounter().Add();
  SendAttempt("retry");
  return true;
}

void
Exchange::RetryLater()
{
  const TimePoint now = core_.Now();
  if (!ownerMissingSince_) {
    ownerMissingSince_ = now;
  }
  if (now - *ownerMissingSince_ >= core_.Settings().ownerWait_ || now >= deadline_) {
    Refuse(ErrorCode::NoOwner,
           "no instance serves the shard at present",
           unknownCount_ > 0 ? Outcome::Unknown : Outcome::NotRun);
    return;
  }
  const IntakeSettings& settings = core_.Settings();
  const Duration backoff =
    std::min(settings.lastOwnerRetry_,
             settings.firstOwnerRetry_ * (1 << std::min(backoffs_, kMaxBackoffDoublings)));
  ++backoffs_;
  // Jitter keeps the waiting requests of a shard from arriving at its new owner together.
  const auto jitter =
    Duration(core_.Randomness().Below(static_cast<std::uint64_t>(backoff.count())));
  core_.Timers().Remove(retryTimer_);
  retryTimer_ = core_.Timers().Add(now + backoff / 2 + jitter, id_, TimerKind::Retry);
}

} // namespace redwing::Detail
