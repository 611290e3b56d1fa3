#pragma once

#include "core/Clock.hpp"

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace redwing {

/// Settings for the division of a workspace's allowance among instances.
struct WindowBudgetSettings
{
  /// Length of the sliding window in which requests count against the allowance.
  std::chrono::milliseconds window_{ 5000 };
  /// How long a grant is valid. It outlasts the loss of a leader, which is replaced when its lease
  /// of 6 s has expired.
  std::chrono::milliseconds grantLifetime_{ 6500 };
  /// Guaranteed minimum of an instance, as a part of its equal share and rounded down to whole
  /// requests. It lets the instance go on while the pool changes. In large fleets it is 0, and the
  /// whole allowance is granted by the pool. A process that has run for less than a window has no
  /// minimum, because an earlier process of the instance may have used it.
  double guaranteedShare_ = 0.4;
  /// Part of its equal share that an instance may use while the pool is unreachable. It is less
  /// than 1, because other instances may still use what this instance gave up before.
  double fallbackShare_ = 0.7;
  /// Time without a reply from the pool after which an instance reports that it is disconnected,
  /// and the longer time after which it falls back to its fixed share. A report is sent in
  /// between, so that the pool can take the fixed share into account.
  std::chrono::milliseconds disconnectedAfter_{ 1000 };
  std::chrono::milliseconds fallbackAfter_{ 2000 };
  /// Time without a reply after which an instance admits nothing any more. A pool must account for
  /// a lost instance for the same time.
  std::chrono::milliseconds fallbackEndsAfter_{ 15000 };

  /// Returns the guaranteed minimum of each of aInstances, in requests of aAllowance.
  ///
  /// Preconditions: aInstances > 0. Thread safety: callable from any thread.
  double GuaranteedMinimum(double aAllowance, std::size_t aInstances) const
  {
    return std::floor(aAllowance / static_cast<double>(aInstances) * guaranteedShare_);
  }
};

/// Report of an instance to the pool: its use of a workspace's allowance, and its demand.
struct BudgetUse
{
  /// Requests used in the window plus those that the instance keeps in reserve; at least the
  /// guaranteed minimum, if the process has one.
  double committed_ = 0;
  /// Further requests that the instance could use before its next report.
  double wanted_ = 0;
  /// Requests that the instance was allowed to use in a window before the report.
  double held_ = 0;
  /// Total number of requests that the process has admitted.
  std::uint64_t admitted_ = 0;
  /// The requests of the window, in the format of UseHistory::Export; only in reports to a new
  /// pool.
  std::vector<std::uint32_t> history_;
};

/// The part of one workspace's allowance that one instance may use in any sliding window. It is
/// what the pool grants, but at least a small guaranteed minimum. While the pool is unreachable, a
/// fixed share replaces the minimum.
class WindowBudget
{
public:
  WindowBudget(WindowBudgetSettings aSettings, TimePoint aStart);

  /// Sets the allowance of the whole fleet for one window and the number of instances.
  ///
  /// Preconditions: aAllowance >= 0, aInstances > 0. Thread safety: not thread-safe.
  void SetAllowance(double aAllowance, std::size_t aInstances);

  /// Sets the time since the pool's last reply to this instance.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void SetTimeSinceReply(Duration aTimeSinceReply) { timeSinceReply_ = aTimeSinceReply; }

  /// Counts an arriving request; returns its token if it is admitted. Tokens rise with each
  /// admission.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::optional<std::uint64_t> TryTake(TimePoint aNow);

  /// Tries again to admit a request that TryTake refused, without counting another arrival; returns
  /// its token if it is admitted.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::optional<std::uint64_t> TryAgain(TimePoint aNow);

  /// Cancels the admission with aToken, for a request that did not run and never will.
  ///
  /// Preconditions: aToken was not cancelled before. Thread safety: not thread-safe.
  void Refund(std::uint64_t aToken);

  /// Returns the time after which a caller that is refused now should retry.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  Duration RetryAfter(TimePoint aNow) const;

  /// Returns the report for the pool, and reduces the budget to what it commits until the reply
  /// arrives. The report asks for at least aWaiting requests.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  BudgetUse Report(TimePoint aNow, std::size_t aWaiting = 0);

  /// Adds what the pool granted in reply to the report sent at aReportedAt. Ignores replies to all
  /// but the last report: the pool no longer counts their grants.
  ///
  /// Preconditions: Report was called. Thread safety: not thread-safe.
  void OnGrant(double aExtra, TimePoint aReportedAt);

  /// Returns whether requests were admitted in the window or arrived since the arrival rate was
  /// last measured.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool InUse(TimePoint aNow);

  /// Returns the requests of the window in the format of UseHistory::Export.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::vector<std::uint32_t> History(TimePoint aNow) const;

  /// Returns how many requests the instance may admit in a window at present.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  double Budget(TimePoint aNow) const;

  /// Returns the number of requests in the window that ended at the last call of TryTake, TryAgain,
  /// Report or InUse.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::size_t Used() const { return used_.size(); }

  /// Returns the allowance of the whole fleet for one window.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  double Allowance() const { return allowance_; }

private:
  struct Admission
  {
    std::uint64_t token_ = 0;
    TimePoint at_{};
  };

  void Expire(TimePoint aNow);

  WindowBudgetSettings settings_;
  TimePoint start_;
  double allowance_ = 0;
  std::size_t instances_ = 1;
  Duration timeSinceReply_{};
  double granted_ = 0;
  TimePoint grantedUntil_{};
  /// Admissions of the window that were not cancelled, by rising token.
  std::deque<Admission> used_;
  std::uint64_t lastToken_ = 0;
  /// Number of admissions for the pool, without those cancelled before they were reported.
  std::uint64_t admitted_ = 0;
  /// Last token that was counted in a report.
  std::uint64_t reportedToken_ = 0;
  /// Requests that arrived since rateSince_, including refused ones.
  std::uint64_t arrivals_ = 0;
  double arrivalRate_ = 0;
  TimePoint rateSince_;
  TimePoint lastReport_{};
};

} // namespace redwing
