#include "intake/ReturningCallers.hpp"

#include <algorithm>
#include <utility>

namespace redwing {

namespace {

/// Callers of a route that send a request for the first time wait at least this part of the time
/// that the most patient of them does.
constexpr double kFirstAttemptShare = 0.8;
/// A route whose callers have become less patient is known as such after two of these.
constexpr std::chrono::seconds kPeriod{ 10 };
/// Bounds memory if routes come and go; what is known of all routes is learned anew then.
constexpr std::size_t kMaxRoutes = 4096;

} // namespace

bool
ReturningCallers::Returns(const std::string& aRoute, Duration aPatience, TimePoint aNow)
{
  if (routes_.size() >= kMaxRoutes && !routes_.contains(aRoute)) {
    routes_.clear();
  }
  Patience& patience = routes_.try_emplace(aRoute, Patience{ {}, {}, aNow }).first->second;
  if (aNow - patience.periodStart_ >= kPeriod) {
    const bool recent = aNow - patience.periodStart_ < 2 * kPeriod;
    patience.previous_ = std::exchange(patience.present_, Duration{});
    if (!recent) {
      patience.previous_ = {};
    }
    patience.periodStart_ = aNow;
  }
  patience.present_ = std::max(patience.present_, aPatience);
  const Duration longest = std::max(patience.previous_, patience.present_);
  return static_cast<double>(aPatience.count()) <
         kFirstAttemptShare * static_cast<double>(longest.count());
}

} // namespace redwing
