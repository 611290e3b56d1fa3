#include "unit/limits/AllowanceFleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing::test;

BOOST_AUTO_TEST_SUITE(PooledAllowanceTimeFirst)

// Guards against minimums of new processes on top of an allowance that is lent in full (seed 60).
BOOST_AUTO_TEST_CASE(StaysWithinTheAllowance)
{
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    // The documented bound is rate and burst plus a tenth and 20 requests.
    BOOST_TEST(static_cast<double>(MaxInWindow(seed, true)) <= kAllowance * 1.1 + 20,
               "seed " << seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()
