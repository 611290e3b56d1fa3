#include "intake/RouteLog.hpp"

#include "core/Log.hpp"

namespace redwing::Detail {

RouteLog::RouteLog(const Clock& aClock, std::uint32_t aLinesPerSecond)
  : clock_(aClock)
  , linesPerSecond_(aLinesPerSecond)
  , left_(aLinesPerSecond)
{
}

void
RouteLog::Write(const RouteDecision& aDecision)
{
  if (left_ == 0) {
    const TimePoint now = clock_.Now();
    if (now < windowEnd_ || linesPerSecond_ == 0) {
      ++suppressed_;
      return;
    }
    left_ = linesPerSecond_;
  }
  if (left_ == linesPerSecond_) {
    windowEnd_ = clock_.Now() + std::chrono::seconds(1);
  }
  --left_;
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
    .With("reason", aDecision.reason_);
  if (suppressed_ > 0) {
    line.With("suppressed", suppressed_);
    suppressed_ = 0;
  }
}

} // namespace redwing::Detail
