#include "core/DelayLog.hpp"

#include "support/LogSink.hpp"
#include "support/ManualClock.hpp"

#include <boost/test/unit_test.hpp>

using std::chrono::milliseconds;

// Guards against a line for each late turn, which would slow down a loop that is late already.
BOOST_AUTO_TEST_CASE(LongDelaysAreLoggedOnceASecond)
{
  redwing::test::ManualClock clock;
  redwing::CounterRegistry counters;
  redwing::DelayLog delays("loop_lag", milliseconds(200), counters);
  redwing::test::LogSink sink;
  delays.Add(milliseconds(250), clock.Now());
  delays.Add(milliseconds(700), clock.Now(), "porto-1");
  delays.Add(milliseconds(300), clock.Now());
  delays.Add(milliseconds(40), clock.Now());
  delays.Add({}, clock.Now());
  BOOST_REQUIRE_EQUAL(sink.lines_.size(), 1U);
  BOOST_TEST(sink.lines_[0] == "event=loop_lag longest_ms=250 count=1");
  clock.Advance(std::chrono::seconds(1));
  delays.Add(milliseconds(1), clock.Now());
  BOOST_REQUIRE_EQUAL(sink.lines_.size(), 2U);
  BOOST_TEST(sink.lines_[1] == "event=loop_lag longest_ms=700 count=2 from=porto-1");
  BOOST_TEST(counters.GetCounter("redwing_loop_lag_total").Value() == 5U);
  BOOST_TEST(counters.GetCounter("redwing_loop_lag_ms_total").Value() == 1291U);
}
