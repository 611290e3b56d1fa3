#include "admission/CallOrigins.hpp"

#include "core/Random.hpp"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace redwing;
using namespace std::chrono_literals;

namespace {

/// Adds requests of callers and calls at a server of a service that another one calls. Callers send
/// to instances beside servers of two services, one in aOneIn of them to the smaller one.
void
Add(CallOrigins& aOrigins, Random& aRandom, int aRequests, std::uint64_t aOneIn, TimePoint aNow)
{
  for (int i = 0; i < aRequests; ++i) {
    aOrigins.OnArrival("upload", aRandom.Below(aOneIn) == 0 ? "designs" : "orders", aNow);
    aOrigins.OnArrival("lookup", "orders", aNow);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Calls)

// Guards against calls that wait behind the requests of callers, and requests of callers that are
// served late because they pass for calls.
BOOST_AUTO_TEST_CASE(AreToldByTheirOrigin)
{
  Random random(1);
  CallOrigins origins;
  BOOST_TEST(origins.IsCall("upload"));
  Add(origins, random, 500, 5, TimePoint(1s));
  BOOST_TEST(!origins.IsCall("upload"));
  BOOST_TEST(origins.IsCall("lookup"));
}

// Guards against a route that stays a call, or one of callers, after it has changed.
BOOST_AUTO_TEST_CASE(FollowTheTraffic)
{
  Random random(2);
  CallOrigins origins;
  TimePoint now(1s);
  Add(origins, random, 500, 5, now);
  for (int i = 0; i < 10; ++i) {
    now += 10s;
    for (int j = 0; j < 100; ++j) {
      origins.OnArrival("upload", "orders", now);
      origins.OnArrival("lookup", j % 5 == 0 ? "designs" : "orders", now);
    }
  }
  BOOST_TEST(origins.IsCall("upload"));
  BOOST_TEST(!origins.IsCall("lookup"));
}

BOOST_AUTO_TEST_SUITE_END()
