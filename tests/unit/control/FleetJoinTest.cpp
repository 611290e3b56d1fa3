#include "control/FleetJoin.hpp"

#include "support/FakeStore.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;
using namespace redwing::test;

namespace {

Member
Self(const std::string& aId)
{
  Member member;
  member.ref_.id_ = aId;
  member.peersAddress_ = { "127.0.0.1", 7001 };
  return member;
}

/// Runs a join to completion and returns its result.
StoreResult<JoinResult>
Join(FakeStore& aStore, FleetJoin& aJoin)
{
  StoreResult<JoinResult> result;
  aJoin.Start([&](StoreResult<JoinResult> aResult) { result = std::move(aResult); });
  aStore.Run();
  return result;
}

} // namespace

// Guards against two processes with the same id that get the same incarnation.
BOOST_AUTO_TEST_CASE(EachProcessGetsAHigherIncarnationAndLearnsContacts)
{
  FakeStore store(1, 0);
  FleetJoin first(store, Self("a"), 1);
  FleetJoin second(store, Self("a"), 2);
  FleetJoin other(store, Self("b"), 3);
  const auto one = Join(store, first);
  const auto two = Join(store, second);
  BOOST_REQUIRE(one.has_value() && two.has_value());
  BOOST_TEST(two->incarnation_ > one->incarnation_);
  BOOST_TEST(two->incarnation_ % (1ULL << FleetJoin::kRejoinBits) == 0U);
  const auto three = Join(store, other);
  BOOST_REQUIRE(three.has_value());
  BOOST_TEST(three->contacts_.size() == 1U);
  BOOST_TEST(three->contacts_.contains("a"));
}

// Guards against a join that increments the process counter twice, or can never succeed, after the
// reply to its write was lost.
BOOST_AUTO_TEST_CASE(RetryAfterLostReplyFindsItsOwnWrite)
{
  FakeStore store(1, 0);
  FleetJoin join(store, Self("a"), 7);
  store.loseReplies_ = 1;
  const auto lost = Join(store, join);
  BOOST_REQUIRE(!lost.has_value());
  BOOST_TEST((lost.error().kind_ == StoreErrorKind::OutcomeUnknown));
  const auto repeated = Join(store, join);
  BOOST_REQUIRE(repeated.has_value());
  BOOST_TEST(repeated->incarnation_ == 1ULL << FleetJoin::kRejoinBits);
  BOOST_TEST(store.written_.size() == 1U);
}

// Guards against two processes that start at the same time and both join with the same incarnation.
BOOST_AUTO_TEST_CASE(OnlyOneOfTwoSimultaneousJoinsSucceeds)
{
  FakeStore store(1, 0);
  FleetJoin first(store, Self("a"), 1);
  FleetJoin second(store, Self("a"), 2);
  std::vector<StoreResult<JoinResult>> results;
  const auto collect = [&](StoreResult<JoinResult> aResult) { results.push_back(aResult); };
  first.Start(collect);
  second.Start(collect);
  store.Run();
  BOOST_REQUIRE(results.size() == 2);
  BOOST_TEST(results[0].has_value() != results[1].has_value());
}
