#include "fleet/ShardPlanner.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;

namespace {

constexpr std::uint32_t kShards = 512;

/// Old servers a and b that hold all shards, and a target server x with a limit.
struct ShardFixture
{
  ShardFixture()
  {
    for (const char* id : { "a", "b", "x" }) {
      candidates_.push_back({ id, std::string("life-") + id, 1, true });
    }
    candidates_[2].intake_ = ShardIntake::Limited;
    candidates_[2].limit_ = 0.1;
    table_.Assign(0, kShards / 2 - 1, { "a", "life-a" });
    table_.Assign(kShards / 2, kShards - 1, { "b", "life-b" });
    // A few keys are hot, and half of them have no traffic.
    for (std::uint32_t i = 0; i < kShards; ++i) {
      load_[i] = i % 2 == 0 ? 0 : (i % 64 == 1 ? 40 : 1);
    }
  }

  void Plan(int aRounds)
  {
    for (int i = 0; i < aRounds; ++i) {
      table_ = planner_.Plan(table_, candidates_, load_);
      const std::vector<ShardRun> runs(table_.Runs().begin(), table_.Runs().end());
      for (const ShardRun& run : runs) {
        if (!run.successor_.empty()) {
          table_.Assign(run.first_, run.last_, { run.successor_, "life-" + run.successor_ });
        }
      }
    }
  }

  /// Returns the part of the traffic that an instance holds.
  double TrafficOf(const std::string& aId) const
  {
    double held = 0;
    double total = 0;
    for (std::uint32_t i = 0; i < kShards; ++i) {
      total += load_[i];
      held += table_.At(i).holder_.instanceId_ == aId ? load_[i] : 0;
    }
    return held / total;
  }

  ShardPlanner planner_;
  std::vector<ShardCandidate> candidates_;
  std::vector<double> load_ = std::vector<double>(kShards, 0);
  ShardTable table_{ kShards };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RolloutShards, ShardFixture)

// Guards against a target server with more of the traffic than its share, or with none of it.
BOOST_AUTO_TEST_CASE(ALimitedServerGetsItsPartOfTheTraffic)
{
  Plan(10);
  BOOST_TEST(TrafficOf("x") > 0.0);
  BOOST_TEST(TrafficOf("x") <= 0.1);
  candidates_[2].limit_ = 0.5;
  Plan(10);
  BOOST_TEST(TrafficOf("x") > 0.2);
  BOOST_TEST(TrafficOf("x") <= 0.5);
}

// Guards against a target server that keeps shards whose traffic has grown.
BOOST_AUTO_TEST_CASE(ALimitedServerGivesExcessBack)
{
  Plan(10);
  for (std::uint32_t i = 0; i < kShards; ++i) {
    load_[i] *= table_.At(i).holder_.instanceId_ == "x" ? 20 : 1;
  }
  BOOST_REQUIRE(TrafficOf("x") > 0.1);
  Plan(10);
  BOOST_TEST(TrafficOf("x") <= 0.1);
}

// Guards against moves while a new leader does not know the targets yet.
BOOST_AUTO_TEST_CASE(AFrozenServerKeepsWhatItHas)
{
  Plan(10);
  const double before = TrafficOf("x");
  candidates_[2].intake_ = ShardIntake::Frozen;
  Plan(3);
  BOOST_TEST(TrafficOf("x") == before);
}

// Guards against old servers that keep shards at the end.
BOOST_AUTO_TEST_CASE(ServersThatAcceptNothingHandAllOver)
{
  Plan(3);
  candidates_[0].accepts_ = false;
  candidates_[1].accepts_ = false;
  candidates_[2].intake_ = ShardIntake::Fair;
  Plan(2);
  BOOST_TEST(TrafficOf("x") == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()
