// Part of Exchange: what becomes of a request when this instance stops.

#include "intake/CallerSlot.hpp"
#include "intake/Exchange.hpp"
#include "intake/IntakeCore.hpp"

namespace redwing::Detail {

void
Exchange::RefuseStopping()
{
  Refuse(ErrorCode::Draining,
         "this instance is about to stop",
         unknownCount_ > 0 ? Outcome::Unknown : Outcome::NotRun);
}

void
Exchange::OnAnswerBy()
{
  // A request behind another one is not begun yet, and ends with its connection.
  if (finished_ || responding_ || entry_ == nullptr) {
    return;
  }
  if (attempts_.empty()) {
    RefuseStopping();
    return;
  }
  // Only the serving instances know whether the request runs already.
  for (const Attempt& attempt : attempts_) {
    SendToAttempt(attempt, RequestRecall{ { kLocalLink, attempt.id_ } });
  }
}

std::string_view
Exchange::Stage() const
{
  if (entry_ == nullptr) {
    return "behind_another";
  }
  if (responding_) {
    return "response";
  }
  if (!attempts_.empty()) {
    return "attempt";
  }
  if (!admitted_) {
    return "allowance";
  }
  return started_ ? "target" : "body";
}

void
Exchange::LogUnanswered() const
{
  if (finished_) {
    return;
  }
  const TimePoint now = core_.Now();
  const Attempt* attempt = attempts_.empty() ? nullptr : &attempts_.back();
  RouteLog::Write({ requestId_,
                    entry_ == nullptr ? std::string_view() : std::string_view(entry_->route_->id_),
                    Stage(),
                    attempt == nullptr ? std::string_view() : attempt->instanceId_,
                    attemptCount_,
                    now - arrived_,
                    attempt == nullptr ? Duration() : now - attempt->sentAt_,
                    entry_ != nullptr && entry_->route_->idempotent_ });
}

} // namespace redwing::Detail
