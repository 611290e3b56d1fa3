#include "fleet/FleetService.hpp"

#include "core/Log.hpp"
#include "fleet/ServerIncarnation.hpp"
#include "store/StoreRevision.hpp"

#include <algorithm>
#include <utility>

namespace redwing {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTickInterval{ 50 };
/// Maximum delay of a heartbeat reply; the server expects the reply within a second.
constexpr milliseconds kMaxReplyDelay{ 550 };
constexpr milliseconds kProbeInterval{ 300 };
constexpr milliseconds kProbeTimeout{ 400 };
constexpr milliseconds kNoticeTimeout{ 400 };
/// Includes the store call that the other instance makes.
constexpr milliseconds kRelayTimeout{ 600 };
/// Maximum number of changes per table that wait for earlier ones.
constexpr std::size_t kMaxEarlyChanges = 16;
/// Margin between the end of the leases of an earlier epoch and the time from which their shards
/// may be assigned to others.
constexpr milliseconds kEpochMargin{ 300 };
/// Time in which an instance that nobody can tell of a change notices the loss of its watches.
constexpr milliseconds kWatchInterval{ 1500 };
/// Time without a reply of the leader after which an instance watches on its own account.
constexpr milliseconds kUnledAfter{ 3000 };

ShardHoldSettings
HoldsOf(const FleetSettings& aSettings)
{
  ShardHoldSettings holds = aSettings.holds_;
  holds.earlierHold_ = aSettings.session_.leaseTime_;
  return holds;
}

} // namespace

FleetService::FleetService(boost::asio::io_context& aContext,
                           const Clock& aClock,
                           Store& aStore,
                           Published<RoutingView>& aView,
                           CounterRegistry& aCounters,
                           FleetSettings aSettings,
                           FleetHooks aHooks)
  : clock_(aClock)
  , store_(aStore)
  , fleetCalls_(aStore, aCounters, "fleet")
  , leaderCalls_(aStore, aCounters, "leader")
  , view_(aView)
  , settings_(std::move(aSettings))
  , hooks_(std::move(aHooks))
  , random_(settings_.seed_)
  , session_(aContext,
             aClock,
             fleetCalls_,
             settings_.session_,
             { [this] { OnSessionChange(); },
               [this](std::int64_t aLease, const std::function<void(milliseconds)>& aDone) {
                 RelayRenewal(aLease, aDone);
               } })
  , holds_(aClock, settings_.self_.ref_.id_, HoldsOf(settings_))
  , planner_(settings_.planner_)
  , timer_(aContext)
  , startedAt_(aClock.Now())
  , configuration_(std::make_shared<const ConfigurationRevision>())
  , withdrawalStart_(settings_.self_.dataCentre_)
  , recovery_(settings_.self_.ref_.id_, settings_.session_.leaseTime_ + kEpochMargin)
  , contention_(aClock, settings_.seed_ + 1)
  , leaderLease_(aContext, aClock, leaderCalls_, settings_.leader_)
  , contacts_(settings_.budget_)
  , pools_(settings_.budget_, hooks_.timeOfDay_)
  , coordinator_(hooks_.makeDecider_, hooks_.timeOfDay_)
  , counters_(aCounters)
  , holdMetrics_(aCounters)
  , heartbeats_(aCounters.GetCounter("redwing_heartbeats_total"))
  , staleHeartbeats_(aCounters.GetCounter("redwing_heartbeats_stale_total"))
  , tableWrites_(aCounters.GetCounter("redwing_shard_table_writes_total"))
  , rateRefusals_(aCounters.GetCounter("redwing_allowance_refusals_total"))
{
}

FleetService::~FleetService() = default;

void
FleetService::Start()
{
  session_.Start();
  PublishView();
  Tick();
}

void
FleetService::OnConfiguration(std::shared_ptr<const ConfigurationRevision> aConfiguration)
{
  if (aConfiguration->revision_ < configuration_->revision_) {
    return;
  }
  LogLine(LogLevel::Info, "configuration_adopted")
    .With("revision", aConfiguration->revision_)
    .With("previous", configuration_->revision_)
    .With("routes", aConfiguration->configuration_.routes_.size());
  const TimePoint now = clock_.Now();
  if (configuration_->revision_ == 0) {
    configurationCurrentAt_ = now;
  }
  // An instance that was out of contact may learn of a withdrawal long after its begin.
  withdrawalStart_.OnConfiguration(
    *aConfiguration, std::min(now, configurationCurrentAt_ + settings_.withdrawalLag_));
  configuration_ = std::move(aConfiguration);
  ApplyAllowances();
  // Takes effect at once for requests that arrive from now on.
  PublishView();
  nextPlan_ = {};
}

