#pragma once

#include "core/Random.hpp"
#include "membership/RingOrder.hpp"
#include "ownership/GoneMembers.hpp"
#include "ownership/LeaseGrantor.hpp"
#include "ownership/LeaseHolder.hpp"
#include "ownership/OwnedShards.hpp"
#include "ownership/ShardClaims.hpp"

#include <map>
#include <set>
#include <span>

/// Key-ownership protocol of one instance.
namespace redwing {

/// Facade of the ownership classes: takes messages, time and store results, returns effects. One
/// object serves one incarnation. The caller delivers a message only when it is addressed to
/// exactly this incarnation, calls Tick at least every 10 ms, and calls TakeEffects after each
/// input.
class OwnershipNode
{
public:
  /// Preconditions: aClock and aTable outlive the object; aSelf.incarnation_ is higher than that of
  /// any earlier process with this id. Thread safety: all methods of one object are called from one
  /// thread.
  OwnershipNode(InstanceRef aSelf,
                const OwnershipSettings& aSettings,
                const Clock& aClock,
                Random& aRandom,
                OwnershipTable& aTable);

  /// Does what is due.
  ///
  /// Preconditions: none. Thread safety: see the constructor.
  void Tick();

  /// Handles a message that aFrom sent to this incarnation.
  ///
  /// Preconditions: the sender was authenticated. Thread safety: see the constructor.
  void Receive(const InstanceRef& aFrom, const OwnershipMessage& aMessage);

  /// Sets the known members of all regions; a stale or wrong view costs time, never safety.
  ///
  /// Preconditions: aMembers contains this instance. Thread safety: see the constructor.
  void SetMembers(std::span<const RingMember> aMembers);

  /// Records that another instance reported the incarnation dead (effect MemberDead).
  ///
  /// Preconditions: none. Thread safety: see the constructor.
  void OnMemberDead(const InstanceRef& aRef);

  /// Supplies rows read from the store.
  ///
  /// Preconditions: none. Thread safety: see the constructor.
  void OnStoreRows(std::span<const ShardRow> aRows);

  /// Reports the outcome of a CommitRow; aCurrent is the row in the store after a conflict.
  ///
  /// Preconditions: none. Thread safety: see the constructor.
  void OnStoreResult(std::uint64_t aOperation,
                     CommitOutcome aOutcome,
                     const std::optional<ShardRow>& aCurrent);

  /// Assigns a shard that has no owner, or whose owner is known to be gone, to aTarget. With aForce
  /// an operator vouches that neither owner nor successor acts.
  ///
  /// Preconditions: the shard's row was supplied by OnStoreRows. Thread safety: see the
  /// constructor.
  void AssignShard(const ShardId& aShard, const InstanceRef& aTarget, bool aForce = false);

  /// Asks the owner to name aTarget as successor.
  ///
  /// Preconditions: none. Thread safety: see the constructor.
  void ProposeSuccessorFor(const ShardId& aShard, const InstanceRef& aTarget);

  /// Asks the owner to move the shard to aTarget.
  ///
  /// Preconditions: none. Thread safety: see the constructor.
  void ProposeMove(const ShardId& aShard, const InstanceRef& aTarget);

  /// Has the grantors hold "no successor", because the successor does not acknowledge idempotency
  /// entries; SuccessorHeld with an empty successor tells when this is done.
  ///
  /// Preconditions: none. Thread safety: see the constructor.
  void DropSuccessor(const ShardId& aShard);

  /// The caller has sent all idempotency entries after SuccessorPending.
  ///
  /// Preconditions: none. Thread safety: see the constructor.
  void ConfirmSuccessor(const ShardId& aShard, const InstanceRef& aSuccessor);

  /// Releases all shards to their successors for a graceful leave.
  ///
  /// Preconditions: none. Thread safety: see the constructor.
  void ReleaseAll();

  /// Returns the effects since the last call.
  ///
  /// Preconditions: none. Thread safety: see the constructor.
  Effects TakeEffects();

  const InstanceRef& Self() const { return self_; }
  const OwnedShards& Shards() const { return shards_; }
  const LeaseHolder& Holder() const { return holder_; }
  const LeaseGrantor& Grantor() const { return grantor_; }

private:
  /// Returns true when the lease has ended; reports it once.
  bool Stopped();
  void TickHolder();
  void Refresh();
  void Propose(const ShardId& aShard, const InstanceRef& aTarget, bool aMove);
  void ConsiderRow(const ShardRow& aRow, TimePoint aNow);
  void ReclaimReleases(TimePoint aNow);
  void Handle(const InstanceRef& aFrom, const BindProbe& aMessage);
  void Handle(const InstanceRef& aFrom, const BindOffer& aMessage);
  void Handle(const InstanceRef& aFrom, const Heartbeat& aMessage);
  void Handle(const InstanceRef& aFrom, const HeartbeatReply& aMessage);
  void Handle(const InstanceRef& aFrom, const Distress& aMessage);
  void Handle(const InstanceRef& aFrom, const RowsUpdate& aMessage);
  void Handle(const InstanceRef& aFrom, const RowsAck& aMessage);
  void Handle(const InstanceRef& aFrom, const RowsDrop& aMessage);
  void Handle(const InstanceRef& aFrom, const RowsDropAck& aMessage);
  void Handle(const InstanceRef& aFrom, const Unbind& aMessage);
  void Handle(const InstanceRef& aFrom, const UnbindAck& aMessage);
  void Handle(const InstanceRef& aFrom, const Decide& aMessage);
  void Handle(const InstanceRef& aFrom, const DecideAck& aMessage);
  void Handle(const InstanceRef& aFrom, const TakeOver& aMessage);
  void Handle(const InstanceRef& aFrom, const TakeOverAck& aMessage);
  void Handle(const InstanceRef& aFrom, const Release& aMessage);
  void Handle(const InstanceRef& aFrom, const ReleaseAck& aMessage);
  void Handle(const InstanceRef& aFrom, const ClaimQuery& aMessage);
  void Handle(const InstanceRef& aFrom, const ClaimPromise& aMessage);
  void Handle(const InstanceRef& aFrom, const ProposeSuccessor& aMessage);

  InstanceRef self_;
  OwnershipSettings settings_;
  const Clock& clock_;
  OwnershipTable& table_;
  TimePoint startedAt_;
  TimePoint lastReview_{};
  bool reportedExpiry_ = false;
  std::uint64_t lastOperation_ = 0;
  GoneMembers gone_;
  LeaseHolder holder_;
  LeaseGrantor grantor_;
  RowReplicator replicator_;
  TokenLedger ledger_;
  OwnedShards shards_;
  ShardClaims claims_;
  std::map<ShardId, ShardRow> storeRows_;
  /// Rows in storeRows_ that name this id as owner or successor; reviewed regularly.
  std::set<ShardId> ownRows_;
  Effects effects_;
};

} // namespace redwing
