#include "routing/HedgePolicy.hpp"

#include <algorithm>

namespace redwing {

namespace {

/// Hedges per request; the extra work of hedging stays below this share.
constexpr double kShare = 0.05;
/// A straggler holds a handful of requests before it is noticed; the reserve covers those.
constexpr double kReserve = 20.0;
constexpr double kQuantileWithFullReserve = 0.95;
constexpr double kQuantileWithoutReserve = 0.99;
constexpr std::uint32_t kMinSamples = 20;
/// The delay stays below this multiple of the 90 % quantile, so that the slow responses of a
/// straggler do not put off the hedges against it.
constexpr int kMaxDelayFactor = 2;
constexpr double kReferenceQuantile = 0.9;
constexpr double kEarlyQuantile = 0.5;
/// Below this a hedge costs more than it can save.
constexpr Duration kMinDelay = std::chrono::milliseconds(1);

} // namespace

std::optional<Duration>
HedgePolicy::OnRequest()
{
  tokens_ = std::min(kReserve, tokens_ + kShare);
  if (latencies_.Samples() < kMinSamples) {
    return std::nullopt;
  }
  const double fill = tokens_ / kReserve;
  const double quantile =
    kQuantileWithoutReserve - fill * (kQuantileWithoutReserve - kQuantileWithFullReserve);
  const Duration limit = latencies_.Quantile(kReferenceQuantile) * kMaxDelayFactor;
  return std::max(kMinDelay, std::min(limit, latencies_.Quantile(quantile)));
}

std::optional<Duration>
HedgePolicy::EarlyDelay() const
{
  if (latencies_.Samples() < kMinSamples) {
    return std::nullopt;
  }
  return std::max(kMinDelay, latencies_.Quantile(kEarlyQuantile));
}

bool
HedgePolicy::TryTake()
{
  if (!HasBudget()) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

} // namespace redwing
