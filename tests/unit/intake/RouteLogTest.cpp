#include "intake/RouteLog.hpp"

#include "support/LogSink.hpp"
#include "support/ManualClock.hpp"

#include <boost/test/unit_test.hpp>

using Sink = redwing::test::LogSink;

// Guards against a log that floods the disk under load, and against suppressed lines that leave no
// trace.
BOOST_AUTO_TEST_CASE(RouteLinesAreLimitedAndTheRestIsCounted)
{
  redwing::test::ManualClock clock;
  redwing::Detail::RouteLog log(clock, 3);
  Sink sink;
  for (int i = 0; i < 5; ++i) {
    log.Write({ "id-1", "desk", "book", "leasing", 7, "a", 1, "first" });
  }
  BOOST_REQUIRE_EQUAL(sink.lines_.size(), 3U);
  BOOST_TEST(sink.lines_[0] == "event=route request_id=id-1 workspace=desk route=book "
                               "service=leasing shard=7 target=a attempt=1 reason=first "
                               "age_ms=0");
  clock.Advance(std::chrono::seconds(1));
  log.Write(
    { "id-2", "desk", "plant", "plant", -1, "b", 2, "hedge", std::chrono::milliseconds(15) });
  BOOST_REQUIRE_EQUAL(sink.lines_.size(), 4U);
  BOOST_TEST(sink.lines_[3] == "event=route request_id=id-2 workspace=desk route=plant "
                               "service=plant target=b attempt=2 reason=hedge age_ms=15 "
                               "suppressed=2");
}

// Guards against requests of callers that left which leave no trace, or crowd out other lines.
BOOST_AUTO_TEST_CASE(AbandonedRequestsHaveLinesOfTheirOwn)
{
  redwing::test::ManualClock clock;
  redwing::Detail::RouteLog log(clock, 1);
  Sink sink;
  log.Write(redwing::Detail::RouteDecision{});
  log.Write({ "id-1", "desk", "book", 2, std::chrono::milliseconds(1200), true });
  log.Write({ "id-2", "desk", "book", 0, {}, false });
  BOOST_REQUIRE_EQUAL(sink.lines_.size(), 2U);
  BOOST_TEST(sink.lines_[1] == "event=abandoned request_id=id-1 workspace=desk route=book "
                               "attempts=2 age_ms=1200 first=yes");
}
