#include "unit/fleet/FleetFixture.hpp"

using namespace redwing;
using namespace redwing::test;

namespace {

/// More holders of shards than the conditions of one store transaction can name.
constexpr int kNodes = 40;
constexpr int kLost = 34;

struct LargeFleet : Fleet
{
  LargeFleet()
  {
    for (int i = 0; i < kNodes; ++i) {
      Node& node = Add("n" + std::to_string(i));
      node.Beat();
      node.Status(BackendState::Ready, false);
    }
    BOOST_REQUIRE(RunWithLeasesUntil([&] { return Holders().size() == kNodes; }, 10s));
  }

  /// Returns the number of shards that servers hold which run now.
  std::uint32_t HeldShards() const
  {
    const auto table = ShardTable::Parse(store_.Entries().at(kTableKey).value_);
    std::uint32_t held = 0;
    for (const ShardRun& run : table->Runs()) {
      const auto node = nodes_.find(run.holder_.instanceId_);
      const bool runs =
        node != nodes_.end() && node->second->ServerIncarnation() == run.holder_.serverIncarnation_;
      held += runs ? run.last_ - run.first_ + 1 : 0;
    }
    return held;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ManyHolders, LargeFleet)

// Guards against shards that nobody takes over after the loss of more holders than the conditions
// of one transaction can name: all leases end in the same moment.
BOOST_AUTO_TEST_CASE(TheShardsOfManyHoldersLostAtOnceAreTakenOver)
{
  std::set<std::string> left;
  int lost = 0;
  for (auto& [id, node] : nodes_) {
    if (lost < kLost) {
      ++lost;
      node->store_.Cut(true);
      node->answered_ = false;
      node->called_ = false;
    } else {
      left.insert(id);
    }
  }
  // The leases of the others are renewed meanwhile.
  RunUntil([] { return false; }, 2500ms);
  BOOST_TEST(RunWithLeasesUntil([&] { return Holders() == left; }, 5s));
}

// Guards against a fleet whose instances all compete to write the same table: after a restart of
// all servers each holder has to assign its shards to the new incarnation of its server.
BOOST_AUTO_TEST_CASE(ServersThatRestartTogetherHoldTheirShardsAgainWithFewStoreCalls)
{
  constexpr int kCallsOfEach = 5;
  const std::string before = store_.Entries().at(kTableKey).value_;
  int calls = 0;
  for (auto& [id, node] : nodes_) {
    calls -= node->store_.Calls();
    ++node->startedAt_;
    node->sequence_ = 0;
    node->holds_.clear();
    node->Beat();
    node->Status(BackendState::Ready, false);
  }
  BOOST_TEST(RunWithLeasesUntil([&] { return HeldShards() == kShards; }, 3s));
  for (const auto& [id, node] : nodes_) {
    calls += node->store_.Calls();
  }
  BOOST_TEST_MESSAGE("store calls of " << kNodes << " instances: " << calls);
  BOOST_TEST(calls <= kNodes * kCallsOfEach);
  // No shard has moved to another instance.
  const auto earlier = ShardTable::Parse(before);
  const auto later = ShardTable::Parse(store_.Entries().at(kTableKey).value_);
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    BOOST_TEST(earlier->At(shard).holder_.instanceId_ == later->At(shard).holder_.instanceId_);
  }
}

BOOST_AUTO_TEST_SUITE_END()
