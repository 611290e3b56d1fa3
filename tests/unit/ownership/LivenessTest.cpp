#include "LossCheck.hpp"

#include <boost/test/unit_test.hpp>

using redwing::test::CheckLoss;
using redwing::test::Loss;

// Guards against shards without owner after the loss of one instance.
BOOST_AUTO_TEST_CASE(ShardsAreOwnedAgainAfterLossOfOwner)
{
  CheckLoss(Loss::Owner, true);
  CheckLoss(Loss::Owner, false);
}

// Guards against a grantor that cannot decide because its own grantor was lost.
BOOST_AUTO_TEST_CASE(ShardsAreOwnedAgainAfterLossOfOwnerAndBackup)
{
  CheckLoss(Loss::OwnerAndBackup, true);
  CheckLoss(Loss::OwnerAndBackup, false);
}
