// BackendService: admission of requests, from their arrival until they are dispatched or refused.

#include "backend/BackendService.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace redwing {

namespace {

/// No request is dispatched when less than this remains of the lease, because sending the request
/// and the server's own lease check take time.
constexpr std::chrono::milliseconds kLeaseMargin{ 20 };
/// A request without its body.
constexpr std::size_t kRequestBytes = 2 * 1024;

} // namespace

void
BackendService::Admit(RequestStart&& aStart)
{
  const auto now = clock_.Now();
  started_.Add();
  auto exchange = std::make_shared<ServedExchange>();
  exchange->bodyComplete_ = aStart.last_;
  exchange->start_ = std::move(aStart);
  exchange->arrivedAt_ = now;
  const auto& start = exchange->start_;
  exchanges_[start.key_] = exchange;
  if (!HoldBody(*exchange)) {
    hooks_.memory_->Count(MemoryAction::PeerRequestRefused);
    RefuseNotRun(exchange, ErrorCode::Overloaded, "no_memory");
    return;
  }
  if (const auto code = CheckArrival(start, now)) {
    RefuseNotRun(exchange, *code);
    return;
  }
  if (RefusedByRollout(exchange, queue_.Size(), now)) {
    return;
  }
  if (start.shard_) {
    const ShardId shard{ start.service_, start.shard_->shard_ };
    const auto answer = gate_.Check(shard, now);
    if (!answer.owned_ || answer.releasing_) {
      RefuseNotRun(exchange, ErrorCode::NotOwner);
      return;
    }
    gate_.OnArrival(shard);
  }
  if (CheckExistingEntry(exchange, now) || RefuseForBytes(exchange, now)) {
    return;
  }
  const bool call = IsCall(start, now);
  QueueItem item{ start.key_,
                  start.workspace_,
                  start.weight_,
                  call && settings_.enforcesTargetTimes_ ? std::uint8_t{ 0 } : start.priority_,
                  AnswerBy(start),
                  TimePoint::max(),
                  estimator_.Of(start.class_, now) };
  // The work of the servers that make calls fails if these are refused, so their target time is not
  // enforced.
  if (settings_.enforcesTargetTimes_ && !call && start.targetTime_ != TimePoint{}) {
    item.targetTime_ = start.targetTime_;
  }
  switch (queue_.Push(std::move(item), Rate(now), now)) {
    case QueueVerdict::Queued:
      break;
    case QueueVerdict::Full:
      RefuseNotRun(exchange, ErrorCode::QueueFull);
      break;
    case QueueVerdict::TooLate:
      RefuseNotRun(exchange, ErrorCode::Overloaded, "deadline_cannot_be_met");
      break;
  }
}

bool
BackendService::HoldBody(ServedExchange& aExchange)
{
  const RequestStart& start = aExchange.start_;
  if (hooks_.memory_ == nullptr || start.key_.linkId_ == kLocalLink) {
    return true;
  }
  aExchange.held_ = std::make_unique<HeldMemory>(*hooks_.memory_, MemoryHolder::PeerRequests);
  // The rest of a body comes within its window.
  const std::size_t bytes = start.body_.size() + (start.last_ ? 0 : kBodyWindowBytes);
  return aExchange.held_->TrySet(kRequestBytes + bytes, MemoryUse::SmallRequest);
}

bool
BackendService::IsCall(const RequestStart& aStart, TimePoint aNow)
{
  if (!aStart.workspace_.empty()) {
    return false;
  }
  if (!settings_.enforcesTargetTimes_ || checks_.HasWorkspaces()) {
    return true;
  }
  const std::string& header = settings_.protocol_.originHeader_;
  const auto origin = std::find_if(aStart.headers_.begin(),
                                   aStart.headers_.end(),
                                   [&](const Header& aHeader) { return aHeader.name_ == header; });
  if (header.empty() || origin == aStart.headers_.end()) {
    return true;
  }
  callOrigins_.OnArrival(aStart.class_, origin->value_, aNow);
  return callOrigins_.IsCall(aStart.class_);
}

std::optional<ErrorCode>
BackendService::CheckArrival(const RequestStart& aStart, TimePoint aNow)
{
  if (!Serving() || announcement_->service_ != aStart.service_) {
    return ErrorCode::NoBackendServer;
  }
  if (draining_ || IsLeaving(aStart, aNow)) {
    return ErrorCode::Draining;
  }
  return checks_.CheckRequest(aStart, aNow);
}

bool
BackendService::IsLeaving(const RequestStart& aStart, TimePoint aNow) const
{
  const bool moves = aStart.shard_ && aNow - leavingSince_ < settings_.leaveGrace_;
  return (leaving_ && !moves) || health_.draining_;
}

TimePoint
BackendService::AnswerBy(const RequestStart& aStart) const
{
  return std::min({ aStart.deadline_, aStart.answerBy_, answerBy_ });
}

