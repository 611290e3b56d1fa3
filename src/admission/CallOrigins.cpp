#include "admission/CallOrigins.hpp"

#include <algorithm>

namespace redwing {

namespace {

constexpr std::chrono::seconds kAgeInterval{ 10 };
/// Requests of a route before its origins mean something: with two services whose instances get
/// callers in the ratio 1 to 9, all of these come from the larger one in 1 of 24 cases.
constexpr std::uint32_t kMinRequests = 30;
/// Part of the requests of a route that must come from other services than the first for it to be
/// one of callers. A few may come through an instance whose server was replaced by one of another
/// service.
constexpr double kOtherShare = 0.03;

} // namespace

void
CallOrigins::OnArrival(std::string_view aRoute, std::string_view aOrigin, TimePoint aNow)
{
  if (aNow >= nextAge_) {
    Age(aNow);
  }
  auto route = routes_.find(aRoute);
  if (route == routes_.end()) {
    route = routes_.emplace(std::string(aRoute), Origins{}).first;
  }
  auto& counts = route->second.counts_;
  auto origin = counts.find(aOrigin);
  if (origin == counts.end()) {
    origin = counts.emplace(std::string(aOrigin), 0).first;
  }
  ++origin->second;
  ++route->second.total_;
}

bool
CallOrigins::IsCall(std::string_view aRoute) const
{
  const auto route = routes_.find(aRoute);
  if (route == routes_.end() || route->second.total_ < kMinRequests) {
    return true;
  }
  std::uint32_t most = 0;
  for (const auto& [origin, count] : route->second.counts_) {
    most = std::max(most, count);
  }
  const std::uint32_t others = route->second.total_ - most;
  return static_cast<double>(others) < kOtherShare * route->second.total_;
}

void
CallOrigins::Age(TimePoint aNow)
{
  nextAge_ = aNow + kAgeInterval;
  for (auto route = routes_.begin(); route != routes_.end();) {
    Origins& origins = route->second;
    origins.total_ = 0;
    for (auto origin = origins.counts_.begin(); origin != origins.counts_.end();) {
      origin->second /= 2;
      origins.total_ += origin->second;
      origin = origin->second == 0 ? origins.counts_.erase(origin) : std::next(origin);
    }
    route = origins.counts_.empty() ? routes_.erase(route) : std::next(route);
  }
}

} // namespace redwing
