#include "fleet/ServiceRollout.hpp"

#include "core/Log.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace redwing {

namespace {

using std::chrono::milliseconds;

/// Time after the sending of a report for which the permission holds that answers it. Report
/// interval, decision and lease together are under the time in which a bad version must get nothing
/// more.
constexpr milliseconds kLease{ 1500 };
/// The same while old servers are closed and don't take over: longer than a change of leader takes.
constexpr milliseconds kClosingLease{ 6000 };
constexpr milliseconds kReportInterval{ 500 };
/// Two reports of a target server may be lost before a closing without any is rolled back.
constexpr milliseconds kClosingWithoutTargets{ 1500 };
/// Time without a report after which a server is not used as a target: three reports.
constexpr milliseconds kReportLimit{ 1500 };

bool
IsFinal(RolloutPhase aPhase)
{
  return aPhase == RolloutPhase::Completed || aPhase == RolloutPhase::RolledBack;
}

} // namespace

ServiceRollout::ServiceRollout(RolloutRecord aRecord,
                               std::unique_ptr<RolloutDecider> aDecider,
                               TimePoint aOrderedAt,
                               TimePoint aLeadsSince,
                               bool aResumed)
  : wanted_(std::move(aRecord))
  , mustWrite_(!aResumed)
  , recorded_(aResumed)
  , decider_(std::move(aDecider))
  , orderedAt_(aOrderedAt)
  , leadsSince_(aLeadsSince)
  , resumed_(aResumed)
  , gathered_(!aResumed)
  , phase_(wanted_.phase_)
  , usage_(wanted_.order_.targetVersion_, aResumed ? TimePoint{} : aOrderedAt)
{
  decision_.phase_ = phase_;
  decision_.share_ = phase_ == RolloutPhase::Completed ? 1 : 0;
}

bool
ServiceRollout::IsTarget(const RolloutServer& aServer) const
{
  return aServer.version_ == wanted_.order_.targetVersion_;
}

std::vector<std::string>
ServiceRollout::ClosedVersions() const
{
  std::vector<std::string> closed = wanted_.closedVersions_;
  const std::string& next = service_.nextVersion_;
  if (!next.empty() && next != wanted_.order_.targetVersion_ &&
      std::find(closed.begin(), closed.end(), next) == closed.end()) {
    closed.push_back(next);
  }
  return closed;
}

bool
ServiceRollout::IsOld(const RolloutServer& aServer) const
{
  const std::vector<std::string> closed = ClosedVersions();
  return !IsTarget(aServer) &&
         std::find(closed.begin(), closed.end(), aServer.version_) == closed.end();
}

void
ServiceRollout::SetService(RolloutService aService, TimePoint aNow)
{
  service_ = std::move(aService);
  std::set<std::string> members;
  for (const RolloutServer& server : service_.servers_) {
    members.insert(server.instanceId_);
    if (IsTarget(server) && server.accepts_) {
      seenAt_.try_emplace(server.instanceId_,
                          server.seenAt_ == TimePoint{} ? aNow : server.seenAt_);
    }
  }
  if (service_.complete_) {
    std::erase_if(seenAt_, [&](const auto& aSeen) { return !members.contains(aSeen.first); });
    usage_.Keep(members);
  }
}

bool
ServiceRollout::AllReported() const
{
  return service_.complete_ && std::all_of(service_.servers_.begin(),
                                           service_.servers_.end(),
                                           [this](const RolloutServer& aServer) {
                                             return usage_.Find(aServer.instanceId_) != nullptr;
                                           });
}

bool
ServiceRollout::Gathering(TimePoint aNow) const
{
  return !gathered_ && !IsFinal(phase_) && (aNow - leadsSince_ < kLease || !AllReported());
}

bool
ServiceRollout::OldClosed() const
{
  return service_.complete_ &&
         std::all_of(service_.servers_.begin(),
                     service_.servers_.end(),
                     [this](const RolloutServer& aServer) {
                       const RolloutUsage::Entry* entry = usage_.Find(aServer.instanceId_);
                       return !IsOld(aServer) ||
                              (entry != nullptr && entry->counts_.closed_ &&
                               entry->counts_.running_ == 0 && !aServer.holdsShards_);
                     });
}

