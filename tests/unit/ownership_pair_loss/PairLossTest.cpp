#include "LossCheck.hpp"

#include <boost/test/unit_test.hpp>

using redwing::test::CheckLoss;
using redwing::test::Loss;

// Guards against a death decision that is lost together with the grantor.
BOOST_AUTO_TEST_CASE(ShardsAreOwnedAgainAfterLossOfOwnerAndGrantor)
{
  CheckLoss(Loss::OwnerAndGrantor, true);
  CheckLoss(Loss::OwnerAndGrantor, false);
}
