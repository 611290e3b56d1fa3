#pragma once

#include "backend/BackendTypes.hpp"
#include "core/Clock.hpp"
#include "core/Counters.hpp"
#include "core/Published.hpp"
#include "core/Random.hpp"
#include "exchange/ServerHeartbeat.hpp"
#include "fleet/AllowancePools.hpp"
#include "fleet/DepartedServers.hpp"
#include "fleet/EpochRecovery.hpp"
#include "fleet/FleetMessages.hpp"
#include "fleet/FleetSettings.hpp"
#include "fleet/HoldMetrics.hpp"
#include "fleet/LeaderContacts.hpp"
#include "fleet/LeaderLease.hpp"
#include "fleet/RolloutCoordinator.hpp"
#include "fleet/ShardHolds.hpp"
#include "fleet/ShardPlanner.hpp"
#include "fleet/StoreSession.hpp"
#include "fleet/TableContention.hpp"
#include "intake/IntakeDependencies.hpp"
#include "limits/WindowBudget.hpp"
#include "routing/RoutingView.hpp"
#include "routing/WithdrawalStart.hpp"
#include "store/CountedStore.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace redwing {

/// Manages membership, shard ownership and shares of allowances for a fleet that keeps its state in
/// the store: leased member records, one shard table per keyed service, and an elected leader that
/// plans shard placement and lends allowances. All functions must be called on the context's
/// thread.
class FleetService
{
public:
  FleetService(boost::asio::io_context& aContext,
               const Clock& aClock,
               Store& aStore,
               Published<RoutingView>& aView,
               CounterRegistry& aCounters,
               FleetSettings aSettings,
               FleetHooks aHooks);
  ~FleetService();

  /// Starts registration, leader election and planning.
  ///
  /// Preconditions: called once.
  void Start();

  /// Returns the ownership gate for requests to the local server.
  OwnershipGate& Gate() { return holds_; }

  /// Tells all other instances of requests that crash servers, or were cleared of it.
  void SpreadQuarantine(const std::vector<QuarantineEntry>& aEntries);

  /// Adopts a configuration; a revision older than the current one is ignored.
  void OnConfiguration(std::shared_ptr<const ConfigurationRevision> aConfiguration);

  /// Adopts all present rollout orders; ignored where rollouts are off.
  void OnRolloutOrders(std::vector<RolloutOrder> aOrders);

  /// Returns the rollouts as JSON, with what the leader knows if this instance leads.
  std::string RolloutStatus() const;

  using HeartbeatDone = std::function<void(const HeartbeatReply&)>;

  /// Answers a heartbeat of the local server. A heartbeat for another service, or older than one
  /// received before, changes nothing, and is not accepted if it says that its server leaves. While
  /// shards are being handed over to the server, the reply is delayed for part of the server's
  /// reply timeout, so that it can grant them at once.
  void OnHeartbeat(const ServerHeartbeat& aHeartbeat, const HeartbeatDone& aDone);

  /// Records that the server aServerId is about to leave, whether or not this process has heard it.
  /// aConfirm is called once a later process of this instance would know of it, or after a time in
  /// which the store has not taken it; it may be empty.
  void OnServerLeaves(const std::string& aServerId, std::function<void()> aConfirm = {});

  /// Applies the state of the local server as seen by the health checks.
  void OnBackendStatus(const BackendStatus& aStatus);

  /// Marks an instance whose links were lost as unreachable until it answers a probe.
  void OnPeerDown(const std::string& aInstanceId);

  using CallReply = std::function<void(std::string)>;

  /// Answers a call of another instance; aReply may be called later.
  void OnCall(const std::string& aPayload, const CallReply& aReply);

  /// Decides whether a request is within its workspace's allowance; aDecide may be called later.
  void Admit(const Workspace& aWorkspace, const RateDecision& aDecide);

  /// Uncounts the request that was admitted with aToken and did not run.
  void ReturnToken(const Workspace& aWorkspace, std::uint64_t aToken);

  /// Tells the other instances to send no more requests here, and gives up leadership.
  void BeginLeave();

  /// Removes this instance from the store, then calls aDone.
  void End(std::function<void()> aDone);