bool
ServiceRollout::WasCold(const std::string& aInstanceId, TimePoint aNow) const
{
  const auto seen = seenAt_.find(aInstanceId);
  return seen != seenAt_.end() && aNow - seen->second < service_.coldTime_ + kReportInterval;
}

std::vector<std::string>
ServiceRollout::UsableTargets(TimePoint aNow) const
{
  std::vector<std::string> usable;
  for (const RolloutServer& server : service_.servers_) {
    const RolloutUsage::Entry* entry = usage_.Find(server.instanceId_);
    if (IsTarget(server) && server.accepts_ && entry != nullptr &&
        entry->counts_.version_ == server.version_ && aNow - entry->reportedAt_ < kReportLimit) {
      usable.push_back(server.instanceId_);
    }
  }
  return usable;
}

RolloutInput
ServiceRollout::InputAt(TimePoint aNow, const std::vector<std::string>& aUsable) const
{
  RolloutInput input;
  input.now_ = aNow;
  input.phase_ = phase_;
  input.serviceRequests_ = usage_.ServiceRequests();
  input.targetRequests_ = usage_.TargetRequests();
  input.requestsPerSecond_ = usage_.RequestsPerSecond(aNow);
  input.oldServers_ = static_cast<std::size_t>(std::count_if(
    service_.servers_.begin(), service_.servers_.end(), [this](const RolloutServer& aServer) {
      return IsOld(aServer) && aServer.accepts_;
    }));
  input.targetServers_ = aUsable.size();
  input.coldTargets_ = static_cast<std::size_t>(
    std::count_if(aUsable.begin(), aUsable.end(), [&](const std::string& aId) {
      const auto seen = seenAt_.find(aId);
      return seen != seenAt_.end() && aNow - seen->second < service_.coldTime_;
    }));
  input.coldPerSecond_ = service_.coldPerSecond_;
  input.oldClosed_ = OldClosed();
  input.leaderFor_ = aNow - leadsSince_;
  return input;
}

void
ServiceRollout::Step(TimePoint aNow)
{
  const bool first = !std::exchange(stepped_, true);
  if (IsFinal(wanted_.phase_)) {
    LogStep(aNow);
    return;
  }
  const bool all = !service_.servers_.empty() &&
                   std::all_of(service_.servers_.begin(),
                               service_.servers_.end(),
                               [this](const RolloutServer& aServer) { return IsTarget(aServer); });
  if (first && !resumed_ && all) {
    wanted_.reason_ = "already_running";
    Want(RolloutPhase::Completed);
    return;
  }
  if (Gathering(aNow)) {
    // A closing that is late still ends: the version is good.
    if (phase_ != RolloutPhase::Closing && aNow - orderedAt_ >= wanted_.order_.duration_) {
      RollBack("reports_missing");
      LogStep(aNow);
    }
    return;
  }
  gathered_ = true;
  const std::vector<std::string> usable = UsableTargets(aNow);
  if (ClosesWithoutTargets(usable, aNow)) {
    RollBack("no_server");
    LogStep(aNow);
    return;
  }
  Apply(decider_->Next(InputAt(aNow, usable)), usable);
  if (phase_ == RolloutPhase::Closing && !closingAnnounced_) {
    closingAnnounced_ = PermittedForClosing();
  }
  LogStep(aNow);
}

bool
ServiceRollout::ClosesWithoutTargets(const std::vector<std::string>& aUsable, TimePoint aNow)
{
  if (phase_ != RolloutPhase::Closing || !aUsable.empty()) {
    targetsLostAt_.reset();
    return false;
  }
  targetsLostAt_ = targetsLostAt_.value_or(aNow);
  return aNow - *targetsLostAt_ >= kClosingWithoutTargets;
}

bool
ServiceRollout::PermittedForClosing() const
{
  return !targets_.empty() &&
         std::all_of(targets_.begin(), targets_.end(), [this](const std::string& aId) {
           return closingPermitted_.contains(aId);
         });
}

