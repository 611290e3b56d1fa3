#include "admission/ServiceTimes.hpp"

namespace redwing {

namespace {

/// Bounds memory if routes come and go; the estimates of all classes start anew then.
constexpr std::size_t kMaxClasses = 1024;
/// Assumed for a class without samples: judged by the times of other classes it could be refused
/// for as long as the server is busy, and would never get a sample.
constexpr std::chrono::milliseconds kUntried{ 1 };

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
  return classes_.empty() ? Duration::zero() : kUntried;
}

void
ServiceTimes::Reset()
{
  all_.Reset();
  classes_.clear();
}

} // namespace redwing