void
FleetService::ConfirmConfiguration(TimePoint aSentAt)
{
  // The leader itself knows what its watch has delivered, whose loss it notices after a time.
  const TimePoint currentAt =
    leads_ ? leaderLease_.Deadline() - settings_.leader_.leaseTime_ - kWatchInterval : aSentAt;
  configurationCurrentAt_ = std::max(configurationCurrentAt_, currentAt);
}

bool
FleetService::Ready() const
{
  return !leaving_ && configuration_->revision_ != 0 && session_.Loaded();
}

void
FleetService::OnSessionChange()
{
  UpdateEpoch();
  ReadMembers();
  ReadEarlierHold();
  ReadTables();
  AdoptEarlierLeave();
  UpdateSelf();
  ConfirmLeaves();
  confirmedInEpoch_ = session_.Confirmed() && TablesAreCurrent();
  LogStart();
  UpdateLease();
  AdoptOwnShards();
  CommitReleases();
  UpdateLeadership();
  if (settings_.rollouts_.enabled_ && session_.Loaded()) {
    ReadRolloutRecords();
    NoteVersions(clock_.Now());
  }
  if (viewDirty_) {
    PublishView();
  }
}

void
FleetService::LogStart()
{
  if (!confirmedInEpoch_ || configuration_->revision_ == 0 || startLogged_) {
    return;
  }
  startLogged_ = true;
  LogLine(LogLevel::Info, "start_complete")
    .With("ms", std::chrono::duration_cast<milliseconds>(clock_.Now() - startedAt_).count())
    .With("members", members_.size())
    .With("store_calls", fleetCalls_.Calls() + leaderCalls_.Calls());
}

void
FleetService::SetTable(const std::string& aService, KnownTable aTable)
{
  viewDirty_ = true;
  nextPlan_ = {};
  if (aService == settings_.self_.service_) {
    holds_.SetTable(aService, aTable.table_);
  }
  tables_[aService] = std::move(aTable);
  if (aService == settings_.self_.service_ && holds_.HasNewShards()) {
    AnswerDelayedHeartbeat();
  }
}

void
FleetService::OnTable(const TableNotice& aNotice)
{
  session_.OnEpochSeen(EpochOf(aNotice.revision_));
  if (!IsCurrent(aNotice.revision_) && (!leads_ || aNotice.text_.empty())) {
    // The notice was delayed; grants from it would not be known to the leader of this epoch.
    return;
  }
  if (aNotice.text_.empty()) {
    ApplyChanges(aNotice);
  } else {
    AdoptTable(aNotice.service_, aNotice.revision_, aNotice.text_);
  }
  AdoptOwnShards();
  CommitReleases();
}

void
FleetService::ApplyChanges(const TableNotice& aNotice)
{
  const auto known = tables_.find(aNotice.service_);
  if (known == tables_.end() || aNotice.revision_ <= known->second.revision_) {
    return;
  }
  auto& pendingChanges = earlyChanges_[aNotice.service_];
  pendingChanges.insert_or_assign(aNotice.base_, aNotice);
  pendingChanges.erase(pendingChanges.begin(), pendingChanges.lower_bound(known->second.revision_));
  while (pendingChanges.size() > kMaxEarlyChanges) {
    pendingChanges.erase(std::prev(pendingChanges.end()));
  }
  KnownTable next = known->second;
  while (!pendingChanges.empty() && pendingChanges.begin()->first == next.revision_) {
    const TableNotice notice = pendingChanges.extract(pendingChanges.begin()).mapped();
    if (!next.table_.Apply(notice.changes_)) {
      LogLine(LogLevel::Warning, "table_changes_invalid")
        .With("service", notice.service_)
        .With("base", notice.base_)
        .With("revision", notice.revision_);
      return;
    }
    next.revision_ = notice.revision_;
  }
  if (next.revision_ > known->second.revision_) {
    SetTable(aNotice.service_, std::move(next));
  }
}

