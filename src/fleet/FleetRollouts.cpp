// Part of FleetService: rollouts. The leader's coordinator is fed and its decisions are carried to
// the other instances and to the store; each instance follows what it is told.

#include "core/Log.hpp"
#include "fleet/FleetService.hpp"
#include "fleet/RolloutRecordText.hpp"
#include "store/StoreRevision.hpp"

#include <algorithm>
#include <utility>

namespace redwing {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kRolloutReportInterval{ 500 };
constexpr milliseconds kRolloutReportTimeout{ 450 };
constexpr milliseconds kNoticeInterval{ 1000 };
/// Least time between two notices; shares may change in each turn.
constexpr milliseconds kMinNoticeInterval{ 100 };
constexpr milliseconds kNoticeTimeout{ 400 };
/// Least time between a write that failed, or one of a phase that is not final, and the next.
constexpr milliseconds kWriteInterval{ 300 };
/// Interval of the leader's steps, with and without a rollout that runs.
constexpr milliseconds kStepInterval{ 100 };
constexpr milliseconds kIdleStepInterval{ 1000 };

bool
Runs(RolloutPhase aPhase)
{
  return aPhase != RolloutPhase::Completed && aPhase != RolloutPhase::RolledBack;
}

/// Returns whether aRecord tells more than aDirective, which no leader has sent.
bool
IsBehind(const RolloutDirective& aDirective, const RolloutRecord& aRecord)
{
  const bool sameOrder = IsSameOrder(aDirective.orderRevision_, aRecord.latestRevision_) &&
                         aDirective.targetVersion_ == aRecord.order_.targetVersion_;
  const bool same =
    aDirective.orderRevision_ == aRecord.order_.revision_ && aDirective.phase_ == aRecord.phase_;
  return !same && (sameOrder || aDirective.orderRevision_ <= aRecord.latestRevision_);
}

RolloutDirective
DirectiveOf(const RolloutRecord& aRecord)
{
  RolloutDirective directive;
  directive.service_ = aRecord.order_.service_;
  directive.targetVersion_ = aRecord.order_.targetVersion_;
  directive.orderRevision_ = aRecord.order_.revision_;
  directive.phase_ = aRecord.phase_;
  directive.share_ = aRecord.phase_ == RolloutPhase::Completed ? 1 : 0;
  directive.closedVersions_ = aRecord.closedVersions_;
  return directive;
}

} // namespace

void
FleetService::OnRolloutOrders(std::vector<RolloutOrder> aOrders)
{
  if (!settings_.rollouts_.enabled_) {
    return;
  }
  rolloutOrders_ = std::move(aOrders);
  ForgetDeletedOrders();
  coordinator_.SetOrders(rolloutOrders_, clock_.Now());
  nextRolloutStep_ = {};
  ReadRolloutRecords();
  // Servers of a version that was just ordered must get nothing before the leader permits it.
  PublishView();
  if (const auto own = rollouts_.find(settings_.self_.service_); own != rollouts_.end()) {
    DirectLocalServer(own->second.directive_, TimePoint{});
  }
}

void
FleetService::ForgetDeletedOrders()
{
  const auto isOrdered = [this](const std::string& aService) {
    return std::any_of(rolloutOrders_.begin(), rolloutOrders_.end(), [&](const auto& aOrder) {
      return aOrder.service_ == aService;
    });
  };
  for (auto known = rollouts_.begin(); known != rollouts_.end();) {
    // An order that no leader has begun leaves no record, and nobody else opens its version again.
    const bool begun = known->second.toldAt_ ||
                       session_.All().contains(session_.RolloutsPrefix() + known->first) ||
                       known->second.directive_.phase_ != RolloutPhase::Waiting;
    if (begun || isOrdered(known->first)) {
      ++known;
      continue;
    }
    RolloutDirective opened = known->second.directive_;
    opened.phase_ = RolloutPhase::Completed;
    if (opened.service_ == settings_.self_.service_ && opened.targetVersion_ == serverVersion_) {
      DirectLocalServer(opened, TimePoint{});
    }
    viewDirty_ = true;
    known = rollouts_.erase(known);
  }
}

std::vector<RolloutRecord>
FleetService::RolloutRecords()
{
  std::vector<RolloutRecord> records;
  const std::string prefix = session_.RolloutsPrefix();
  for (auto entry = session_.All().lower_bound(prefix);
       entry != session_.All().end() && entry->first.starts_with(prefix);
       ++entry) {
    auto record = ParseRolloutRecord(entry->second.value_);
    if (!record) {
      LogInvalid(
        entry->first, entry->second.modRevision_, "rollout_record_invalid", record.error());
      continue;
    }
    records.push_back(std::move(*record));
  }
  return records;
}

