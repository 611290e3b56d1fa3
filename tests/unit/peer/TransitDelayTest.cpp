#include "peer/TransitDelay.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Delay)

// Guards against delays that follow from the difference of two clocks.
BOOST_AUTO_TEST_CASE(OnlySlowerFramesAreDelayed)
{
  TransitDelay delay;
  const TimePoint sent{ 9h };
  const TimePoint received{ 50s };
  BOOST_TEST((delay.OnFrame(sent, received) == 0ms));
  BOOST_TEST((delay.OnFrame(sent + 1s, received + 1700ms) == 700ms));
  BOOST_TEST((delay.OnFrame(sent + 2s, received + 1999ms) == 0ms));
  BOOST_TEST((delay.OnFrame(sent + 3s, received + 3s) == 1ms));
}

// Guards against a delay that is reported for ever after the path has become longer or the clocks
// have drifted.
BOOST_AUTO_TEST_CASE(ALongerPathBecomesUsual)
{
  TransitDelay delay;
  const TimePoint start{ 50s };
  BOOST_TEST((delay.OnFrame(start, start) == 0ms));
  BOOST_TEST((delay.OnFrame(start + 1s, start + 1010ms) == 10ms));
  BOOST_TEST((delay.OnFrame(start + 11s, start + 11010ms) == 10ms));
  BOOST_TEST((delay.OnFrame(start + 22s, start + 22010ms) == 0ms));
}

BOOST_AUTO_TEST_SUITE_END()
