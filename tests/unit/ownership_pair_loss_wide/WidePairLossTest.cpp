#include "LossCheck.hpp"

#include <boost/test/unit_test.hpp>

using redwing::test::CheckLoss;
using redwing::test::Loss;

namespace {

constexpr std::uint64_t kFirstSeed = 21;
constexpr std::uint64_t kLastSeed = 400;

} // namespace

// Guards against rare orders of messages in which a dependant behind the lost pair is not bound
// anew and its shards stay without an owner.
BOOST_AUTO_TEST_CASE(ShardsAreOwnedAgainForManySeeds)
{
  CheckLoss(Loss::OwnerAndGrantor, true, kFirstSeed, kLastSeed);
  CheckLoss(Loss::OwnerAndGrantor, false, kFirstSeed, kLastSeed);
}
