#include "intake/CallerSlot.hpp"
#include "intake/Exchange.hpp"
#include "intake/IntakeCore.hpp"

#include <algorithm>

namespace redwing::Detail {

namespace {

/// Time after the deadline for the serving instance, which has the same deadline, to say whether
/// the request ran.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(25);
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

void
Exchange::SendAttempt(const char* aReason)
{
  Attempt attempt{ 0, {}, nullptr, false, {} };
  if (!MaySend() || !ChooseTarget(attempt.instanceId_, attempt.load_) || !TakeRetry()) {
    return;
  }
  const TimePoint now = core_.Now();
  attempt.id_ = core_.NextAttemptId();
  attempt.sentAt_ = now;
  attempt.local_ = attempt.instanceId_ == core_.Dependencies().instanceId_;
  const std::uint64_t id = attempt.id_;
  start_.key_ = { kLocalLink, id };
  start_.answerBy_ = core_.AnswerBy();
  ++attemptCount_;
  LogAttempt(attempt, aReason);
  core_.AddAttempt(id, *this);
  if (attempt.load_ != nullptr) {
    attempt.load_->OnStart(id, now, entry_->route_->largeAnswers_);
  }
  const bool local = attempt.local_;
  const std::string instanceId = attempt.instanceId_;
  attempts_.push_back(std::move(attempt));
  if (attemptCount_ == 1) {
    firstSent_ = now;
    ArmHedge();
  }
  if (deferred_) {
    // Nothing is sent before the server is about to take it.
    sentBytes_ = 0;
    bodySent_ = false;
    requestOutstanding_ = kBodyWindowBytes;
    if (bodyReserved_) {
      // The body is on its way once more.
      bodyHeld_.Set(BodyBytesNeeded());
    }
  }
  RequestStart start = CanReplay() ? start_ : std::move(start_);
  const IntakeDependencies& dependencies = core_.Dependencies();
  const bool taken = local ? dependencies.tryStartLocal_(std::move(start))
                           : dependencies.tryStartRemote_(instanceId, std::move(start));
  if (!taken) {
    Refusal refusal;
    refusal.key_ = { kLocalLink, id };
    refusal.code_ = ErrorCode::QueueFull;
    refusal.detail_ = "the queue of this instance is full";
    OnResponseEvent(id, std::move(refusal));
    return;
  }
  SendBody();
}

bool
Exchange::MaySend()
{
  if (connection_.CallerLeft()) {
    return false;
  }
  const TimePoint now = core_.Now();
  if (attempts_.empty() && now >= deadline_) {
    OnDeadline();
    return false;
  }
  if (now >= core_.AnswerBy()) {
    // Another attempt of a hedged request is still running.
    if (attempts_.empty()) {
      RefuseStopping();
    }
    return false;
  }
  return true;
}

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

bool
Exchange::KeyStillValid() const
{
  // A request may wait long for its body, its admission or an owner.
  return key_ == nullptr || core_.Routes() == routes_ || core_.Credentials().Contains(*key_);
}

bool
Exchange::ChooseTarget(std::string& aInstanceId, MemberLoad*& aLoad)
{
  core_.RefreshView();
  if (!KeyStillValid()) {
    Refuse(ErrorCode::InvalidKey,
           "the API key was withdrawn",
           unknownCount_ > 0 ? Outcome::Unknown : Outcome::NotRun);
    return false;
  }
  if (start_.shard_) {
    if (!ownerHint_.empty()) {
      aInstanceId = std::exchange(ownerHint_, {});
      return true;
    }
    const OwnerChoice choice =
      core_.Owners().Choose(core_.View(), ServiceId(), start_.shard_->shard_, lastFailed_);
    if (choice.instanceId_.empty()) {
      lastFailed_.clear();
      RetryLater();
      return false;
    }
    aInstanceId = choice.instanceId_;
    start_.shard_->token_ = choice.token_;
    return true;
  }
  const bool hedgeable =
    attemptCount_ == 0 && MayHedge() && core_.HedgesOf(ServiceId()).HasBudget();
  const ChoiceBy unhedged = deferred_ ? ChoiceBy::LoadNear : ChoiceBy::LoadUnhedged;
  const ChoiceBy balanced = hedgeable ? ChoiceBy::Load : unhedged;
  const Member* member = core_.Selector().Choose(
    *entry_->route_, excluded_, attempts_.empty() ? balanced : ChoiceBy::Speed);
  if (member == nullptr) {
    Refuse(ErrorCode::NoBackendServer,
           "no backend server of the service can take the request",
           unknownCount_ > 0 ? Outcome::Unknown : Outcome::NotRun);
    return false;
  }
  aInstanceId = member->ref_.id_;
  aLoad = &core_.Selector().LoadOf(aInstanceId);
  return true;
}

void
Exchange::LogAttempt(const Attempt& aAttempt, const char* aReason)
{
  core_.Log().Write({ requestId_,
                      WorkspaceId(),
                      entry_->route_->id_,
                      entry_->route_->service_,
                      start_.shard_ ? static_cast<std::int64_t>(start_.shard_->shard_) : -1,
                      aAttempt.instanceId_,
                      attemptCount_,
                      aReason,
                      core_.Now() - arrived_ });
}

bool
Exchange::CanReplay() const
{
  return !streamed_;
}

void
Exchange::OnResponseEvent(std::uint64_t aAttemptId, ResponseEvent&& aEvent)
{
  const auto found = std::find_if(attempts_.begin(), attempts_.end(), [&](const Attempt& aAttempt) {
    return aAttempt.id_ == aAttemptId;
  });
  if (finished_ || found == attempts_.end()) {
    return;
  }
  if (auto* start = std::get_if<ResponseStart>(&aEvent)) {
    OnResponseStart(aAttemptId, std::move(*start));
  } else if (auto* body = std::get_if<ResponseBody>(&aEvent)) {
    OnResponseBody(std::move(*body));
  } else if (auto* credit = std::get_if<RequestCredit>(&aEvent)) {
    requestOutstanding_ -= std::min<std::size_t>(requestOutstanding_, credit->bytes_);
    SendBody();
    ReduceReservation();
  } else if (auto* refusal = std::get_if<Refusal>(&aEvent)) {
    Attempt attempt = std::move(*found);
    attempts_.erase(found);
    EndAttempt(attempt,
               refusal->outcome_ == Outcome::Unknown ? AttemptEnd::Lost : AttemptEnd::Answered);
    OnRefusal(std::move(attempt), std::move(*refusal));
  } else if (responding_) {
    BreakResponse("the response broke off");
  } else {
    Refusal broken;
    broken.outcome_ = Outcome::Unknown;
    broken.code_ = ErrorCode::BackendFailed;
    OnResponseEvent(aAttemptId, std::move(broken));
  }
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

void
Exchange::SendToAttempt(const Attempt& aAttempt, RequestEvent&& aEvent)
{
  if (aAttempt.local_) {
    core_.Dependencies().sendLocal_(std::move(aEvent));
  } else {
    core_.Dependencies().sendRemote_(aAttempt.instanceId_, std::move(aEvent));
  }
}

void
Exchange::CancelAttempts(std::uint64_t aExceptId)
{
  std::vector<Attempt> cancelled;
  for (auto attempt = attempts_.begin(); attempt != attempts_.end();) {
    if (attempt->id_ == aExceptId) {
      ++attempt;
      continue;
    }
    cancelled.push_back(std::move(*attempt));
    attempt = attempts_.erase(attempt);
  }
  for (const Attempt& attempt : cancelled) {
    EndAttempt(attempt, attempt.id_ < aExceptId ? AttemptEnd::Overtaken : AttemptEnd::Abandoned);
    SendToAttempt(attempt, RequestCancel{ { kLocalLink, attempt.id_ } });
  }
}

void
Exchange::EndAttempt(const Attempt& aAttempt, AttemptEnd aEnd)
{
  core_.RemoveAttempt(aAttempt.id_);
  if (aAttempt.load_ != nullptr) {
    aAttempt.load_->OnEnd(aAttempt.id_, core_.Now(), aEnd);
  }
}

bool
Exchange::Uses(const std::string& aInstanceId) const
{
  return std::any_of(attempts_.begin(), attempts_.end(), [&](const Attempt& aAttempt) {
    return !aAttempt.local_ && aAttempt.instanceId_ == aInstanceId;
  });
}

void
Exchange::OnPeerDown(const std::string& aInstanceId)
{
  std::vector<std::uint64_t> lost;
  for (const Attempt& attempt : attempts_) {
    if (!attempt.local_ && attempt.instanceId_ == aInstanceId) {
      lost.push_back(attempt.id_);
    }
  }
  for (const std::uint64_t id : lost) {
    Refusal refusal;
    refusal.key_ = { kLocalLink, id };
    refusal.outcome_ = Outcome::Unknown;
    refusal.code_ = ErrorCode::LinkLost;
    refusal.detail_ = "the link to the serving instance was lost";
    OnResponseEvent(id, std::move(refusal));
  }
}

void
Exchange::OnTimer(TimerKind aKind)
{
  if (finished_) {
    return;
  }
  switch (aKind) {
    case TimerKind::Deadline:
      deadlineTimer_ = {};
      OnDeadline();
      break;
    case TimerKind::Retry:
      retryTimer_ = {};
      SendAttempt("retry");
      break;
    case TimerKind::Hedge:
      hedgeTimer_ = {};
      OnHedgeTimer();
      break;
  }
}

void
Exchange::OnDeadline()
{
  if (responding_) {
    return;
  }
  const TimePoint now = core_.Now();
  if (!attempts_.empty() && now < deadline_ + kDeadlineGrace) {
    deadlineTimer_ = core_.Timers().Add(deadline_ + kDeadlineGrace, id_, TimerKind::Deadline);
    return;
  }
  const bool mayHaveRun = !attempts_.empty() || unknownCount_ > 0;
  Refuse(ErrorCode::DeadlineExceeded,
         "the deadline of the request has passed",
         mayHaveRun ? Outcome::Unknown : Outcome::NotRun);
}

bool
Exchange::MayHedge() const
{
  return core_.Settings().routing_.hedging_ && !start_.shard_ && start_.idempotent_ && CanReplay();
}

void
Exchange::ArmHedge()
{
  if (!MayHedge()) {
    return;
  }
  HedgePolicy& policy = core_.HedgesOf(ServiceId());
  auto delay = policy.OnRequest();
  if (delay && core_.Selector().IsEjected(attempts_.front().instanceId_)) {
    delay = std::min(delay, policy.EarlyDelay());
  }
  if (delay) {
    hedgeTimer_ = core_.Timers().Add(firstSent_ + *delay, id_, TimerKind::Hedge);
  }
}

void
Exchange::OnHedgeTimer()
{
  // One hedge only: a third attempt could be a third server that the request crashes.
  if (responding_ || attempts_.size() != 1 || unknownCount_ > 0) {
    return;
  }
  excluded_.push_back(attempts_.front().instanceId_);
  core_.RefreshView();
  if (core_.Selector().Choose(*entry_->route_, excluded_) == nullptr || !HasRetry() ||
      !core_.HedgesOf(ServiceId()).TryTake()) {
    excluded_.pop_back();
    return;
  }
  core_.HedgeCounter().Add();
  charged_ = true;
  SendAttempt("hedge");
}

} // namespace redwing::Detail
