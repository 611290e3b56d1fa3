#include "rollout/RolloutTypes.hpp"

#include <algorithm>

namespace redwing {

namespace {

constexpr std::array<std::string_view, 6> kPhaseNames{ "waiting", "canary",    "ramp",
                                                       "closing", "completed", "rolled_back" };

} // namespace

std::string_view
NameOf(RolloutPhase aPhase)
{
  return kPhaseNames.at(static_cast<std::size_t>(aPhase));
}

std::optional<RolloutPhase>
PhaseOf(std::string_view aName)
{
  const auto found = std::find(kPhaseNames.begin(), kPhaseNames.end(), aName);
  if (found == kPhaseNames.end()) {
    return std::nullopt;
  }
  return static_cast<RolloutPhase>(found - kPhaseNames.begin());
}

} // namespace redwing
