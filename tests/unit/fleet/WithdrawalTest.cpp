#include "FleetFixture.hpp"

using namespace redwing;
using namespace redwing::test;

namespace {

struct WithdrawnFleet : Fleet
{
  /// Returns the configuration of the fixture with its data centre withdrawn or not.
  static std::shared_ptr<const ConfigurationRevision> Configured(std::uint64_t aRevision,
                                                                 bool aWithdrawn)
  {
    auto revision = std::make_shared<ConfigurationRevision>(*Node::Configured());
    revision->revision_ = aRevision;
    revision->change_ = aRevision;
    DataCentre here;
    here.id_ = "here";
    here.withdrawn_ = aWithdrawn;
    revision->configuration_.dataCentres_ = { here };
    return revision;
  }

  static std::optional<TimePoint> Since(const Node& aNode)
  {
    return aNode.view_.Get()->selfWithdrawnSince_;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Withdrawals, WithdrawnFleet)

// Guards against a withdrawal that begins anew with each further configuration.
BOOST_AUTO_TEST_CASE(AWithdrawalBeginsWhenItIsAdopted)
{
  Node& node = Add("a");
  BOOST_TEST(!Since(node).has_value());
  const TimePoint before = clock_.Now();
  node.service_.OnConfiguration(Configured(2, true));
  const TimePoint after = clock_.Now();
  BOOST_REQUIRE(Since(node).has_value());
  BOOST_TEST((*Since(node) >= before && *Since(node) <= after));
  RunUntil([&] { return clock_.Now() > after + 100ms; });
  node.service_.OnConfiguration(Configured(3, true));
  BOOST_TEST((*Since(node) <= after));
  node.service_.OnConfiguration(Configured(4, false));
  BOOST_TEST(!Since(node).has_value());
}

// Guards against a second grace period after the restart of an instance: the new process can't
// tell how long the withdrawal that it finds has lasted.
BOOST_AUTO_TEST_CASE(AWithdrawalThatAProcessFindsAtItsStartIsOfUnknownAge)
{
  CounterRegistry counters;
  Published<RoutingView> view(std::make_shared<RoutingView>());
  FleetService service(context_, clock_, store_, view, counters, Node::Settings("a"), {});
  service.OnConfiguration(Configured(1, true));
  BOOST_REQUIRE(view.Get()->selfWithdrawnSince_.has_value());
  BOOST_TEST((*view.Get()->selfWithdrawnSince_ == TimePoint::min()));
}

// Guards against a withdrawal that begins for an instance only when it is in contact again.
BOOST_AUTO_TEST_CASE(AWithdrawalDuringALossOfContactMayBeAsOldAsTheLoss)
{
  Node& one = Add("a");
  Node& other = Add("b");
  Settle(one, other);
  Node& leader = LeaderInStore() == "a" ? one : other;
  Node& follower = LeaderInStore() == "a" ? other : one;
  follower.answered_ = false;
  const TimePoint lostAt = clock_.Now();
  RunUntil([&] { return clock_.Now() > lostAt + 2500ms; });
  follower.service_.OnConfiguration(Configured(2, true));
  leader.service_.OnConfiguration(Configured(2, true));
  BOOST_REQUIRE(Since(follower).has_value());
  BOOST_TEST((*Since(follower) <= lostAt + Node::Settings("a").withdrawalLag_));
  BOOST_REQUIRE(Since(leader).has_value());
  BOOST_TEST((*Since(leader) > clock_.Now() - 1s));
}

// Guards against a shorter grace period for instances that are in contact.
BOOST_AUTO_TEST_CASE(AWithdrawalBeginsAtOnceForAnInstanceInContact)
{
  Node& one = Add("a");
  Node& other = Add("b");
  Settle(one, other);
  RunUntil([] { return false; }, 2500ms);
  Node& follower = LeaderInStore() == "a" ? other : one;
  const TimePoint before = clock_.Now();
  follower.service_.OnConfiguration(Configured(2, true));
  BOOST_REQUIRE(Since(follower).has_value());
  BOOST_TEST((*Since(follower) >= before));
}

BOOST_AUTO_TEST_SUITE_END()
