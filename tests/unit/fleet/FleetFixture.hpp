#pragma once

#include "core/SteadyClock.hpp"
#include "fleet/FleetService.hpp"
#include "support/CutStore.hpp"
#include "support/MemoryStore.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace redwing::test {

using namespace std::chrono_literals;

constexpr std::uint32_t kShards = 64;
constexpr int kWorkspaces = 20;
constexpr const char* kTableKey = "redwing/shards/desk";

/// Instances of one keyed service that share a store and call each other without delay.
struct Fleet
{
  struct Node
  {
    Node(Fleet& aFleet, const std::string& aId, double aProcessors)
      : fleet_(aFleet)
      , id_(aId)
      , store_(aFleet.store_)
      , service_(aFleet.context_,
                 aFleet.clock_,
                 store_,
                 view_,
                 counters_,
                 Adjusted(Settings(aId, aProcessors, aFleet.leaseTime_, aFleet.longestHold_)),
                 Hooks())
    {
      service_.Start();
      service_.OnConfiguration(Configured());
    }

    static FleetSettings Settings(const std::string& aId,
                                  double aProcessors = 0,
                                  std::chrono::seconds aLeaseTime = 2s,
                                  std::chrono::milliseconds aLongestHold = 10s)
    {
      FleetSettings settings;
      settings.holds_.longestHold_ = aLongestHold;
      settings.processors_ = aProcessors;
      settings.self_.ref_ = { aId, 1 };
      settings.self_.peersAddress_ = { "127.0.0.1", 1 };
      settings.self_.dataCentre_ = "here";
      settings.self_.service_ = "desk";
      settings.session_.leaseTime_ = aLeaseTime;
      settings.session_.renewInterval_ = 400ms;
      settings.leader_.leaseTime_ = 1s;
      settings.leader_.renewInterval_ = 300ms;
      return settings;
    }

    FleetSettings Adjusted(FleetSettings aSettings) const
    {
      aSettings.rollouts_.enabled_ = fleet_.rollouts_;
      aSettings.rolloutStatusPrefix_ = "status/";
      return aSettings;
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
        rolloutCalls_ += std::get_if<RolloutReport>(&request) != nullptr ||
                             std::get_if<RolloutNotice>(&request) != nullptr
                           ? 1
                           : 0;
        // Reports about tables are sent at intervals.
        if (report != nullptr && report->tables_.empty()) {
          ++allowanceCalls_;
          mostOpenCalls_ = std::max(mostOpenCalls_, ++openCalls_);
          boost::asio::post(fleet_.context_, [this] { --openCalls_; });
        }
        boost::asio::post(fleet_.context_, [this, aTo, aPayload, aDone] {
          const auto node = fleet_.nodes_.find(aTo);
          const bool found = node != fleet_.nodes_.end() && answered_ && node->second->called_;
          if (!found) {
            aDone(false, {});
            return;
          }
          node->second->service_.OnCall(
            aPayload, [aDone](const std::string& aReply) { aDone(true, aReply); });
        });
      };
      hooks.announce_ = [this](const BackendAnnouncement& aAnnouncement) {
        announced_ = aAnnouncement;
      };
      hooks.serverLeaves_ = [](TimePoint) {};
      hooks.serviceRate_ = [] { return 0.0; };
      hooks.configuration_ = { [](std::uint64_t) {}, [](auto) {} };
      hooks.timeOfDay_ = [] { return std::chrono::system_clock::now(); };
      if (fleet_.adjustHooks_) {
        fleet_.adjustHooks_(*this, hooks);
      }
      return hooks;
    }

    std::string ServerIncarnation() const { return serverId_ + "@" + std::to_string(startedAt_); }

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
      heartbeat.serverId_ = serverId_;
      heartbeat.startedAt_ = startedAt_;
      heartbeat.sequence_ = ++sequence_;
      heartbeat.service_ = "desk";
      heartbeat.slots_ = 4;
      heartbeat.draining_ = aDraining;
      heartbeat.version_ = version_;
      if (aKeeps) {
        heartbeat.holds_ = holds_;
      }
      const TimePoint sentAt = fleet_.clock_.Now();
      service_.OnHeartbeat(heartbeat, [this, sentAt](const HeartbeatReply& aReply) {
        accepted_ = aReply.accepted_;
        if (!aReply.grants_) {
          return;
        }
        grantedUntil_ = sentAt + aReply.holdFor_;
        granted_.clear();
        for (const GrantedKeys& keys : *aReply.grants_) {
          granted_.push_back({ keys.first_, keys.last_, keys.token_ });
        }
      });
    }

    Fleet& fleet_;
    std::string id_;
    CutStore store_;
    CounterRegistry counters_;
    Published<RoutingView> view_{ std::make_shared<RoutingView>() };
    std::string serverId_ = "server-" + id_;
    std::uint64_t startedAt_ = 1;
    std::uint64_t sequence_ = 0;
    std::string version_;
    int rolloutCalls_ = 0;
    int allowanceCalls_ = 0;
    int openCalls_ = 0;
    int mostOpenCalls_ = 0;
    /// Calls of this node are answered.
    bool answered_ = true;
    /// Calls of other nodes reach this one.
    bool called_ = true;
    std::vector<HeldKeys> holds_;
    std::vector<HeldKeys> granted_;
    /// Time until which the server may hold granted_.
    TimePoint grantedUntil_{};
    /// What the last heartbeat made this instance announce of the server.
    std::optional<BackendAnnouncement> announced_;
    /// The last heartbeat that was answered was accepted.
    bool accepted_ = false;
    FleetService service_;
  };

  /// Ends the process of an instance without notice and starts another one, which its server does
  /// not know of yet.
  Node& Restart(const std::string& aId)
  {
    Node& earlier = *ended_.emplace_back(std::move(nodes_.at(aId)));
    nodes_.erase(aId);
    earlier.store_.Cut(true);
    earlier.answered_ = false;
    Node& node = Add(aId);
    node.startedAt_ = earlier.startedAt_;
    node.sequence_ = earlier.sequence_;
    return node;
  }

  Node& Add(const std::string& aId, double aProcessors = 0)
  {
    return *nodes_.emplace(aId, std::make_unique<Node>(*this, aId, aProcessors)).first->second;
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

  /// Returns the run of the server that the store's record of an instance names.
  std::string RunInStore(const std::string& aId) const
  {
    const auto entry = store_.Entries().find("redwing/members/record/" + aId);
    return entry == store_.Entries().end()
             ? std::string()
             : MemberRecord::Parse(entry->second.value_)->serverIncarnation_;
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
  /// Rollouts are on in instances that are added from now on.
  bool rollouts_ = false;
  std::function<void(Node&, FleetHooks&)> adjustHooks_;
  std::chrono::seconds leaseTime_{ 2 };
  std::chrono::milliseconds longestHold_ = 10s;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  /// Earlier processes. They reach nobody.
  std::vector<std::unique_ptr<Node>> ended_;
};

} // namespace redwing::test
