#include "fleet/FleetService.hpp"

#include "core/SteadyClock.hpp"
#include "support/CutStore.hpp"
#include "support/MemoryStore.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace redwing;
using namespace std::chrono_literals;
using redwing::test::MemoryStore;

namespace {

constexpr std::uint32_t kShards = 64;
constexpr int kWorkspaces = 20;
constexpr const char* kTableKey = "redwing/shards/desk";

/// Instances of one keyed service that share a store and call each other without delay.
struct Fleet
{
  struct Node
  {
    Node(Fleet& aFleet, const std::string& aId)
      : fleet_(aFleet)
      , id_(aId)
      , store_(aFleet.store_)
      , service_(aFleet.context_, aFleet.clock_, store_, view_, counters_, Settings(aId), Hooks())
    {
      service_.Start();
      service_.OnConfiguration(Configured());
    }

    static FleetSettings Settings(const std::string& aId)
    {
      FleetSettings settings;
      settings.self_.ref_ = { aId, 1 };
      settings.self_.peersAddress_ = { "127.0.0.1", 1 };
      settings.self_.dataCentre_ = "here";
      settings.self_.service_ = "desk";
      settings.session_.leaseTime_ = 2s;
      settings.session_.renewInterval_ = 400ms;
      settings.leader_.leaseTime_ = 1s;
      settings.leader_.renewInterval_ = 300ms;
      return settings;
    }

    static std::shared_ptr<const ConfigurationRevision> Configured()
    {
      auto revision = std::make_shared<ConfigurationRevision>();
      revision->revision_ = 1;
      Service desk;
      desk.id_ = "desk";
      desk.mode_ = ServiceMode::Keyed;
      desk.keyMapping_ = KeyMapping::Numeric;
      desk.shards_ = kShards;
      revision->configuration_.services_ = { desk };
      for (int i = 0; i < kWorkspaces; ++i) {
        Workspace workspace;
        workspace.id_ = "w" + std::to_string(i);
        workspace.rate_ = 100;
        workspace.burst_ = 10;
        revision->configuration_.workspaces_.push_back(workspace);
      }
      return revision;
    }

    FleetHooks Hooks()
    {
      FleetHooks hooks;
      hooks.call_ = [this](const std::string& aTo,
                           const std::string& aPayload,
                           Duration,
                           const FleetHooks::CallDone& aDone) {
        FleetRequest request;
        const auto* report =
          ReadWire(aPayload, request) ? std::get_if<FleetReport>(&request) : nullptr;
        // Reports about tables are sent at intervals.
        if (report != nullptr && report->tables_.empty()) {
          ++allowanceCalls_;
          mostOpenCalls_ = std::max(mostOpenCalls_, ++openCalls_);
          boost::asio::post(fleet_.context_, [this] { --openCalls_; });
        }
        boost::asio::post(fleet_.context_, [this, aTo, aPayload, aDone] {
          const auto node = fleet_.nodes_.find(aTo);
          const bool found = node != fleet_.nodes_.end() && answered_;
          if (!found) {
            aDone(false, {});
            return;
          }
          node->second->service_.OnCall(
            aPayload, [aDone](const std::string& aReply) { aDone(true, aReply); });
        });
      };
      hooks.announce_ = [](const BackendAnnouncement&) {};
      hooks.serverLeaves_ = [] {};
      hooks.serviceRate_ = [] { return 0.0; };
      hooks.refreshConfiguration_ = [] {};
      hooks.timeOfDay_ = [] { return std::chrono::system_clock::now(); };
      return hooks;
    }

    std::string ServerIncarnation() const { return "server-" + id_ + "@1"; }

    void Status(BackendState aState, bool aCrashed)
    {
      BackendStatus status;
      status.state_ = aState;
      status.announcement_.life_ = ServerIncarnation();
      status.crashed_ = aCrashed;
      service_.OnBackendStatus(status);
    }

