#pragma once

#include "admission/LoadEstimator.hpp"

#include <string>
#include <unordered_map>

namespace redwing {

/// Expected service times of a backend server, over all its requests and for each class of
/// requests. The overall time determines how fast the queue moves, the time of a class how long one
/// of its requests runs. With the overall time alone, short requests would be refused because long
/// ones are slow.
class ServiceTimes
{
public:
  /// Adds the service time of a completed request of aClass.
  ///
  /// Preconditions: aServiceTime >= 0. Thread safety: not thread-safe.
  void Add(const std::string& aClass, Duration aServiceTime, TimePoint aNow);

  /// Returns the expected service time over all classes; zero without samples.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  Duration Any(TimePoint aNow) const { return all_.ServiceTime(aNow); }

  /// Returns the expected service time of a request of aClass. Without any samples this is zero;
  /// with samples of other classes only, it is 1 ms, so that requests of aClass are admitted and
  /// provide samples.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  Duration Of(const std::string& aClass, TimePoint aNow) const;

  /// Returns the estimator over all classes.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  const LoadEstimator& All() const { return all_; }

  /// Discards all samples, after a restart of the backend server.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Reset();

private:
  LoadEstimator all_;
  std::unordered_map<std::string, LoadEstimator> classes_;
};

} // namespace redwing
