#pragma once

#include "admission/IdempotencyTable.hpp"
#include "admission/PoisonRegistry.hpp"
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
  /// Id, data centre, region, rack and peers' address of this instance; the incarnation is set by
  /// the join.
  Member self_;
  /// Address to bind; it may differ from the one that other instances use.
  Address boundAddress_;
  std::string fleetKey_;
  std::uint64_t seed_ = 0;
};

/// Hooks to the other threads; callable from the control thread.
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
  std::function<void(SliceReply)> onSliceReply_;
  std::function<void(std::vector<ShardGrant>, TimePoint, std::function<void(bool)>)> setGrants_;
  std::function<void(ShardId, std::function<void(std::vector<IdempotencyEntry>)>)> exportEntries_;
  std::function<void(std::vector<IdempotencyEntry>, std::function<void()>)> importEntries_;
  std::function<void(std::vector<PoisonEntry>)> mergePoison_;
  /// Called once, after the first join.
  std::function<void(const InstanceRef&)> onJoined_;
};

/// State of the backend server as the control thread needs it.
struct LocalBackend
{
  std::string service_;
  std::uint32_t slots_ = 0;
  Labels labels_;
  BackendState state_ = BackendState::Down;

  bool operator==(const LocalBackend&) const = default;
};

/// Overview of one instance for its operators' interface.
struct ControlStatus
{
  StatusReply self_;
  bool planner_ = false;
  std::vector<Member> members_;
  std::vector<StatusReply> reports_;
  std::vector<ShardRow> rows_;
};

/// The control thread's work: membership, leases, planner, configuration spread and share buckets.
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

  /// Binds the UDP socket and starts to join; returns the reason when the address can't be bound.
  ///
  /// Preconditions: called once, before the io_context runs. Thread safety: not thread-safe.
  std::string Start();

  /// Stops all timers and closes the socket.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void Stop();

  /// Records the state of the local backend server.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void OnLocalBackend(LocalBackend aBackend);

  /// Replicates an entry to the shard's successor; aDone(true) when the request may be dispatched.
  ///
  /// Preconditions: none. Thread safety: callable from any thread; aDone may run on any thread.
  void Replicate(IdempotencyEntry aEntry, std::function<void(bool)> aDone);

  /// Spreads poison entries.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void SpreadPoison(std::vector<PoisonEntry> aEntries);

  /// Passes a message of the local limiter to the owner of the workspace's bucket.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void SendSlice(SliceRequest aRequest);
  void SendSlice(SliceReport aReport);

  /// Answers a call from another instance.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void OnCall(InstanceRef aFrom, std::string aPayload, std::function<void(std::string)> aReply);

  /// Adopts a configuration that this instance has stored.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void AdoptConfiguration(std::uint64_t aRevision, std::string aRecord);

  /// Leaves gracefully: takes no new work, hands all shards to their successors, then calls aDone.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void BeginLeave(std::function<void()> aDone);

  /// Assigns a shard on an operator's word that neither owner nor successor acts; aDone tells
  /// whether an instance was found for it.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void ForceShard(ShardId aShard, std::function<void(bool)> aDone);

  /// Collects the overview; asks all members.
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

  // Messages (ControlMessages.cpp).
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
  /// Buckets received for shards that this instance does not own yet.
  std::map<ShardId, BucketHandoff> handoffs_;
  std::map<std::string, WorkspaceLimit, std::less<>> limits_;
  TimePoint limitsSince_;
  std::uint64_t seenFleetVersion_ = 0;
  std::uint64_t seenRevision_ = 0;
  std::uint64_t publishedFleetVersion_ = 0;
  Counter& datagramsRejected_;
  Counter& bytesSent_;
  Counter& bytesReceived_;
};

} // namespace redwing
