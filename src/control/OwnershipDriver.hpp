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

struct OwnershipHooks
{
  std::function<void(const InstanceRef& aTo, const OwnershipMessage& aMessage)> send_;
  /// Replaces the backend server's grants; aAcknowledged may be called from any thread.
  std::function<void(std::vector<ShardGrant>, TimePoint aDeadline, std::function<void(bool)>)>
    setGrants_;
  /// Sends all idempotency entries of a shard to its future successor.
  std::function<void(const ShardId&, const InstanceRef& aSuccessor, std::function<void(bool)>)>
    pushEntries_;
  /// Runs a task on the control thread.
  std::function<void(std::function<void()>)> post_;
  /// This instance owns aShard from now on.
  std::function<void(const ShardId& aShard, std::uint64_t aToken)> onGained_;
  /// This instance owns aShard no longer; aSuccessor is set if it was released in its favour.
  std::function<void(const ShardId& aShard, std::uint64_t aToken, const InstanceRef& aSuccessor)>
    onLost_;
  /// The lease ended; the instance must rejoin.
  std::function<void()> onExpired_;
};

/// Carries out the effects of the ownership protocol.
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
  /// Preconditions: none. Thread safety: control thread only, as all methods.
  void Start(const InstanceRef& aSelf);

  /// Does what is due.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void Tick();

  /// Handles a message; ignored unless it is addressed to the current incarnation.
  ///
  /// Preconditions: the sender was authenticated. Thread safety: control thread only.
  void Receive(const InstanceRef& aFrom, const InstanceRef& aTo, const OwnershipMessage& aMessage);

  /// Passes new members and rows of the fleet state on.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void OnFleetChanged();

  /// Supplies rows read from the store.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void OnStoreRows(const std::vector<ShardRow>& aRows);

  /// Returns the instance that entries of aShard must be replicated to before a dispatch.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  std::optional<InstanceRef> ReplicationTarget(const ShardId& aShard) const;

  /// Gives the successor of aShard up, because it does not acknowledge entries; aDone is called
  /// with true when the grantors hold "no successor".
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void DropSuccessor(const ShardId& aShard, std::function<void(bool)> aDone);

  /// Hands all shards of a service to their successors, because the backend server cannot serve.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void ReleaseService(const std::string& aService);

  /// Returns the node of the current incarnation; null before Start.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  OwnershipNode* Node() { return node_.get(); }

  ShardRowStore& Rows() { return rowStore_; }

  /// Returns the shards owned now with their tokens.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  const std::map<ShardId, std::uint64_t>& Owned() const { return owned_; }

private:
  struct DropWaiter
  {
    std::function<void(bool)> done_;
    TimePoint until_;
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
  /// Notices shards that are being handed over; their grants are revoked at once.
  void CheckReleasing();
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
  /// Version of the fleet state up to which changes were passed on.
  std::uint64_t seenVersion_ = 0;
  /// Deadline of the last grant that the backend server was sent for a shard.
  std::map<ShardId, TimePoint> grantedUntil_;
  std::set<ShardId> releasing_;
  bool grantsChanged_ = false;
  TimePoint nextGrants_;
  bool running_ = false;
};

} // namespace redwing
