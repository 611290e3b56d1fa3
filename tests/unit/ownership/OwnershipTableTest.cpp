#include "ownership/OwnershipTable.hpp"

#include <boost/test/unit_test.hpp>
#include <thread>

using redwing::InstanceRef;
using redwing::OwnershipTable;
using redwing::ShardId;
using redwing::ShardRow;
using redwing::TimePoint;

namespace {

const ShardId kShard{ "booking", 7 };
const TimePoint kDeadline{ std::chrono::seconds(10) };
const TimePoint kBefore{ std::chrono::seconds(9) };

ShardRow
Row(std::uint64_t aToken)
{
  return ShardRow{ kShard, InstanceRef{ "a", 1 }, aToken, {} };
}

} // namespace

// Guards against a dispatch at or after the end of the lease.
BOOST_AUTO_TEST_CASE(ShardIsOwnedOnlyBeforeTheLeaseDeadline)
{
  OwnershipTable table;
  table.Gain(Row(3));
  BOOST_TEST(!table.Check(kShard, kBefore).owned_);
  table.SetLeaseDeadline(kDeadline);
  BOOST_TEST(table.Check(kShard, kBefore).owned_);
  BOOST_TEST(table.Check(kShard, kBefore).token_ == 3U);
  BOOST_TEST(!table.Check(kShard, kDeadline).owned_);
  table.Lose(kShard);
  BOOST_TEST(!table.Check(kShard, kBefore).owned_);
}

// Guards against new requests during a handover and against a handover with requests running.
BOOST_AUTO_TEST_CASE(ReleasingShardCountsNoNewRequests)
{
  OwnershipTable table;
  table.SetLeaseDeadline(kDeadline);
  table.Gain(Row(1));
  BOOST_TEST(table.BeginRequest(kShard, kBefore).owned_);
  table.SetReleasing(kShard, true);
  const auto answer = table.BeginRequest(kShard, kBefore);
  BOOST_TEST(!answer.owned_);
  BOOST_TEST(answer.releasing_);
  BOOST_TEST(table.Running(kShard) == 1U);
  table.EndRequest(kShard);
  BOOST_TEST(table.Running(kShard) == 0U);
}

// Guards against an owner hint that goes back to an older owner, or that hides own ownership.
BOOST_AUTO_TEST_CASE(OwnerHintFollowsTheHighestToken)
{
  OwnershipTable table;
  table.SetOwner(ShardRow{ kShard, InstanceRef{ "b", 1 }, 5, {} });
  table.SetOwner(ShardRow{ kShard, InstanceRef{ "c", 1 }, 4, {} });
  BOOST_TEST(table.Check(kShard, kBefore).owner_.id_ == "b");
  BOOST_TEST(!table.Check(kShard, kBefore).owned_);
}

// Guards against lost counts under concurrent use by the control and backend threads.
BOOST_AUTO_TEST_CASE(RunningRequestsAreCountedExactlyAcrossThreads)
{
  constexpr int kRequests = 20000;
  OwnershipTable table;
  table.SetLeaseDeadline(kDeadline);
  table.Gain(Row(1));
  std::thread control([&] {
    for (int i = 0; i < kRequests; ++i) {
      table.SetReleasing(kShard, i % 2 == 0);
    }
    table.SetReleasing(kShard, false);
  });
  std::uint32_t begun = 0;
  for (int i = 0; i < kRequests; ++i) {
    begun += table.BeginRequest(kShard, kBefore).owned_ ? 1U : 0U;
  }
  control.join();
  BOOST_TEST(table.Running(kShard) == begun);
  for (std::uint32_t i = 0; i < begun; ++i) {
    table.EndRequest(kShard);
  }
  BOOST_TEST(table.Running(kShard) == 0U);
}