  /// Returns whether the instance can serve requests.
  bool Ready() const;

private:
  /// Revisions consist of the epoch in which the record or table was written and its number in the
  /// store. So those that the store has again after it came back from an older copy are not taken
  /// for new ones.
  struct KnownMember
  {
    std::uint64_t revision_ = 0;
    /// Revision of the entry that was read last.
    std::uint64_t entryRevision_ = 0;
    MemberRecord record_;
  };
  struct KnownTable
  {
    std::uint64_t revision_ = 0;
    ShardTable table_;
  };
  /// Requests that wait for the leader to lend more of a workspace's allowance.
  /// open_ is set while a report about them to the leader awaits its reply.
  struct AllowanceRequests
  {
    struct Waiting
    {
      RateDecision decide_;
      TimePoint since_;
    };
    std::vector<Waiting> waiting_;
    bool open_ = false;
    /// Earliest time of the next attempt, after the leader had nothing left to lend.
    TimePoint notBefore_{};
  };
  /// Recent traffic of a service's shards as reported to the leader, decayed exponentially.
  struct ShardTraffic
  {
    std::vector<double> requests_;
    double total_ = 0;
    TimePoint updatedAt_{};
  };

  // Local server and member record of this instance (FleetLocal.cpp).
  void UpdateSelf();
  /// Returns the incarnation of the local server that may hold shards; empty if none does.
  std::string IncarnationWithHolds(TimePoint aNow);
  void Announce(const ServerHeartbeat& aHeartbeat);
  /// Notes a heartbeat of a run that is not used before the present run holds nothing.
  void OnWaitingServer(const ServerHeartbeat& aHeartbeat, const std::string& aIncarnation);
  void BeginServerLeave(TimePoint aSince);
  /// Takes over what the store tells of a leave that an earlier process confirmed.
  void AdoptEarlierLeave();
  /// Takes over what the store tells of how long an earlier process granted shards.
  void ReadEarlierHold();
  /// Returns whether the server that an earlier process registered has said that it leaves.
  bool EarlierServerLeaves() const;
  /// Returns the store's record of this instance, maybe that of an earlier process; null if there
  /// is none.
  const MemberRecord* StoredSelf() const;
  void ConfirmLeaves();
  void AnswerDelayedHeartbeat();
  void UpdateLease();
  void CommitReleases();
  void AdoptOwnShards();
  bool OwnTable(KnownTable*& aTable);
  /// Returns the number of instances that have rows of aTable to change.
  std::size_t WritersOf(const ShardTable& aTable) const;
  void WithdrawGrants();
  void WriteTable(const std::string& aService,
                  const KnownTable& aBase,
                  ShardTable aNext,
                  std::vector<StoreCompare> aConditions,
                  const char* aReason);

  // Members, shard tables and peers (FleetService.cpp).
  void OnSessionChange();
  void LogStart();
  void ReadMembers();
  void ReadMember(const std::string& aKey, const StoreEntry& aEntry);
  bool IsKnownInvalid(const std::string& aKey, std::uint64_t aRevision) const;
  void LogInvalid(const std::string& aKey,
                  std::uint64_t aRevision,
                  std::string_view aEvent,
                  const std::string& aError);
  void ReadTables();
  void AdoptTable(const std::string& aService, std::uint64_t aRevision, const std::string& aText);
  void SetTable(const std::string& aService, KnownTable aTable);
  void PublishView();
  void Tick();
  void ProbeLostPeers();
  void UpdateWatches(TimePoint aNow);
  /// Records that the leader knew of no newer configuration at aSentAt.
  void ConfirmConfiguration(TimePoint aSentAt);
  void RelayRenewal(std::int64_t aLease,
                    const std::function<void(std::chrono::milliseconds)>& aDone);
  void RenewForPeer(const LeaseRenewal& aRenewal, const CallReply& aReply);

