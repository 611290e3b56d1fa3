#include "operator/LocalReply.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;

// Guards against a refusal that is many times as large as the document it refuses, and against
// findings that are left out silently (found by integration.hostile).
BOOST_AUTO_TEST_CASE(ProblemNamesAThousandFindingsAndCountsTheRest)
{
  const std::string body = ProblemReply(422, "c", "d", Findings(1500, { "/p", "m" })).body_;
  BOOST_TEST(body.size() < 40000U);
  BOOST_TEST(body.find("500 more findings") != std::string::npos);
  const std::string few = ProblemReply(422, "c", "d", Findings(1000, { "/p", "m" })).body_;
  BOOST_TEST(few.find("more findings") == std::string::npos);
}
