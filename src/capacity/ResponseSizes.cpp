#include "capacity/ResponseSizes.hpp"

namespace redwing {

namespace {

/// Share of the newest sample in the average: about 40 responses count.
constexpr double kNewest = 1.0 / 20;
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
  const auto [found, first] = routes_.try_emplace(aRoute, bytes);
  found->second += first ? 0 : (bytes - found->second) * kNewest;
}

std::uint64_t
ResponseSizes::Expected(const std::string& aRoute) const
{
  const auto found = routes_.find(aRoute);
  return found == routes_.end() ? kAssumedBytes : static_cast<std::uint64_t>(found->second);
}

} // namespace redwing
