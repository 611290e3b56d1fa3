#include "RolloutFleet.hpp"

#include <cstdlib>
#include <utility>

using namespace redwing::test;

namespace {

/// Returns the seeds to run; aDefault unless REDWING_ROLLOUT_SEEDS is FIRST-LAST.
std::pair<std::uint64_t, std::uint64_t>
Seeds(std::uint64_t aLast)
{
  const char* text = std::getenv("REDWING_ROLLOUT_SEEDS");
  if (text == nullptr) {
    return { 1, aLast };
  }
  char* rest = nullptr;
  const std::uint64_t first = std::strtoull(text, &rest, 10);
  return { first, *rest == '-' ? std::strtoull(rest + 1, nullptr, 10) : first };
}

} // namespace

BOOST_AUTO_TEST_SUITE(Rollouts)

// Guards against a good version that does not replace the old one in time, a bad one that stays or
// gets more than its share, requests that come too late after its faults showed, and requests at
// servers that have ended.
BOOST_AUTO_TEST_CASE(AVersionReplacesTheOldOneIfItIsGood)
{
  const auto [first, last] = Seeds(3);
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    const RolloutPlan plan = DrawRollout(seed);
    BOOST_TEST_MESSAGE("seed " << seed << " " << plan.name_);
    RolloutFleet fleet(plan);
    fleet.Run();
    const auto violations = fleet.Log().Violations(plan.Bad(), {});
    for (const std::string& violation : violations) {
      BOOST_ERROR("seed " << seed << " " << plan.name_ << ": " << violation);
    }
    const bool serves = fleet.Serves();
    BOOST_TEST(serves, "seed " << seed << ": no request is served after the rollout");
    if (const char* folder = std::getenv("REDWING_ROLLOUT_LOGS");
        folder != nullptr && (!violations.empty() || !serves)) {
      fleet.Instances().KeepLogs(std::string(folder) + "/" + std::to_string(seed));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
