#include "FleetFixture.hpp"

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

BOOST_AUTO_TEST_SUITE_END()