    /// Sends a heartbeat of the server; with aKeeps it reports the shards in holds_ as held.
    void Beat(bool aDraining = false, bool aKeeps = true)
    {
      ServerHeartbeat heartbeat;
      heartbeat.serverId_ = "server-" + id_;
      heartbeat.startedAt_ = 1;
      heartbeat.sequence_ = ++sequence_;
      heartbeat.service_ = "desk";
      heartbeat.slots_ = 4;
      heartbeat.draining_ = aDraining;
      if (aKeeps) {
        heartbeat.holds_ = holds_;
      }
      service_.OnHeartbeat(heartbeat, [this](const HeartbeatReply& aReply) {
        if (!aReply.grants_) {
          return;
        }
        granted_.clear();
        for (const GrantedKeys& keys : *aReply.grants_) {
          granted_.push_back({ keys.first_, keys.last_, keys.token_ });
        }
      });
    }

    Fleet& fleet_;
    std::string id_;
    test::CutStore store_;
    CounterRegistry counters_;
    Published<RoutingView> view_{ std::make_shared<RoutingView>() };
    std::uint64_t sequence_ = 0;
    int allowanceCalls_ = 0;
    int openCalls_ = 0;
    int mostOpenCalls_ = 0;
    /// Calls of this node are answered.
    bool answered_ = true;
    std::vector<HeldKeys> holds_;
    std::vector<HeldKeys> granted_;
    FleetService service_;
  };

  Node& Add(const std::string& aId)
  {
    return *nodes_.emplace(aId, std::make_unique<Node>(*this, aId)).first->second;
  }

  template<typename Condition>
  bool RunUntil(Condition aCondition, std::chrono::milliseconds aLimit = 10s)
  {
    const TimePoint end = clock_.Now() + aLimit;
    while (!aCondition()) {
      if (clock_.Now() >= end) {
        return false;
      }
      context_.restart();
      context_.run_for(1ms);
    }
    return true;
  }

  /// Returns the instance that the store names as the leader; empty if there is none.
  std::string LeaderInStore() const
  {
    const auto entry = store_.Entries().find("redwing/members/leader");
    return entry == store_.Entries().end() ? std::string() : entry->second.value_;
  }

  /// Like RunUntil, but expires store leases that are not renewed in time.
  template<typename Condition>
  bool RunWithLeasesUntil(Condition aCondition, std::chrono::milliseconds aLimit)
  {
    return RunUntil(
      [&] {
        store_.Expire();
        return aCondition();
      },
      aLimit);
  }

  /// Returns the instances that hold shards according to the stored table.
  std::set<std::string> Holders() const
  {
    std::set<std::string> holders;
    const auto entry = store_.Entries().find(kTableKey);
    if (entry != store_.Entries().end()) {
      const auto table = ShardTable::Parse(entry->second.value_);
      for (const ShardRun& run : table->Runs()) {
        holders.insert(run.holder_.instanceId_);
      }
    }
    return holders;
  }

  /// Sends heartbeats of both servers until each was granted shards.
  void Settle(Node& aOne, Node& aOther)
  {
    for (Node* node : { &aOne, &aOther }) {
      node->Beat();
      node->Status(BackendState::Ready, false);
    }
    BOOST_REQUIRE(RunUntil([&] { return Holders() == std::set<std::string>{ "a", "b" }; }));
    BOOST_REQUIRE(RunUntil([&] {
      for (Node* node : { &aOne, &aOther }) {
        if (node->granted_.empty()) {
          node->Beat();
          node->holds_ = node->granted_;
        }
      }
      return !aOne.granted_.empty() && !aOther.granted_.empty();
    }));
  }