void
FleetService::BroadcastNotice(const TableNotice& aNotice)
{
  const std::string payload = WriteWire(FleetRequest(aNotice));
  for (const auto& [key, member] : members_) {
    const std::string& id = member.record_.member_.ref_.id_;
    if (id != settings_.self_.ref_.id_ && !unreachable_.contains(id)) {
      hooks_.call_(id, payload, kNoticeTimeout, [](bool, const std::string&) {});
    }
  }
}

void
FleetService::PublishView()
{
  viewDirty_ = false;
  auto next = std::make_shared<RoutingView>();
  next->configuration_ = configuration_;
  next->configurationCurrent_ = configuration_->revision_ != 0;
  next->self_ = settings_.self_.ref_;
  next->selfDataCentre_ = settings_.self_.dataCentre_;
  next->selfWithdrawnSince_ = withdrawalStart_.Earliest();
  std::map<std::string, std::string> serverIncarnations;
  for (const auto& [key, known] : members_) {
    Member member = known.record_.member_;
    const std::string id = member.ref_.id_;
    const bool self = id == settings_.self_.ref_.id_;
    member.reachable_ = self || !unreachable_.contains(id);
    if (self) {
      // This instance knows its own state before its record in the store shows it.
      member.state_ = serverLeavingSince_ ? BackendState::Draining : backendState_;
    }
    serverIncarnations[id] = known.record_.serverIncarnation_;
    next->members_[id] = std::move(member);
  }
  for (const Service& service : configuration_->configuration_.services_) {
    if (service.mode_ != ServiceMode::Keyed) {
      continue;
    }
    auto& rows = next->shards_[service.id_].rows_;
    rows.resize(service.shards_);
    const auto known = tables_.find(service.id_);
    if (known == tables_.end() || known->second.table_.Shards() != service.shards_) {
      continue;
    }
    for (const ShardRun& run : known->second.table_.Runs()) {
      const auto serverIncarnation = serverIncarnations.find(run.holder_.instanceId_);
      // A table may arrive before the record that names the new incarnation.
      const bool held =
        serverIncarnation != serverIncarnations.end() &&
        (serverIncarnation->second == run.holder_.serverIncarnation_ ||
         IsLaterIncarnation(run.holder_.serverIncarnation_, serverIncarnation->second));
      ShardRow row;
      row.token_ = run.token_;
      row.owner_.id_ = held ? run.holder_.instanceId_ : std::string();
      row.successor_.id_ = run.successor_;
      for (std::uint32_t i = run.first_; i <= run.last_; ++i) {
        rows[i] = row;
      }
    }
  }
  FillRollouts(*next);
  view_.Set(std::move(next));
}

void
FleetService::Tick()
{
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    const TimePoint now = clock_.Now();
    session_.CheckEpoch();
    UpdateSelf();
    ConfirmLeaves();
    if (now - delayedHeartbeatAt_ >= kMaxReplyDelay) {
      AnswerDelayedHeartbeat();
    }
    CommitReleases();
    AdoptOwnShards();
    UpdateLeadership();
    UpdateWatches(now);
    if (now >= nextProbe_) {
      nextProbe_ = now + kProbeInterval;
      ProbeLostPeers();
    }
    ScheduleReport(now);
    UpdateRollouts(now);
    PlanAll();
    StoreLedger();
    RetryAllowanceRequests();
    if (viewDirty_) {
      PublishView();
    }
    holdMetrics_.Set(holds_.Status());
    Tick();
  });
}

void
FleetService::UpdateWatches(TimePoint aNow)
{
  // The others learn of a change that their watch has lost from the leader's replies.
  const bool closely = leads_ || aNow - std::max(startedAt_, answeredReportAt_) > kUnledAfter;
  if (std::exchange(watchesClosely_, closely) == closely) {
    return;
  }
  const auto interval = closely ? std::optional(kWatchInterval) : std::nullopt;
  session_.SetWatchInterval(interval);
  hooks_.configuration_.setWatchInterval_(interval);
}

void
FleetService::OnPeerDown(const std::string& aInstanceId)
{
  if (unreachable_.insert(aInstanceId).second) {
    LogLine(LogLevel::Warning, "instance_unreachable").With("instance", aInstanceId);
    viewDirty_ = true;
    PublishView();
  }
}

