#include "admission/ServiceTimes.hpp"

namespace redwing {

namespace {

/// Bounds memory when routes come and go: at this number of classes all their estimates are
/// discarded.
constexpr std::size_t kMaxClasses = 1024;
/// Service time assumed for a class without samples. With the time of other classes instead, its
/// requests could be refused for as long as the server is busy, and never provide a sample.
constexpr std::chrono::milliseconds kAssumedServiceTime{ 1 };

} // namespace

void
ServiceTimes::Add(const std::string& aClass, Duration aServiceTime, TimePoint aNow)
{
  all_.Add(aServiceTime, aNow);
  if (classes_.size() >= kMaxClasses && !classes_.contains(aClass)) {
    classes_.clear();
  }
  classes_[aClass].Add(aServiceTime, aNow);
}

Duration
ServiceTimes::Of(const std::string& aClass, TimePoint aNow) const
{
  const auto found = classes_.find(aClass);
  if (found != classes_.end()) {
    return found->second.ServiceTime(aNow);
  }
  return classes_.empty() ? Duration::zero() : kAssumedServiceTime;
}

void
ServiceTimes::Reset()
{
  all_.Reset();
  classes_.clear();
}

} // namespace redwing
