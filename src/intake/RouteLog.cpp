#include "intake/RouteLog.hpp"

#include "core/Log.hpp"

#include <utility>

namespace redwing::Detail {

namespace {

std::int64_t
Milliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

} // namespace

RouteLog::RouteLog(const Clock& aClock, std::uint32_t aLinesPerSecond)
  : clock_(aClock)
  , linesPerSecond_(aLinesPerSecond)
  , decisions_{ aLinesPerSecond }
  , refusals_{ aLinesPerSecond }
  , abandoned_{ aLinesPerSecond }
{
}

bool
RouteLog::Take(Budget& aBudget)
{
  if (aBudget.left_ == 0) {
    const TimePoint now = clock_.Now();
    if (now < aBudget.windowEnd_ || linesPerSecond_ == 0) {
      ++aBudget.suppressed_;
      return false;
    }
    aBudget.left_ = linesPerSecond_;
  }
  if (aBudget.left_ == linesPerSecond_) {
    aBudget.windowEnd_ = clock_.Now() + std::chrono::seconds(1);
  }
  --aBudget.left_;
  return true;
}

void
RouteLog::Write(const RefusedRequest& aRefused)
{
  if (!Take(refusals_)) {
    return;
  }
  LogLine line(LogLevel::Info, "refused");
  line.With("request_id", aRefused.requestId_)
    .With("workspace", aRefused.workspace_)
    .With("route", aRefused.route_)
    .With("code", aRefused.code_)
    .With("outcome", aRefused.outcome_)
    .With("detail", aRefused.detail_)
    .With("attempts", aRefused.attempts_)
    .With("age_ms", Milliseconds(aRefused.age_))
    .With("configuration", aRefused.configurationRevision_);
  if (refusals_.suppressed_ > 0) {
    line.With("suppressed", std::exchange(refusals_.suppressed_, 0));
  }
}

void
RouteLog::Write(const RouteDecision& aDecision)
{
  if (!Take(decisions_)) {
    return;
  }
  LogLine line(LogLevel::Info, "route");
  line.With("request_id", aDecision.requestId_)
    .With("workspace", aDecision.workspace_)
    .With("route", aDecision.route_)
    .With("service", aDecision.service_);
  if (aDecision.shard_ >= 0) {
    line.With("shard", aDecision.shard_);
  }
  line.With("target", aDecision.target_)
    .With("attempt", aDecision.attempt_)
    .With("reason", aDecision.reason_)
    .With("age_ms", Milliseconds(aDecision.age_));
  if (decisions_.suppressed_ > 0) {
    line.With("suppressed", std::exchange(decisions_.suppressed_, 0));
  }
}

void
RouteLog::Write(const AbandonedRequest& aAbandoned)
{
  if (!Take(abandoned_)) {
    return;
  }
  LogLine line(LogLevel::Info, "abandoned");
  line.With("request_id", aAbandoned.requestId_)
    .With("workspace", aAbandoned.workspace_)
    .With("route", aAbandoned.route_)
    .With("attempts", aAbandoned.attempts_)
    .With("age_ms", Milliseconds(aAbandoned.age_))
    .With("first", aAbandoned.firstOfConnection_ ? "yes" : "no");
  if (abandoned_.suppressed_ > 0) {
    line.With("suppressed", std::exchange(abandoned_.suppressed_, 0));
  }
}

void
RouteLog::Write(const UnansweredRequest& aUnanswered)
{
  LogLine line(LogLevel::Warning, "unanswered");
  line.With("request_id", aUnanswered.requestId_)
    .With("route", aUnanswered.route_)
    .With("stage", aUnanswered.stage_)
    .With("attempts", aUnanswered.attempts_)
    .With("age_ms", Milliseconds(aUnanswered.age_))
    .With("idempotent", aUnanswered.idempotent_ ? "yes" : "no");
  if (!aUnanswered.target_.empty()) {
    line.With("target", aUnanswered.target_)
      .With("attempt_age_ms", Milliseconds(aUnanswered.attemptAge_));
  }
}

} // namespace redwing::Detail
