#include "admission/ColdRateLimit.hpp"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace redwing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ColdRate)

// Guards against exceeding the rate of a cold server within any sliding window of one second.
BOOST_AUTO_TEST_CASE(LimitsEverySlidingSecond)
{
  ColdRateLimit limit(TimePoint(1h));
  limit.SetRate(14);
  limit.SetColdUntil(TimePoint(1h) + 10s);
  std::deque<TimePoint> sent;
  std::size_t most = 0;
  for (TimePoint now = TimePoint(1h); now < TimePoint(1h) + 10s; now += 3ms) {
    if (limit.Allows(now)) {
      limit.OnSent(now);
      sent.push_back(now);
    }
    while (!sent.empty() && now - sent.front() >= 1s) {
      sent.pop_front();
    }
    most = std::max(most, sent.size());
  }
  BOOST_TEST(most == 14U);
}

// Guards against a restarted instance that sends the full rate in addition to what its previous
// process has just sent.
BOOST_AUTO_TEST_CASE(StartsWithHalfOfTheRate)
{
  ColdRateLimit limit(TimePoint(1h));
  limit.SetRate(14);
  limit.SetColdUntil(TimePoint(1h) + 10s);
  int sent = 0;
  while (limit.Allows(TimePoint(1h))) {
    limit.OnSent(TimePoint(1h));
    ++sent;
  }
  BOOST_TEST(sent == 7);
}

// Guards against limiting a warm server, and against ignoring the requests that a server received
// before it was known to be cold.
BOOST_AUTO_TEST_CASE(CountsRequestsSentBeforeTheServerIsKnownToBeCold)
{
  ColdRateLimit limit(TimePoint(1h));
  limit.SetRate(14);
  const TimePoint now = TimePoint(1h) + 5s;
  for (int i = 0; i < 50; ++i) {
    BOOST_REQUIRE(limit.Allows(now));
    limit.OnSent(now);
  }
  limit.SetColdUntil(now + 3s);
  BOOST_TEST(!limit.Allows(now + 500ms));
  BOOST_TEST(limit.Allows(now + 1001ms));
}

BOOST_AUTO_TEST_SUITE_END()
