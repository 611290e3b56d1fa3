#include "rollout/RouteCounter.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(RouteCounterTests)

// Guards against requests from before an order that are held against its version, and against an
// order whose counts begin anew when it is named after another one.
BOOST_AUTO_TEST_CASE(CountsBeginWithTheOrder)
{
  RouteCounter counter;
  counter.SetServer("svc", "v1");
  counter.OnOrder(3);
  const auto server = counter.OnSent();
  counter.OnAnswer(server, "a", 3ms, false);
  counter.OnOrder(5);
  counter.OnSent();
  counter.OnAnswer(server, "a", 1ms, true);
  counter.OnAnswer(server, "b", 10s, false);
  const ServerCounts late = counter.CountsSince(5);
  BOOST_TEST(late.arrivals_ == 1U);
  BOOST_REQUIRE(late.routes_.size() == 2U);
  BOOST_TEST(late.routes_[0].requests_ == 1U);
  BOOST_TEST(late.routes_[0].failures_ == 1U);
  BOOST_TEST(late.routes_[0].latencies_[2] == 0U);
  BOOST_TEST(late.routes_[1].latencies_[kLatencyBuckets - 1] == 1U);
  const ServerCounts early = counter.CountsSince(3);
  BOOST_TEST(early.arrivals_ == 2U);
  BOOST_TEST(early.routes_[0].requests_ == 2U);
  BOOST_TEST(early.routes_[0].latencies_[2] == 1U);
}

// Guards against the counts of one version that are reported for another, and against a version
// that gets its limit twice because its server ran anew.
BOOST_AUTO_TEST_CASE(EachVersionHasItsOwnCounts)
{
  RouteCounter counter;
  counter.SetServer("svc", "v2");
  counter.OnOrder(3);
  const auto first = counter.OnSent();
  counter.SetServer("svc", "v1");
  counter.OnAnswer(first, "a", 1ms, true);
  BOOST_TEST(counter.CountsSince(3).arrivals_ == 0U);
  BOOST_TEST(counter.CountsSince(3).routes_.empty());
  counter.SetServer("svc", "v2");
  counter.OnBroken(counter.OnSent(), "a", false);
  const ServerCounts counts = counter.CountsSince(3);
  BOOST_TEST(counts.version_ == "v2");
  BOOST_TEST(counts.arrivals_ == 2U);
  BOOST_TEST(counts.routes_[0].failures_ == 2U);
}

// Guards against a difference below 0 when a request is taken back that an order did not count.
BOOST_AUTO_TEST_CASE(ARequestThatWasNotWrittenIsTakenBack)
{
  RouteCounter counter;
  counter.SetServer("svc", "v2");
  const auto server = counter.OnSent();
  counter.OnOrder(3);
  counter.OnNotSent(server);
  BOOST_TEST(counter.ArrivalsSince(3) == 0U);
  counter.OnSent();
  BOOST_TEST(counter.ArrivalsSince(3) == 1U);
}

// Guards against times in the wrong bucket.
BOOST_AUTO_TEST_CASE(BucketsGrowByTheSquareRootOfTwo)
{
  BOOST_TEST(RouteCounter::BucketOf(0ms) == 0U);
  BOOST_TEST(RouteCounter::BucketOf(2ms) == 0U);
  BOOST_TEST(RouteCounter::BucketOf(2100us) == 1U);
  BOOST_TEST(RouteCounter::BucketOf(3900us) == 2U);
  BOOST_TEST(RouteCounter::BucketOf(4200us) == 3U);
  BOOST_TEST(RouteCounter::BucketOf(1h) == kLatencyBuckets - 1);
}

BOOST_AUTO_TEST_SUITE_END()
