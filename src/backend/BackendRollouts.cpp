// BackendService: rollouts of the service, what the server may get and what it did.

#include "backend/BackendService.hpp"
#include "backend/ResponseHeaders.hpp"
#include "core/Log.hpp"

#include <utility>

namespace redwing {

namespace {

constexpr std::uint16_t kFirstServerError = 500;

} // namespace

void
BackendService::OnRollout(const RolloutDirective& aDirective, TimePoint aSentAt)
{
  Post([this, directive = aDirective, aSentAt] {
    const RolloutDirective* before = rolloutGate_.Directive();
    const auto phase = before ? std::optional(before->phase_) : std::nullopt;
    const auto order = before ? before->orderRevision_ : 0;
    rolloutGate_.OnDirective(directive, aSentAt);
    const RolloutDirective* present = rolloutGate_.Directive();
    if (present && (phase != present->phase_ || order != present->orderRevision_)) {
      LogLine(LogLevel::Info, "rollout_directive")
        .With("service", present->service_)
        .With("target", present->targetVersion_)
        .With("version", routeCounter_.Version())
        .With("order", present->orderRevision_)
        .With("phase", NameOf(present->phase_))
        .With("arrivals", routeCounter_.ArrivalsSince(present->orderRevision_))
        .With("limit", present->arrivalLimit_);
    }
    CheckRollout(clock_.Now());
    Pump();
  });
}

ServerCounts
BackendService::CountsSince(const std::string& aService, std::uint64_t aOrderRevision)
{
  if (aService != routeCounter_.Service()) {
    ServerCounts none;
    none.service_ = aService;
    none.orderRevision_ = aOrderRevision;
    return none;
  }
  ServerCounts counts = routeCounter_.CountsSince(aOrderRevision);
  counts.closed_ = rolloutGate_.Closed();
  for (const auto& [key, exchange] : exchanges_) {
    counts.running_ += exchange->connection_ || exchange->phase_ == ServedPhase::Failing ? 1 : 0;
  }
  return counts;
}

RolloutAnswer
BackendService::AskRollout(std::size_t aWaiting, TimePoint aNow)
{
  if (!announcement_) {
    return RolloutAnswer::Open;
  }
  const auto answer =
    rolloutGate_.Check(checks_.RolloutOf(announcement_->service_), aWaiting, aNow);
  rolloutShut_ = answer != RolloutAnswer::Open;
  return answer;
}

bool
BackendService::RefusedByRollout(const ExchangePtr& aExchange, std::size_t aWaiting, TimePoint aNow)
{
  const auto refusal = RolloutRefusal(AskRollout(aWaiting, aNow));
  if (refusal) {
    RefuseNotRun(aExchange, refusal->code_, refusal->detail_);
  }
  return refusal.has_value();
}

std::optional<SendRefusal>
BackendService::RolloutRefusal(RolloutAnswer aAnswer)
{
  switch (aAnswer) {
    case RolloutAnswer::Open:
      return std::nullopt;
    case RolloutAnswer::NoPermission:
      rolloutUnpermitted_.Add();
      break;
    case RolloutAnswer::LimitReached:
      rolloutLimited_.Add();
      break;
    case RolloutAnswer::Closed:
      rolloutClosed_.Add();
      break;
  }
  return SendRefusal{ ErrorCode::Draining, NameOf(aAnswer) };
}

void
BackendService::CheckRollout(TimePoint aNow)
{
  const RolloutAnswer answer = AskRollout(0, aNow);
  // A limit is reached and raised again with each report.
  const auto state = answer == RolloutAnswer::LimitReached ? RolloutAnswer::Open : answer;
  if (std::exchange(rolloutState_, state) != state) {
    LogLine(LogLevel::Info, "rollout_gate")
      .With("service", routeCounter_.Service())
      .With("version", routeCounter_.Version())
      .With("state", NameOf(state))
      .With("queued", queue_.Size());
    rolloutGauge_.Set(static_cast<std::int64_t>(state));
  }
  if (answer == RolloutAnswer::Open) {
    return;
  }
  while (const auto item = queue_.Pop()) {
    const auto refusal = RolloutRefusal(answer);
    RefuseNotRun(ExchangePtr(exchanges_[item->key_]), refusal->code_, refusal->detail_);
  }
}

bool
BackendService::IsColdStart(TimePoint aNow)
{
  // A server that says that it is cold for longer than it should be is judged like a warm one.
  return announcement_ && aNow < coldUntil_ &&
         aNow < serverSince_ + checks_.ServiceOf(announcement_->service_).coldStart_.ramp_;
}

void
BackendService::CountSent(ServedExchange& aExchange)
{
  aExchange.countedServer_ = routeCounter_.OnSent();
  aExchange.uncounted_ = IsColdStart(aExchange.dispatchedAt_);
  if (rolloutGate_.PermittedUntil() != TimePoint::max()) {
    rolloutPermitted_.Add();
  }
}

void
BackendService::CountAnswer(ServedExchange& aExchange, const HttpHead& aHead, bool aFault)
{
  if (!aExchange.countedServer_ || aExchange.uncounted_) {
    return;
  }
  const bool rejected = aHead.status_ == kStatusTooMany || aHead.status_ == kStatusMisdirected;
  if (!rejected) {
    routeCounter_.OnAnswer(*aExchange.countedServer_,
                           aExchange.start_.class_,
                           clock_.Now() - aExchange.dispatchedAt_,
                           aFault || aHead.status_ >= kFirstServerError);
    aExchange.answerCounted_ = true;
  }
  // The connection of an answer that can't be passed on is closed here, and not by the server.
  aExchange.uncounted_ = rejected || aFault;
}

void
BackendService::CountDetached(ServedExchange& aExchange, ErrorCode aCode)
{
  const bool expired = aCode == ErrorCode::DeadlineExceeded && !aExchange.headSent_;
  if (expired && aExchange.countedServer_ && !aExchange.uncounted_) {
    routeCounter_.OnAnswer(*aExchange.countedServer_,
                           aExchange.start_.class_,
                           clock_.Now() - aExchange.dispatchedAt_,
                           false);
  }
  aExchange.uncounted_ = true;
}

void
BackendService::CountFailed(ServedExchange& aExchange, const HttpFailure& aFailure)
{
  const auto server = std::exchange(aExchange.countedServer_, std::nullopt);
  if (!server) {
    return;
  }
  if (!aFailure.wrote_) {
    routeCounter_.OnNotSent(*server);
  } else if (!aExchange.uncounted_ && !aExchange.leaseLost_ && !stopped_) {
    routeCounter_.OnBroken(*server, aExchange.start_.class_, aExchange.answerCounted_);
  }
}

} // namespace redwing
