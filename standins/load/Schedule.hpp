#pragma once

#include "load/Plan.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace redwing::standins {

enum class LoadOutcome : std::uint8_t
{
  Pending,
  Ok,
  RefusedNotRun,
  Unknown,
  WrongAnswer,
  ConnectError,
};

/// One request of the schedule and what became of it.
struct LoadItem
{
  std::int64_t scheduledNs_ = 0;
  std::int64_t doneNs_ = 0;
  std::uint32_t number_ = 0;
  std::uint32_t key_ = 0;
  std::uint16_t workspace_ = 0;
  std::uint16_t request_ = 0;
  std::uint16_t target_ = 0;
  std::uint16_t attempts_ = 0;
  /// Attempts that ended with an unknown outcome before the last one.
  std::uint16_t unknownBefore_ = 0;
  std::uint16_t status_ = 0;
  LoadOutcome outcome_ = LoadOutcome::Pending;
  std::string code_;
};

/// Draws all arrivals beforehand: one Poisson process per workspace, from the seed alone, so that
/// slow responses don't delay later requests (open loop). Times are relative to the start.
std::vector<LoadItem> DrawSchedule(const LoadPlan& aPlan);

/// Returns the load id of a request, which is unique within a seed.
std::string LoadId(const LoadPlan& aPlan, const LoadItem& aItem);

} // namespace redwing::standins