  // Recovery after the store came back from an older copy (FleetRecovery.cpp).
  void UpdateEpoch();
  bool IsCurrent(std::uint64_t aRevision) const;
  bool TablesAreCurrent() const;
  bool SeesEarlierEpoch() const;
  bool MayRecover(const ShardTable& aTable) const;
  bool MayRecoverPart() const;
  std::map<std::string, std::uint64_t> TableRevisions() const;
  std::set<InstanceRef> RegisteredMembers() const;
  void RecoverTable(const std::string& aService, const KnownTable& aKnown);
  void RepairTables(const FleetReport& aReport, FleetReply& aReply);
  void SendWantedTables(const FleetReply& aReply);

  // Election (FleetElection.cpp).
  void UpdateLeadership();
  double MostProcessors() const;
  void TakeLeadership();
  void BeginLeadership();
  void StoreLedger();

  // Placement and reports to the leader (FleetLeader.cpp).
  void PlanAll();
  void Plan(const Service& aService);
  std::vector<ShardCandidate> CandidatesOf(const std::string& aService) const;
  double SpeedPreference(const std::string& aService, double aCapacity) const;
  bool MayCreateTable() const;
  std::vector<double> RecentTraffic(const std::string& aService);
  void ScheduleReport(TimePoint aNow);
  void SendReport();
  FleetReport MakeReport();
  BudgetUse UseOf(const std::string& aWorkspace, WindowBudget& aBudget, std::size_t aWaiting);
  FleetReport StartReport();
  void Send(const std::string& aLeader,
            const FleetReport& aReport,
            Duration aTimeout,
            std::function<void(bool aAnsweredByLeader)> aDone);
  std::string Leader() const;
  bool InContactWithLeader(TimePoint aNow) const;
  std::set<std::string> MemberIds() const;
  FleetReply OnReport(const FleetReport& aReport);
  /// Takes a message that needs no answer.
  void OnNotice(const FleetRequest& aRequest);
  void OnTable(const TableNotice& aNotice);
  void ApplyChanges(const TableNotice& aNotice);
  void BroadcastNotice(const TableNotice& aNotice);
  void SendQuarantine(const std::string& aTo, const std::string& aPayload, int aTries);
  void SendSuspects(const std::string& aTo);
  void OnQuarantine(const QuarantineNotice& aNotice);
  void OnReply(const FleetReply& aReply, std::uint64_t aTerm, TimePoint aSentAt);
  void UpdateInheritanceEnd(const FleetReport& aReport, TimePoint aNow);

  /// What this instance was told of a rollout, or has found in its order or record.
  struct KnownRollout
  {
    RolloutDirective directive_;
    /// When a leader last told of it; no value if none has.
    std::optional<TimePoint> toldAt_;
  };

  // Rollouts (FleetRollouts.cpp).
  void UpdateRollouts(TimePoint aNow);
  void NoteVersions(TimePoint aNow);
  /// Opens versions whose order was deleted before a leader began its rollout.
  void ForgetDeletedOrders();
  void ReadRolloutRecords();
  /// Returns whether all known servers of the service run the ordered version, so that it must not
  /// be closed until the leader answers.
  bool AllServersRun(const RolloutOrder& aOrder) const;
  std::vector<RolloutRecord> RolloutRecords();
  void BeginRollouts(TimePoint aNow);
  void LeadRollouts(TimePoint aNow);
  RolloutService RolloutServiceOf(const std::string& aService) const;
  void LimitToRollout(const std::string& aService, std::vector<ShardCandidate>& aCandidates) const;
  void WriteRollout(const RolloutRecord& aRecord);
  /// Returns the newest known revision of a record.
  std::uint64_t RolloutRevision(const std::string& aKey) const;
  void SendRolloutNotice(TimePoint aNow);
  void SendRolloutReport(TimePoint aNow);
  void OnRolloutReply(const RolloutReply& aReply, TimePoint aSentAt);
  void OnRolloutNotice(const RolloutNotice& aNotice);
  void AdoptDirective(const RolloutDirective& aDirective, TimePoint aSentAt, bool aTold);
  void DirectLocalServer(const RolloutDirective& aDirective, TimePoint aSentAt);
  bool IsClosedVersion(const std::string& aService, const std::string& aVersion) const;
  void FillRollouts(RoutingView& aView) const;
  RolloutRouting RoutingOf(const KnownRollout& aKnown, TimePoint aNow) const;
  /// Returns whether the published view directs requests as the known directives say.
  bool RoutingIsCurrent(TimePoint aNow) const;
  void SetRolloutMetrics();

