#pragma once

#include "admission/LoadEstimator.hpp"

#include <string>
#include <unordered_map>

namespace redwing {

/// Expected service times of a backend server: of all its requests, which tells how fast its queue
/// moves, and of each class of requests, which tells how long one of them runs. Without the
/// classes, short requests would be refused by the time that long ones take.
class ServiceTimes
{
public:
  /// Adds the service time of a completed request of aClass.
  ///
  /// Preconditions: aServiceTime >= 0. Thread safety: not thread-safe.
  void Add(const std::string& aClass, Duration aServiceTime, TimePoint aNow);

  /// Returns the expected service time of any request; zero while nothing is known.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  Duration Any(TimePoint aNow) const { return all_.ServiceTime(aNow); }

  /// Returns the expected service time of a request of aClass: zero while nothing is known, and
  /// next to nothing while only other classes are, so that the class is tried.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  Duration Of(const std::string& aClass, TimePoint aNow) const;

  /// Returns the estimate over all classes.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  const LoadEstimator& All() const { return all_; }

  /// Forgets all samples, after a restart of the backend server.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Reset();

private:
  LoadEstimator all_;
  std::unordered_map<std::string, LoadEstimator> classes_;
};

} // namespace redwing
