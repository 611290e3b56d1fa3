// Part of FleetService: the local server, its heartbeats and the member record of this instance.

#include "core/Log.hpp"
#include "fleet/FleetService.hpp"
#include "fleet/ServerIncarnation.hpp"

#include <algorithm>
#include <utility>

namespace redwing {

namespace {

/// Time to wait for the server's first heartbeat before registering without a server. The first
/// heartbeat usually arrives within this time.
constexpr std::chrono::milliseconds kFirstHeartbeatWait{ 2500 };
/// Longest wait for the store before a leave is confirmed; the server expects the reply within a
/// second.
constexpr std::chrono::milliseconds kMaxLeaveRecordTime{ 500 };

} // namespace

void
FleetService::OnHeartbeat(const ServerHeartbeat& aHeartbeat, const HeartbeatDone& aDone)
{
  // The server no longer waits for the earlier reply, or has sent both heartbeats at once.
  AnswerDelayedHeartbeat();
  heartbeats_.Add();
  const std::string serverIncarnation =
    MakeServerIncarnation(aHeartbeat.serverId_, aHeartbeat.startedAt_);
  const bool older = serverIncarnation != serverIncarnation_
                       ? aHeartbeat.startedAt_ < serverStartedAt_
                       : aHeartbeat.sequence_ <= lastSequence_;
  if (aHeartbeat.service_ != settings_.self_.service_ || older) {
    staleHeartbeats_.Add();
    LogLine(LogLevel::Warning, "heartbeat_ignored")
      .With("life", serverIncarnation)
      .With("sequence", aHeartbeat.sequence_)
      .With("service", aHeartbeat.service_)
      .With("present_life", serverIncarnation_)
      .With("last_sequence", lastSequence_);
    HeartbeatReply reply;
    reply.accepted_ = !aHeartbeat.draining_ || serverLeavingSince_;
    aDone(reply);
    return;
  }
  if (!holds_.SetServerIncarnation(serverIncarnation)) {
    OnWaitingServer(aHeartbeat, serverIncarnation);
    aDone({});
    return;
  }
  if (serverIncarnation != serverIncarnation_) {
    LogLine(LogLevel::Info, "server_seen")
      .With("life", serverIncarnation)
      .With("previous", serverIncarnation_);
    serverIncarnation_ = serverIncarnation;
    serverId_ = aHeartbeat.serverId_;
    serverStartedAt_ = aHeartbeat.startedAt_;
    serverLeavingSince_ = departedServers_.LeavingSince(serverIncarnation);
    if (serverLeavingSince_) {
      LogLine(LogLevel::Warning, "departed_server_heard").With("life", serverIncarnation);
    }
    serverCrashed_ = false;
    WithdrawGrants();
  }
  lastSequence_ = aHeartbeat.sequence_;
  slots_ = aHeartbeat.slots_;
  if (settings_.rollouts_.enabled_) {
    serverVersion_ = aHeartbeat.version_;
  }
  if (aHeartbeat.draining_ && !serverLeavingSince_) {
    serverLeavingSince_ = clock_.Now();
  }
  Announce(aHeartbeat);
  UpdateSelf();
  delayedHeartbeat_ = aHeartbeat;
  delayedHeartbeatDone_ = aDone;
  delayedHeartbeatAt_ = clock_.Now();
  // The reply is delayed only while shards are expected and none have to be released. The reported
  // holds are evaluated together with the reply, which is harmless then.
  if (serverLeavingSince_ || !holds_.AwaitsShards() || holds_.HasNewShards()) {
    AnswerDelayedHeartbeat();
  }
}

void
FleetService::OnWaitingServer(const ServerHeartbeat& aHeartbeat, const std::string& aIncarnation)
{
  if (std::exchange(waitingIncarnation_, aIncarnation) != aIncarnation) {
    LogLine(LogLevel::Warning, "server_waits")
      .With("life", aIncarnation)
      .With("present_life", serverIncarnation_);
  }
  if (aHeartbeat.draining_) {
    departedServers_.AddIncarnation(aIncarnation, clock_.Now());
  }
}

void
FleetService::AnswerDelayedHeartbeat()
{
  if (!delayedHeartbeat_) {
    return;
  }
  const ServerHeartbeat heartbeat = std::move(*delayedHeartbeat_);
  delayedHeartbeat_.reset();
  const HeartbeatDone done = std::exchange(delayedHeartbeatDone_, nullptr);
  UpdateLease();
  done(holds_.OnHeartbeat(heartbeat, delayedHeartbeatAt_));
  CommitReleases();
}

void
FleetService::Announce(const ServerHeartbeat& aHeartbeat)
{
  BackendAnnouncement announcement;
  announcement.service_ = aHeartbeat.service_;
  announcement.address_ = aHeartbeat.address_;
  announcement.slots_ = aHeartbeat.slots_;
  announcement.serverId_ = aHeartbeat.serverId_;
  announcement.life_ = serverIncarnation_;
  announcement.reportsState_ = true;
  announcement.leavingSince_ = serverLeavingSince_;
  announcement.coldFor_ = aHeartbeat.coldFor_;
  announcement.version_ = serverVersion_;
  hooks_.announce_(std::move(announcement));
}

void
FleetService::OnServerLeaves(const std::string& aServerId, std::function<void()> aConfirm)
{
  const TimePoint now = clock_.Now();
  if (aServerId == serverId_) {
    BeginServerLeave(now);
  } else {
    const auto timeOfDay = hooks_.timeOfDay_().time_since_epoch();
    departedServers_.Add(
      aServerId, std::chrono::duration_cast<std::chrono::milliseconds>(timeOfDay).count(), now);
    LogLine(LogLevel::Info, "unheard_server_leaves")
      .With("server", aServerId)
      .With("present_life", serverIncarnation_);
    UpdateSelf();
  }
  if (aConfirm) {
    unconfirmedLeaves_.emplace_back(std::move(aConfirm), now + kMaxLeaveRecordTime);
    ConfirmLeaves();
  }
}

void
FleetService::BeginServerLeave(TimePoint aSince)
{
  if (serverLeavingSince_) {
    return;
  }
  LogLine(LogLevel::Info, "server_leaves").With("life", serverIncarnation_);
  serverLeavingSince_ = aSince;
  hooks_.serverLeaves_(aSince);
  UpdateSelf();
  viewDirty_ = true;
}

void
FleetService::AdoptEarlierLeave()
{
  const MemberRecord* stored = StoredSelf();
  if (stored == nullptr || stored->member_.state_ != BackendState::Draining) {
    return;
  }
  // An earlier process confirmed it before this one started.
  departedServers_.AddIncarnation(stored->serverIncarnation_, startedAt_);
  if (const auto since = departedServers_.LeavingSince(serverIncarnation_)) {
    BeginServerLeave(*since);
  }
}

bool
FleetService::EarlierServerLeaves() const
{
  const MemberRecord* stored = StoredSelf();
  return stored != nullptr && departedServers_.LeavingSince(stored->serverIncarnation_);
}

void
FleetService::ReadEarlierHold()
{
  if (!session_.Loaded() || std::exchange(earlierHoldRead_, true)) {
    return;
  }
  // No grant outlasts the lease, and with it the record of the process that made it.
  const MemberRecord* stored = StoredSelf();
  if (stored != nullptr && stored->longestHold_ > std::chrono::milliseconds::zero()) {
    holds_.LimitEarlierHold(stored->longestHold_);
  }
}

const MemberRecord*
FleetService::StoredSelf() const
{
  const auto stored = members_.find(session_.MemberKey(settings_.self_.ref_.id_));
  return stored == members_.end() ? nullptr : &stored->second.record_;
}

void
FleetService::ConfirmLeaves()
{
  if (unconfirmedLeaves_.empty()) {
    return;
  }
  const MemberRecord* stored = StoredSelf();
  const bool told = stored != nullptr && stored->member_.state_ == BackendState::Draining;
  const TimePoint now = clock_.Now();
  std::vector<std::function<void()>> confirmed;
  std::erase_if(unconfirmedLeaves_, [&](auto& aLeave) {
    if (!told && now < aLeave.second) {
      return false;
    }
    confirmed.push_back(std::move(aLeave.first));
    return true;
  });
  for (const auto& confirm : confirmed) {
    confirm();
  }
}

void
FleetService::OnBackendStatus(const BackendStatus& aStatus)
{
  viewDirty_ = viewDirty_ || backendState_ != aStatus.state_;
  backendState_ = aStatus.state_;
  // A leaving server may refuse connections before it releases its shards, so this is no crash.
  const bool gone =
    aStatus.crashed_ && aStatus.announcement_.life_ == serverIncarnation_ && !serverLeavingSince_;
  if (gone && !serverCrashed_) {
    LogLine(LogLevel::Warning, "server_gone").With("life", serverIncarnation_);
    serverCrashed_ = true;
  }
  if (!aStatus.crashed_) {
    serverCrashed_ = false;
  }
  UpdateSelf();
}

void
FleetService::UpdateSelf()
{
  // The entries tell what the server may hold by grants of an earlier process of this instance.
  // Registering before the server's first heartbeat would soon require a second write.
  const TimePoint now = clock_.Now();
  if (!session_.Loaded() || (serverIncarnation_.empty() && now - startedAt_ < kFirstHeartbeatWait &&
                             !EarlierServerLeaves())) {
    return;
  }
  MemberRecord record;
  record.member_ = settings_.self_;
  record.member_.version_ = serverVersion_;
  record.member_.slots_ = slots_;
  record.member_.leaving_ = leaving_;
  record.carried_ = recovery_.Carried();
  record.processors_ = settings_.processors_;
  record.longestHold_ = holds_.LongestHold();
  record.serverIncarnation_ = IncarnationWithHolds(now);
  if (serverLeavingSince_ || departedServers_.LeavingSince(record.serverIncarnation_)) {
    record.member_.state_ = BackendState::Draining;
  } else if (backendState_ != BackendState::Down) {
    record.member_.state_ = BackendState::Ready;
  }
  if (record.serverIncarnation_ != serverIncarnation_) {
    WithdrawGrants();
  }
  session_.SetSelf(record);
}

std::string
FleetService::IncarnationWithHolds(TimePoint aNow)
{
  const bool earlierGrantsRun = aNow < holds_.EarlierHoldsUntil();
  const MemberRecord* stored = StoredSelf();
  if (earlierGrantsRun && stored != nullptr) {
    const std::string& earlier = stored->serverIncarnation_;
    if (!earlier.empty() && earlier != serverIncarnation_ &&
        !IsRestartOf(serverIncarnation_, earlier)) {
      if (std::exchange(assumedIncarnation_, earlier) != earlier) {
        LogLine(LogLevel::Warning, "earlier_grants_assumed")
          .With("life", earlier)
          .With("heard_life", serverIncarnation_);
      }
      return earlier;
    }
  }
  const bool down = backendState_ == BackendState::Down && !earlierGrantsRun;
  return down && !holds_.MayHold() ? std::string() : serverIncarnation_;
}

void
FleetService::WithdrawGrants()
{
  grantDeadline_ = {};
  holds_.SetLeaseDeadline(grantDeadline_, grantEpoch_);
}

void
FleetService::UpdateLease()
{
  // While the record in the store may state that the server holds nothing, other instances may take
  // over its shards.
  const auto table = tables_.find(settings_.self_.service_);
  const bool certain = session_.Confirmed() && !serverIncarnation_.empty() &&
                       session_.Publishes(serverIncarnation_) &&
                       (table == tables_.end() || IsCurrent(table->second.revision_));
  if (certain) {
    grantDeadline_ = session_.LeaseDeadline();
    grantEpoch_ = session_.Epoch();
  } else if (grantEpoch_ == session_.Epoch()) {
    grantDeadline_ = {};
  } else {
    // Until the table is written in the new epoch, nobody takes over shards before the leases of
    // the earlier epoch have run out.
    grantDeadline_ = std::min(grantDeadline_, session_.EarlierDeadline());
  }
  holds_.SetLeaseDeadline(grantDeadline_, grantEpoch_);
}

bool
FleetService::OwnTable(KnownTable*& aTable)
{
  const std::string& service = settings_.self_.service_;
  const auto known = tables_.find(service);
  if (known == tables_.end() || !session_.Confirmed() || writing_.contains(service) ||
      !contention_.MayWrite(service) || !IsCurrent(known->second.revision_)) {
    return false;
  }
  aTable = &known->second;
  return true;
}

void
FleetService::CommitReleases()
{
  const std::vector<ReleasedShards> released = holds_.TakeReleased();
  KnownTable* known = nullptr;
  if (released.empty() || !OwnTable(known)) {
    return;
  }
  ShardTable next = known->table_;
  for (const ReleasedShards& shards : released) {
    const auto member = members_.find(session_.MemberKey(shards.successor_));
    ShardHolder holder;
    if (member != members_.end() && IsCurrent(member->second.revision_) &&
        member->second.record_.Accepts()) {
      holder = { shards.successor_, member->second.record_.serverIncarnation_ };
    }
    next.Assign(shards.first_, shards.last_, holder, shards.handover_);
    LogLine(LogLevel::Info, "shards_released")
      .With("first", shards.first_)
      .With("last", shards.last_)
      .With("to", holder.instanceId_)
      .With("warm", shards.handover_.empty() ? "no" : "yes");
  }
  WriteTable(settings_.self_.service_, *known, next, {}, "release");
}

void
FleetService::AdoptOwnShards()
{
  const std::string& self = settings_.self_.ref_.id_;
  const auto member = members_.find(session_.MemberKey(self));
  KnownTable* known = nullptr;
  // The record must name the current server incarnation before shards are assigned to it.
  if (serverIncarnation_.empty() || serverLeavingSince_ || serverCrashed_ ||
      member == members_.end() || member->second.record_.serverIncarnation_ != serverIncarnation_ ||
      !OwnTable(known)) {
    return;
  }
  ShardTable next = known->table_;
  bool changed = false;
  const std::vector<ShardRun> runs(next.Runs().begin(), next.Runs().end());
  for (const ShardRun& run : runs) {
    if (run.holder_.instanceId_ == self && run.holder_.serverIncarnation_ != serverIncarnation_) {
      next.Assign(run.first_, run.last_, { self, serverIncarnation_ });
      changed = true;
    }
  }
  if (changed && std::exchange(adoptingFor_, serverIncarnation_) != serverIncarnation_) {
    contention_.Spread(settings_.self_.service_, WritersOf(known->table_));
  } else if (changed) {
    WriteTable(settings_.self_.service_,
               *known,
               next,
               { { member->first, member->second.revision_ } },
               "new_run");
  }
}

std::size_t
FleetService::WritersOf(const ShardTable& aTable) const
{
  std::set<std::string_view> writers;
  for (const ShardRun& run : aTable.Runs()) {
    const auto member = members_.find(session_.MemberKey(run.holder_.instanceId_));
    const bool restarted = member != members_.end() && member->second.record_.serverIncarnation_ !=
                                                         run.holder_.serverIncarnation_;
    if (restarted || (!run.holder_.Empty() && !run.successor_.empty())) {
      writers.insert(run.holder_.instanceId_);
    }
  }
  return std::max<std::size_t>(1, writers.size());
}

void
FleetService::WriteTable(const std::string& aService,
                         const KnownTable& aBase,
                         ShardTable aNext,
                         std::vector<StoreCompare> aConditions,
                         const char* aReason)
{
  const std::string key = session_.TableKey(aService);
  aNext.SetEpoch(session_.Epoch());
  StoreTransaction transaction;
  transaction.compares_ = std::move(aConditions);
  transaction.compares_.push_back({ key, aBase.revision_ });
  if (aBase.revision_ == 0) {
    // The absence of the table could hold in a later epoch, too; this record could not.
    const std::string self = session_.MemberKey(settings_.self_.ref_.id_);
    transaction.compares_.push_back({ self, session_.RevisionOf(self) });
  }
  transaction.writes_.push_back({ key, aNext.ToText(), 0 });
  writing_.insert(aService);
  tableWrites_.Add();
  session_.Commit(
    std::move(transaction),
    [this, aService, aBase, next = std::move(aNext), aReason](
      const StoreResult<StoreTransactionResult>& aResult) {
      writing_.erase(aService);
      const bool written = aResult && aResult->succeeded_;
      LogLine(LogLevel::Info, "shard_table_written")
        .With("service", aService)
        .With("reason", aReason)
        .With("runs", next.Runs().size())
        .With("outcome",
              written   ? "written"
              : aResult ? "conflict"
                        : "unknown")
        .With("revision", aResult ? aResult->revision_ : 0);
      if (!written) {
        // The leader's copy must be current: it plans for all.
        const bool behind =
          aResult && contention_.OnConflict(aService, aBase.revision_, WritersOf(aBase.table_));
        if (behind || leads_) {
          session_.Reload();
        }
        return;
      }
      contention_.OnWritten(aService);
      if (tables_[aService].revision_ >= aResult->revision_) {
        return;
      }
      TableNotice notice{ aService, aResult->revision_, {}, aBase.revision_, {} };
      if (aBase.revision_ > 0 && aBase.table_.Shards() == next.Shards() &&
          aBase.table_.Epoch() == next.Epoch() && aBase.table_.Settled() == next.Settled()) {
        notice.changes_ = aBase.table_.ChangesTo(next);
      } else {
        notice.text_ = next.ToText();
      }
      SetTable(aService, { aResult->revision_, next });
      BroadcastNotice(notice);
    },
    false);
}

} // namespace redwing