void
ServiceRollout::Apply(const RolloutDecision& aDecision, const std::vector<std::string>& aUsable)
{
  decision_ = aDecision;
  const RolloutPhase next = aDecision.phase_;
  if (next == RolloutPhase::RolledBack) {
    RollBack(aDecision.reason_);
    return;
  }
  if (!recorded_) {
    // A later leader must know of the rollout before it uses any target server.
    decision_.share_ = 0;
    ChooseTargets({});
    return;
  }
  const bool ends = next == RolloutPhase::Closing || next == RolloutPhase::Completed;
  if (ends && phase_ != RolloutPhase::Closing) {
    Want(RolloutPhase::Closing);
  } else if (next == RolloutPhase::Completed) {
    // Whatever the decider says: no old server may be cut off while it runs requests, or while
    // nothing could take its place.
    if (OldClosed() && !aUsable.empty()) {
      wanted_.reason_ = aDecision.reason_;
      Want(RolloutPhase::Completed);
    }
  } else {
    Enter(next);
    Want(next);
  }
  ChooseTargets(aUsable);
}

void
ServiceRollout::Want(RolloutPhase aPhase)
{
  mustWrite_ = mustWrite_ || wanted_.phase_ != aPhase;
  wanted_.phase_ = aPhase;
}

void
ServiceRollout::Enter(RolloutPhase aPhase)
{
  if (aPhase == phase_) {
    return;
  }
  if (phase_ == RolloutPhase::Closing) {
    usage_.Reopen();
  }
  closingPermitted_.clear();
  closingAnnounced_ = false;
  phase_ = aPhase;
}

void
ServiceRollout::ChooseTargets(const std::vector<std::string>& aUsable)
{
  std::vector<std::string> next;
  const std::size_t most = std::min(decision_.targets_, aUsable.size());
  const auto take = [&](const std::string& aId, bool aUsed) {
    const bool used = std::find(targets_.begin(), targets_.end(), aId) != targets_.end();
    if (used == aUsed && next.size() < most) {
      next.push_back(aId);
    }
  };
  // Servers that are in use stay so: another one would be cold.
  for (const bool used : { true, false }) {
    for (const std::string& id : aUsable) {
      take(id, used);
    }
  }
  std::sort(next.begin(), next.end());
  targets_ = std::move(next);
}

void
ServiceRollout::RollBack(std::string aReason)
{
  wanted_.reason_ = std::move(aReason);
  Enter(RolloutPhase::RolledBack);
  Want(RolloutPhase::RolledBack);
  decision_.share_ = 0;
  targets_.clear();
  gathered_ = true;
}

void
ServiceRollout::Extend(const RolloutOrder& aOrder, TimePoint aNow)
{
  const auto passed = std::chrono::duration_cast<milliseconds>(aNow - orderedAt_);
  wanted_.order_.duration_ = passed + aOrder.duration_;
  wanted_.latestRevision_ = aOrder.revision_;
  mustWrite_ = true;
  decider_->Extend(wanted_.order_);
}

void
ServiceRollout::OnWritten(const RolloutRecord& aRecord)
{
  recorded_ = true;
  mayBeFinal_ = false;
  mustWrite_ = aRecord != wanted_;
  if (!mustWrite_ && (aRecord.phase_ == RolloutPhase::Closing || IsFinal(aRecord.phase_))) {
    Enter(aRecord.phase_);
    if (phase_ == RolloutPhase::Completed) {
      decision_.share_ = 1;
    }
  }
}

void
ServiceRollout::OnNotWritten(bool aMaybe)
{
  mayBeFinal_ = mayBeFinal_ || aMaybe;
  if (wanted_.phase_ == RolloutPhase::Completed && phase_ != RolloutPhase::Completed &&
      !mayBeFinal_) {
    // The version is judged further while the store is away.
    wanted_.phase_ = phase_;
  }
}

bool
ServiceRollout::Ended() const
{
  return IsFinal(phase_) && !mustWrite_;
}

std::string
ServiceRollout::Reason() const
{
  return IsFinal(wanted_.phase_) ? wanted_.reason_ : decision_.reason_;
}

RolloutDirective
ServiceRollout::Announced() const
{
  RolloutDirective directive;
  directive.service_ = wanted_.order_.service_;
  directive.targetVersion_ = wanted_.order_.targetVersion_;
  directive.orderRevision_ = wanted_.order_.revision_;
  const bool prepares = phase_ == RolloutPhase::Closing && !closingAnnounced_;
  directive.phase_ = prepares ? RolloutPhase::Ramp : phase_;
  directive.share_ = decision_.share_;
  if (phase_ == RolloutPhase::Waiting && wanted_.phase_ == RolloutPhase::Completed) {
    // All servers run the version already; they must not wait for the store.
    directive.phase_ = RolloutPhase::Completed;
    directive.share_ = 1;
  }
  directive.targets_ = targets_;
  directive.closedVersions_ = ClosedVersions();
  return directive;
}