  // Allowances (FleetAllowances.cpp).
  double AllowanceOf(const Workspace& aWorkspace) const;
  const Workspace* FindWorkspace(const std::string& aId) const;
  WindowBudget& BudgetOf(const Workspace& aWorkspace);
  /// Sets what a budget depends on beside its own use.
  void Refresh(WindowBudget& aBudget, double aAllowance) const;
  /// Applies the allowances of the configuration to the budgets in use.
  void ApplyAllowances();
  bool QueueForAllowance(const Workspace& aWorkspace, const RateDecision& aDecide);
  bool LeaderIsReachable() const;
  bool MayRequestAllowance(const AllowanceRequests& aPending, TimePoint aNow) const;
  bool MayWait(TimePoint aSince, TimePoint aNow) const;
  void RequestAllowances();
  void OnAllowanceReply(const std::vector<std::string>& aWorkspaces, bool aAnswered);
  void ResolveAllowanceRequests(const std::string& aWorkspace);
  void RetryAllowanceRequests();
  void RefuseRate(const std::string& aWorkspace, const RateDecision& aDecide);
  /// Admits a request with aToken, which returns to aBudget if the request has ended.
  static void Grant(WindowBudget& aBudget, std::uint64_t aToken, const RateDecision& aDecide);

  const Clock& clock_;
  Store& store_;
  CountedStore fleetCalls_;
  /// Calls for the leader's lease.
  CountedStore leaderCalls_;
  Published<RoutingView>& view_;
  FleetSettings settings_;
  FleetHooks hooks_;
  Random random_;
  StoreSession session_;
  ShardHolds holds_;
  ShardPlanner planner_;
  boost::asio::steady_timer timer_;
  TimePoint startedAt_;

  std::shared_ptr<const ConfigurationRevision> configuration_;
  WithdrawalStart withdrawalStart_;
  /// Latest time at which this instance is known to have had the newest configuration.
  TimePoint configurationCurrentAt_ = TimePoint::min();
  std::map<std::string, KnownMember, std::less<>> members_;
  std::map<std::string, KnownTable, std::less<>> tables_;
  /// Revisions of entries that cannot be read, by key; each is logged once.
  std::map<std::string, std::uint64_t> invalidEntries_;
  EpochRecovery recovery_;
  /// Epoch that recovery_ was told of.
  std::uint64_t epoch_ = 0;
  bool startLogged_ = false;
  /// The watches have a short interval.
  bool watchesClosely_ = false;
  /// Time until which shards may be granted, and the epoch of the lease that it is based on.
  TimePoint grantDeadline_{};
  std::uint64_t grantEpoch_ = 0;
  /// This instance is a member in epoch_ and knows no table of an earlier one.
  bool confirmedInEpoch_ = false;
  /// Table changes that arrived before the revision that they are based on, by service and base
  /// revision.
  std::map<std::string, std::map<std::uint64_t, TableNotice>> earlyChanges_;
  std::set<std::string> unreachable_;
  /// Peer that last renewed the lease of this instance; empty if none did.
  std::string relay_;
  std::set<std::string> probing_;
  TimePoint nextProbe_{};
  bool viewDirty_ = true;

  /// Incarnation of the local server that sent the last heartbeat.
  std::string serverIncarnation_;
  std::string serverId_;
  /// Version of the local server's software; empty where roll-outs are off.
  std::string serverVersion_;
  bool earlierHoldRead_ = false;
  /// Incarnation that may hold shards by grants of an earlier process, as logged last.
  std::string assumedIncarnation_;
  /// Incarnation whose heartbeats came while another one may have held shards, as logged last.
  std::string waitingIncarnation_;
  std::uint64_t serverStartedAt_ = 0;
  std::uint64_t lastSequence_ = 0;
  std::uint32_t slots_ = 0;
  /// Heartbeat whose reply is delayed.
  std::optional<ServerHeartbeat> delayedHeartbeat_;
  HeartbeatDone delayedHeartbeatDone_;
  TimePoint delayedHeartbeatAt_{};
  /// Since when the local server has been leaving.
  std::optional<TimePoint> serverLeavingSince_;
  DepartedServers departedServers_;
  /// Leaves that are confirmed once the store's record of this instance tells of them, or then.
  std::vector<std::pair<std::function<void()>, TimePoint>> unconfirmedLeaves_;
  bool serverCrashed_ = false;
  BackendState backendState_ = BackendState::Down;
  bool leaving_ = false;
  /// Services whose shard table is being written.
  std::set<std::string> writing_;
  TableContention contention_;
  /// Incarnation of the local server whose adoption of its rows was delayed.
  std::string adoptingFor_;

