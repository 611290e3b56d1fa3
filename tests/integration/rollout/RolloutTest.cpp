#include "RolloutFleet.hpp"

#include <cstdlib>
#include <vector>

using namespace redwing::test;

namespace {

/// Returns the seeds to run: a good, a bad and a keyed bad version, and a bad one whose leader is
/// lost, unless REDWING_ROLLOUT_SEEDS is FIRST-LAST.
std::vector<std::uint64_t>
Seeds()
{
  const char* text = std::getenv("REDWING_ROLLOUT_SEEDS");
  if (text == nullptr) {
    return { 1, 2, 3, 10 };
  }
  char* rest = nullptr;
  const std::uint64_t first = std::strtoull(text, &rest, 10);
  const std::uint64_t last = *rest == '-' ? std::strtoull(rest + 1, nullptr, 10) : first;
  std::vector<std::uint64_t> seeds;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    seeds.push_back(seed);
  }
  return seeds;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Rollouts)

// Guards against a good version that does not replace the old one in time, a bad one that stays or
// gets more than its share, requests that come too late after its faults showed, requests at
// servers that have ended, and keys with two holders; also while parts of the system fail.
BOOST_AUTO_TEST_CASE(AVersionReplacesTheOldOneIfItIsGood)
{
  for (const std::uint64_t seed : Seeds()) {
    const RolloutPlan plan = DrawRollout(seed);
    BOOST_TEST_MESSAGE("seed " << seed << " " << plan.name_);
    RolloutFleet fleet(plan);
    fleet.Run();
    auto violations = fleet.Log().Violations(plan.Bad(), {});
    const auto owners = fleet.OwnerViolations();
    violations.insert(violations.end(), owners.begin(), owners.end());
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
