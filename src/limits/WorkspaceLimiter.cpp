#include "limits/WorkspaceLimiter.hpp"

#include <algorithm>
#include <utility>

namespace redwing {

namespace {

/// Holders of workspaces without requests for this time are removed.
constexpr Duration kIdleTime = std::chrono::seconds(60);

} // namespace

WorkspaceLimiter::WorkspaceLimiter(const Clock& aClock,
                                   SendRequest aSendRequest,
                                   SendReport aSendReport)
  : clock_(aClock)
  , sendRequest_(std::move(aSendRequest))
  , sendReport_(std::move(aSendReport))
{
}

void
WorkspaceLimiter::Admit(std::string_view aWorkspace, TimePoint aDeadline, Decide aDecide)
{
  const TimePoint now = clock_.Now();
  auto found = entries_.find(aWorkspace);
  if (found == entries_.end()) {
    const std::string workspace(aWorkspace);
    found = entries_.emplace(workspace, Entry{ SliceHolder(workspace), now }).first;
  }
  Entry& entry = found->second;
  entry.lastRequest_ = now;
  const std::uint64_t waiterId = nextWaiterId_++;
  const auto admission = entry.holder_.Admit(waiterId, aDeadline, now);
  if (admission == SliceHolder::Admission::Waiting) {
    waiting_.emplace(waiterId, std::move(aDecide));
    Send(entry.holder_, now);
    return;
  }
  Send(entry.holder_, now);
  aDecide(admission == SliceHolder::Admission::Admitted, entry.holder_.RetryAfterMs());
}

void
WorkspaceLimiter::OnReply(const SliceReply& aReply)
{
  const auto found = entries_.find(aReply.workspace_);
  if (found == entries_.end()) {
    return;
  }
  const TimePoint now = clock_.Now();
  const auto decisions = found->second.holder_.OnReply(aReply, now);
  Send(found->second.holder_, now);
  NotifyWaiters(decisions);
}

void
WorkspaceLimiter::Tick()
{
  const TimePoint now = clock_.Now();
  std::vector<WaiterDecision> decisions;
  for (auto& [workspace, entry] : entries_) {
    const auto holderDecisions = entry.holder_.Tick(now);
    decisions.insert(decisions.end(), holderDecisions.begin(), holderDecisions.end());
    Send(entry.holder_, now);
  }
  std::erase_if(entries_,
                [&](const auto& aEntry) { return now - aEntry.second.lastRequest_ > kIdleTime; });
  NotifyWaiters(decisions);
}

bool
WorkspaceLimiter::Idle() const
{
  const TimePoint now = clock_.Now();
  return std::all_of(entries_.begin(), entries_.end(), [now](const auto& aEntry) {
    return aEntry.second.holder_.Idle(now);
  });
}

void
WorkspaceLimiter::Send(SliceHolder& aHolder, TimePoint aNow)
{
  if (const auto request = aHolder.TakeRequest(aNow)) {
    sendRequest_(*request);
  }
  for (const SliceReport& report : aHolder.TakeReports(aNow)) {
    sendReport_(report);
  }
}

void
WorkspaceLimiter::NotifyWaiters(const std::vector<WaiterDecision>& aDecisions)
{
  for (const WaiterDecision& decision : aDecisions) {
    auto waiter = waiting_.extract(decision.waiterId_);
    if (!waiter.empty()) {
      waiter.mapped()(decision.admitted_, decision.retryAfterMs_);
    }
  }
}

} // namespace redwing