  bool leads_ = false;
  /// This instance led when the store entered the present epoch, and nobody else has led since.
  bool ledUntilEpoch_ = false;
  bool electing_ = false;
  TimePoint nextElectionAt_{};
  TimePoint leadsSince_{};
  /// Revision of the write that made this instance the leader.
  std::uint64_t electionRevision_ = 0;
  TimePoint membersChangedAt_{};
  TimePoint nextPlan_{};
  TimePoint nextReport_{};
  /// Revision of the leader's entry at the last report.
  std::uint64_t knownTerm_ = 0;
  TimePoint lastLeaderReplyAt_{};
  /// Time at which the last report that the leader replied to was sent.
  TimePoint answeredReportAt_{};
  /// Revision of the leader's entry when the last answered report was sent, by workspace.
  std::map<std::string, std::uint64_t> answeredTerms_;
  std::uint64_t reportSequence_ = 0;
  LeaderLease leaderLease_;
  LeaderContacts contacts_;
  /// Table revisions in the last report of each instance, by instance and service.
  std::map<std::string, std::map<std::string, std::uint64_t>> reportedTables_;
  /// Latest time at which an instance may have used grants of an earlier leader, by instance; only
  /// instances that have reported to this leader.
  std::map<std::string, TimePoint> earlierGrantsUsedUntil_;
  std::map<std::string, AllowanceRequests> allowanceRequests_;
  /// A call to the leader about allowances awaits its reply. Further workspaces share the next one.
  bool allowanceCallOpen_ = false;
  /// The last such call was answered by an instance that leads.
  bool leaderAnswers_ = true;
  /// Earliest time of the next such call, after one without an answer.
  TimePoint nextAllowanceCall_{};
  TimePoint nextRefusalLog_{};
  std::map<std::string, TimePoint> nextRebalance_;
  std::map<std::string, ShardTraffic> shardTraffic_;
  std::map<std::string, double> serviceRates_;
  AllowancePools pools_;
  std::uint64_t ledgerRevision_ = 0;
  std::map<std::string, WindowBudget> budgets_;
  unsigned staleReplies_ = 0;

  RolloutCoordinator coordinator_;
  std::vector<RolloutOrder> rolloutOrders_;
  std::map<std::string, KnownRollout> rollouts_;
  /// Directives of the last notice that this instance sent as leader.
  std::string sentNotice_;
  TimePoint nextNotice_{};
  TimePoint nextRolloutReport_{};
  /// Sending of the last rollout report that was answered.
  TimePoint answeredRolloutReportAt_{};
  std::uint64_t noticeTerm_ = 0;
  /// Version of the local server that the last directive was passed on for.
  std::string directedVersion_;
  /// Epoch in which the leader last wrote rollout records.
  std::uint64_t rolloutEpoch_ = 0;
  /// Versions of members, and since when they are known, so that a new leader knows which servers
  /// are cold.
  std::map<std::string, std::pair<std::string, TimePoint>> versionsSeen_;
  TimePoint nextRolloutStep_{};
  TimePoint nextRolloutWrite_{};
  /// Revisions of records that this instance has written, by key.
  std::map<std::string, std::uint64_t> rolloutRevisions_;
  CounterRegistry& counters_;

  HoldMetrics holdMetrics_;
  Counter& heartbeats_;
  Counter& staleHeartbeats_;
  Counter& tableWrites_;
  Counter& rateRefusals_;
};

} // namespace redwing
