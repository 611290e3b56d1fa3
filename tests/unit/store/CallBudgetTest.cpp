#include "store/CallBudget.hpp"

#include "support/ManualClock.hpp"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using redwing::CallBudget;
using redwing::test::ManualClock;

// Guards against a fleet that calls the store more often than it is paid for.
BOOST_AUTO_TEST_CASE(CallsNeverExceedRateTimesTimePlusBurst)
{
  ManualClock clock;
  CallBudget budget(clock, 1, { 10, 5, 50ms, 2000ms });
  int granted = 0;
  for (int i = 0; i < 10000; ++i) {
    granted += budget.TryAcquire() ? 1 : 0;
    clock.Advance(1ms);
  }
  BOOST_TEST(granted <= 105);
  BOOST_TEST(granted >= 103);
}

// Guards against instances that retry in step, without pause, or ever more slowly.
BOOST_AUTO_TEST_CASE(BackOffDoublesUpToItsLimitAndEndsWithSuccess)
{
  ManualClock clock;
  CallBudget budget(clock, 7, { 1000, 1000, 50ms, 2000ms });
  redwing::Duration expected = 50ms;
  for (int i = 0; i < 10; ++i) {
    budget.OnError();
    const auto end = budget.NextCall();
    // Errors of calls that were under way do not lengthen the back-off.
    budget.OnError();
    BOOST_TEST((budget.NextCall() == end));
    BOOST_TEST((end - clock.Now() >= expected / 2));
    BOOST_TEST((end - clock.Now() <= expected));
    BOOST_TEST(!budget.TryAcquire());
    clock.Set(end);
    BOOST_TEST(budget.TryAcquire());
    expected = std::min<redwing::Duration>(expected * 2, 2000ms);
  }
  budget.OnError();
  budget.OnSuccess();
  BOOST_TEST(budget.TryAcquire());
}
