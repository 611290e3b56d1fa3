#include "ownership/OwnershipNode.hpp"

#include <algorithm>

namespace redwing {

namespace {

/// The ring is given a chance to act first; it needs at most one instance lease and a grantor
/// lease.
constexpr int kReclaimLeases = 2;
constexpr Duration kReviewInterval = std::chrono::milliseconds(100);

} // namespace

OwnershipNode::OwnershipNode(InstanceRef aSelf,
                             const OwnershipSettings& aSettings,
                             const Clock& aClock,
                             Random& aRandom,
                             OwnershipTable& aTable)
  : self_(std::move(aSelf))
  , settings_(aSettings)
  , clock_(aClock)
  , table_(aTable)
  , startedAt_(aClock.Now())
  // Operation ids of successive incarnations must not collide in the caller's tables.
  , lastOperation_(aRandom.Bits() >> 1U)
  , gone_(settings_.Wait(settings_.instanceLease_))
  , holder_(self_, settings_, aClock)
  , grantor_(self_, settings_, aClock, holder_, gone_)
  , replicator_(self_, settings_)
  , shards_(self_, settings_, replicator_, ledger_, aTable, lastOperation_)
  , claims_(self_, settings_, gone_, ledger_, lastOperation_)
{
}

bool
OwnershipNode::Stopped()
{
  if (!holder_.Expired()) {
    return false;
  }
  if (!reportedExpiry_) {
    reportedExpiry_ = true;
    shards_.LoseAll(effects_);
    grantor_.TellEnd(effects_);
    effects_.emplace_back(LeaseExpired{});
  }
  return true;
}

void
OwnershipNode::TickHolder()
{
  holder_.AllowRebind(grantor_.AllRegistered());
  holder_.Tick(effects_);
}

void
OwnershipNode::Refresh()
{
  table_.SetLeaseDeadline(holder_.Expired() ? TimePoint{} : holder_.InstanceDeadline());
  replicator_.SetBinding(holder_.Grantor(), holder_.Generation());
}

void
OwnershipNode::Tick()
{
  TickHolder();
  Refresh();
  if (Stopped()) {
    return;
  }
  const TimePoint now = clock_.Now();
  grantor_.Tick(effects_);
  if (now - lastReview_ >= kReviewInterval) {
    lastReview_ = now;
    for (const ShardId& shard : std::set<ShardId>(ownRows_)) {
      ConsiderRow(ShardRow(storeRows_[shard]), now);
    }
    ReclaimReleases(now);
  }
  shards_.Tick(now, effects_);
  replicator_.Tick(now, effects_);
  if (holder_.LeaseValid()) {
    claims_.Tick(now, effects_);
  }
}

void
OwnershipNode::Receive(const InstanceRef& aFrom, const OwnershipMessage& aMessage)
{
  // Notices the end of the lease before the message is handled.
  TickHolder();
  Refresh();
  if (Stopped()) {
    return;
  }
  std::visit([&](const auto& aContent) { Handle(aFrom, aContent); }, aMessage);
  Refresh();
  Stopped();
}

void
OwnershipNode::SetMembers(std::span<const RingMember> aMembers)
{
  const TimePoint now = clock_.Now();
  std::string region;
  for (const RingMember& member : aMembers) {
    gone_.MarkRunning(member.ref_, now);
    if (member.ref_ == self_) {
      region = member.region_;
    }
  }
  const std::vector<RingMember> ring = OrderRing(aMembers, region);
  const auto own = std::find_if(
    ring.begin(), ring.end(), [&](const RingMember& aMember) { return aMember.ref_ == self_; });
  if (own == ring.end()) {
    return;
  }
  std::vector<InstanceRef> predecessors;
  const auto at = static_cast<std::size_t>(own - ring.begin());
  for (std::size_t step = 1; step < ring.size(); ++step) {
    predecessors.push_back(ring[(at + ring.size() - step) % ring.size()].ref_);
  }
  holder_.SetPredecessors(predecessors);
}

void
OwnershipNode::OnMemberDead(const InstanceRef& aRef)
{
  if (aRef != self_) {
    gone_.MarkDead(aRef);
  }
}

void
OwnershipNode::OnStoreRows(std::span<const ShardRow> aRows)
{
  const TimePoint now = clock_.Now();
  TickHolder();
  Refresh();
  if (Stopped()) {
    return;
  }
  for (const ShardRow& row : aRows) {
    ShardRow& known = storeRows_[row.shard_];
    if (row.token_ < known.token_) {
      continue;
    }
    known = row;
    if (row.owner_.id_ == self_.id_ || row.successor_.id_ == self_.id_) {
      ownRows_.insert(row.shard_);
    } else {
      ownRows_.erase(row.shard_);
    }
    table_.SetOwner(row);
    shards_.OnStoreRow(row, effects_);
    ConsiderRow(row, now);
  }
}

void
OwnershipNode::ConsiderRow(const ShardRow& aRow, TimePoint aNow)
{
  if (!holder_.LeaseValid()) {
    return;
  }
  if (aRow.owner_ == self_) {
    shards_.TakeAssigned(aRow, effects_);
    return;
  }
  if (aNow - startedAt_ < kReclaimLeases * settings_.Wait(settings_.instanceLease_)) {
    return;
  }
  const bool ownFormer = aRow.owner_.id_ == self_.id_ && aRow.owner_ < self_;
  const bool successorFormer = aRow.successor_.id_ == self_.id_ && aRow.successor_ < self_;
  if (ownFormer || (successorFormer && gone_.IsGone(aRow.owner_, aNow))) {
    claims_.Start(aRow, self_, false);
  }
}

void
OwnershipNode::ReclaimReleases(TimePoint aNow)
{
  for (const ShardRow& row : shards_.Releases().Pending()) {
    const auto stored = storeRows_.find(row.shard_);
    if (stored != storeRows_.end() && stored->second.token_ > row.token_) {
      shards_.Releases().Remove(row.shard_);
    } else if (gone_.IsGone(row.successor_, aNow)) {
      claims_.Start(row, self_, false);
    }
  }
}

void
OwnershipNode::OnStoreResult(std::uint64_t aOperation,
                             CommitOutcome aOutcome,
                             const std::optional<ShardRow>& aCurrent)
{
  TickHolder();
  Refresh();
  if (Stopped()) {
    return;
  }
  shards_.OnCommit(aOperation, aOutcome, aCurrent, effects_);
  const std::optional<ShardRow> row = claims_.OnCommit(aOperation, aOutcome, aCurrent);
  if (row) {
    effects_.emplace_back(RowsChanged{ { *row } });
    OnStoreRows(std::span(&*row, 1));
  }
}

void
OwnershipNode::AssignShard(const ShardId& aShard, const InstanceRef& aTarget, bool aForce)
{
  const auto it = storeRows_.find(aShard);
  if (it == storeRows_.end() || shards_.Find(aShard) != nullptr) {
    return;
  }
  const ShardRow& row = it->second;
  if (row.owner_.Empty() || aForce || gone_.IsGone(row.owner_, clock_.Now())) {
    claims_.Start(row, aTarget, aForce);
  }
}

void
OwnershipNode::Propose(const ShardId& aShard, const InstanceRef& aTarget, bool aMove)
{
  if (shards_.Find(aShard) != nullptr) {
    shards_.Propose(aShard, aTarget, aMove);
    return;
  }
  const auto it = storeRows_.find(aShard);
  if (it != storeRows_.end() && !it->second.owner_.Empty() && it->second.owner_ != self_) {
    effects_.emplace_back(
      SendMessage{ it->second.owner_, ProposeSuccessor{ aShard, aTarget, aMove } });
  }
}

void
OwnershipNode::ProposeSuccessorFor(const ShardId& aShard, const InstanceRef& aTarget)
{
  Propose(aShard, aTarget, false);
}

void
OwnershipNode::ProposeMove(const ShardId& aShard, const InstanceRef& aTarget)
{
  Propose(aShard, aTarget, true);
}

void
OwnershipNode::DropSuccessor(const ShardId& aShard)
{
  shards_.Propose(aShard, InstanceRef{}, false);
}

void
OwnershipNode::ConfirmSuccessor(const ShardId& aShard, const InstanceRef& aSuccessor)
{
  shards_.Confirm(aShard, aSuccessor);
}

void
OwnershipNode::ReleaseAll()
{
  shards_.ReleaseAll();
}

Effects
OwnershipNode::TakeEffects()
{
  return std::exchange(effects_, {});
}

} // namespace redwing
