#include "ownership/OwnedShards.hpp"

#include <algorithm>

namespace redwing {

OwnedShards::OwnedShards(InstanceRef aSelf,
                         const OwnershipSettings& aSettings,
                         RowReplicator& aReplicator,
                         TokenLedger& aLedger,
                         OwnershipTable& aTable,
                         std::uint64_t& aLastOperation)
  : self_(std::move(aSelf))
  , settings_(aSettings)
  , replicator_(aReplicator)
  , ledger_(aLedger)
  , table_(aTable)
  , lastOperation_(aLastOperation)
  , releases_(aSettings)
{
}

const ShardRow*
OwnedShards::Find(const ShardId& aShard) const
{
  const auto it = shards_.find(aShard);
  return it == shards_.end() ? nullptr : &it->second.row_;
}

std::optional<RowPhase>
OwnedShards::Phase(const ShardId& aShard) const
{
  const auto it = shards_.find(aShard);
  return it == shards_.end() ? std::nullopt : std::optional(it->second.phase_);
}

void
OwnedShards::Gain(Shard aShard, Effects& aEffects)
{
  const ShardRow row = aShard.row_;
  ledger_.Take(row.shard_, row.token_);
  replicator_.Put(row);
  table_.Gain(row);
  shards_[row.shard_] = std::move(aShard);
  aEffects.push_back(OwnershipGained{ row.shard_, row.token_ });
  aEffects.push_back(RowsChanged{ { row } });
}

void
OwnedShards::Lose(const ShardId& aShard, Effects& aEffects)
{
  const auto it = shards_.find(aShard);
  if (it == shards_.end()) {
    return;
  }
  const std::uint64_t token = it->second.row_.token_;
  table_.Lose(aShard);
  shards_.erase(it);
  aEffects.push_back(OwnershipLost{ aShard, token });
}

void
OwnedShards::TakeOverRow(const ShardRow& aRow, Effects& aEffects)
{
  if (!ledger_.MayTake(aRow.shard_, aRow.token_ + 1)) {
    return;
  }
  Shard shard;
  shard.row_ = ShardRow{ aRow.shard_, self_, aRow.token_ + 1, InstanceRef{} };
  shard.stored_ = aRow;
  shard.phase_ = RowPhase::WriteBack;
  Gain(std::move(shard), aEffects);
}

void
OwnedShards::TakeAssigned(const ShardRow& aRow, Effects& aEffects)
{
  if (!ledger_.MayTake(aRow.shard_, aRow.token_)) {
    return;
  }
  Shard shard;
  shard.row_ = aRow;
  // The successor is named at the grantors only after the caller sent it the entries.
  shard.row_.successor_ = InstanceRef{};
  shard.stored_ = aRow;
  Gain(std::move(shard), aEffects);
}

void
OwnedShards::Propose(const ShardId& aShard, const InstanceRef& aTarget, bool aMove)
{
  const auto it = shards_.find(aShard);
  if (it == shards_.end() || aTarget == self_) {
    return;
  }
  Shard& shard = it->second;
  const bool busy = shard.phase_ == RowPhase::Committing || shard.phase_ == RowPhase::Clearing;
  // A commit whose outcome is open may not be replaced by another one.
  if (busy && shard.wanted_ && !shard.wanted_->Empty()) {
    return;
  }
  shard.wanted_ = aTarget;
  shard.move_ = aMove;
}

void
OwnedShards::Confirm(const ShardId& aShard, const InstanceRef& aSuccessor)
{
  const auto it = shards_.find(aShard);
  if (it == shards_.end() || it->second.phase_ != RowPhase::Confirming ||
      it->second.stored_.successor_ != aSuccessor) {
    return;
  }
  Shard& shard = it->second;
  shard.row_.successor_ = aSuccessor;
  shard.phase_ = RowPhase::Announcing;
  replicator_.Put(shard.row_);
}

void
OwnedShards::ReleaseAll()
{
  releaseAll_ = true;
}

void
OwnedShards::LoseAll(Effects& aEffects)
{
  while (!shards_.empty()) {
    Lose(ShardId(shards_.begin()->first), aEffects);
  }
}

void
OwnedShards::OnStoreRow(const ShardRow& aRow, Effects& aEffects)
{
  const auto it = shards_.find(aRow.shard_);
  if (it != shards_.end() && aRow.token_ > it->second.row_.token_) {
    Lose(aRow.shard_, aEffects);
    replicator_.Put(ShardRow{ aRow.shard_, InstanceRef{}, aRow.token_, InstanceRef{} });
  }
}

ShardRow
OwnedShards::Target(const Shard& aShard)
{
  ShardRow row = aShard.row_;
  if (aShard.phase_ == RowPhase::Committing && aShard.wanted_) {
    row.successor_ = *aShard.wanted_;
  }
  return row;
}

void
OwnedShards::Commit(Shard& aShard, TimePoint aNow, Effects& aEffects)
{
  if (aShard.operation_ != 0 ||
      (aShard.lastCommit_ != TimePoint{} && aNow - aShard.lastCommit_ < settings_.storeRetry_)) {
    return;
  }
  aShard.lastCommit_ = aNow;
  aShard.operation_ = ++lastOperation_;
  aEffects.push_back(CommitRow{ aShard.operation_, aShard.stored_, Target(aShard) });
}

void
OwnedShards::Committed(Shard& aShard, Effects& aEffects)
{
  aShard.stored_ = Target(aShard);
  aShard.lastCommit_ = TimePoint{};
  if (aShard.phase_ == RowPhase::WriteBack) {
    aShard.phase_ = RowPhase::Stable;
  } else if (aShard.phase_ == RowPhase::Committing) {
    aShard.wanted_.reset();
    aShard.phase_ = RowPhase::Confirming;
    aEffects.push_back(
      SuccessorPending{ aShard.row_.shard_, aShard.row_.token_, aShard.stored_.successor_ });
  }
  aEffects.push_back(RowsChanged{ { aShard.stored_ } });
}

void
OwnedShards::OnCommit(std::uint64_t aOperation,
                      CommitOutcome aOutcome,
                      const std::optional<ShardRow>& aCurrent,
                      Effects& aEffects)
{
  const auto it = std::find_if(shards_.begin(), shards_.end(), [&](const auto& aEntry) {
    return aEntry.second.operation_ == aOperation;
  });
  if (it == shards_.end()) {
    return;
  }
  Shard& shard = it->second;
  shard.operation_ = 0;
  if (aOutcome == CommitOutcome::Success) {
    Committed(shard, aEffects);
  } else if (aOutcome == CommitOutcome::Conflict && aCurrent) {
    if (*aCurrent == Target(shard)) {
      // An earlier attempt whose reply was lost took effect.
      Committed(shard, aEffects);
    } else if (aCurrent->token_ > shard.row_.token_ ||
               (aCurrent->token_ == shard.row_.token_ && aCurrent->owner_ != self_)) {
      Lose(ShardId(it->first), aEffects);
    } else {
      shard.stored_ = *aCurrent;
      shard.lastCommit_ = TimePoint{};
    }
  }
}

void
OwnedShards::OnReleaseAck(const ReleaseAck& aAck)
{
  if (releases_.OnAck(aAck)) {
    const ShardRow& row = aAck.row_;
    replicator_.Put(ShardRow{ row.shard_, InstanceRef{}, row.token_, InstanceRef{} });
  }
}

void
OwnedShards::StartChange(Shard& aShard)
{
  if (aShard.row_.successor_ == *aShard.wanted_) {
    aShard.wanted_.reset();
    return;
  }
  aShard.phase_ = RowPhase::Clearing;
  if (!aShard.row_.successor_.Empty()) {
    aShard.row_.successor_ = InstanceRef{};
    replicator_.Put(aShard.row_);
  }
}

void
OwnedShards::FinishClearing(Shard& aShard, Effects& aEffects)
{
  const bool drop = !aShard.wanted_ || aShard.wanted_->Empty();
  aShard.phase_ = drop ? RowPhase::Stable : RowPhase::Committing;
  if (drop) {
    aShard.wanted_.reset();
    aEffects.push_back(SuccessorHeld{ aShard.row_.shard_, aShard.row_.token_, InstanceRef{} });
  }
}

bool
OwnedShards::MayRelease(const Shard& aShard) const
{
  return (aShard.move_ || releaseAll_) && aShard.phase_ == RowPhase::Stable && !aShard.wanted_ &&
         !aShard.row_.successor_.Empty() && aShard.stored_ == aShard.row_;
}

void
OwnedShards::Advance(Shard& aShard, TimePoint aNow, Effects& aEffects)
{
  const ShardId& id = aShard.row_.shard_;
  switch (aShard.phase_) {
    case RowPhase::WriteBack:
      Commit(aShard, aNow, aEffects);
      break;
    case RowPhase::Stable:
      if (aShard.wanted_) {
        StartChange(aShard);
      }
      break;
    case RowPhase::Clearing:
      if (replicator_.IsHeld(id)) {
        FinishClearing(aShard, aEffects);
      }
      break;
    case RowPhase::Committing:
      if (aShard.stored_ == Target(aShard)) {
        Committed(aShard, aEffects);
      } else {
        Commit(aShard, aNow, aEffects);
      }
      break;
    case RowPhase::Confirming:
      if (aShard.wanted_) {
        // Nothing was announced to the grantors yet, so the change can start again.
        aShard.phase_ = RowPhase::Clearing;
      }
      break;
    case RowPhase::Announcing:
      if (replicator_.IsHeld(id)) {
        aShard.phase_ = RowPhase::Stable;
        aEffects.push_back(SuccessorHeld{ id, aShard.row_.token_, aShard.row_.successor_ });
      } else if (aShard.wanted_ && *aShard.wanted_ != aShard.row_.successor_) {
        StartChange(aShard);
      }
      break;
  }
}

void
OwnedShards::Tick(TimePoint aNow, Effects& aEffects)
{
  for (auto it = shards_.begin(); it != shards_.end();) {
    Shard& shard = it->second;
    Advance(shard, aNow, aEffects);
    if (!MayRelease(shard)) {
      ++it;
      continue;
    }
    table_.SetReleasing(it->first, true);
    if (table_.Running(it->first) > 0) {
      ++it;
      continue;
    }
    const ShardRow row = shard.row_;
    ++it;
    Lose(row.shard_, aEffects);
    // This instance never takes the successor's token, whatever arrives late.
    ledger_.Bar(row.shard_, row.token_ + 1);
    releases_.Add(row);
  }
  releases_.Tick(aNow, aEffects);
}

} // namespace redwing
