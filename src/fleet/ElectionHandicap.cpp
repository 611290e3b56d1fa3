#include "fleet/ElectionHandicap.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace redwing {

namespace {

/// Instances with at least this part of the largest number of processors are equals.
constexpr double kSimilar = 0.75;
/// For each halving of the number of processors.
constexpr std::chrono::milliseconds kStep{ 300 };
constexpr std::chrono::milliseconds kLongest{ 1200 };

} // namespace

Duration
ElectionHandicap(double aOwn, double aLargest)
{
  if (aOwn <= 0 || aOwn >= aLargest * kSimilar) {
    return Duration::zero();
  }
  const auto delay = std::chrono::duration_cast<Duration>(kStep * std::log2(aLargest / aOwn));
  return std::min<Duration>(delay, kLongest);
}

} // namespace redwing