  boost::asio::io_context context_;
  SteadyClock clock_;
  MemoryStore store_{ context_, clock_ };
  std::map<std::string, std::unique_ptr<Node>> nodes_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FleetServices, Fleet)

// Guards against two servers that hold the same keys: a leaving server refuses connections, which
// looks like a crash, while it still holds its keys.
BOOST_AUTO_TEST_CASE(ALeavingServerThatRefusesConnectionsStillHoldsItsShards)
{
  Node& one = Add("a");
  Node& other = Add("b");
  Settle(one, other);
  one.Beat(true);
  one.Status(BackendState::Down, true);
  const bool taken = RunUntil([&] { return !Holders().contains("a"); }, 800ms);
  BOOST_TEST(!taken);
  // Its next heartbeats show that it has released them.
  one.holds_.clear();
  one.Beat(true, false);
  one.Beat(true, false);
  BOOST_TEST(RunUntil([&] { return Holders() == std::set<std::string>{ "b" }; }));
}

// Guards against shards of a crashed server that stay unserved until its hold expires.
BOOST_AUTO_TEST_CASE(ACrashedServerLosesItsShardsAtOnce)
{
  Node& one = Add("a");
  Node& other = Add("b");
  Settle(one, other);
  one.Status(BackendState::Down, true);
  BOOST_TEST(RunUntil([&] { return Holders() == std::set<std::string>{ "b" }; }, 2s));
}

// Guards against a grant while the record in the store states, or a pending write may make it
// state, that the server holds nothing: the leader may then assign its shards to others.
BOOST_AUTO_TEST_CASE(GrantsNothingWhileTheRecordDeniesHolds)
{
  Node& one = Add("a");
  Node& other = Add("b");
  Settle(one, other);
  one.Status(BackendState::Down, true);
  one.granted_.clear();
  // The write of the record is in progress when the server turns out to be running.
  one.Status(BackendState::Ready, false);
  one.Beat();
  BOOST_TEST(one.granted_.empty());
  // Once the record names the incarnation again, the shards that it still owns are granted.
  BOOST_TEST(RunUntil([&] {
    one.Beat();
    return !one.granted_.empty() || !Holders().contains("a");
  }));
}

// Guards against a late heartbeat of an earlier server incarnation that replaces the current one.
BOOST_AUTO_TEST_CASE(LateHeartbeatsOfAnEarlierRunAreIgnored)
{
  Node& one = Add("a");
  Node& other = Add("b");
  Settle(one, other);
  ServerHeartbeat late;
  late.serverId_ = "server-old";
  late.startedAt_ = 0;
  late.sequence_ = 900;
  late.service_ = "desk";
  late.slots_ = 4;
  bool answered = false;
  one.service_.OnHeartbeat(late, [&](const HeartbeatReply& aReply) {
    answered = true;
    BOOST_TEST(!aReply.grants_.has_value());
  });
  BOOST_TEST(answered);
  one.Beat();
  BOOST_TEST(!one.granted_.empty());
}

// Guards against taking shards from a server whose instance cannot reach the store for longer than
// its lease although other instances can reach both.
BOOST_AUTO_TEST_CASE(PeersRenewTheLeaseOfAnInstanceThatTheStoreTurnsAway)
{
  Node& one = Add("a");
  Node& other = Add("b");
  Settle(one, other);
  Node& cut = LeaderInStore() == "a" ? other : one;
  cut.store_.Cut(true);
  const bool lost = RunWithLeasesUntil([&] { return !Holders().contains(cut.id_); }, 4s);
  BOOST_TEST(!lost);
  cut.granted_.clear();
  cut.Beat();
  BOOST_TEST(!cut.granted_.empty());
}

// Guards against a fleet without planning while its leader is cut off from the store, and against
// two leaders that both lend allowances: the old one cannot read in the store that it was replaced.
BOOST_AUTO_TEST_CASE(ALeaderThatIsCutOffFromTheStoreIsSucceeded)
{
  Node& one = Add("a");
  Node& other = Add("b");
  Settle(one, other);
  const std::string before = LeaderInStore();
  std::uint64_t reports = 0;
  const auto leads = [&] {
    FleetReport report;
    report.from_ = { "c", 1 };
    report.sequence_ = ++reports;
    FleetReply reply;
    nodes_.at(before)->service_.OnCall(WriteWire(FleetRequest(report)),
                                       [&](const std::string& aText) { ReadWire(aText, reply); });
    return reply.leads_;
  };
  BOOST_TEST(leads());
  nodes_.at(before)->store_.Cut(true);
  BOOST_TEST(
    RunWithLeasesUntil([&] { return !LeaderInStore().empty() && LeaderInStore() != before; }, 2s));
  BOOST_TEST(!leads());
}

// Guards against refusing requests within the allowance of a workspace after a restart, while the
// first leader is being elected and learns which instances are running.
BOOST_AUTO_TEST_CASE(RequestsOfANewProcessWaitForTheFirstGrant)
{
  Node& one = Add("a");
  Node& other = Add("b");
  one.Beat();
  other.Beat();
  BOOST_REQUIRE(RunUntil([&] { return !LeaderInStore().empty(); }));
  const Workspace workspace = Node::Configured()->configuration_.workspaces_.front();
  for (Node* node : { &one, &other }) {
    std::optional<bool> admitted;
    node->service_.Admit(workspace, [&](bool aAdmitted, std::uint32_t) { admitted = aAdmitted; });
    BOOST_TEST(RunUntil([&] { return admitted.has_value(); }, 600ms));
    BOOST_TEST(admitted.value_or(false));
  }
}

// Guards against a leader that gets a call for each workspace that runs out at an instance.
BOOST_AUTO_TEST_CASE(ExhaustedWorkspacesShareCallsToTheLeader)
{
  Node& one = Add("a");
  Node& other = Add("b");
  Settle(one, other);
  Node& follower = LeaderInStore() == "a" ? other : one;
  const auto revision = Node::Configured();
  follower.mostOpenCalls_ = 0;
  int admitted = 0;
  for (const Workspace& workspace : revision->configuration_.workspaces_) {
    follower.service_.Admit(workspace,
                            [&](bool aAdmitted, std::uint32_t) { admitted += aAdmitted ? 1 : 0; });
  }
  BOOST_TEST(RunUntil([&] { return admitted == kWorkspaces; }, 1s));
  BOOST_TEST(follower.mostOpenCalls_ == 1);
}

// Guards against a leader that cannot catch up because it is asked the more the less it answers.
BOOST_AUTO_TEST_CASE(ALeaderThatDoesNotAnswerIsAskedAtIntervals)
{
  Node& one = Add("a");
  Node& other = Add("b");
  Settle(one, other);
  Node& follower = LeaderInStore() == "a" ? other : one;
  follower.answered_ = false;
  follower.allowanceCalls_ = 0;
  int decided = 0;
  int asked = 0;
  const auto revision = Node::Configured();
  const TimePoint end = clock_.Now() + 500ms;
  BOOST_REQUIRE(RunUntil([&] {
    for (const Workspace& workspace : revision->configuration_.workspaces_) {
      ++asked;
      follower.service_.Admit(workspace, [&](bool, std::uint32_t) { ++decided; });
    }
    return clock_.Now() >= end;
  }));
  // One call at the beginning and one each 100 ms.
  BOOST_TEST(follower.allowanceCalls_ <= 6);
  BOOST_TEST(RunUntil([&] { return decided == asked; }, 1s));
}

// Guards against a fleet without a leader while the previous one drains.
BOOST_AUTO_TEST_CASE(ALeavingLeaderIsSucceededAtOnce)
{
  Node& one = Add("a");
  Node& other = Add("b");
  Settle(one, other);
  const std::string before = LeaderInStore();
  nodes_.at(before)->service_.BeginLeave();
  BOOST_TEST(
    RunUntil([&] { return !LeaderInStore().empty() && LeaderInStore() != before; }, 600ms));
}

BOOST_AUTO_TEST_SUITE_END()
