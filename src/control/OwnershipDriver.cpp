#include "control/OwnershipDriver.hpp"

#include "core/Log.hpp"

#include <utility>

namespace redwing {

namespace {

using std::chrono::milliseconds;

/// Interval at which the grants of the backend server are extended.
constexpr Duration kGrantInterval = milliseconds(100);
/// Grants expire this long before the lease, because a backend server may act shortly after it has
/// checked a grant.
constexpr Duration kGrantMargin = milliseconds(20);
/// Maximum time to wait until the grantors have recorded that a shard has no successor.
constexpr Duration kDropSuccessorTimeout = milliseconds(500);

void
LogShard(std::string_view aEvent, const ShardId& aShard, std::uint64_t aToken)
{
  LogLine(LogLevel::Info, aEvent)
    .With("service", aShard.service_)
    .With("shard", aShard.index_)
    .With("token", aToken);
}

} // namespace

OwnershipDriver::OwnershipDriver(const Clock& aClock,
                                 Random& aRandom,
                                 OwnershipTable& aTable,
                                 FleetState& aFleet,
                                 Store& aStore,
                                 OwnershipHooks aHooks)
  : clock_(aClock)
  , random_(aRandom)
  , table_(aTable)
  , fleet_(aFleet)
  , hooks_(std::move(aHooks))
  , rowStore_(aStore,
              [this](std::uint64_t aOperation, CommitOutcome aOutcome, const ShardRow& aCurrent) {
                OnCommitted(aOperation, aOutcome, aCurrent);
              })
{
}

void
OwnershipDriver::Start(const InstanceRef& aSelf)
{
  owned_.clear();
  successors_.clear();
  seenVersion_ = 0;
  releasing_.clear();
  grantsChanged_ = true;
  node_ = std::make_unique<OwnershipNode>(aSelf, OwnershipSettings{}, clock_, random_, table_);
  OnFleetChanged();
}

void
OwnershipDriver::Tick()
{
  if (!node_) {
    return;
  }
  node_->Tick();
  RunEffects();
  UpdateReleasing();
  if (grantsChanged_ || clock_.Now() >= nextGrants_) {
    UpdateGrants();
  }
  ExpireDropWaiters();
}

void
OwnershipDriver::Receive(const InstanceRef& aFrom,
                         const InstanceRef& aTo,
                         const OwnershipMessage& aMessage)
{
  if (!node_ || aTo != node_->Self()) {
    return;
  }
  node_->Receive(aFrom, aMessage);
  RunEffects();
}

void
OwnershipDriver::OnFleetChanged()
{
  if (!node_) {
    return;
  }
  // Only changes are processed: comparing all rows and sorting the ring on each change would take
  // 20 ms at the design scale.
  const std::uint64_t version = fleet_.Version();
  if (fleet_.MembersVersion() > seenVersion_) {
    UpdateRing();
  }
  std::optional<std::vector<ShardRow>> changed = fleet_.RowsChangedSince(seenVersion_);
  if (!changed) {
    changed.emplace();
    for (const auto& [shard, row] : fleet_.Rows()) {
      changed->push_back(row);
    }
  }
  seenVersion_ = version;
  for (const ShardRow& row : *changed) {
    table_.SetOwner(row);
  }
  if (!changed->empty()) {
    node_->OnStoreRows(*changed);
  }
  RunEffects();
}

void
OwnershipDriver::UpdateRing()
{
  std::vector<RingMember> ring;
  for (const auto& [id, member] : fleet_.Members()) {
    if (id != node_->Self().id_ || member.ref_ == node_->Self()) {
      ring.push_back({ member.ref_, member.dataCentre_, member.rack_, member.region_ });
    }
  }
  node_->SetMembers(ring);
}

void
OwnershipDriver::OnStoreRows(const std::vector<ShardRow>& aRows)
{
  for (const ShardRow& row : aRows) {
    fleet_.RecordStoreRow(row);
  }
  if (node_) {
    node_->OnStoreRows(aRows);
    RunEffects();
  }
}

std::optional<InstanceRef>
OwnershipDriver::ReplicationTarget(const ShardId& aShard) const
{
  const auto found = successors_.find(aShard);
  if (found == successors_.end() || found->second.Empty()) {
    return std::nullopt;
  }
  return found->second;
}

void
OwnershipDriver::DropSuccessor(const ShardId& aShard, std::function<void(bool)> aDone)
{
  if (!node_ || !owned_.contains(aShard)) {
    aDone(false);
    return;
  }
  LogShard("successor_dropped", aShard, owned_[aShard]);
  dropWaiters_[aShard].push_back({ std::move(aDone), clock_.Now() + kDropSuccessorTimeout });
  node_->DropSuccessor(aShard);
  RunEffects();
}

void
OwnershipDriver::ReleaseService(const std::string& aService)
{
  if (!node_) {
    return;
  }
  for (const auto& [shard, token] : owned_) {
    const ShardRow* row = shard.service_ == aService ? node_->Shards().Find(shard) : nullptr;
    if (row != nullptr && !row->successor_.Empty()) {
      node_->ProposeMove(shard, row->successor_);
    }
  }
  RunEffects();
}

void
OwnershipDriver::RunEffects()
{
  if (runningEffects_) {
    return;
  }
  runningEffects_ = true;
  for (Effects effects = node_->TakeEffects(); !effects.empty(); effects = node_->TakeEffects()) {
    for (const Effect& effect : effects) {
      std::visit([this](const auto& aEffect) { Run(aEffect); }, effect);
    }
  }
  runningEffects_ = false;
}

void
OwnershipDriver::Run(const SendMessage& aEffect)
{
  hooks_.send_(aEffect.to_, aEffect.message_);
}

void
OwnershipDriver::Run(const CommitRow& aEffect)
{
  rowStore_.Commit(aEffect);
}

void
OwnershipDriver::Run(const RowsChanged& aEffect)
{
  for (const ShardRow& row : aEffect.rows_) {
    fleet_.SetRow(row);
    table_.SetOwner(row);
  }
}

void
OwnershipDriver::Run(const OwnershipGained& aEffect)
{
  LogShard("ownership_gained", aEffect.shard_, aEffect.token_);
  owned_[aEffect.shard_] = aEffect.token_;
  grantsChanged_ = true;
  hooks_.onGained_(aEffect.shard_, aEffect.token_);
}

void
OwnershipDriver::Run(const OwnershipLost& aEffect)
{
  LogShard("ownership_lost", aEffect.shard_, aEffect.token_);
  const bool released = table_.LeaseDeadline() > clock_.Now();
  const InstanceRef successor = released ? successors_[aEffect.shard_] : InstanceRef{};
  owned_.erase(aEffect.shard_);
  successors_.erase(aEffect.shard_);
  releasing_.erase(aEffect.shard_);
  grantsChanged_ = true;
  hooks_.onLost_(aEffect.shard_, aEffect.token_, successor);
}

void
OwnershipDriver::Run(const SuccessorPending& aEffect)
{
  successors_[aEffect.shard_] = aEffect.successor_;
  hooks_.pushEntries_(aEffect.shard_, aEffect.successor_, [this, effect = aEffect](bool aStored) {
    const bool sameShard =
      node_ && owned_.contains(effect.shard_) && owned_[effect.shard_] == effect.token_;
    if (aStored && sameShard) {
      node_->ConfirmSuccessor(effect.shard_, effect.successor_);
      RunEffects();
    } else if (sameShard) {
      // The successor is unreachable; the planner will propose a new one.
      DropSuccessor(effect.shard_, [](bool) {});
    }
  });
}

void
OwnershipDriver::Run(const SuccessorHeld& aEffect)
{
  if (!owned_.contains(aEffect.shard_)) {
    return;
  }
  successors_[aEffect.shard_] = aEffect.successor_;
  if (!aEffect.successor_.Empty()) {
    return;
  }
  auto waiters = dropWaiters_.extract(aEffect.shard_);
  if (!waiters.empty()) {
    for (const DropWaiter& waiter : waiters.mapped()) {
      waiter.done_(true);
    }
  }
}

void
OwnershipDriver::Run(const LeaseExpired&)
{
  LogLine(LogLevel::Warning, "lease_expired").With("incarnation", node_->Self().incarnation_);
  // Posted because a rejoin calls Start, which must not replace the node while its effects are
  // being executed.
  hooks_.post_([this] { hooks_.onExpired_(); });
}

void
OwnershipDriver::Run(const MemberDead& aEffect)
{
  LogLine(LogLevel::Warning, "member_dead")
    .With("instance", aEffect.ref_.id_)
    .With("incarnation", aEffect.ref_.incarnation_);
  fleet_.RemoveMember(aEffect.ref_);
}

void
OwnershipDriver::OnCommitted(std::uint64_t aOperation,
                             CommitOutcome aOutcome,
                             const ShardRow& aCurrent)
{
  if (!node_) {
    return;
  }
  const bool currentKnown =
    aOutcome == CommitOutcome::Success || aOutcome == CommitOutcome::Conflict;
  node_->OnStoreResult(
    aOperation, aOutcome, currentKnown ? std::optional<ShardRow>(aCurrent) : std::nullopt);
  if (currentKnown && !aCurrent.owner_.Empty()) {
    fleet_.SetRow(aCurrent);
  }
  RunEffects();
}

void
OwnershipDriver::UpdateReleasing()
{
  const TimePoint now = clock_.Now();
  std::erase_if(grantedUntil_, [&](const auto& aEntry) {
    const bool expired = aEntry.second <= now;
    if (expired) {
      table_.SetGranted(aEntry.first, false);
    }
    return expired;
  });
  for (const auto& [shard, token] : owned_) {
    if (table_.IsReleasing(shard)) {
      grantsChanged_ = releasing_.insert(shard).second || grantsChanged_;
    } else {
      releasing_.erase(shard);
    }
  }
}

void
OwnershipDriver::UpdateGrants()
{
  grantsChanged_ = false;
  nextGrants_ = clock_.Now() + kGrantInterval;
  const TimePoint deadline = table_.LeaseDeadline() - kGrantMargin;
  std::vector<ShardGrant> grants;
  for (const auto& [shard, token] : owned_) {
    if (shard.service_ == kShareService || releasing_.contains(shard)) {
      continue;
    }
    grants.push_back({ shard, token });
    grantedUntil_[shard] = deadline;
    table_.SetGranted(shard, true);
  }
  std::vector<ShardId> revoked;
  for (const auto& [shard, until] : grantedUntil_) {
    if (releasing_.contains(shard) || !owned_.contains(shard)) {
      revoked.push_back(shard);
    }
  }
  hooks_.setGrants_(std::move(grants), deadline, [this, revoked](bool aAcknowledged) {
    if (aAcknowledged && !revoked.empty()) {
      hooks_.post_([this, revoked] { OnRevoked(revoked); });
    }
  });
}

void
OwnershipDriver::OnRevoked(const std::vector<ShardId>& aShards)
{
  for (const ShardId& shard : aShards) {
    const bool grantedAgain = owned_.contains(shard) && !releasing_.contains(shard);
    if (!grantedAgain) {
      grantedUntil_.erase(shard);
      table_.SetGranted(shard, false);
    }
  }
}

void
OwnershipDriver::ExpireDropWaiters()
{
  const TimePoint now = clock_.Now();
  for (auto& [shard, waiters] : dropWaiters_) {
    std::erase_if(waiters, [&](const DropWaiter& aWaiter) {
      if (aWaiter.deadline_ > now) {
        return false;
      }
      aWaiter.done_(false);
      return true;
    });
  }
}

} // namespace redwing
