#include "capacity/ResponseSizes.hpp"

#include <cmath>

namespace redwing {

namespace {

/// Share of the newest sample in the average: about 40 responses count.
constexpr double kNewest = 1.0 / 20;
/// Distance of the size that few exceed from the mean: 2 % of sizes with an exponential
/// distribution are larger. Under overload each admitted response is at the edge of its target;
/// with 2 deviations 6 % of them were late in simulated load.
constexpr double kDeviations = 3;
/// Size assumed for a route without samples.
constexpr std::uint64_t kAssumedBytes = 64 * 1024;
/// Bounds memory when routes come and go: at this number all their sizes are discarded.
constexpr std::size_t kMaxRoutes = 1024;

} // namespace

void
ResponseSizes::Add(const std::string& aRoute, std::uint64_t aBytes)
{
  const auto bytes = static_cast<double>(aBytes);
  any_ += any_ > 0 ? (bytes - any_) * kNewest : bytes;
  if (routes_.size() >= kMaxRoutes && !routes_.contains(aRoute)) {
    routes_.clear();
  }
  const auto [found, first] = routes_.try_emplace(aRoute, Moments{ bytes, 0 });
  Moments& moments = found->second;
  if (!first) {
    const double difference = bytes - moments.mean_;
    moments.mean_ += difference * kNewest;
    moments.variance_ = (1 - kNewest) * (moments.variance_ + kNewest * difference * difference);
  }
}

ResponseSize
ResponseSizes::Expected(const std::string& aRoute) const
{
  const auto found = routes_.find(aRoute);
  if (found == routes_.end()) {
    return { kAssumedBytes, kAssumedBytes };
  }
  const auto [mean, variance] = found->second;
  return { static_cast<std::uint64_t>(mean),
           static_cast<std::uint64_t>(mean + kDeviations * std::sqrt(variance)) };
}

} // namespace redwing
