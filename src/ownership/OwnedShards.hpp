#pragma once

#include "ownership/Effects.hpp"
#include "ownership/OwnershipSettings.hpp"
#include "ownership/OwnershipTable.hpp"
#include "ownership/ReleaseQueue.hpp"
#include "ownership/RowReplicator.hpp"
#include "ownership/TokenLedger.hpp"

#include <map>
#include <optional>

namespace redwing {

/// Step of a row at its owner.
enum class RowPhase : std::uint8_t
{
  /// Taken over through the ring; the store does not know it yet, so no successor may be named.
  WriteBack,
  Stable,
  /// Successor change, step 1: grantor and backup grantor are told "no successor".
  Clearing,
  /// Step 2: the store is told the new successor.
  Committing,
  /// The caller sends the idempotency entries to the new successor.
  Confirming,
  /// Step 3: grantor and backup grantor are told the new successor.
  Announcing,
};

/// Shards owned by this instance: write-back, successor changes and release.
class OwnedShards
{
public:
  /// Preconditions: all references outlive the object. Thread safety: not thread-safe.
  OwnedShards(InstanceRef aSelf,
              const OwnershipSettings& aSettings,
              RowReplicator& aReplicator,
              TokenLedger& aLedger,
              OwnershipTable& aTable,
              std::uint64_t& aLastOperation);

  /// Takes over aRow as its recorded successor with token + 1, unless that token is barred.
  ///
  /// Preconditions: the lease is valid; this instance is aRow.successor_. Thread safety: not
  /// thread-safe.
  void TakeOverRow(const ShardRow& aRow, Effects& aEffects);

  /// Starts to act for a row that the store assigns to this instance, unless its token is barred.
  ///
  /// Preconditions: the lease is valid; this instance is aRow.owner_. Thread safety: not
  /// thread-safe.
  void TakeAssigned(const ShardRow& aRow, Effects& aEffects);

  /// Starts a change of the successor; an empty target ends with "no successor" at the grantors.
  /// With aMove the shard is released to the target afterwards.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Propose(const ShardId& aShard, const InstanceRef& aTarget, bool aMove);

  /// The new successor holds all idempotency entries.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Confirm(const ShardId& aShard, const InstanceRef& aSuccessor);

  /// Releases every shard to its successor when its requests have ended.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void ReleaseAll();

  /// Drops all shards because the lease ended.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void LoseAll(Effects& aEffects);

  /// A row with a higher token is in the store: somebody else owns the shard.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnStoreRow(const ShardRow& aRow, Effects& aEffects);

  /// Preconditions: none. Thread safety: not thread-safe.
  void OnCommit(std::uint64_t aOperation,
                CommitOutcome aOutcome,
                const std::optional<ShardRow>& aCurrent,
                Effects& aEffects);

  /// Preconditions: none. Thread safety: not thread-safe.
  void OnReleaseAck(const ReleaseAck& aAck);

  /// Advances all rows.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Tick(TimePoint aNow, Effects& aEffects);

  /// Returns the row of aShard if this instance owns it.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  const ShardRow* Find(const ShardId& aShard) const;

  /// Returns the phase of aShard if this instance owns it.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::optional<RowPhase> Phase(const ShardId& aShard) const;

  /// Returns the number of owned shards.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::size_t Size() const { return shards_.size(); }

  ReleaseQueue& Releases() { return releases_; }

private:
  struct Shard
  {
    /// As the grantors are told.
    ShardRow row_;
    /// As far as known in the store.
    ShardRow stored_;
    RowPhase phase_ = RowPhase::Stable;
    std::optional<InstanceRef> wanted_;
    bool move_ = false;
    std::uint64_t operation_ = 0;
    TimePoint lastCommit_{};
  };

  void Gain(Shard aShard, Effects& aEffects);
  void Lose(const ShardId& aShard, Effects& aEffects);
  void Advance(Shard& aShard, TimePoint aNow, Effects& aEffects);
  void StartChange(Shard& aShard);
  void FinishClearing(Shard& aShard, Effects& aEffects);
  void Commit(Shard& aShard, TimePoint aNow, Effects& aEffects);
  void Committed(Shard& aShard, Effects& aEffects);
  bool MayRelease(const Shard& aShard) const;
  static ShardRow Target(const Shard& aShard);

  InstanceRef self_;
  const OwnershipSettings& settings_;
  RowReplicator& replicator_;
  TokenLedger& ledger_;
  OwnershipTable& table_;
  std::uint64_t& lastOperation_;
  ReleaseQueue releases_;
  std::map<ShardId, Shard> shards_;
  bool releaseAll_ = false;
};

} // namespace redwing
