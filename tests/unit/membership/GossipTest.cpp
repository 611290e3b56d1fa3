#include "membership/Gossip.hpp"
#include "core/Random.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace redwing;

// Guards against a fact that does not reach every instance, or reverts to an older version.
BOOST_AUTO_TEST_CASE(FactsReachAllInstancesInFewRoundsDespiteLoss)
{
  constexpr std::size_t kInstances = 300;
  constexpr std::size_t kFanOut = 3;
  constexpr double kLoss = 0.1;
  constexpr std::size_t kMaxBytes = 1000;
  Random random(5);
  std::vector<Gossip> nodes;
  std::vector<std::uint64_t> newest(kInstances);
  bool reverted = false;
  for (std::size_t i = 0; i < kInstances; ++i) {
    nodes.emplace_back([&, i](const GossipItem& aItem) {
      reverted = reverted || aItem.version_.minor_ <= newest[i];
      newest[i] = aItem.version_.minor_;
    });
    nodes.back().SetFleetSize(kInstances);
  }
  nodes[0].Publish({ "m/a", { 1, 1 }, "old" });
  std::size_t rounds = 0;
  const auto everyoneHas = [&](std::uint64_t aVersion) {
    return std::all_of(
      newest.begin() + 1, newest.end(), [&](auto aSeen) { return aSeen == aVersion; });
  };
  for (; rounds < 100 && !everyoneHas(2); ++rounds) {
    if (rounds == 3) {
      nodes[0].Publish({ "m/a", { 1, 2 }, "new" });
    }
    for (Gossip& node : nodes) {
      const auto items = node.TakeRound(kMaxBytes);
      for (std::size_t i = 0; i < kFanOut && !items.empty(); ++i) {
        if (random.Unit() >= kLoss) {
          nodes[random.Below(kInstances)].Merge(items);
        }
      }
    }
  }
  BOOST_TEST_MESSAGE("rounds " << rounds);
  BOOST_TEST(everyoneHas(2));
  BOOST_TEST(rounds <= 15U);
  BOOST_TEST(!reverted);
  BOOST_TEST(nodes[1].Digest() == nodes[kInstances - 1].Digest());
}

// Guards against instances that stay different after they compared their digests.
BOOST_AUTO_TEST_CASE(ExchangeOfDifferingBucketsMakesTwoInstancesEqual)
{
  Gossip left([](const GossipItem&) {});
  Gossip right([](const GossipItem&) {});
  left.Publish({ "a", { 1, 0 }, "1" });
  left.Publish({ "b", { 2, 0 }, "2" });
  right.Publish({ "b", { 3, 0 }, "3" });
  BOOST_TEST(left.Digest() != right.Digest());
  right.Merge(left.ItemsDiffering(right.BucketDigests(), 7, 1000));
  left.Merge(right.ItemsDiffering(left.BucketDigests(), 7, 1000));
  BOOST_TEST(left.Digest() == right.Digest());
}

// Guards against rounds filled with facts that everyone can read or pull elsewhere.
BOOST_AUTO_TEST_CASE(RecordedAndPulledFactsAreHeldButNotSentInRounds)
{
  std::size_t news = 0;
  Gossip gossip([&](const GossipItem&) { ++news; });
  const GossipItem pulled{ "b", { 1, 0 }, "2" };
  gossip.Record({ "a", { 1, 0 }, "1" });
  gossip.MergePulled(std::span<const GossipItem>(&pulled, 1));
  BOOST_TEST(news == 1U);
  BOOST_TEST(gossip.Size() == 2U);
  BOOST_TEST(gossip.TakeRound(1000).empty());
  gossip.Publish({ "a", { 2, 0 }, "3" });
  BOOST_TEST(gossip.TakeRound(1000).size() == 1U);
}