void
FleetService::ReadRolloutRecords()
{
  for (const RolloutRecord& record : RolloutRecords()) {
    const auto known = rollouts_.find(record.order_.service_);
    if (known == rollouts_.end() ||
        (!known->second.toldAt_ && IsBehind(known->second.directive_, record))) {
      AdoptDirective(DirectiveOf(record), {}, false);
    }
  }
  for (const RolloutOrder& order : rolloutOrders_) {
    const auto known = rollouts_.find(order.service_);
    const bool other = known == rollouts_.end() ||
                       (known->second.directive_.targetVersion_ != order.targetVersion_ &&
                        !Runs(known->second.directive_.phase_));
    if (other && !AllServersRun(order)) {
      RolloutDirective directive;
      directive.service_ = order.service_;
      directive.targetVersion_ = order.targetVersion_;
      directive.orderRevision_ = order.revision_;
      if (known != rollouts_.end()) {
        directive.closedVersions_ = known->second.directive_.closedVersions_;
        if (known->second.directive_.phase_ == RolloutPhase::RolledBack) {
          directive.closedVersions_.push_back(known->second.directive_.targetVersion_);
        }
      }
      AdoptDirective(directive, {}, false);
    }
  }
}

bool
FleetService::AllServersRun(const RolloutOrder& aOrder) const
{
  bool any = false;
  for (const auto& [key, known] : members_) {
    const Member& member = known.record_.member_;
    if (member.service_ != aOrder.service_) {
      continue;
    }
    if (member.version_ != aOrder.targetVersion_) {
      return false;
    }
    any = true;
  }
  return any;
}

void
FleetService::AdoptDirective(const RolloutDirective& aDirective, TimePoint aSentAt, bool aTold)
{
  KnownRollout& known = rollouts_[aDirective.service_];
  viewDirty_ = viewDirty_ || known.directive_.closedVersions_ != aDirective.closedVersions_;
  known.directive_ = aDirective;
  known.toldAt_ = aTold ? std::optional(clock_.Now()) : std::nullopt;
  if (aDirective.service_ == settings_.self_.service_) {
    DirectLocalServer(aDirective, aSentAt);
  }
}

void
FleetService::DirectLocalServer(const RolloutDirective& aDirective, TimePoint aSentAt)
{
  directedVersion_ = serverVersion_;
  if (!hooks_.rollout_) {
    return;
  }
  if (!IsClosedVersion(aDirective.service_, serverVersion_)) {
    hooks_.rollout_(aDirective, aSentAt);
    return;
  }
  RolloutDirective closed;
  closed.service_ = aDirective.service_;
  closed.targetVersion_ = serverVersion_;
  closed.orderRevision_ = aDirective.orderRevision_;
  closed.phase_ = RolloutPhase::RolledBack;
  hooks_.rollout_(closed, aSentAt);
}

bool
FleetService::IsClosedVersion(const std::string& aService, const std::string& aVersion) const
{
  const auto known = rollouts_.find(aService);
  if (known == rollouts_.end() || aVersion.empty() ||
      aVersion == known->second.directive_.targetVersion_) {
    return false;
  }
  const std::vector<std::string>& closed = known->second.directive_.closedVersions_;
  return std::find(closed.begin(), closed.end(), aVersion) != closed.end() ||
         std::any_of(rolloutOrders_.begin(), rolloutOrders_.end(), [&](const RolloutOrder& aOrder) {
           return aOrder.service_ == aService && aOrder.targetVersion_ == aVersion;
         });
}

void
FleetService::NoteVersions(TimePoint aNow)
{
  if (rollouts_.empty()) {
    versionsSeen_.clear();
    return;
  }
  for (const auto& [key, known] : members_) {
    const Member& member = known.record_.member_;
    const auto [seen, first] = versionsSeen_.try_emplace(member.ref_.id_, member.version_, aNow);
    if (!first && seen->second.first != member.version_) {
      seen->second = { member.version_, aNow };
    }
  }
}

void
FleetService::UpdateRollouts(TimePoint aNow)
{
  if (!settings_.rollouts_.enabled_) {
    return;
  }
  LeadRollouts(aNow);
  const auto own = rollouts_.find(settings_.self_.service_);
  if (own != rollouts_.end()) {
    if (directedVersion_ != serverVersion_) {
      DirectLocalServer(own->second.directive_, TimePoint{});
    }
    if (Runs(own->second.directive_.phase_) && aNow >= nextRolloutReport_) {
      nextRolloutReport_ = aNow + kRolloutReportInterval;
      SendRolloutReport(aNow);
    }
  }
  viewDirty_ = viewDirty_ || !RoutingIsCurrent(aNow);
}

