#include "intake/RequestHead.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;
using namespace redwing::Detail;

// Guards against callers that set headers which backend servers take for the instance's own; the
// bare prefix was passed on (found by fuzz.request).
BOOST_AUTO_TEST_CASE(ReservedHeadersOfCallersAreRemoved)
{
  RequestHead head;
  const char* fault = CleanHead({},
                                "GET",
                                "/a",
                                { { "Redwing-", "x" },
                                  { "redwing-Shard", "a/1" },
                                  { "REDWING-TOKEN", "9" },
                                  { "Redwing", "y" } },
                                head);
  BOOST_REQUIRE(fault == nullptr);
  BOOST_REQUIRE(head.headers_.size() == 1);
  BOOST_TEST(head.headers_.front().name_ == "Redwing");
}
