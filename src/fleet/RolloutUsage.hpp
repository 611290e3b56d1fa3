#pragma once

#include "core/Clock.hpp"
#include "rollout/RolloutTypes.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace redwing {

/// What the servers of one service did since the order of its rollout, by their reports, and what
/// target servers may do by permissions that still run. Kept by the leader.
class RolloutUsage
{
public:
  /// What one instance has reported.
  struct Entry
  {
    std::uint64_t incarnation_ = 0;
    ServerCounts counts_;
    TimePoint reportedAt_{};
    /// Highest limit of a permission that may still be used, and the latest end of the permission.
    std::uint64_t limit_ = 0;
    TimePoint permittedUntil_{};
    /// The limit was given before the closing, while the total was bounded.
    bool bounded_ = false;
    /// The instance is a member and has reported since it became one.
    bool present_ = false;
    /// Requests that were counted for the target version without a report, because the instance is
    /// gone and its server may have got them.
    std::uint64_t charged_ = 0;
    /// Last counts of other versions that ran beside the same process.
    std::map<std::string, ServerCounts> otherVersions_{};
  };

  /// Takes what a server did since its last report, or in an earlier or longer time.
  using Sink = std::function<void(RolloutSide aSide, const RouteCounts& aDelta, bool aEarlier)>;

  /// aCountedFrom is the time from which the first reports count; the start of time if they may
  /// hold counts of any age, because an earlier leader got the reports before them.
  RolloutUsage(std::string aTargetVersion, TimePoint aCountedFrom)
    : targetVersion_(std::move(aTargetVersion))
    , countedFrom_(aCountedFrom)
  {
  }

  /// Adds a report and passes the counts since the last one to aSink.
  ///
  /// Preconditions: the report counts from the order of this rollout. Thread safety: not
  /// thread-safe, like all functions here.
  void OnReport(const RolloutReport& aReport, TimePoint aNow, const Sink& aSink);

  /// Records which instances are members. What the others did stays counted, together with what
  /// they may have done since their last reports.
  void Keep(const std::set<std::string>& aMembers);

  /// Returns the number of requests that the server of aInstanceId may have got since the order if
  /// aTotal is the bound for all target servers, of which aServers are in use.
  ///
  /// Preconditions: the instance has reported; aServers is at least 1.
  std::uint64_t Permit(const std::string& aInstanceId,
                       std::uint64_t aTotal,
                       std::size_t aServers,
                       bool aBounded,
                       TimePoint aUntil,
                       TimePoint aNow);

  /// Forgets that servers have reported to be closed, because they were opened again.
  void Reopen();

  /// Returns what an instance has reported; null if it has not, or is not a member.
  const Entry* Find(const std::string& aInstanceId) const;

  std::uint64_t ServiceRequests() const { return serviceRequests_; }
  std::uint64_t TargetRequests() const { return targetRequests_; }
  double RequestsPerSecond(TimePoint aNow) const;

  /// Returns the totals since the order by side and route.
  const std::map<std::pair<RolloutSide, std::string>, RouteCounts>& Routes() const
  {
    return routes_;
  }

private:
  /// Makes aEntry that of another version beside the same process.
  void SwitchVersion(Entry& aEntry, const std::string& aVersion);
  /// Counts what a process that is gone may have got without reporting it.
  void Charge(Entry& aEntry);
  void AddRoutes(const ServerCounts& aCounts,
                 const ServerCounts& aBefore,
                 bool aEarlier,
                 const Sink& aSink);

  std::string targetVersion_;
  TimePoint countedFrom_;
  std::map<std::string, Entry, std::less<>> entries_;
  std::uint64_t serviceRequests_ = 0;
  std::uint64_t targetRequests_ = 0;
  /// Requests that were first reported by an instance that had reported before, and their number at
  /// recent reports.
  std::uint64_t followed_ = 0;
  std::deque<std::pair<TimePoint, std::uint64_t>> recent_;
  std::map<std::pair<RolloutSide, std::string>, RouteCounts> routes_;
};

} // namespace redwing
