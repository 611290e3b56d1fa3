#pragma once

#include "control/FleetState.hpp"
#include "control/ShardRowStore.hpp"
#include "core/Clock.hpp"
#include "core/Random.hpp"
#include "exchange/ShardGrant.hpp"
#include "ownership/OwnershipNode.hpp"
#include "ownership/OwnershipTable.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace redwing {

/// Internal keyed service whose shards own the token buckets of workspaces.
constexpr std::string_view kShareService = "redwing.shares";
constexpr std::uint32_t kShareShards = 16;

/// Callbacks of OwnershipDriver; called on the control thread.
struct OwnershipHooks
{
  /// Sends a message to the given incarnation of another instance.
  std::function<void(const InstanceRef& aTo, const OwnershipMessage& aMessage)> send_;
  /// Replaces the backend server's grants; aAcknowledged may be called from any thread.
  std::function<void(std::vector<ShardGrant>, TimePoint aDeadline, std::function<void(bool)>)>
    setGrants_;
  /// Sends all idempotency entries of a shard to its designated successor; the callback receives
  /// whether the successor stored them.
  std::function<void(const ShardId&, const InstanceRef& aSuccessor, std::function<void(bool)>)>
    pushEntries_;
  /// Runs a task on the control thread.
  std::function<void(std::function<void()>)> post_;
  /// Called when this instance has become the owner of aShard.
  std::function<void(const ShardId& aShard, std::uint64_t aToken)> onGained_;
  /// Called when this instance no longer owns aShard. aSuccessor is empty unless the shard was
  /// released to it.
  std::function<void(const ShardId& aShard, std::uint64_t aToken, const InstanceRef& aSuccessor)>
    onLost_;
  /// Called when the lease has expired; the instance must rejoin.
  std::function<void()> onExpired_;
};

/// Executes the effects that the ownership protocol (OwnershipNode) produces: messages, store
/// writes, grants and notifications.
class OwnershipDriver
{
public:
  OwnershipDriver(const Clock& aClock,
                  Random& aRandom,
                  OwnershipTable& aTable,
                  FleetState& aFleet,
                  Store& aStore,
                  OwnershipHooks aHooks);

  /// Starts the protocol for a new incarnation of this instance.
  ///
  /// Preconditions: none. Thread safety: control thread only, like all methods.
  void Start(const InstanceRef& aSelf);

  /// Advances the protocol, and extends or revokes grants if that is due.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void Tick();

  /// Handles a message. Messages addressed to another incarnation are ignored.
  ///
  /// Preconditions: the sender was authenticated. Thread safety: control thread only.
  void Receive(const InstanceRef& aFrom, const InstanceRef& aTo, const OwnershipMessage& aMessage);

  /// Passes changed members and rows of the fleet state to the protocol and the ownership table.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void OnFleetChanged();

  /// Passes rows read from the store to the fleet state and the protocol.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void OnStoreRows(const std::vector<ShardRow>& aRows);

  /// Returns the instance that must store an idempotency entry of aShard before the request is
  /// dispatched, or nullopt if the shard has no successor.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  std::optional<InstanceRef> ReplicationTarget(const ShardId& aShard) const;

  /// Removes the successor of aShard because it does not acknowledge entries. aDone receives true
  /// once the grantors have recorded that there is no successor, or false on timeout or if this
  /// instance does not own the shard.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void DropSuccessor(const ShardId& aShard, std::function<void(bool)> aDone);

  /// Hands all owned shards of a service over to their successors because the local backend server
  /// cannot serve. Shards without a successor stay.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void ReleaseService(const std::string& aService);

  /// Returns the protocol node of the current incarnation; null before Start.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  OwnershipNode* Node() { return node_.get(); }

  ShardRowStore& Rows() { return rowStore_; }

  /// Returns the shards that this instance owns, with their fencing tokens.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  const std::map<ShardId, std::uint64_t>& Owned() const { return owned_; }

private:
  /// A DropSuccessor call that awaits the grantors' acknowledgement.
  struct DropWaiter
  {
    std::function<void(bool)> done_;
    TimePoint deadline_;
  };

  void UpdateRing();
  void RunEffects();
  void Run(const SendMessage& aEffect);
  void Run(const CommitRow& aEffect);
  void Run(const RowsChanged& aEffect);
  void Run(const OwnershipGained& aEffect);
  void Run(const OwnershipLost& aEffect);
  void Run(const SuccessorPending& aEffect);
  void Run(const SuccessorHeld& aEffect);
  void Run(const LeaseExpired& aEffect);
  void Run(const MemberDead& aEffect);
  void OnCommitted(std::uint64_t aOperation, CommitOutcome aOutcome, const ShardRow& aCurrent);
  void UpdateGrants();
  /// Removes expired grants, and detects shards whose hand-over has started so that their grants
  /// are revoked immediately.
  void UpdateReleasing();
  void OnRevoked(const std::vector<ShardId>& aShards);
  void ExpireDropWaiters();

  const Clock& clock_;
  Random& random_;
  OwnershipTable& table_;
  FleetState& fleet_;
  OwnershipHooks hooks_;
  ShardRowStore rowStore_;
  std::unique_ptr<OwnershipNode> node_;
  std::map<ShardId, std::uint64_t> owned_;
  std::map<ShardId, InstanceRef> successors_;
  std::map<ShardId, std::vector<DropWaiter>> dropWaiters_;
  /// Version of the fleet state up to which changes have been processed.
  std::uint64_t seenVersion_ = 0;
  /// Deadline of the last grant sent to the backend server, by shard.
  std::map<ShardId, TimePoint> grantedUntil_;
  /// Owned shards that are being handed over.
  std::set<ShardId> releasing_;
  bool grantsChanged_ = false;
  TimePoint nextGrants_;
  bool runningEffects_ = false;
};

} // namespace redwing
