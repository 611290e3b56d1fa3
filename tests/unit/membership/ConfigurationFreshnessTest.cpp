#include "membership/ConfigurationFreshness.hpp"
#include "support/ManualClock.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;
using namespace std::chrono_literals;

// Guards against a partitioned data centre that trusts an old configuration.
BOOST_AUTO_TEST_CASE(AMinorityOfDataCentresCannotConfirmAStoreOutage)
{
  test::ManualClock clock;
  ConfigurationFreshness freshness(3s);
  freshness.OnOwnCall("braga", 7, true, clock.Now());
  BOOST_TEST(freshness.IsCurrent(7, 3, clock.Now()));
  clock.Advance(4s);
  freshness.OnOwnCall("braga", 7, false, clock.Now());
  BOOST_TEST(!freshness.IsCurrent(7, 3, clock.Now()));
  const std::vector<WatcherReport> others{ { "porto", 7, false, 100 } };
  freshness.Merge(others, clock.Now());
  BOOST_TEST(freshness.IsCurrent(7, 3, clock.Now()));
  clock.Advance(3100ms);
  BOOST_TEST(!freshness.IsCurrent(7, 3, clock.Now()));
}

// Guards against control traffic that grows with the data centres, and against an outage that the
// others learn of only when the last confirmation has become too old.
BOOST_AUTO_TEST_CASE(OneConfirmationAndAllReportsOfAnOutageAreSent)
{
  test::ManualClock clock;
  ConfigurationFreshness freshness(3s);
  const std::vector<WatcherReport> reached{ { "braga", 7, true, 300 }, { "porto", 7, true, 100 } };
  freshness.Merge(reached, clock.Now());
  const auto settled = freshness.Reports(clock.Now());
  BOOST_REQUIRE(settled.size() == 1U);
  BOOST_TEST(settled.front().dataCentre_ == "porto");
  const std::vector<WatcherReport> outage{ { "viana", 7, false, 0 }, { "braga", 7, false, 0 } };
  freshness.Merge(outage, clock.Now());
  BOOST_TEST(freshness.Reports(clock.Now()).size() == 3U);
}

// Guards against an old revision that stays current although a newer one is known, and against
// refusals during the short time in which an instance fetches the newer one.
BOOST_AUTO_TEST_CASE(AnOlderRevisionIsCurrentOnlyUntilItsConfirmationIsTooOld)
{
  test::ManualClock clock;
  ConfigurationFreshness freshness(3s);
  freshness.OnOwnCall("braga", 7, true, clock.Now());
  clock.Advance(2s);
  const std::vector<WatcherReport> others{ { "porto", 8, true, 0 } };
  freshness.Merge(others, clock.Now());
  BOOST_TEST(freshness.IsCurrent(7, 2, clock.Now()));
  BOOST_TEST(freshness.IsCurrent(8, 2, clock.Now()));
  // Fetched from a peer before a report named it.
  BOOST_TEST(freshness.IsCurrent(9, 2, clock.Now()));
  clock.Advance(1001ms);
  BOOST_TEST(!freshness.IsCurrent(7, 2, clock.Now()));
  BOOST_TEST(freshness.IsCurrent(8, 2, clock.Now()));
  // An outage does not make the older revision current again.
  freshness.OnOwnCall("braga", 7, false, clock.Now());
  const std::vector<WatcherReport> outage{ { "porto", 8, false, 0 } };
  freshness.Merge(outage, clock.Now());
  BOOST_TEST(!freshness.IsCurrent(7, 2, clock.Now()));
}
