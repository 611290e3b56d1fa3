#include "tests/integration/crowd/CrowdSite.hpp"

#include <string>

using namespace redwing::test;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(KeyedCrowds, CrowdSite)

// Guards against responses that are kept for repeated requests without end.
BOOST_AUTO_TEST_CASE(RequestsWithIdempotencyKeys)
{
  Withstand(kCallers, KeyedRequests("/kept/a", 10));
}

// Guards against records of such requests without end.
BOOST_AUTO_TEST_CASE(ManyRequestsWithIdempotencyKeys)
{
  Withstand(kCallers, KeyedRequests("/small/a", 400), 20s);
}

BOOST_AUTO_TEST_SUITE_END()
