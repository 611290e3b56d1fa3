#include "intake/ArrivalTimes.hpp"

#include <boost/test/unit_test.hpp>

using redwing::TimePoint;
using redwing::Detail::ArrivalTimes;
using std::chrono::seconds;

// Guards against requests that are dated by bytes of the requests before or after them.
BOOST_AUTO_TEST_CASE(BytesKeepTheTimeOfTheirRead)
{
  const TimePoint first(seconds(10));
  const TimePoint second(seconds(20));
  ArrivalTimes arrivals;
  arrivals.Add(10, first);
  arrivals.Add(10, second);
  arrivals.Add(5, first);
  BOOST_TEST((arrivals.Consume(4) == first));
  BOOST_TEST((arrivals.Consume(6) == first));
  BOOST_TEST((arrivals.Consume(12) == second));
  arrivals.Clear();
  arrivals.Add(1, first);
  BOOST_TEST((arrivals.Consume(1) == first));
}