void
FleetService::ProbeLostPeers()
{
  for (const std::string& id : unreachable_) {
    if (!probing_.insert(id).second) {
      continue;
    }
    hooks_.call_(id, {}, kProbeTimeout, [this, id](bool aAnswered, const std::string&) {
      probing_.erase(id);
      if (aAnswered && unreachable_.erase(id) > 0) {
        LogLine(LogLevel::Info, "instance_reachable").With("instance", id);
        viewDirty_ = true;
        SendSuspects(id);
      }
    });
  }
}

void
FleetService::RelayRenewal(std::int64_t aLease, const std::function<void(milliseconds)>& aDone)
{
  std::vector<std::string> peers;
  for (const std::string& id : MemberIds()) {
    if (id != settings_.self_.ref_.id_ && !unreachable_.contains(id)) {
      peers.push_back(id);
    }
  }
  if (peers.empty()) {
    aDone(milliseconds::zero());
    return;
  }
  const bool known = std::find(peers.begin(), peers.end(), relay_) != peers.end();
  const std::string peer = known ? relay_ : peers[random_.Below(peers.size())];
  hooks_.call_(peer,
               WriteWire(FleetRequest(LeaseRenewal{ aLease })),
               kRelayTimeout,
               [this, peer, aDone](bool aAnswered, const std::string& aReply) {
                 LeaseRenewalReply reply;
                 const bool read = aAnswered && ReadWire(aReply, reply);
                 session_.OnEpochSeen(reply.epoch_);
                 // In a later epoch other instances need not wait for the end of this lease.
                 const bool renewed =
                   read && reply.timeToLiveMs_ > 0 && reply.epoch_ == session_.Epoch();
                 relay_ = renewed ? peer : std::string();
                 aDone(milliseconds(renewed ? reply.timeToLiveMs_ : 0));
               });
}

void
FleetService::RenewForPeer(const LeaseRenewal& aRenewal, const CallReply& aReply)
{
  // The callback may run after this object was destroyed, so it must not access it.
  fleetCalls_.KeepAlive(
    aRenewal.lease_,
    [&store = store_, aReply, leaseTime = settings_.session_.leaseTime_](
      const StoreResult<milliseconds>& aLeft) {
      const milliseconds left = aLeft.value_or(milliseconds::zero());
      aReply(WriteWire(LeaseRenewalReply{
        left >= leaseTime, store.Epoch(), static_cast<std::uint32_t>(left.count()) }));
    });
}

void
FleetService::OnCall(const std::string& aPayload, const CallReply& aReply)
{
  FleetRequest request;
  if (!aPayload.empty() && !ReadWire(aPayload, request)) {
    LogLine(LogLevel::Warning, "fleet_request_invalid").With("bytes", aPayload.size());
    aReply({});
    return;
  }
  // An empty call is a reachability probe; the request that was not read is a default FleetReport.
  if (const auto* renewal = std::get_if<LeaseRenewal>(&request)) {
    RenewForPeer(*renewal, aReply);
  } else if (const auto* report = std::get_if<FleetReport>(&request);
             report != nullptr && !aPayload.empty()) {
    aReply(WriteWire(OnReport(*report)));
  } else if (const auto* rolloutReport = std::get_if<RolloutReport>(&request)) {
    aReply(WriteWire(coordinator_.OnReport(*rolloutReport, clock_.Now())));
  } else {
    OnNotice(request);
    aReply({});
  }
}

void
FleetService::OnNotice(const FleetRequest& aRequest)
{
  if (const auto* table = std::get_if<TableNotice>(&aRequest)) {
    OnTable(*table);
  } else if (const auto* quarantine = std::get_if<QuarantineNotice>(&aRequest)) {
    OnQuarantine(*quarantine);
  } else if (const auto* rollout = std::get_if<RolloutNotice>(&aRequest)) {
    OnRolloutNotice(*rollout);
  }
}

void
FleetService::BeginLeave()
{
  leaving_ = true;
  // Gives up leadership now: the next leader need not wait until this instance has drained, and
  // there must not be two leaders.
  leadsSince_ = {};
  UpdateLeadership();
  session_.Resign();
  UpdateSelf();
}

void
FleetService::End(std::function<void()> aDone)
{
  timer_.cancel();
  session_.End(std::move(aDone));
}

} // namespace redwing
