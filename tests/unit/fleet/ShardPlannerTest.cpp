#include "fleet/ShardPlanner.hpp"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace redwing;

namespace {

constexpr std::uint32_t kShards = 2048;

std::vector<ShardCandidate>
Servers(std::initializer_list<double> aCapacities)
{
  std::vector<ShardCandidate> servers;
  for (const double capacity : aCapacities) {
    const std::string id(1, static_cast<char>('a' + servers.size()));
    servers.push_back({ id, "life-" + id, capacity, true });
  }
  return servers;
}

/// Returns the number of shards that each instance will hold after pending handovers.
std::map<std::string, std::uint32_t>
Targets(const ShardTable& aTable)
{
  std::map<std::string, std::uint32_t> counts;
  for (const ShardRun& run : aTable.Runs()) {
    counts[run.successor_.empty() ? run.holder_.instanceId_ : run.successor_] +=
      run.last_ - run.first_ + 1;
  }
  return counts;
}

/// Returns the number of shards with a pending handover.
std::uint32_t
Pending(const ShardTable& aTable)
{
  std::uint32_t count = 0;
  for (const ShardRun& run : aTable.Runs()) {
    count += run.successor_.empty() ? 0 : run.last_ - run.first_ + 1;
  }
  return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ShardPlanning)

// Guards against shards that change hands although their instance only has a new incarnation of its
// server.
BOOST_AUTO_TEST_CASE(ShardsStayWithTheInstanceOfARestartedServer)
{
  auto servers = Servers({ 1, 1, 1 });
  const ShardTable table = ShardPlanner().Plan(ShardTable(kShards), servers, {});
  const auto before = Targets(table);
  servers[0].serverIncarnation_ = "second-a";
  servers[1].serverIncarnation_ = "second-b";
  const ShardTable planned = ShardPlanner().Plan(table, servers, {}, false);
  BOOST_CHECK(Targets(planned) == before);
  for (const ShardRun& run : planned.Runs()) {
    const bool restarted = run.holder_.instanceId_ != "c";
    BOOST_TEST(run.holder_.serverIncarnation_ ==
               (restarted ? "second-" : "life-") + run.holder_.instanceId_);
    BOOST_TEST(run.token_ > table.At(run.first_).token_ - (restarted ? 0 : 1));
  }
  // One that leaves keeps none.
  servers[0].accepts_ = false;
  BOOST_TEST(!Targets(ShardPlanner().Plan(table, servers, {}, false)).contains("a"));
}

// Guards against an initial table that leaves shards unassigned or ignores server capacities.
BOOST_AUTO_TEST_CASE(SpreadsANewTableByCapacity)
{
  const auto servers = Servers({ 1, 1, 2 });
  const ShardTable table = ShardPlanner().Plan(ShardTable(kShards), servers, {});
  auto counts = Targets(table);
  BOOST_TEST(counts["c"] > 1000U);
  BOOST_TEST(counts["c"] < 1050U);
  BOOST_TEST(counts["a"] > 490U);
  BOOST_TEST(counts["b"] > 490U);
  BOOST_CHECK(ShardPlanner().Plan(table, servers, {}) == table);
}

// Guards against shards of a lost server that wait for a handover that never happens, and against
// moving shards of the remaining servers unnecessarily.
BOOST_AUTO_TEST_CASE(TakesOverFromALostServerOnly)
{
  auto servers = Servers({ 1, 1, 1, 1 });
  const ShardTable before = ShardPlanner().Plan(ShardTable(kShards), servers, {});
  servers[1].serverIncarnation_ = "";
  servers[1].accepts_ = false;
  const ShardTable after = ShardPlanner().Plan(before, servers, {}, false);
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    const ShardRun& run = after.At(shard);
    BOOST_REQUIRE(run.holder_.instanceId_ != "b");
    BOOST_REQUIRE(run.successor_.empty());
    if (before.At(shard).holder_.instanceId_ != "b") {
      BOOST_REQUIRE(run.holder_ == before.At(shard).holder_);
    }
  }
  auto counts = Targets(after);
  BOOST_TEST(counts["a"] > 600U);
  BOOST_TEST(counts["c"] > 600U);
  BOOST_TEST(counts["d"] > 600U);
}

