#include "control/FleetState.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;

namespace {

ShardRow
Row(std::uint32_t aShard, std::uint64_t aToken)
{
  return { { "booking", aShard }, { "owner", 1 }, aToken, {} };
}

} // namespace

// Guards against a joining instance that floods the fleet with rows that every instance can read
// from the store.
BOOST_AUTO_TEST_CASE(RowsReadFromTheStoreAreNotGossiped)
{
  FleetState fleet([](const GossipItem&) {}, [](const InstanceRef&) {});
  fleet.RecordStoreRow(Row(1, 5));
  BOOST_TEST(fleet.Rows().size() == 1U);
  BOOST_TEST(fleet.GetGossip().TakeRound(1000).empty());
  fleet.SetRow(Row(1, 6));
  BOOST_TEST(fleet.GetGossip().TakeRound(1000).size() == 1U);
}

// Guards against a consumer that misses changes because the change history no longer holds them.
BOOST_AUTO_TEST_CASE(ConsumersGetEveryChangeOrMustReadAllRows)
{
  FleetState fleet([](const GossipItem&) {}, [](const InstanceRef&) {});
  BOOST_TEST(!fleet.RowsChangedSince(0).has_value());
  const std::uint64_t start = fleet.Version();
  fleet.SetRow(Row(1, 1));
  fleet.RecordStoreRow(Row(2, 1));
  const auto both = fleet.RowsChangedSince(start);
  BOOST_REQUIRE(both.has_value());
  BOOST_TEST(both->size() == 2U);
  const std::uint64_t later = fleet.Version();
  BOOST_TEST(fleet.RowsChangedSince(later)->empty());
  for (std::uint64_t token = 2; token < 6000; ++token) {
    fleet.SetRow(Row(3, token));
  }
  BOOST_TEST(!fleet.RowsChangedSince(later).has_value());
  BOOST_TEST(fleet.RowsChangedSince(fleet.Version() - 1)->front().token_ == 5999U);
}
