#include "fleet/RolloutCoordinator.hpp"

#include "core/Log.hpp"
#include "store/StoreRevision.hpp"

#include <algorithm>
#include <utility>

namespace redwing {

namespace {

using std::chrono::milliseconds;

/// Returns whether a record is from before the end of a rollout that an earlier leader told of: the
/// store came back from an older copy, and its entries have the revisions that they had.
bool
IsBehind(const RolloutRecord& aStored, const RolloutDirective& aEnded)
{
  if (aStored.order_.revision_ == aEnded.orderRevision_) {
    return aStored.phase_ != aEnded.phase_;
  }
  return EpochOf(aStored.latestRevision_) == EpochOf(aEnded.orderRevision_) &&
         NumberOf(aStored.latestRevision_) < NumberOf(aEnded.orderRevision_);
}

} // namespace

bool
IsSameOrder(std::uint64_t aRevision, std::uint64_t aOther)
{
  return NumberOf(aRevision) == NumberOf(aOther);
}

RolloutCoordinator::RolloutCoordinator(RolloutDeciderFactory aMakeDecider, TimeOfDay aTimeOfDay)
  : makeDecider_(std::move(aMakeDecider))
  , timeOfDay_(std::move(aTimeOfDay))
{
}

std::int64_t
RolloutCoordinator::UnixMilliseconds() const
{
  return std::chrono::duration_cast<milliseconds>(timeOfDay_().time_since_epoch()).count();
}

void
RolloutCoordinator::SetOrders(const std::vector<RolloutOrder>& aOrders, TimePoint aNow)
{
  std::map<std::string, SeenOrder> next;
  for (const RolloutOrder& order : aOrders) {
    const auto known = orders_.find(order.service_);
    const bool same = known != orders_.end() &&
                      IsSameOrder(known->second.order_.revision_, order.revision_) &&
                      known->second.order_.targetVersion_ == order.targetVersion_;
    next[order.service_] = { order, same ? known->second.seenAt_ : aNow };
  }
  orders_ = std::move(next);
}

void
RolloutCoordinator::Begin(const std::vector<RolloutRecord>& aRecords,
                          const std::vector<RolloutDirective>& aEnded,
                          TimePoint aNow)
{
  End();
  leads_ = true;
  leadsSince_ = aNow;
  for (const RolloutRecord& record : aRecords) {
    Resume(record, false, aNow);
  }
  for (const RolloutDirective& ended : aEnded) {
    const auto found = rollouts_.find(ended.service_);
    const RolloutRecord* stored = found == rollouts_.end() ? nullptr : &found->second->Wanted();
    if (stored != nullptr && !IsBehind(*stored, ended)) {
      continue;
    }
    LogLine(LogLevel::Warning, "rollout_record_behind")
      .With("service", ended.service_)
      .With("version", ended.targetVersion_)
      .With("stored", stored == nullptr ? "none" : NameOf(stored->phase_))
      .With("known", NameOf(ended.phase_));
    RolloutRecord record;
    const bool same = stored != nullptr && stored->order_.revision_ == ended.orderRevision_;
    if (same) {
      record = *stored;
    } else {
      record.order_ = { ended.service_, ended.targetVersion_, {}, ended.orderRevision_ };
      record.latestRevision_ = ended.orderRevision_;
      record.orderedAt_ = UnixMilliseconds();
    }
    record.phase_ = ended.phase_;
    record.closedVersions_ = ended.closedVersions_;
    Resume(std::move(record), true, aNow);
  }
}

void
RolloutCoordinator::Resume(RolloutRecord aRecord, bool aWriteAgain, TimePoint aNow)
{
  // The time of day may have jumped.
  const std::int64_t passed = std::max<std::int64_t>(0, UnixMilliseconds() - aRecord.orderedAt_);
  const TimePoint orderedAt = aNow - milliseconds(passed);
  const std::string service = aRecord.order_.service_;
  auto decider = makeDecider_(aRecord, orderedAt);
  auto rollout = std::make_unique<ServiceRollout>(
    std::move(aRecord), std::move(decider), orderedAt, leadsSince_, true);
  if (aWriteAgain) {
    rollout->WriteAgain();
  }
  rollouts_[service] = std::move(rollout);
}

void
RolloutCoordinator::End()
{
  leads_ = false;
  rollouts_.clear();
  services_.clear();
  writing_.clear();
}

void
RolloutCoordinator::OnStoreRestored()
{
  for (const auto& [service, rollout] : rollouts_) {
    rollout->WriteAgain();
  }
}

std::set<std::string>
RolloutCoordinator::Services() const
{
  std::set<std::string> services;
  for (const auto& [service, order] : orders_) {
    services.insert(service);
  }
  for (const auto& [service, rollout] : rollouts_) {
    services.insert(service);
  }
  return services;
}

void
RolloutCoordinator::SetService(const std::string& aService, RolloutService aState, TimePoint aNow)
{
  const auto order = orders_.find(aService);
  const auto rollout = rollouts_.find(aService);
  if (order != orders_.end() && rollout != rollouts_.end() &&
      order->second.order_.targetVersion_ != rollout->second->Order().targetVersion_) {
    aState.nextVersion_ = order->second.order_.targetVersion_;
  }
  if (rollout != rollouts_.end()) {
    rollout->second->SetService(aState, aNow);
  }
  services_[aService] = std::move(aState);
}

RolloutReply
RolloutCoordinator::OnReport(const RolloutReport& aReport, TimePoint aNow)
{
  RolloutReply reply;
  reply.leads_ = leads_;
  const auto rollout = rollouts_.find(aReport.counts_.service_);
  if (leads_ && rollout != rollouts_.end()) {
    rollout->second->OnReport(aReport, aNow, reply.directives_);
  }
  return reply;
}

void
RolloutCoordinator::Step(TimePoint aNow)
{
  if (!leads_) {
    return;
  }
  for (const std::string& service : Services()) {
    Follow(service, aNow);
    const auto rollout = rollouts_.find(service);
    if (rollout != rollouts_.end()) {
      rollout->second->Step(aNow);
    }
  }
}

void
RolloutCoordinator::Follow(const std::string& aService, TimePoint aNow)
{
  const auto seen = orders_.find(aService);
  const SeenOrder* order = seen == orders_.end() ? nullptr : &seen->second;
  const auto found = rollouts_.find(aService);
  if (found == rollouts_.end()) {
    if (order != nullptr) {
      Start(*order, nullptr, aNow);
    }
    return;
  }
  ServiceRollout& rollout = *found->second;
  const RolloutRecord& record = rollout.Wanted();
  if (!rollout.Ended()) {
    FollowOrder(rollout, order, aNow);
  } else if (order != nullptr && (!IsSameOrder(order->order_.revision_, record.latestRevision_) ||
                                  order->order_.targetVersion_ != record.order_.targetVersion_)) {
    Start(*order, &rollout, aNow);
  }
}

void
RolloutCoordinator::FollowOrder(ServiceRollout& aRollout, const SeenOrder* aOrder, TimePoint aNow)
{
  const RolloutRecord& record = aRollout.Wanted();
  const bool final =
    record.phase_ == RolloutPhase::Completed || record.phase_ == RolloutPhase::RolledBack;
  if (final) {
    return;
  }
  if (aOrder == nullptr) {
    aRollout.RollBack("order_deleted");
  } else if (aOrder->order_.targetVersion_ != record.order_.targetVersion_) {
    aRollout.RollBack("order_replaced");
  } else if (!IsSameOrder(aOrder->order_.revision_, record.latestRevision_)) {
    LogLine(LogLevel::Info, "rollout_extended")
      .With("service", record.order_.service_)
      .With("version", record.order_.targetVersion_)
      .With("order", aOrder->order_.revision_);
    aRollout.Extend(aOrder->order_, aNow);
  }
}

void
RolloutCoordinator::Start(const SeenOrder& aOrder, const ServiceRollout* aEarlier, TimePoint aNow)
{
  const std::string& service = aOrder.order_.service_;
  const TimePoint orderedAt = std::min(aOrder.seenAt_, aNow);
  RolloutRecord record;
  record.order_ = aOrder.order_;
  record.latestRevision_ = aOrder.order_.revision_;
  record.orderedAt_ = std::max<std::int64_t>(
    0, UnixMilliseconds() - std::chrono::duration_cast<milliseconds>(aNow - orderedAt).count());
  if (aEarlier != nullptr) {
    const RolloutRecord& earlier = aEarlier->Wanted();
    record.closedVersions_ = earlier.closedVersions_;
    if (earlier.phase_ == RolloutPhase::RolledBack) {
      record.closedVersions_.push_back(earlier.order_.targetVersion_);
    }
  }
  const std::vector<RolloutServer>& servers = services_[service].servers_;
  std::erase_if(record.closedVersions_, [&](const std::string& aVersion) {
    return aVersion == record.order_.targetVersion_ ||
           std::none_of(servers.begin(), servers.end(), [&](const RolloutServer& aServer) {
             return aServer.version_ == aVersion;
           });
  });
  LogLine(LogLevel::Info, "rollout_begins")
    .With("service", service)
    .With("version", record.order_.targetVersion_)
    .With("order", record.order_.revision_)
    .With("duration_ms", record.order_.duration_.count());
  auto decider = makeDecider_(record, orderedAt);
  auto rollout = std::make_unique<ServiceRollout>(
    std::move(record), std::move(decider), orderedAt, leadsSince_, false);
  RolloutService state = services_[service];
  state.nextVersion_.clear();
  rollout->SetService(std::move(state), aNow);
  rollouts_[service] = std::move(rollout);
}

std::optional<RolloutRecord>
RolloutCoordinator::TakeWrite()
{
  for (const auto& [service, rollout] : rollouts_) {
    if (rollout->MustWrite() && writing_.insert(service).second) {
      return rollout->Wanted();
    }
  }
  return std::nullopt;
}

void
RolloutCoordinator::OnWrite(const RolloutRecord& aRecord, RolloutWriteOutcome aOutcome)
{
  writing_.erase(aRecord.order_.service_);
  const auto rollout = rollouts_.find(aRecord.order_.service_);
  if (rollout == rollouts_.end() ||
      rollout->second->Order().revision_ != aRecord.order_.revision_) {
    return;
  }
  if (aOutcome == RolloutWriteOutcome::Written) {
    rollout->second->OnWritten(aRecord);
  } else {
    rollout->second->OnNotWritten(aOutcome == RolloutWriteOutcome::Unknown);
  }
}

std::vector<RolloutDirective>
RolloutCoordinator::Announced(TimePoint aNow) const
{
  std::vector<RolloutDirective> directives;
  for (const auto& entry : rollouts_) {
    const ServiceRollout& rollout = *entry.second;
    const std::vector<RolloutServer>& servers = rollout.Service().servers_;
    const RolloutPhase phase = rollout.Phase();
    const bool remain =
      std::any_of(servers.begin(), servers.end(), [&](const RolloutServer& aServer) {
        return rollout.IsTarget(aServer) == (phase == RolloutPhase::RolledBack);
      });
    const bool ended = phase == RolloutPhase::Completed || phase == RolloutPhase::RolledBack;
    if (!rollout.Gathering(aNow) && (!ended || rollout.MustWrite() || remain)) {
      directives.push_back(rollout.Announced());
    }
  }
  return directives;
}

bool
RolloutCoordinator::Idle() const
{
  return std::all_of(rollouts_.begin(), rollouts_.end(), [](const auto& aRollout) {
    return aRollout.second->Ended();
  });
}

const ServiceRollout*
RolloutCoordinator::Find(const std::string& aService) const
{
  const auto rollout = rollouts_.find(aService);
  return rollout == rollouts_.end() ? nullptr : rollout->second.get();
}

} // namespace redwing
