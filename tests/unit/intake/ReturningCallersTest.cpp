#include "intake/ReturningCallers.hpp"

#include "core/Random.hpp"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace redwing;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 100s };

} // namespace

BOOST_AUTO_TEST_SUITE(Returning)

// Guards against first attempts of less patient callers that are taken for returning ones.
BOOST_AUTO_TEST_CASE(CallersWithAboutTheUsualPatienceAreNew)
{
  ReturningCallers returning;
  BOOST_TEST(!returning.Returns("lookup", 300ms, kStart));
  BOOST_TEST(!returning.Returns("lookup", 1200ms, kStart));
  BOOST_TEST(!returning.Returns("lookup", 1000ms, kStart));
  BOOST_TEST(returning.Returns("lookup", 900ms, kStart));
  BOOST_TEST(!returning.Returns("other", 900ms, kStart));
}

// Guards against routes on which every caller counts as returning after callers became less
// patient.
BOOST_AUTO_TEST_CASE(ForgetsAPatienceThatNobodyHasAnyMore)
{
  ReturningCallers returning;
  BOOST_TEST(!returning.Returns("lookup", 4s, kStart));
  BOOST_TEST(returning.Returns("lookup", 1200ms, kStart + 9s));
  BOOST_TEST(returning.Returns("lookup", 1200ms, kStart + 11s));
  BOOST_TEST(!returning.Returns("lookup", 1200ms, kStart + 25s));
  BOOST_TEST(returning.Returns("lookup", 700ms, kStart + 60s + 25s) == false);
}

BOOST_AUTO_TEST_SUITE_END()
