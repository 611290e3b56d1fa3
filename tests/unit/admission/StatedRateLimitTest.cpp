#include "admission/StatedRateLimit.hpp"

#include "core/Random.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace redwing;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1h };

} // namespace

BOOST_AUTO_TEST_SUITE(StatedRateLimits)

// Guards against more requests in some window than the users allow of a stated limit (one and a
// half times what it allows and 5), and against a server that gets much less than it takes.
BOOST_AUTO_TEST_CASE(AnyWindowKeepsToTheStatedRate)
{
  constexpr auto kWindow = 4s;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Random random(seed);
    const double rate = 0.6 + random.Unit() * 60;
    StatedRateLimit limit;
    limit.OnAnswer(rate, kNow, kNow);
    std::vector<TimePoint> sent;
    TimePoint now = kNow;
    while (now < kNow + 20s) {
      now += Duration(static_cast<Duration::rep>(random.Unit() * 1e7));
      // Idle times must not save up requests.
      const bool idle = now > kNow + 8s && now < kNow + 12s;
      if (!idle && limit.Wait(now) == Duration::zero()) {
        limit.OnSent(now);
        sent.push_back(now);
        limit.OnAnswer(rate, now, now);
      }
    }
    for (auto first = sent.begin(); first != sent.end(); ++first) {
      const auto end = std::upper_bound(first, sent.end(), *first + kWindow);
      BOOST_REQUIRE(static_cast<double>(end - first) <= 1.5 * rate * 4 + 5);
    }
    BOOST_TEST(static_cast<double>(sent.size()) >= 0.8 * rate * 15);
  }
}

// Guards against a limit that is ended by an answer which was written before it was stated.
BOOST_AUTO_TEST_CASE(AnAnswerToAnEarlierRequestEndsNoLimit)
{
  StatedRateLimit limit;
  limit.OnAnswer(10, kNow + 1s, kNow + 2s);
  limit.OnAnswer(std::nullopt, kNow, kNow + 3s);
  BOOST_TEST(limit.Rate() == 10);
  limit.OnAnswer(std::nullopt, kNow + 2s, kNow + 4s);
  BOOST_TEST(limit.Rate() == 0);
  BOOST_TEST((limit.Wait(kNow + 4s) == Duration::zero()));
}

// Guards against a limit of nothing that no request can end.
BOOST_AUTO_TEST_CASE(ALimitOfNothingLetsSomeRequestsThrough)
{
  StatedRateLimit limit;
  limit.OnAnswer(0, kNow, kNow);
  BOOST_TEST((limit.Wait(kNow) > Duration::zero()));
  BOOST_TEST((limit.Wait(kNow) <= 2s));
  BOOST_TEST((limit.Wait(kNow + limit.Wait(kNow)) == Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()
