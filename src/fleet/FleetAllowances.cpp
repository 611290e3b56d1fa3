// Part of FleetService: admission of requests within the allowances of their workspaces.

#include "core/Log.hpp"
#include "fleet/FleetService.hpp"

#include <algorithm>
#include <utility>

namespace redwing {

using std::chrono::milliseconds;

namespace {

/// Maximum time for which a request waits for the leader's reply about a larger grant.
constexpr milliseconds kAllowanceRequestTimeout{ 80 };
/// Delay before a leader that had nothing left to lend is asked again.
constexpr milliseconds kAllowanceRequestInterval{ 200 };
/// Delay after a call that a leader did not answer, which may have more calls than it can take.
constexpr milliseconds kUnansweredCallInterval{ 100 };
/// Maximum number of requests of one workspace that wait for the leader at the same time.
constexpr std::size_t kMaxWaitingRequests = 64;
/// Maximum time for which a request waits while no leader answers, or while a new one may still be
/// learning which instances are running: after the start of a process and when a leader is lost.
constexpr milliseconds kNewLeaderWait{ 400 };
constexpr milliseconds kFirstGrantInterval{ 50 };
/// Requests are refused at once when no leader has answered for longer than it takes to elect one.
constexpr milliseconds kLeaderChangeTime{ 2000 };
/// Minimum time between two log lines about an exhausted allowance.
constexpr milliseconds kRefusalLogInterval{ 200 };

} // namespace

double
FleetService::AllowanceOf(const Workspace& aWorkspace) const
{
  const double seconds = std::chrono::duration<double>(settings_.budget_.window_).count();
  return (aWorkspace.rate_ * seconds + aWorkspace.burst_) * (1 + settings_.allowanceOvershoot_) +
         settings_.allowanceSlack_;
}

const Workspace*
FleetService::FindWorkspace(const std::string& aId) const
{
  const auto& workspaces = configuration_->configuration_.workspaces_;
  const auto found =
    std::find_if(workspaces.begin(), workspaces.end(), [&](const Workspace& aWorkspace) {
      return aWorkspace.id_ == aId;
    });
  return found == workspaces.end() ? nullptr : &*found;
}

void
FleetService::Admit(const Workspace& aWorkspace, const RateDecision& aDecide)
{
  if (aWorkspace.rate_ <= 0) {
    aDecide({ true });
    return;
  }
  WindowBudget& budget = BudgetOf(aWorkspace);
  if (const auto token = budget.TryTake(clock_.Now())) {
    Grant(budget, *token, aDecide);
  } else if (!QueueForAllowance(aWorkspace, aDecide)) {
    RefuseRate(aWorkspace.id_, aDecide);
  }
}

WindowBudget&
FleetService::BudgetOf(const Workspace& aWorkspace)
{
  WindowBudget& budget =
    budgets_.try_emplace(aWorkspace.id_, settings_.budget_, startedAt_).first->second;
  Refresh(budget, AllowanceOf(aWorkspace));
  return budget;
}

void
FleetService::Refresh(WindowBudget& aBudget, double aAllowance) const
{
  aBudget.SetAllowance(aAllowance, std::max<std::size_t>(1, members_.size()));
  aBudget.SetTimeSinceReply(clock_.Now() - std::max(startedAt_, answeredReportAt_));
}

void
FleetService::ApplyAllowances()
{
  for (const Workspace& workspace : configuration_->configuration_.workspaces_) {
    if (const auto budget = budgets_.find(workspace.id_); budget != budgets_.end()) {
      Refresh(budget->second, AllowanceOf(workspace));
    }
  }
}

bool
FleetService::QueueForAllowance(const Workspace& aWorkspace, const RateDecision& aDecide)
{
  const TimePoint now = clock_.Now();
  AllowanceRequests& pending = allowanceRequests_[aWorkspace.id_];
  const bool mayRequest = !pending.open_ && MayRequestAllowance(pending, now);
  if (pending.waiting_.size() >= kMaxWaitingRequests ||
      (!pending.open_ && !mayRequest && !MayWait(now, now))) {
    return false;
  }
  pending.waiting_.push_back({ aDecide, now });
  if (mayRequest && !allowanceCallOpen_) {
    RequestAllowances();
  }
  return true;
}

bool
FleetService::LeaderIsReachable() const
{
  const std::string leader = Leader();
  return leader == settings_.self_.ref_.id_ ? leads_
                                            : !leader.empty() && !unreachable_.contains(leader);
}

bool
FleetService::MayRequestAllowance(const AllowanceRequests& aPending, TimePoint aNow) const
{
  return LeaderIsReachable() && aNow >= aPending.notBefore_ && aNow >= nextAllowanceCall_;
}

bool
FleetService::MayWait(TimePoint aSince, TimePoint aNow) const
{
  const bool starts = aNow - startedAt_ < settings_.budget_.window_;
  // Without an answer nobody knows whether the allowance is exhausted.
  const bool changes =
    (!leaderAnswers_ || !LeaderIsReachable()) && aNow - answeredReportAt_ < kLeaderChangeTime;
  return (starts || changes) && aNow - aSince < kNewLeaderWait;
}

void
FleetService::RequestAllowances()
{
  const TimePoint now = clock_.Now();
  std::vector<std::string> workspaces;
  std::vector<WorkspaceUse> uses;
  for (auto& [id, pending] : allowanceRequests_) {
    const Workspace* workspace = FindWorkspace(id);
    if (pending.waiting_.empty() || workspace == nullptr || !MayRequestAllowance(pending, now)) {
      continue;
    }
    pending.open_ = true;
    workspaces.push_back(id);
    uses.push_back({ id, UseOf(id, BudgetOf(*workspace), pending.waiting_.size()) });
  }
  if (uses.empty()) {
    return;
  }
  allowanceCallOpen_ = true;
  FleetReport report = StartReport();
  report.uses_ = std::move(uses);
  Send(Leader(),
       report,
       kAllowanceRequestTimeout,
       [this, workspaces = std::move(workspaces)](bool aAnswered) {
         OnAllowanceReply(workspaces, aAnswered);
       });
}

void
FleetService::OnAllowanceReply(const std::vector<std::string>& aWorkspaces, bool aAnswered)
{
  allowanceCallOpen_ = false;
  leaderAnswers_ = aAnswered;
  if (!aAnswered) {
    nextAllowanceCall_ = clock_.Now() + kUnansweredCallInterval;
  }
  for (const std::string& id : aWorkspaces) {
    ResolveAllowanceRequests(id);
  }
  if (!allowanceCallOpen_) {
    RequestAllowances();
  }
}

void
FleetService::ResolveAllowanceRequests(const std::string& aWorkspace)
{
  AllowanceRequests& pending = allowanceRequests_[aWorkspace];
  pending.open_ = false;
  WindowBudget& budget = budgets_.at(aWorkspace);
  Refresh(budget, budget.Allowance());
  // A callback may admit the next request of the workspace, which may be added to waiting_.
  for (AllowanceRequests::Waiting& waiting : std::exchange(pending.waiting_, {})) {
    const TimePoint now = clock_.Now();
    if (const auto token = budget.TryAgain(now)) {
      Grant(budget, *token, waiting.decide_);
      continue;
    }
    const bool waits = MayWait(waiting.since_, now);
    allowanceRequests_[aWorkspace].notBefore_ =
      now + (waits ? kFirstGrantInterval : kAllowanceRequestInterval);
    if (waits) {
      allowanceRequests_[aWorkspace].waiting_.push_back(std::move(waiting));
    } else {
      RefuseRate(aWorkspace, waiting.decide_);
    }
  }
}

void
FleetService::RetryAllowanceRequests()
{
  if (allowanceCallOpen_) {
    return;
  }
  RequestAllowances();
  std::vector<std::string> waiting;
  for (const auto& [workspace, pending] : allowanceRequests_) {
    if (!pending.open_ && !pending.waiting_.empty()) {
      waiting.push_back(workspace);
    }
  }
  for (const std::string& id : waiting) {
    ResolveAllowanceRequests(id);
  }
}

void
FleetService::RefuseRate(const std::string& aWorkspace, const RateDecision& aDecide)
{
  const TimePoint now = clock_.Now();
  const WindowBudget& budget = budgets_.at(aWorkspace);
  rateRefusals_.Add();
  if (now >= nextRefusalLog_) {
    nextRefusalLog_ = now + kRefusalLogInterval;
    LogLine(LogLevel::Info, "allowance_exhausted")
      .With("workspace", aWorkspace)
      .With("used", budget.Used())
      .With("budget", budget.Budget(now))
      .With("allowance", budget.Allowance())
      .With("leader", Leader())
      .With("instances", members_.size());
  }
  const auto wait = std::chrono::ceil<milliseconds>(budget.RetryAfter(now));
  aDecide({ false, static_cast<std::uint32_t>(wait.count()), 0 });
}

void
FleetService::Grant(WindowBudget& aBudget, std::uint64_t aToken, const RateDecision& aDecide)
{
  if (!aDecide({ true, 0, aToken })) {
    aBudget.Refund(aToken);
  }
}

void
FleetService::ReturnToken(const Workspace& aWorkspace, std::uint64_t aToken)
{
  if (const auto budget = budgets_.find(aWorkspace.id_); budget != budgets_.end()) {
    budget->second.Refund(aToken);
  }
}

} // namespace redwing
