#include "routing/OverloadRetries.hpp"
#include "core/Random.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;

namespace {

constexpr std::size_t kMembers = 44;
constexpr int kRequests = 2000;

struct Outcome
{
  int attempts_ = 0;
  int served_ = 0;
};

/// Plays requests of one instance to a pool in which each member is full with aFull probability;
/// each request asks members in random order until one accepts.
Outcome
Play(double aFull, std::size_t aMembers = kMembers)
{
  OverloadRetries retries;
  Random random(7);
  Outcome outcome;
  for (int i = 0; i < kRequests; ++i) {
    retries.OnRequest("pool");
    for (std::size_t asked = 1; asked <= aMembers; ++asked) {
      ++outcome.attempts_;
      if (random.Unit() >= aFull) {
        ++outcome.served_;
        if (asked > 1) {
          retries.OnAnswered("pool");
        }
        break;
      }
      if (asked == aMembers || !retries.TryTake("pool", aMembers)) {
        break;
      }
    }
  }
  return outcome;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OverloadRetryLimits)

// Guards against requests that multiply with the number of members when all of these are full, so
// that the refusals delay the requests that can be served.
BOOST_AUTO_TEST_CASE(AFullPoolIsNotFloodedWithAttempts)
{
  const Outcome outcome = Play(1);
  BOOST_TEST(outcome.attempts_ <= 2 * kRequests + 20);
  const Outcome nearlyFull = Play(0.97);
  BOOST_TEST(nearlyFull.attempts_ <= 2 * kRequests + nearlyFull.served_ + 20);
}

// Guards against requests that are refused although many members would take them.
BOOST_AUTO_TEST_CASE(RequestsThatAnotherMemberTakesAreServed)
{
  BOOST_TEST(Play(0.5).served_ == kRequests);
}

// Guards against a limit on small pools, where the members bound the attempts.
BOOST_AUTO_TEST_CASE(SmallPoolsAreNotLimited)
{
  BOOST_TEST(Play(1, 4).attempts_ == 4 * kRequests);
}

BOOST_AUTO_TEST_SUITE_END()
