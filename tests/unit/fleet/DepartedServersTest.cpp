#include "fleet/DepartedServers.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(DepartedServersOfAnInstance)

// Guards against a departure that concerns a later run of the server, or none at all.
BOOST_AUTO_TEST_CASE(ADepartureConcernsTheRunsThatHadStarted)
{
  DepartedServers departed;
  const TimePoint now(10s);
  departed.Add("one", 1000, now);
  BOOST_TEST((departed.LeavingSince("one@1000") == now));
  BOOST_TEST((departed.LeavingSince("one@3") == now));
  BOOST_TEST(!departed.LeavingSince("one@1001"));
  BOOST_TEST(!departed.LeavingSince("other@3"));
  BOOST_TEST(!departed.LeavingSince(""));
}

// Guards against a drain time that begins anew with a second word, or with an older one.
BOOST_AUTO_TEST_CASE(AnOlderDepartureChangesNothing)
{
  DepartedServers departed;
  departed.Add("one", 1000, TimePoint(10s));
  departed.AddIncarnation("one@500", TimePoint(20s));
  BOOST_TEST((departed.LeavingSince("one@500") == TimePoint(10s)));
  departed.AddIncarnation("no run", TimePoint(20s));
  BOOST_TEST(!departed.LeavingSince("no run"));
}

// Guards against memory that grows with each server that leaves.
BOOST_AUTO_TEST_CASE(OnlyTheLastDeparturesAreKept)
{
  DepartedServers departed;
  for (int i = 0; i < 100; ++i) {
    departed.Add("server" + std::to_string(i), 1000, TimePoint(10s + i * 1s));
  }
  BOOST_TEST(!departed.LeavingSince("server83@1"));
  BOOST_TEST(departed.LeavingSince("server84@1").has_value());
  BOOST_TEST(departed.LeavingSince("server99@1").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
