#include "RolloutFixture.hpp"
#include "fleet/RolloutRecordText.hpp"
#include "unit/fleet/FleetFixture.hpp"

using namespace redwing;
using namespace redwing::test;

namespace {

constexpr const char* kRecordKey = "redwing/rollouts/desk";

/// Instances whose gates follow what the hook tells, and orders that reach all of them at once.
struct RolloutFleet : Fleet
{
  RolloutFleet()
  {
    rollouts_ = true;
    adjustHooks_ = [this](Node& aNode, FleetHooks& aHooks) { Connect(aNode, aHooks); };
  }

  void Connect(Node& aNode, FleetHooks& aHooks)
  {
    Site& site = gates_[aNode.id_];
    aHooks.makeDecider_ = [](const RolloutRecord& aRecord, TimePoint aOrderedAt) {
      return std::make_unique<FakeDecider>(aRecord, aOrderedAt);
    };
    aHooks.configuration_.encodeStatus_ = [](const RolloutRecord& aRecord) {
      return std::string(NameOf(aRecord.phase_));
    };
    aHooks.rollout_ = [&site, &aNode](const RolloutDirective& aDirective, TimePoint aSentAt) {
      site.version_ = aNode.version_;
      site.Follow(aDirective, aSentAt);
      told_ = aDirective;
    };
    aHooks.serverCounts_ = [&site](const std::string&, std::uint64_t) {
      ServerCounts counts;
      counts.arrivals_ = site.arrivals_;
      counts.closed_ = site.closed_;
      return counts;
    };
  }

  Node& Start(const char* aId, const char* aVersion)
  {
    Node& node = Add(aId);
    node.version_ = aVersion;
    node.Beat();
    node.Status(BackendState::Ready, false);
    return node;
  }

  void Order(std::vector<RolloutOrder> aOrders)
  {
    for (auto& [id, node] : nodes_) {
      node->service_.OnRolloutOrders(aOrders);
    }
  }

  /// Lets servers report and release what they were granted while the fleet runs.
  template<typename Condition>
  bool RunServersUntil(Condition aCondition, std::chrono::milliseconds aLimit)
  {
    TimePoint nextBeat{};
    return RunUntil(
      [&] {
        if (clock_.Now() >= nextBeat) {
          nextBeat = clock_.Now() + 200ms;
          store_.Expire();
          for (auto& [id, node] : nodes_) {
            node->Beat();
            node->holds_ = node->granted_;
          }
        }
        return aCondition();
      },
      aLimit);
  }

  std::string Stored(const char* aKey) const
  {
    const auto entry = store_.Entries().find(aKey);
    return entry == store_.Entries().end() ? std::string() : entry->second.value_;
  }

  bool PhaseIs(RolloutPhase aPhase) const
  {
    const auto record = ParseRolloutRecord(Stored(kRecordKey));
    return record && record->phase_ == aPhase;
  }

  int Calls() const
  {
    int calls = 0;
    for (const auto& [id, node] : nodes_) {
      calls += node->rolloutCalls_;
    }
    return calls;
  }

  std::map<std::string, Site> gates_;
  static inline RolloutDirective told_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FleetRollouts, RolloutFleet)

// Guards against messages, writes or routing of rollouts where there is no order.
BOOST_AUTO_TEST_CASE(WithoutAnOrderNothingIsSent)
{
  Start("a", "v1");
  Start("b", "v2");
  BOOST_REQUIRE(RunServersUntil(
    [&] {
      return Holders() == std::set<std::string>{ "a", "b" };
    },
    10s));
  RunServersUntil([] { return false; }, 1500ms);
  BOOST_TEST(Calls() == 0);
  BOOST_TEST(nodes_.at("a")->view_.Get()->rollouts_.empty());
  BOOST_TEST(Stored(kRecordKey).empty());
}

// Guards against orders that take effect although the deployment has rollouts off.
BOOST_AUTO_TEST_CASE(OrdersAreIgnoredWhereRolloutsAreOff)
{
  rollouts_ = false;
  Start("a", "v1");
  Start("b", "v2");
  Order({ { "desk", "v2", 10s, 5 } });
  BOOST_REQUIRE(RunServersUntil(
    [&] {
      return Holders() == std::set<std::string>{ "a", "b" };
    },
    10s));
  RunServersUntil([] { return false; }, 1000ms);
  BOOST_TEST(Calls() == 0);
  BOOST_TEST(nodes_.at("a")->view_.Get()->rollouts_.empty());
}

// Guards against servers of an ordered version that get requests or shards before they may, and
// against a rollout that doesn't reach its end over links and the store.
BOOST_AUTO_TEST_CASE(AKeyedServiceMovesToTheNewVersion)
{
  Start("a", "v1");
  Start("b", "v1");
  BOOST_REQUIRE(RunServersUntil(
    [&] {
      return Holders() == std::set<std::string>{ "a", "b" };
    },
    10s));
  Order({ { "desk", "v2", 25s, 5 } });
  const auto view = nodes_.at("a")->view_.Get();
  BOOST_REQUIRE(view->rollouts_.contains("desk"));
  BOOST_TEST(view->rollouts_.at("desk").share_ == 0);
  Start("x", "v2").service_.OnRolloutOrders({ { "desk", "v2", 25s, 5 } });
  BOOST_REQUIRE(RunServersUntil([&] { return PhaseIs(RolloutPhase::Canary); }, 10s));
  BOOST_REQUIRE(RunServersUntil([&] { return PhaseIs(RolloutPhase::Completed); }, 20s));
  BOOST_TEST(Stored("status/desk") == "completed");
  BOOST_TEST((Holders() == std::set<std::string>{ "x" }));
  BOOST_TEST(gates_.at("a").closed_);
  BOOST_TEST(gates_.at("b").closed_);
  BOOST_REQUIRE(RunServersUntil(
    [&] {
      const auto shown = nodes_.at("b")->view_.Get()->rollouts_;
      return shown.contains("desk") && shown.at("desk").phase_ == RolloutPhase::Completed;
    },
    2s));
  BOOST_TEST(nodes_.at("a")->service_.RolloutStatus().find("completed") != std::string::npos);
}

// Guards against a rollout that ends with the process of its leader, and against a new leader or
// process that does not find the record.
BOOST_AUTO_TEST_CASE(ARolloutGoesOnAfterItsLeaderHasRestarted)
{
  const std::vector<RolloutOrder> orders{ { "desk", "v2", 40s, 5 } };
  for (const char* id : { "a", "b" }) {
    Start(id, "v1");
  }
  Start("x", "v2");
  Order(orders);
  BOOST_REQUIRE(RunServersUntil([&] { return PhaseIs(RolloutPhase::Canary); }, 10s));
  const std::int64_t orderedAt = ParseRolloutRecord(Stored(kRecordKey))->orderedAt_;
  const std::string leader = LeaderInStore();
  const std::string version = nodes_.at(leader)->version_;
  Node& restarted = Restart(leader);
  restarted.version_ = version;
  restarted.service_.OnRolloutOrders(orders);
  restarted.Status(BackendState::Ready, false);
  BOOST_REQUIRE(RunServersUntil([&] { return PhaseIs(RolloutPhase::Completed); }, 30s));
  BOOST_TEST(ParseRolloutRecord(Stored(kRecordKey))->orderedAt_ == orderedAt);
  BOOST_TEST((Holders() == std::set<std::string>{ "x" }));
}

BOOST_AUTO_TEST_SUITE_END()
