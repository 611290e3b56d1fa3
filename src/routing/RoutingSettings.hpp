#pragma once

#include <cstdint>

namespace redwing {

enum class Balancing : std::uint8_t
{
  TwoChoices,
  RoundRobin,
  LeastOutstanding,
  /// By the time to answer that the members' reports let expect; needs reports with service times.
  ExpectedTime,
};

/// Variants of the routing decisions; the plain ones serve as baselines in measurements.
struct RoutingSettings
{
  Balancing balancing_ = Balancing::TwoChoices;
  bool hedging_ = true;
  bool outlierEjection_ = true;
};

} // namespace redwing
