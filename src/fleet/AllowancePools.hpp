#pragma once

#include "core/Clock.hpp"
#include "limits/BudgetPool.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace redwing {

/// The leader's budget pools, one for each workspace with an allowance, and the ledger that
/// preserves their use when processes are lost. Each leader stores its ledger and starts from the
/// ledger of its predecessor.
class AllowancePools
{
public:
  using TimeOfDay = std::function<std::chrono::system_clock::time_point()>;
  /// Returns the allowance of a workspace for one window, or nullopt if the workspace is unknown.
  using AllowanceOf = std::function<std::optional<double>(const std::string&)>;

  AllowancePools(WindowBudgetSettings aSettings, TimeOfDay aTimeOfDay);

  /// Starts a term of leadership from the stored ledger; nullopt if there was no earlier leader. If
  /// aOutdated, earlier leaders stored newer ledgers that the store has lost: all of an allowance
  /// counts as used, less the use of instances that have reported, until all have.
  ///
  /// Preconditions: none. Thread safety: not thread-safe, like all functions here.
  void Begin(const std::optional<std::string>& aLedger, TimePoint aNow, bool aOutdated = false);

  /// Starts a term of leadership in which this instance goes on from its own pools, because nobody
  /// else led since its last term.
  void Resume();

  /// Applies the report of one process of an instance; see BudgetPool::OnReport.
  ///
  /// Preconditions: Begin was called; aInstances > 0.
  double OnReport(const std::string& aWorkspace,
                  const std::string& aInstanceId,
                  std::uint64_t aIncarnation,
                  const BudgetUse& aUse,
                  double aAllowance,
                  std::size_t aInstances,
                  std::size_t aUnheard,
                  TimePoint aNow);

  /// Records that nothing lent by the earlier leader was used after aUntil. Only the first call in
  /// a term has an effect.
  void EndInheritance(TimePoint aUntil);

  /// Returns the ledger if it is due to be stored: at intervals while allowances are in use, and
  /// earlier if use is close to the limits in the last stored ledger. A new leader keeps the
  /// inherited ledger until it knows which instances are still running.
  std::optional<std::string> TakeLedger(const AllowanceOf& aAllowanceOf, TimePoint aNow);

  /// Reports the outcome of storing the ledger that TakeLedger returned; aStored is false if the
  /// write failed or its outcome is unknown.
  void OnLedgerStored(bool aStored);

private:
  /// Returns the time of day in milliseconds since the start of 1970.
  std::int64_t NowMs() const;
  /// Returns whether a new leader still waits for the first reports of running instances.
  bool AwaitsReports(TimePoint aNow) const;
  BudgetPool& PoolOf(const std::string& aWorkspace, double aAllowance);

  WindowBudgetSettings settings_;
  TimeOfDay timeOfDay_;
  std::map<std::string, BudgetPool> pools_;
  TimePoint leadershipStartedAt_{};
  /// Set if there was an earlier leader.
  std::optional<std::map<std::string, PoolRecord>> inherited_;
  /// Age of the inherited ledger when the term started, at most one window; nullopt if unknown.
  std::optional<Duration> inheritedAge_;
  std::optional<TimePoint> inheritedUntil_;
  /// The inherited ledger is older than the last one that the earlier leader stored.
  bool outdated_ = false;

  /// An allowance was used since the last ledger was taken.
  bool usedSinceLedger_ = false;
  TimePoint ledgerTakenAt_{};
  /// Limits in the ledger that is being stored; they apply once it is stored.
  std::map<std::string, double> pendingLimits_;
  bool storing_ = false;
};

} // namespace redwing
