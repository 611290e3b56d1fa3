#include "intake/RouteLog.hpp"

#include "support/ManualClock.hpp"

#include <boost/test/unit_test.hpp>
#include <glog/logging.h>
#include <string>
#include <vector>

namespace {

struct Sink final : google::LogSink
{
  Sink() { google::AddLogSink(this); }
  ~Sink() override { google::RemoveLogSink(this); }

  void send(google::LogSeverity,
            const char*,
            const char*,
            int,
            const struct tm*,
            const char* aMessage,
            size_t aLength) override
  {
    lines_.emplace_back(aMessage, aLength);
  }

  std::vector<std::string> lines_;
};

} // namespace

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
                               "service=leasing shard=7 target=a attempt=1 reason=first");
  clock.Advance(std::chrono::seconds(1));
  log.Write({ "id-2", "desk", "plant", "plant", -1, "b", 2, "hedge" });
  BOOST_REQUIRE_EQUAL(sink.lines_.size(), 4U);
  BOOST_TEST(sink.lines_[3] == "event=route request_id=id-2 workspace=desk route=plant "
                               "service=plant target=b attempt=2 reason=hedge suppressed=2");
}
