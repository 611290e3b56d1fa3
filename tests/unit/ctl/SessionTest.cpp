#include "ctl/Session.hpp"

#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace redwing;
using namespace redwing::ctl;

// Guards against a drain that is reported as refused although the instance has accepted it with
// status 202 and ends.
BOOST_AUTO_TEST_CASE(AcceptedChangeIsDone)
{
  for (const auto& [status, expected] : { std::pair(200U, Exit::Done),
                                          std::pair(202U, Exit::Done),
                                          std::pair(409U, Exit::Refused) }) {
    std::ostringstream out;
    std::ostringstream err;
    Session session(
      {},
      [reply = CtlReply{ status, "{}" }](const CtlCall&) -> CtlResult { return reply; },
      out,
      err);
    BOOST_TEST((session.Change("POST", "/v1/drain", "") == expected));
  }
}