void
FleetService::SendRolloutReport(TimePoint aNow)
{
  const std::string leader = Leader();
  if (leader.empty()) {
    return;
  }
  const RolloutDirective& directive = rollouts_.at(settings_.self_.service_).directive_;
  RolloutReport report;
  report.instanceId_ = settings_.self_.ref_.id_;
  report.incarnation_ = settings_.self_.ref_.incarnation_;
  if (hooks_.serverCounts_) {
    report.counts_ = hooks_.serverCounts_(directive.service_, directive.orderRevision_);
  }
  report.counts_.service_ = directive.service_;
  report.counts_.orderRevision_ = directive.orderRevision_;
  if (report.counts_.version_.empty()) {
    report.counts_.version_ = serverVersion_;
  }
  if (leader == settings_.self_.ref_.id_) {
    OnRolloutReply(coordinator_.OnReport(report, aNow), aNow);
    return;
  }
  hooks_.call_(leader,
               WriteWire(FleetRequest(report)),
               kRolloutReportTimeout,
               [this, aNow](bool aAnswered, const std::string& aReply) {
                 RolloutReply reply;
                 if (aAnswered && ReadWire(aReply, reply)) {
                   OnRolloutReply(reply, aNow);
                 }
               });
}

void
FleetService::OnRolloutReply(const RolloutReply& aReply, TimePoint aSentAt)
{
  if (!aReply.leads_ || aSentAt < answeredRolloutReportAt_) {
    return;
  }
  answeredRolloutReportAt_ = aSentAt;
  for (const RolloutDirective& directive : aReply.directives_) {
    AdoptDirective(directive, aSentAt, true);
  }
}

void
FleetService::OnRolloutNotice(const RolloutNotice& aNotice)
{
  const std::uint64_t known = std::max(noticeTerm_, session_.RevisionOf(session_.LeaderKey()));
  if (!settings_.rollouts_.enabled_ || aNotice.term_ < known) {
    return;
  }
  noticeTerm_ = aNotice.term_;
  for (const RolloutDirective& directive : aNotice.directives_) {
    AdoptDirective(directive, TimePoint{}, true);
  }
  if (viewDirty_ || !RoutingIsCurrent(clock_.Now())) {
    PublishView();
  }
}

void
FleetService::BeginRollouts(TimePoint aNow)
{
  if (!settings_.rollouts_.enabled_ || !hooks_.makeDecider_) {
    return;
  }
  std::vector<RolloutDirective> ended;
  for (const auto& [service, known] : rollouts_) {
    if (!Runs(known.directive_.phase_) && known.toldAt_) {
      ended.push_back(known.directive_);
    }
  }
  rolloutEpoch_ = session_.Epoch();
  nextRolloutStep_ = {};
  sentNotice_.clear();
  coordinator_.Begin(RolloutRecords(), ended, aNow);
}

RolloutService
FleetService::RolloutServiceOf(const std::string& aService) const
{
  std::set<std::string> withdrawn;
  for (const DataCentre& dataCentre : configuration_->configuration_.dataCentres_) {
    if (dataCentre.withdrawn_) {
      withdrawn.insert(dataCentre.id_);
    }
  }
  RolloutService service;
  // Members of an earlier epoch of the store may not have registered again yet.
  service.complete_ = !recovery_.Waits(clock_.Now()) || !SeesEarlierEpoch();
  for (const Service& configured : configuration_->configuration_.services_) {
    if (configured.id_ == aService && configured.coldStart_.perSecond_ > 0) {
      service.coldTime_ = configured.coldStart_.ramp_;
      service.coldPerSecond_ = configured.coldStart_.perSecond_;
    }
  }
  std::set<std::string> holders;
  const ServiceRollout* rollout = coordinator_.Find(aService);
  const bool closing = rollout != nullptr && rollout->Phase() == RolloutPhase::Closing;
  if (const auto table = tables_.find(aService); closing && table != tables_.end()) {
    for (const ShardRun& run : table->second.table_.Runs()) {
      holders.insert(run.holder_.instanceId_);
    }
  }
  for (const auto& [key, known] : members_) {
    const Member& member = known.record_.member_;
    if (member.service_ != aService || (service.complete_ && !IsCurrent(known.revision_))) {
      continue;
    }
    const std::string& id = member.ref_.id_;
    const bool accepts = known.record_.Accepts() && !withdrawn.contains(member.dataCentre_) &&
                         !unreachable_.contains(id);
    const auto seen = versionsSeen_.find(id);
    const bool noted = seen != versionsSeen_.end() && seen->second.first == member.version_;
    service.servers_.push_back({ id,
                                 member.version_,
                                 noted ? seen->second.second : TimePoint{},
                                 accepts,
                                 holders.contains(id) });
  }
  return service;
}