ErrorCode
BackendService::CodeOfLate(const RequestStart& aStart, Duration aNeeded) const
{
  // If only this instance stops too early, another one may still answer in time.
  const bool expired = clock_.Now() + aNeeded >= std::min(aStart.deadline_, aStart.answerBy_);
  return expired ? ErrorCode::DeadlineExceeded : ErrorCode::Draining;
}

bool
BackendService::CheckExistingEntry(const ExchangePtr& aExchange, TimePoint aNow)
{
  const auto& start = aExchange->start_;
  if (start.idempotencyKey_.empty()) {
    return false;
  }
  const auto key = EntryKey(start);
  const auto* entry = entries_.Find(key);
  if (!entry) {
    return false;
  }
  const auto verdict = entries_.Begin(key, start.fingerprint_, aNow);
  if (verdict == IdempotencyVerdict::New) {
    // Begin replaced an expired entry. The new one is removed again, because the request begins its
    // entry when it leaves the queue.
    entries_.Abandon(key);
  }
  return ApplyVerdict(aExchange, verdict);
}

bool
BackendService::ApplyVerdict(const ExchangePtr& aExchange, IdempotencyVerdict aVerdict)
{
  switch (aVerdict) {
    case IdempotencyVerdict::New:
      return false;
    case IdempotencyVerdict::Full:
      recordsFull_.Add();
      RefuseNotRun(aExchange, ErrorCode::Overloaded, "idempotency_table_full");
      return true;
    case IdempotencyVerdict::Conflict:
      RefuseNotRun(aExchange, ErrorCode::IdempotencyConflict);
      return true;
    case IdempotencyVerdict::InFlight:
      Refuse(aExchange, Outcome::Unknown, ErrorCode::IdempotencyInFlight);
      return true;
    case IdempotencyVerdict::Unknown:
      Refuse(aExchange, Outcome::Unknown, ErrorCode::OutcomeUnknown);
      return true;
    case IdempotencyVerdict::Replay:
      break;
  }
  const auto& stored = *entries_.Find(EntryKey(aExchange->start_))->response_;
  ResponseStart response;
  response.key_ = aExchange->start_.key_;
  response.status_ = stored.status_;
  response.headers_ = stored.headers_;
  response.contentLength_ = stored.body_.size();
  response.body_ = stored.body_;
  response.load_ = Load();
  if (!aExchange->detached_) {
    hooks_.sendResponse_(std::move(response));
  }
  answered_.Add();
  End(aExchange, Ending::Answered);
  return true;
}

void
BackendService::Pump()
{
  // A refusal in Prepare frees a slot and calls Pump again; the outer loop uses that slot.
  if (pumpHeld_) {
    return;
  }
  pumpHeld_ = true;
  limiter_.SetCap(ramp_.Allowed());
  while (Serving() && !queue_.Empty() && sender_.Available() && coldRate_.Allows(clock_.Now()) &&
         statedRate_.Wait(clock_.Now()) == Duration::zero() && limiter_.TryAcquire()) {
    const auto item = queue_.Pop();
    const auto exchange = exchanges_[item->key_];
    exchange->phase_ = ServedPhase::Running;
    Prepare(exchange);
    limiter_.SetCap(ramp_.Allowed());
  }
  pumpHeld_ = false;
}

void
BackendService::Prepare(const ExchangePtr& aExchange)
{
  const auto now = clock_.Now();
  // No trial, count or entry is begun for a request that is going to be refused.
  if (const auto refusal = CheckRun(*aExchange, now)) {
    RefuseNotRun(aExchange, refusal->code_, refusal->detail_);
    return;
  }
  if (!CheckQuarantine(aExchange, now) || !CheckOwnership(aExchange, now)) {
    return;
  }
  if (aExchange->start_.idempotencyKey_.empty()) {
    Dispatch(aExchange);
  } else {
    BeginEntry(aExchange, now);
  }
}

std::optional<SendRefusal>
BackendService::CheckRun(const ServedExchange& aExchange, TimePoint aNow)
{
  const auto& start = aExchange.start_;
  if (!Serving() || announcement_->service_ != start.service_) {
    return SendRefusal{ ErrorCode::NoBackendServer, {} };
  }
  if (const auto code = checks_.CheckRequest(start, aNow)) {
    return SendRefusal{ *code, {} };
  }
  if (IsLeaving(start, aNow)) {
    return SendRefusal{ ErrorCode::Draining, {} };
  }
  if (const auto refusal = RolloutRefusal(AskRollout(0, aNow))) {
    return refusal;
  }
  const Duration serviceTime = estimator_.Of(start.class_, aNow);
  const TimePoint expected = aNow + serviceTime;
  const bool late = limiter_.Running() > 1 && expected > start.deadline_;
  const bool stops = std::max(aNow, expected) >= std::min(answerBy_, start.answerBy_);
  if (late || stops) {
    return SendRefusal{ CodeOfLate(start, serviceTime), "deadline_cannot_be_met" };
  }
  return std::nullopt;
}

