#pragma once

#include "admission/IdempotencyTable.hpp"
#include "admission/QuarantineRegistry.hpp"
#include "control/ConfigurationKeeper.hpp"
#include "control/ControlCodec.hpp"
#include "control/EntryCodec.hpp"
#include "control/FleetJoin.hpp"
#include "control/FleetState.hpp"
#include "control/GossipLoop.hpp"
#include "control/OwnershipDriver.hpp"
#include "control/PlanningLoop.hpp"
#include "control/ThreadedStore.hpp"
#include "control/UdpSocket.hpp"
#include "core/Clock.hpp"
#include "core/Counters.hpp"
#include "core/Mailbox.hpp"
#include "core/Published.hpp"
#include "limits/ShareOwner.hpp"
#include "ownership/OwnershipTable.hpp"
#include "routing/RoutingView.hpp"
#include "routing/WithdrawalStart.hpp"
#include "store/Store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace redwing {

struct ControlSettings
{
  /// Id, data centre, region, rack and peers' address of this instance. The incarnation is assigned
  /// when the instance joins.
  Member self_;
  /// Local address to bind; it may differ from the address that other instances use.
  Address boundAddress_;
  /// Shared secret that authenticates datagrams.
  std::string fleetKey_;
  /// Seed of the random number generator.
  std::uint64_t seed_ = 0;
};

/// Callbacks into the other threads; the control thread calls them.
struct ControlHooks
{
  using CallDone = std::function<void(bool aAnswered, std::string aReply)>;

  /// Calls another instance over a peer link; aDone may run on any thread.
  std::function<void(const std::string& aInstanceId,
                     const Address& aAddress,
                     std::string aPayload,
                     Duration aTimeout,
                     CallDone aDone)>
    call_;
  /// Passes the answer to a slice request to the local limiter.
  std::function<void(SliceReply)> onSliceReply_;
  /// Replaces the backend server's grants; see OwnershipHooks::setGrants_.
  std::function<void(std::vector<ShardGrant>, TimePoint, std::function<void(bool)>)> setGrants_;
  /// Reads all idempotency entries of a shard.
  std::function<void(ShardId, std::function<void(std::vector<IdempotencyEntry>)>)> exportEntries_;
  /// Stores entries received from a shard's owner.
  std::function<void(std::vector<IdempotencyEntry>, std::function<void()>)> importEntries_;
  /// Merges quarantine entries reported by other instances.
  std::function<void(std::vector<QuarantineEntry>)> mergeQuarantine_;
  /// Called once, after the instance has joined.
  std::function<void(const InstanceRef&)> onJoined_;
};

/// The part of the local backend server's state that the control thread publishes.
struct LocalBackend
{
  std::string service_;
  std::uint32_t slots_ = 0;
  Labels labels_;
  BackendState state_ = BackendState::Down;

  bool operator==(const LocalBackend&) const = default;
};

/// Fleet status as seen by one instance, for the operator interface.
struct ControlStatus
{
  StatusReply self_;
  /// Whether this instance holds the planner role.
  bool planner_ = false;
  std::vector<Member> members_;
  /// Status of this instance and of each member that answered in time.
  std::vector<StatusReply> reports_;
  std::vector<ShardRow> rows_;
};

/// Runs on the control thread: membership, leases, planning, configuration distribution and the
/// token buckets of share shards.
class ControlService
{
public:
  ControlService(boost::asio::io_context& aContext,
                 const Clock& aClock,
                 Store& aStore,
                 OwnershipTable& aTable,
                 Published<RoutingView>& aView,
                 CounterRegistry& aCounters,
                 ControlSettings aSettings,
                 ControlHooks aHooks);

  /// Binds the UDP socket and starts the join. Returns the error message if the address cannot be
  /// bound, otherwise an empty string.
  ///
  /// Preconditions: called once, before the io_context runs. Thread safety: not thread-safe.
  std::string Start();

  /// Stops all timers and closes the socket.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void Stop();

  /// Updates the state of the local backend server and publishes it if it changed.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void OnLocalBackend(LocalBackend aBackend);

  /// Replicates an entry to the shard's successor. aDone receives true if the request may be
  /// dispatched, which includes the case that the shard has no successor.
  ///
  /// Preconditions: none. Thread safety: callable from any thread; aDone may run on any thread.
  void Replicate(IdempotencyEntry aEntry, std::function<void(bool)> aDone);

  /// Publishes quarantine entries to the fleet by gossip.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void SpreadQuarantine(std::vector<QuarantineEntry> aEntries);

  /// Sends a message of the local limiter to the owner of the workspace's token bucket.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void SendSlice(SliceRequest aRequest);
  void SendSlice(SliceReport aReport);