// Guards against reassigning shards of a leaving server before it has released them.
BOOST_AUTO_TEST_CASE(NamesSuccessorsForALeavingServer)
{
  auto servers = Servers({ 1, 1, 1 });
  const ShardTable before = ShardPlanner().Plan(ShardTable(kShards), servers, {});
  servers[0].accepts_ = false;
  const ShardTable after = ShardPlanner().Plan(before, servers, {}, false);
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    BOOST_REQUIRE(after.At(shard).holder_ == before.At(shard).holder_);
  }
  BOOST_TEST(Targets(after)["a"] == 0U);
  // The plan is stable while the handover is in progress.
  BOOST_CHECK(ShardPlanner().Plan(after, servers, {}, false) == after);
}

// Guards against a pending handover to a server that has been lost.
BOOST_AUTO_TEST_CASE(DropsASuccessorThatIsGone)
{
  auto servers = Servers({ 1, 1, 1 });
  ShardTable table = ShardPlanner().Plan(ShardTable(kShards), servers, {});
  const std::uint32_t first = table.Runs()[0].first_;
  table.SetSuccessor(first, first + 10, "c");
  servers[2].accepts_ = false;
  servers[2].serverIncarnation_ = "";
  const ShardTable after = ShardPlanner().Plan(table, servers, {}, false);
  BOOST_TEST(after.At(first).successor_ != "c");
}

// Guards against leaving a hot key range on one server although others have spare capacity. A range
// of 6 shards gets 40 % of the traffic.
BOOST_AUTO_TEST_CASE(RelievesAServerOfAHotRange)
{
  const auto servers = Servers({ 1, 1, 1, 1, 1 });
  ShardTable table = ShardPlanner().Plan(ShardTable(kShards), servers, {});
  std::vector<double> load(kShards, 0.6 / kShards);
  const std::uint32_t hot = table.Runs()[0].first_ + 100;
  for (std::uint32_t i = hot; i < hot + 6; ++i) {
    load[i] += 0.4 / 6;
  }
  const std::string owner = table.At(hot).holder_.instanceId_;
  std::uint32_t moved = 0;
  for (int round = 0; round < 6; ++round) {
    ShardTable next = ShardPlanner().Plan(table, servers, load);
    moved += Pending(next);
    // Complete the handovers.
    const std::vector<ShardRun> runs(next.Runs().begin(), next.Runs().end());
    for (const ShardRun& run : runs) {
      if (!run.successor_.empty()) {
        next.Assign(run.first_, run.last_, { run.successor_, "life-" + run.successor_ }, "h");
      }
    }
    table = next;
  }
  std::map<std::string, double> shares;
  for (std::uint32_t i = 0; i < kShards; ++i) {
    shares[table.At(i).holder_.instanceId_] += load[i];
  }
  // The owner initially had more than half of the traffic.
  for (const auto& [id, share] : shares) {
    BOOST_TEST(share < 0.36, id << " has " << share);
  }
  BOOST_TEST(moved < kShards / 2);
}

// Guards against shards that move back and forth under a balanced load.
BOOST_AUTO_TEST_CASE(LeavesABalancedTableAlone)
{
  const auto servers = Servers({ 1, 1.1, 0.9, 1 });
  const ShardTable table = ShardPlanner().Plan(ShardTable(kShards), servers, {});
  std::vector<double> load(kShards, 1);
  for (std::uint32_t i = 0; i < kShards; ++i) {
    load[i] += (i * 7919) % 3;
  }
  BOOST_CHECK(ShardPlanner().Plan(table, servers, load) == table);
}

// Guards against planning without any server that could hold shards.
BOOST_AUTO_TEST_CASE(ChangesNothingWithoutServers)
{
  const ShardTable empty(kShards);
  BOOST_CHECK(ShardPlanner().Plan(empty, {}, {}) == empty);
}

BOOST_AUTO_TEST_SUITE_END()
