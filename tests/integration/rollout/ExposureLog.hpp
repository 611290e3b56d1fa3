#pragma once

#include <chrono>
#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace redwing::test {

using LogTime = std::chrono::steady_clock::time_point;

/// Bounds of a rollout as the operator states them.
struct ExposureBounds
{
  double share_ = 0.1;
  double slack_ = 50;
  std::chrono::milliseconds rollbackTime_{ 5000 };
};

/// Records what the servers of a service get, and checks the bounds of a rollout by it.
/// Thread-safe.
class ExposureLog
{
public:
  void OnArrival(bool aTarget, LogTime aNow);
  void OnBadAnswer(LogTime aNow);
  /// A request named another server than the one that got it.
  void OnMisdirected();
  void OnOrder(LogTime aNow, std::chrono::milliseconds aDuration);
  /// A part of the system fails for aTime.
  void OnFailure(std::chrono::milliseconds aTime);
  /// The status of the rollout was found in the store.
  void OnState(const std::string& aState, LogTime aNow);

  /// Returns the last state of the rollout; empty if there is none.
  std::string State() const;

  /// Returns what broke a rule, a line each. The bounds on exposure hold for a bad version only. A
  /// rollout during which a part of the system fails may end later by the time of the failure, and
  /// a good version may then be rolled back.
  std::vector<std::string> Violations(bool aBad, const ExposureBounds& aBounds) const;

  /// Returns the counts in one line.
  std::string Summary() const;

private:
  static std::size_t CountBetween(const std::vector<LogTime>& aTimes, LogTime aFrom, LogTime aTo);
  std::string WrongState(bool aBad) const;

  mutable std::mutex mutex_;
  std::vector<LogTime> old_;
  std::vector<LogTime> target_;
  std::vector<LogTime> bad_;
  std::size_t misdirected_ = 0;
  LogTime ordered_{};
  std::chrono::milliseconds duration_{ 0 };
  std::string state_;
  LogTime stateAt_{};
  std::optional<std::chrono::milliseconds> failure_;
};

} // namespace redwing::test