  /// Handles a call from another instance; aReply receives the encoded reply.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void OnCall(InstanceRef aFrom, std::string aPayload, std::function<void(std::string)> aReply);

  /// Adopts a configuration that this instance wrote to the store with a call sent at aSentAt.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void AdoptConfiguration(std::uint64_t aRevision, std::string aRecord, TimePoint aSentAt);

  /// Leaves gracefully: accepts no further shards, hands all owned shards over to their successors,
  /// then calls aDone.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void BeginLeave(std::function<void()> aDone);

  /// Assigns a shard without the usual checks, because an operator asserts that neither its owner
  /// nor its successor is active. aDone receives whether an eligible instance was found.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void ForceShard(ShardId aShard, std::function<void(bool)> aDone);

  /// Collects the status of all members; those that do not answer in time are left out of
  /// reports_.
  ///
  /// Preconditions: none. Thread safety: callable from any thread; aDone runs on the control
  /// thread.
  void CollectStatus(std::function<void(ControlStatus)> aDone);

private:
  using Task = std::function<void()>;

  void Post(Task aTask);
  void Drain();
  void Tick();
  void Join();
  void LoadRows();
  void OnRowsLoaded(const std::vector<ShardRow>& aRows);
  void StartIncarnation(const InstanceRef& aSelf);
  void Rejoin();
  void PublishSelf();
  void PublishView();
  void UpdateBackendRelease();
  void CheckLeave();
  bool IsWatcher() const;
  std::size_t DataCentres() const;

  // Defined in ControlMessages.cpp.
  void OnDatagram(std::string_view aBytes);
  void Handle(const InstanceRef& aFrom, const OwnershipDatagram& aDatagram);
  void Handle(const InstanceRef& aFrom, const GossipRound& aRound);
  void Handle(const InstanceRef& aFrom, const SliceRequest& aRequest);
  void Handle(const InstanceRef& aFrom, const SliceReply& aReply);
  void Handle(const InstanceRef& aFrom, const SliceReport& aReport);
  void Handle(const InstanceRef& aFrom, const BucketHandoff& aHandoff);
  void SendDatagram(const std::string& aInstanceId, const ControlDatagram& aDatagram);
  void CallInstance(const std::string& aInstanceId,
                    const ControlCall& aCall,
                    Duration aTimeout,
                    GossipLoop::CallDone aDone);
  void Answer(const ControlCall& aCall, const std::function<void(std::string)>& aReply);
  void PushEntries(const ShardId& aShard,
                   const InstanceRef& aSuccessor,
                   std::function<void(bool)> aDone);
  void SendEntries(const InstanceRef& aTo,
                   std::string aEntries,
                   Duration aTimeout,
                   std::function<void(bool)> aDone);
  ShardId ShareShard(std::string_view aWorkspace) const;
  std::string ShareOwnerId(std::string_view aWorkspace) const;
  std::optional<ShareOwner::Limit> LimitOf(std::string_view aWorkspace) const;
  void OnConfiguration(const ConfigurationRevision& aRevision);
  void PrepareShares();
  void OnGained(const ShardId& aShard, std::uint64_t aToken);
  void OnLost(const ShardId& aShard, std::uint64_t aToken, const InstanceRef& aSuccessor);
  StatusReply OwnStatus() const;

  boost::asio::io_context& context_;
  const Clock& clock_;
  ControlSettings settings_;
  ControlHooks hooks_;
  OwnershipTable& table_;
  Published<RoutingView>& view_;
  Random random_;
  boost::asio::steady_timer timer_;
  Mailbox<Task> mailbox_;
  ControlCodec codec_;
  UdpSocket socket_;
  ThreadedStore store_;
  FleetState fleet_;
  ConfigurationKeeper keeper_;
  WithdrawalStart withdrawalStart_;
  GossipLoop gossip_;
  OwnershipDriver driver_;
  PlanningLoop planning_;
  ShareOwner shares_;
  std::unique_ptr<FleetJoin> join_;
  InstanceRef self_;
  LocalBackend backend_;
  bool stopped_ = false;
  bool joined_ = false;
  bool leaving_ = false;
  bool viewCurrent_ = false;
  std::vector<Task> leaveDone_;
  /// Buckets received for shards that this instance does not own yet, by shard.
  std::map<ShardId, BucketHandoff> handoffs_;
  std::map<std::string, WorkspaceLimit, std::less<>> limits_;
  /// Time of the last change of limits_.
  TimePoint limitsChangedAt_;
  std::uint64_t seenFleetVersion_ = 0;
  std::uint64_t seenRevision_ = 0;
  std::uint64_t publishedFleetVersion_ = 0;
  Counter& datagramsRejected_;
  Counter& bytesSent_;
  Counter& bytesReceived_;
};

} // namespace redwing