void
ServiceRollout::OnReport(const RolloutReport& aReport,
                         TimePoint aNow,
                         std::vector<RolloutDirective>& aDirectives)
{
  const bool known = aReport.counts_.orderRevision_ == wanted_.order_.revision_;
  if (known) {
    const bool cold = WasCold(aReport.instanceId_, aNow);
    usage_.OnReport(
      aReport, aNow, [&](RolloutSide aSide, const RouteCounts& aDelta, bool aEarlier) {
        if (aEarlier) {
          decider_->AddEarlier(aSide, aDelta);
        } else {
          decider_->Add(aSide, aDelta, aNow, cold);
        }
      });
  }
  if (known && Gathering(aNow)) {
    return;
  }
  if (known && (!gathered_ || aReport.counts_.version_ == wanted_.order_.targetVersion_)) {
    // The report may be the evidence against the permission that would answer it, or the last one
    // that a new leader waits for: its reply needs a first step.
    Step(aNow);
  }
  if (known && !decision_.permits_ && !IsFinal(phase_) && phase_ != RolloutPhase::Waiting) {
    return;
  }
  // A server that counts from another order learns of this one; it had no permission for it.
  RolloutDirective directive = Announced();
  if (known && phase_ == RolloutPhase::Closing && aReport.counts_.closed_) {
    // An earlier leader has closed this server. Opened again, it could run requests at the end.
    directive.phase_ = RolloutPhase::Closing;
  }
  const std::string& id = aReport.instanceId_;
  const bool used = std::find(targets_.begin(), targets_.end(), id) != targets_.end();
  const bool permits = known && used && !IsFinal(phase_) && phase_ != RolloutPhase::Waiting &&
                       aReport.counts_.version_ == wanted_.order_.targetVersion_;
  if (permits) {
    const bool closing = phase_ == RolloutPhase::Closing;
    const milliseconds lease = closing ? kClosingLease : kLease;
    directive.validForMs_ = static_cast<std::uint32_t>(lease.count());
    directive.arrivalLimit_ = usage_.Permit(id,
                                            decision_.arrivalLimit_,
                                            targets_.size(),
                                            phase_ != RolloutPhase::Closing,
                                            aNow + lease,
                                            aNow);
    if (closing) {
      closingPermitted_.insert(id);
    }
  }
  aDirectives.push_back(std::move(directive));
}

void
ServiceRollout::LogStep(TimePoint aNow)
{
  std::string step(NameOf(phase_));
  // Shares that differ by less than a hundredth are one step.
  step += "/" + std::string(NameOf(wanted_.phase_)) + "/" +
          std::to_string(std::lround(decision_.share_ * 100)) + "/" +
          std::to_string(targets_.size()) + "/" + Reason();
  if (std::exchange(logged_, step) == step) {
    return;
  }
  const RolloutInput input = InputAt(aNow, UsableTargets(aNow));
  LogLine(LogLevel::Info, "rollout_step")
    .With("service", wanted_.order_.service_)
    .With("version", wanted_.order_.targetVersion_)
    .With("order", wanted_.order_.revision_)
    .With("phase", NameOf(phase_))
    .With("next", NameOf(wanted_.phase_))
    .With("reason", Reason())
    .With("route", decision_.route_)
    .With("share", decision_.share_)
    .With("targets", targets_.size())
    .With("target_servers", input.targetServers_)
    .With("old_servers", input.oldServers_)
    .With("requests", input.serviceRequests_)
    .With("target_requests", input.targetRequests_)
    .With("judged_old", decision_.old_.requests_)
    .With("failed_old", decision_.old_.failures_)
    .With("typical_ms_old", decision_.old_.typicalMs_)
    .With("judged_target", decision_.target_.requests_)
    .With("failed_target", decision_.target_.failures_)
    .With("typical_ms_target", decision_.target_.typicalMs_)
    .With("ms", std::chrono::duration_cast<milliseconds>(aNow - orderedAt_).count());
}

} // namespace redwing
