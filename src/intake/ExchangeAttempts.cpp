#include "intake/CallerSlot.hpp"
#include "intake/Exchange.hpp"
#include "intake/IntakeCore.hpp"

#include <algorithm>

namespace redwing::Detail {

namespace {

/// Time after the deadline for the serving instance, which has the same deadline, to say whether
/// the request ran.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(25);

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
