#include "placement/Planner.hpp"

#include "placement/PlanRound.hpp"

namespace redwing {

Planner::Planner(PlannerLimits aLimits)
  : limits_(aLimits)
{
}

std::vector<PlanStep>
Planner::Plan(std::span<const PlannedShard> aShards, std::span<const Candidate> aCandidates) const
{
  return Detail::PlanRound(aShards, aCandidates, limits_).Run();
}

} // namespace redwing
