#pragma once

#include "core/Clock.hpp"
#include "limits/UseHistory.hpp"
#include "limits/WindowBudget.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace redwing {

/// Stored state of a pool. A successor uses it to account for the use of processes that end without
/// a further report.
struct PoolRecord
{
  /// Largest number of requests that all running processes together may use in a window.
  double limit_ = 0;
  /// Requests that processes lost before this pool started may have used in the window of the
  /// record.
  double lostUse_ = 0;
  /// Requests admitted before the record was made, in the format of UseHistory::Export.
  std::vector<std::uint32_t> history_;
};

/// Grants the unused part of one workspace's allowance to the instances that need it. Granted and
/// committed requests stay counted until the instance's next report. Without one, they stop
/// counting one window after the grant has expired. All instances together therefore stay within
/// the allowance.
///
/// Any number of processes may be lost in the middle of a window: the pool bounds the use of those
/// that can't report any more by the record of the earlier pool.
class BudgetPool
{
public:
  explicit BudgetPool(WindowBudgetSettings aSettings);

  /// Takes over from an earlier pool, whose last record was made aAge ago. aAge is empty if the age
  /// is not known.
  ///
  /// Preconditions: called before the first report. Thread safety: not thread-safe, like all
  /// functions here.
  void Inherit(const PoolRecord& aRecord, std::optional<Duration> aAge, TimePoint aNow);

  /// Processes the report of one process (aIncarnation) of an instance. Returns how many requests
  /// it may use beyond those it committed. aDisconnected of the aInstances may be using their fixed
  /// shares, because they get no replies from the pool; each of the others uses at most its
  /// guaranteed minimum or what it reported.
  ///
  /// Preconditions: aInstances > 0.
  double OnReport(const std::string& aInstanceId,
                  std::uint64_t aIncarnation,
                  const BudgetUse& aUse,
                  double aAllowance,
                  std::size_t aInstances,
                  std::size_t aDisconnected,
                  TimePoint aNow);

  /// Interval at which a pool makes new records while its allowance is in use.
  static constexpr std::chrono::milliseconds kRecordInterval{ 400 };

  /// States that no grant of an earlier pool was used after aUntil: by then each instance had
  /// reported to this pool or had been restarted.
  void EndInheritance(TimePoint aUntil);

  /// Lowers the limit of the inherited record: processes that are still running account for the
  /// rest.
  void LowerInheritance(double aLimit) { inheritedLimit_ = std::min(inheritedLimit_, aLimit); }

  /// Limits what running processes may use in a window to aLimit, the limit of the last stored
  /// record. There is no such limit before the first call.
  void SetLimit(double aLimit) { limit_ = aLimit; }

  /// Returns how many requests of aAllowance may be granted beyond the last record.
  double UnrecordedAllowance(double aAllowance) const;

  /// Returns whether use comes close to the limit of the last record, so that a new one is needed.
  bool NeedsRecord(double aAllowance) const;

  /// Returns a record for a successor. After it is stored, call SetLimit with its limit.
  PoolRecord MakeRecord(double aAllowance, TimePoint aNow);

private:
  /// Last report of a process, and what it was granted since.
  struct Entry
  {
    /// Committed and granted requests.
    double counted_ = 0;
    /// Requests that the process asked for and was not granted.
    double wanted_ = 0;
    /// Total number of requests that the process has admitted.
    std::uint64_t admitted_ = 0;
    TimePoint reportedAt_{};
    TimePoint expiresAt_{};
  };
  /// Instance id and incarnation.
  using ProcessKey = std::pair<std::string, std::uint64_t>;

  Entry& EntryOf(const std::string& aInstanceId, std::uint64_t aIncarnation, TimePoint aNow);
  void UpdateEntry(Entry& aEntry, const BudgetUse& aUse, TimePoint aNow);
  /// Upper bound of the requests in the present window that lost processes used. LostUseWithPool
  /// leaves out the processes that were lost before the earlier pool started.
  double LostUse(TimePoint aNow) const;
  double LostUseWithPool(TimePoint aNow) const;

  WindowBudgetSettings settings_;
  std::map<ProcessKey, Entry> entries_;
  UseHistory history_;
  double limit_ = std::numeric_limits<double>::infinity();
  /// Requests that running processes may use in a window, as of the last report.
  double liveUse_ = 0;

  bool inherits_ = false;
  UseHistory inherited_;
  double inheritedLimit_ = 0;
  double inheritedLostUse_ = 0;
  TimePoint inheritedLostUseExpiry_{};
  /// Part of the inherited limit that belongs to processes that are still running.
  double heldBySurvivors_ = 0;
  /// Latest time at which a grant of the earlier pool may have been used.
  TimePoint inheritedUntil_{};
  /// Latest time at which the earlier pool may have granted requests: if it had run longer, it
  /// would have stored a newer record. Unlimited if the earlier pool may have been unable to store
  /// one.
  TimePoint recordedUntil_ = TimePoint::max();
};

} // namespace redwing
