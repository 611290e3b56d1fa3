#include "FleetFixture.hpp"

using namespace redwing;
using namespace redwing::test;

BOOST_FIXTURE_TEST_SUITE(WatchIntervals, Fleet)

// Guards against changes that no instance sees because the watches of all have lost them, and
// against a whole fleet that asks the store again and again.
BOOST_AUTO_TEST_CASE(OnlyInstancesThatNobodyTellsWatchClosely)
{
  Node& one = Add("a");
  Node& other = Add("b");
  Settle(one, other);
  Node& leader = LeaderInStore() == "a" ? one : other;
  Node& follower = LeaderInStore() == "a" ? other : one;
  BOOST_TEST(RunUntil([&] { return leader.store_.WatchInterval().has_value(); }));
  BOOST_TEST(RunUntil([&] { return !follower.store_.WatchInterval().has_value(); }));
  follower.answered_ = false;
  BOOST_TEST(RunUntil([&] { return follower.store_.WatchInterval().has_value(); }));
  follower.answered_ = true;
  BOOST_TEST(RunUntil([&] { return !follower.store_.WatchInterval().has_value(); }));
}

BOOST_AUTO_TEST_SUITE_END()
