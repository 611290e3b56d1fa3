#pragma once

#include "load/Schedule.hpp"

#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>

namespace redwing::standins {

/// Returns counts and latencies, overall, per workspace and per 100 ms of scheduled time.
/// Latencies count from the scheduled arrival and cover the requests answered ok.
nlohmann::json Summarise(const LoadPlan& aPlan, std::span<const LoadItem> aItems);

/// Writes one JSON object per request; times are CLOCK_MONOTONIC. Throws when the file can't be
/// written.
void WriteOutcomes(const LoadPlan& aPlan,
                   std::span<const LoadItem> aItems,
                   std::int64_t aStartNs,
                   const std::string& aPath);

} // namespace redwing::standins