std::optional<SendRefusal>
BackendService::CheckSend(const ServedExchange& aExchange, TimePoint aNow)
{
  if (const auto refusal = CheckRun(aExchange, aNow)) {
    return refusal;
  }
  const auto& start = aExchange.start_;
  if (!aExchange.trial_ &&
      quarantine_.Check(start.service_, start.fingerprint_, aNow) != QuarantineVerdict::Clear) {
    return SendRefusal{ ErrorCode::PoisonRequest, {} };
  }
  if (start.shard_) {
    const auto answer = gate_.Check({ start.service_, start.shard_->shard_ }, aNow + kLeaseMargin);
    if (!answer.owned_ || answer.token_ != aExchange.token_) {
      return SendRefusal{ ErrorCode::NotOwner, {} };
    }
  }
  return std::nullopt;
}

bool
BackendService::CheckQuarantine(const ExchangePtr& aExchange, TimePoint aNow)
{
  const auto& start = aExchange->start_;
  const auto verdict = quarantine_.Check(start.service_, start.fingerprint_, aNow);
  if (verdict == QuarantineVerdict::Clear) {
    return true;
  }
  if (verdict == QuarantineVerdict::Suspect &&
      (settings_.trialsAnywhere_ || checks_.MayRunTrial(start)) &&
      quarantine_.BeginTrial(start.service_, start.fingerprint_)) {
    aExchange->trial_ = true;
    return true;
  }
  RefuseNotRun(aExchange,
               ErrorCode::PoisonRequest,
               verdict == QuarantineVerdict::Suspect ? "ran_during_a_crash" : "");
  return false;
}

bool
BackendService::CheckOwnership(const ExchangePtr& aExchange, TimePoint aNow)
{
  const auto& start = aExchange->start_;
  if (!start.shard_) {
    return true;
  }
  const ShardId shard{ start.service_, start.shard_->shard_ };
  const auto answer = gate_.BeginRequest(shard, aNow + kLeaseMargin);
  aExchange->countedByGate_ = answer.owned_;
  aExchange->token_ = answer.token_;
  if (answer.owned_ && !answer.releasing_) {
    return true;
  }
  RefuseNotRun(aExchange, ErrorCode::NotOwner);
  return false;
}

void
BackendService::BeginEntry(const ExchangePtr& aExchange, TimePoint aNow)
{
  const auto key = EntryKey(aExchange->start_);
  const auto verdict = entries_.Begin(key, aExchange->start_.fingerprint_, aNow);
  if (ApplyVerdict(aExchange, verdict)) {
    return;
  }
  aExchange->ownsEntry_ = true;
  if (!hooks_.replicate_ || !aExchange->start_.shard_) {
    Dispatch(aExchange);
    return;
  }
  aExchange->phase_ = ServedPhase::Replicating;
  hooks_.replicate_(*entries_.Find(key), [this, aExchange](bool aAllowed) {
    Post([this, aExchange, aAllowed] { OnReplicated(aExchange, aAllowed); });
  });
}

void
BackendService::OnReplicated(const ExchangePtr& aExchange, bool aAllowed)
{
  if (aExchange->phase_ != ServedPhase::Replicating) {
    return;
  }
  aExchange->phase_ = ServedPhase::Running;
  if (!aAllowed) {
    RefuseNotRun(aExchange, ErrorCode::NoOwner, "not_replicated");
  } else if (aExchange->detached_) {
    End(aExchange, Ending::NotRun);
  } else {
    Dispatch(aExchange);
  }
}

void
BackendService::RefuseNotRun(const ExchangePtr& aExchange,
                             ErrorCode aCode,
                             std::string_view aDetail)
{
  Refuse(aExchange, Outcome::NotRun, aCode, aDetail);
}

void
BackendService::Refuse(const ExchangePtr& aExchange,
                       Outcome aOutcome,
                       ErrorCode aCode,
                       std::string_view aDetail,
                       std::optional<std::uint32_t> aRetryAfterMs)
{
  const auto now = clock_.Now();
  const auto& start = aExchange->start_;
  (aOutcome == Outcome::NotRun ? notRun_ : unknown_).Add();
  refusalLog_.Write(start, aOutcome, aCode, aDetail, now);
  if (!aExchange->detached_) {
    Refusal refusal;
    refusal.key_ = start.key_;
    refusal.outcome_ = aOutcome;
    refusal.code_ = aCode;
    refusal.detail_ = aDetail;
    refusal.load_ = Load();
    refusal.reachedServer_ = aExchange->reachedServer_;
    refusal.retryAfterMs_ = aRetryAfterMs ? aRetryAfterMs : StatedRetryAfter(aCode, now);
    if (start.shard_ && aCode == ErrorCode::NotOwner) {
      const auto answer = gate_.Check({ start.service_, start.shard_->shard_ }, now);
      refusal.ownerHint_ = answer.owner_.id_;
      refusal.ownerToken_ = answer.token_;
    }
    hooks_.sendResponse_(std::move(refusal));
  }
  End(aExchange, aOutcome == Outcome::NotRun ? Ending::NotRun : Ending::Unknown);
}

} // namespace redwing
