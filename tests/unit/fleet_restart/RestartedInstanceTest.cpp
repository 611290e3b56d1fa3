#include "unit/fleet/FleetFixture.hpp"

using namespace redwing;
using namespace redwing::test;

namespace {

struct RestartFleet : Fleet
{
  RestartFleet() { leaseTime_ = 4s; }

  /// Returns the time until which the server of aNode may hold shards, after it has renewed them.
  TimePoint Renew(Node& aNode)
  {
    BOOST_REQUIRE(RunUntil([&] { return aNode.service_.Ready(); }));
    aNode.Beat();
    BOOST_REQUIRE(aNode.grantedUntil_ > clock_.Now() + 2s);
    return aNode.grantedUntil_;
  }

  /// Returns whether an instance other than aId is assigned shards that aId held.
  bool Taken(const std::string& aId) const { return !Holders().contains(aId); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RestartedInstances, RestartFleet)

// Guards against two holders of a key: a server that leaves sends no heartbeat to the new process
// of its instance, while it still holds what the earlier process granted.
BOOST_AUTO_TEST_CASE(AnUnheardServerKeepsItsShardsUntilTheEarlierGrantsHaveEnded)
{
  Node& one = Add("a");
  Settle(one, Add("b"));
  one.service_.OnServerLeaves("server-a");
  const TimePoint heldUntil = Renew(one);
  Restart("a");
  BOOST_TEST(RunWithLeasesUntil([&] { return Taken("a"); }, 8s));
  BOOST_TEST((clock_.Now() >= heldUntil));
}

// Guards against two holders of a key: the first heartbeat reaches a restarted process before it
// knows the shard table, and the record must not deny the holds even for a moment.
BOOST_AUTO_TEST_CASE(AServerThatIsHeardBeforeTheEntriesAreReadKeepsItsShards)
{
  Settle(Add("a"), Add("b"));
  Node& restarted = Restart("a");
  restarted.Beat();
  const bool denied = RunWithLeasesUntil(
    [&] {
      const auto record =
        MemberRecord::Parse(store_.Entries().at("redwing/members/record/a").value_);
      return record->serverIncarnation_ != restarted.ServerIncarnation();
    },
    500ms);
  BOOST_TEST(!denied);
}

// Guards against two holders of a key: a heartbeat of an earlier run of the server was delayed and
// is the first one that a restarted process gets.
BOOST_AUTO_TEST_CASE(ADelayedHeartbeatAfterARestartDoesNotReleaseShards)
{
  Node& one = Add("a");
  one.startedAt_ = 2;
  Settle(one, Add("b"));
  const TimePoint heldUntil = Renew(one);
  Node& restarted = Restart("a");
  restarted.startedAt_ = 1;
  RunUntil([&] { return restarted.service_.Ready(); });
  restarted.Beat();
  RunWithLeasesUntil([&] { return Taken("a") || !restarted.granted_.empty(); }, 1500ms);
  BOOST_TEST((!Taken("a") || clock_.Now() >= heldUntil));
  const auto table = ShardTable::Parse(store_.Entries().at(kTableKey).value_);
  for (const ShardRun& run : table->Runs()) {
    BOOST_TEST((run.holder_.instanceId_ != "a" || run.holder_.serverIncarnation_ == "server-a@2"));
  }
}

// Guards against shards that stay with an instance whose server is gone.
BOOST_AUTO_TEST_CASE(ARestartedInstanceWithoutAServerGivesUpItsShards)
{
  Node& one = Add("a");
  Settle(one, Add("b"));
  Restart("a");
  BOOST_TEST(RunWithLeasesUntil([&] { return Taken("a"); }, 8s));
}

BOOST_AUTO_TEST_SUITE_END()
