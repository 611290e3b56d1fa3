// Part of FleetService: what rollouts mean for routing, for the placement of shards and for
// operators.

#include "fleet/FleetService.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace redwing {

using std::chrono::milliseconds;

namespace {

using Json = nlohmann::json;

/// Time after which routing no longer follows a leader that is silent. These are the leases of
/// permissions, after which target servers get nothing anyway.
constexpr milliseconds kDirectiveLimit{ 1500 };
constexpr milliseconds kClosingDirectiveLimit{ 6000 };
/// From this share on the target servers take their part of the shards by capacity.
constexpr double kWholeShare = 0.999;

bool
Runs(RolloutPhase aPhase)
{
  return aPhase != RolloutPhase::Completed && aPhase != RolloutPhase::RolledBack;
}

Json
RoutesOf(const ServiceRollout& aRollout)
{
  Json routes = Json::array();
  for (const auto& [key, counts] : aRollout.Usage().Routes()) {
    routes.push_back({ { "route", key.second },
                       { "side", key.first == RolloutSide::Target ? "target" : "old" },
                       { "requests", counts.requests_ },
                       { "failures", counts.failures_ } });
  }
  return routes;
}

} // namespace

RolloutRouting
FleetService::RoutingOf(const KnownRollout& aKnown, TimePoint aNow) const
{
  const RolloutDirective& directive = aKnown.directive_;
  RolloutRouting routing{
    directive.targetVersion_, directive.phase_, directive.share_, directive.targets_
  };
  const milliseconds limit =
    directive.phase_ == RolloutPhase::Closing ? kClosingDirectiveLimit : kDirectiveLimit;
  if (Runs(directive.phase_) && (!aKnown.toldAt_ || aNow - *aKnown.toldAt_ >= limit)) {
    routing.share_ = 0;
  }
  return routing;
}

bool
FleetService::RoutingIsCurrent(TimePoint aNow) const
{
  const auto view = view_.Get();
  return std::all_of(rollouts_.begin(), rollouts_.end(), [&](const auto& aKnown) {
    const auto shown = view->rollouts_.find(aKnown.first);
    // One that has ended is left out once servers of only one version remain.
    return shown == view->rollouts_.end() ? !Runs(aKnown.second.directive_.phase_)
                                          : shown->second == RoutingOf(aKnown.second, aNow);
  });
}

void
FleetService::FillRollouts(RoutingView& aView) const
{
  const TimePoint now = clock_.Now();
  for (const auto& [service, known] : rollouts_) {
    const RolloutDirective& directive = known.directive_;
    bool remain = Runs(directive.phase_);
    for (auto& [id, member] : aView.members_) {
      if (member.service_ != service) {
        continue;
      }
      const bool target = member.version_ == directive.targetVersion_;
      remain = remain || target == (directive.phase_ == RolloutPhase::RolledBack);
      if (IsClosedVersion(service, member.version_)) {
        member.state_ = BackendState::Draining;
      }
    }
    if (remain) {
      aView.rollouts_[service] = RoutingOf(known, now);
    }
  }
}

void
FleetService::LimitToRollout(const std::string& aService,
                             std::vector<ShardCandidate>& aCandidates) const
{
  const ServiceRollout* rollout = coordinator_.Find(aService);
  if (rollout == nullptr) {
    return;
  }
  const RolloutDirective directive = rollout->Announced();
  const RolloutPhase phase = directive.phase_;
  const bool whole = phase == RolloutPhase::Closing || phase == RolloutPhase::Completed ||
                     directive.share_ >= kWholeShare;
  for (ShardCandidate& candidate : aCandidates) {
    const auto member = members_.find(session_.MemberKey(candidate.instanceId_));
    const std::string version =
      member == members_.end() ? std::string() : member->second.record_.member_.version_;
    const bool target = version == directive.targetVersion_;
    const bool used =
      std::find(directive.targets_.begin(), directive.targets_.end(), candidate.instanceId_) !=
      directive.targets_.end();
    if (IsClosedVersion(aService, version) || (target && phase == RolloutPhase::RolledBack)) {
      candidate.accepts_ = false;
    } else if (version.empty()) {
      // The instance has started again and has not heard its server yet.
      candidate.intake_ = ShardIntake::Frozen;
    } else if (rollout->Gathering(clock_.Now())) {
      // Nothing is known of the targets in use yet.
      candidate.intake_ = target ? ShardIntake::Frozen : ShardIntake::Fair;
    } else if (whole) {
      candidate.accepts_ = candidate.accepts_ && target;
    } else if (target) {
      candidate.accepts_ = candidate.accepts_ && used;
      candidate.intake_ = ShardIntake::Limited;
      candidate.limit_ =
        directive.share_ / static_cast<double>(std::max<std::size_t>(1, directive.targets_.size()));
    }
  }
}

void
FleetService::SetRolloutMetrics()
{
  constexpr double kPermille = 1000;
  for (const std::string& service : coordinator_.Services()) {
    const ServiceRollout* rollout = coordinator_.Find(service);
    // A former leader shows nothing.
    const bool shown = rollout != nullptr && leads_;
    const std::string label = "service=\"" + service + "\"";
    const auto set = [&](const char* aName, std::int64_t aValue) {
      counters_.GetGauge(aName, label).Set(shown ? aValue : 0);
    };
    set("redwing_rollout_phase", shown ? static_cast<std::int64_t>(rollout->Phase()) : 0);
    set("redwing_rollout_share_permille",
        shown ? std::lround(rollout->Decision().share_ * kPermille) : 0);
    set("redwing_rollout_targets",
        shown ? static_cast<std::int64_t>(rollout->Targets().size()) : 0);
    set("redwing_rollout_requests",
        shown ? static_cast<std::int64_t>(rollout->Usage().ServiceRequests()) : 0);
    set("redwing_rollout_target_requests",
        shown ? static_cast<std::int64_t>(rollout->Usage().TargetRequests()) : 0);
  }
}

std::string
FleetService::RolloutStatus() const
{
  Json rollouts = Json::array();
  const TimePoint now = clock_.Now();
  for (const auto& [service, known] : rollouts_) {
    const RolloutDirective& directive = known.directive_;
    Json entry{ { "service", service },
                { "version", directive.targetVersion_ },
                { "order", directive.orderRevision_ },
                { "phase", std::string(NameOf(directive.phase_)) },
                { "share", RoutingOf(known, now).share_ },
                { "targets", directive.targets_ } };
    if (const ServiceRollout* rollout = leads_ ? coordinator_.Find(service) : nullptr) {
      entry["reason"] = rollout->Gathering(now) ? "awaits_reports" : rollout->Reason();
      entry["requests"] = rollout->Usage().ServiceRequests();
      entry["target_requests"] = rollout->Usage().TargetRequests();
      entry["routes"] = RoutesOf(*rollout);
    }
    rollouts.push_back(std::move(entry));
  }
  const Json status{ { "leads", leads_ }, { "leader", Leader() }, { "rollouts", rollouts } };
  return status.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace redwing