void
FleetService::LeadRollouts(TimePoint aNow)
{
  if (!leads_ || !coordinator_.Leads() || aNow < nextRolloutStep_) {
    return;
  }
  if (std::exchange(rolloutEpoch_, session_.Epoch()) != session_.Epoch()) {
    coordinator_.OnStoreRestored();
  }
  for (const std::string& service : coordinator_.Services()) {
    coordinator_.SetService(service, RolloutServiceOf(service), aNow);
  }
  coordinator_.Step(aNow);
  if (aNow >= nextRolloutWrite_) {
    while (const auto record = coordinator_.TakeWrite()) {
      WriteRollout(*record);
    }
  }
  nextRolloutStep_ = aNow + (coordinator_.Idle() ? kIdleStepInterval : kStepInterval);
  SendRolloutNotice(aNow);
  SetRolloutMetrics();
}

void
FleetService::WriteRollout(const RolloutRecord& aRecord)
{
  const std::string key = session_.RolloutsPrefix() + aRecord.order_.service_;
  const std::string leader = session_.LeaderKey();
  StoreTransaction transaction;
  transaction.compares_.push_back({ leader, session_.RevisionOf(leader) });
  transaction.compares_.push_back({ key, RolloutRevision(key) });
  transaction.writes_.push_back({ key, ToText(aRecord), 0 });
  if (!settings_.rolloutStatusPrefix_.empty() && hooks_.configuration_.encodeStatus_) {
    transaction.writes_.push_back({ settings_.rolloutStatusPrefix_ + aRecord.order_.service_,
                                    hooks_.configuration_.encodeStatus_(aRecord),
                                    0 });
  }
  session_.Commit(
    std::move(transaction),
    [this, aRecord, key, since = leadsSince_](const StoreResult<StoreTransactionResult>& aResult) {
      RolloutWriteOutcome outcome = RolloutWriteOutcome::NotWritten;
      if (aResult && aResult->succeeded_) {
        outcome = RolloutWriteOutcome::Written;
        rolloutRevisions_[key] = aResult->revision_;
      } else if (!aResult && aResult.error().kind_ == StoreErrorKind::OutcomeUnknown) {
        outcome = RolloutWriteOutcome::Unknown;
      }
      LogLine(outcome == RolloutWriteOutcome::Written ? LogLevel::Info : LogLevel::Warning,
              "rollout_written")
        .With("service", aRecord.order_.service_)
        .With("version", aRecord.order_.targetVersion_)
        .With("phase", NameOf(aRecord.phase_))
        .With("outcome",
              outcome == RolloutWriteOutcome::Written   ? "written"
              : outcome == RolloutWriteOutcome::Unknown ? "unknown"
              : aResult                                 ? "conflict"
                                                        : "failed");
      if (outcome != RolloutWriteOutcome::Written || Runs(aRecord.phase_)) {
        // After a failure the session reads all entries again, and the next attempt is on condition
        // of what it finds.
        nextRolloutWrite_ = clock_.Now() + kWriteInterval;
      }
      nextRolloutStep_ = {};
      if (leads_ && since == leadsSince_) {
        coordinator_.OnWrite(aRecord, outcome);
      }
    });
}

std::uint64_t
FleetService::RolloutRevision(const std::string& aKey) const
{
  const auto written = rolloutRevisions_.find(aKey);
  const bool current =
    written != rolloutRevisions_.end() && EpochOf(written->second) == session_.Epoch();
  return std::max(session_.RevisionOf(aKey), current ? written->second : 0);
}

void
FleetService::SendRolloutNotice(TimePoint aNow)
{
  RolloutNotice notice{ session_.RevisionOf(session_.LeaderKey()), coordinator_.Announced(aNow) };
  if (notice.directives_.empty()) {
    return;
  }
  std::string payload = WriteWire(FleetRequest(notice));
  const bool changed = payload != sentNotice_;
  if (aNow < nextNotice_ &&
      (!changed || aNow < nextNotice_ - kNoticeInterval + kMinNoticeInterval)) {
    return;
  }
  nextNotice_ = aNow + kNoticeInterval;
  for (const auto& [key, member] : members_) {
    const std::string& id = member.record_.member_.ref_.id_;
    if (id != settings_.self_.ref_.id_ && !unreachable_.contains(id)) {
      hooks_.call_(id, payload, kNoticeTimeout, [](bool, const std::string&) {});
    }
  }
  sentNotice_ = std::move(payload);
  OnRolloutNotice(notice);
}

} // namespace redwing
