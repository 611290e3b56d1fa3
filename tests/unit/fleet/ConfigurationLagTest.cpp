#include "fleet/ConfigurationLag.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ConfigurationLags)

// Guards against a whole fleet that reads a large configuration twice, because the faster instances
// report it while the others still receive it.
BOOST_AUTO_TEST_CASE(WhatTheWatchIsDeliveringIsNotReadOnceMore)
{
  ConfigurationLag lag(400ms);
  TimePoint now{ 1h };
  BOOST_TEST(!lag.OnReported(8, 7, now));
  BOOST_TEST(!lag.OnReported(8, 7, now + 399ms));
  BOOST_TEST(!lag.OnReported(8, 8, now + 500ms));
  // Each change has the whole time.
  BOOST_TEST(!lag.OnReported(9, 8, now + 600ms));
  BOOST_TEST(!lag.OnReported(10, 9, now + 1s));
}

// Guards against an instance whose watch has silently stopped and that keeps its old configuration.
BOOST_AUTO_TEST_CASE(AWatchThatDeliversNothingIsReplacedByReads)
{
  ConfigurationLag lag(400ms);
  TimePoint now{ 1h };
  BOOST_TEST(!lag.OnReported(8, 7, now));
  // Further changes must not put the read off.
  BOOST_TEST(lag.OnReported(9, 7, now + 400ms));
  BOOST_TEST(!lag.OnReported(9, 7, now + 500ms));
  BOOST_TEST(lag.OnReported(10, 7, now + 800ms));
}

BOOST_AUTO_TEST_SUITE_END()
