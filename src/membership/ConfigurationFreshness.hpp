#pragma once

#include "core/Clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace redwing {

/// What the watchers of one data centre last saw of the configuration in the store.
struct WatcherReport
{
  std::string dataCentre_;
  std::uint64_t revision_ = 0;
  bool storeReachable_ = false;
  /// Time since the watcher's store call was sent (or failed).
  std::uint32_t ageMs_ = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(dataCentre_, revision_, storeReachable_, ageMs_);
  }
};

/// Decides whether this instance's configuration revision is confirmed to be current.
///
/// A report of a watcher that reached the store confirms the revision it saw, for the maximum age:
/// an instance goes on with it while it fetches a newer one. Without such a
/// report, recent reports of an unreachable store from more than half of the data centres confirm
/// that nothing newer exists: a single partitioned watcher cannot tell an outage from its own
/// partition.
class ConfigurationFreshness
{
public:
  explicit ConfigurationFreshness(Duration aMaxAge);

  /// Records a report of this instance's own store call, which was sent at aSentAt.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnOwnCall(std::string_view aDataCentre,
                 std::uint64_t aRevision,
                 bool aStoreReachable,
                 TimePoint aSentAt);

  /// Merges reports from another instance's message that was received at aNow; the younger report
  /// of a data centre wins. Transit time is not known and is covered by the margin of the maximum
  /// age.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Merge(std::span<const WatcherReport> aReports, TimePoint aNow);

  /// Returns the reports to send to other instances: the youngest of a watcher that reached the
  /// store, which is enough to confirm a revision, and all of watchers that did not.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::vector<WatcherReport> Reports(TimePoint aNow) const;

  /// Returns the highest revision that any report named.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::uint64_t HighestRevision() const { return highestRevision_; }

  /// Returns whether aRevision is confirmed to be current.
  ///
  /// Preconditions: aDataCentres is the number of data centres with instances. Thread safety: not
  /// thread-safe.
  bool IsCurrent(std::uint64_t aRevision, std::size_t aDataCentres, TimePoint aNow) const;

private:
  struct Entry
  {
    std::uint64_t revision_ = 0;
    bool storeReachable_ = false;
    TimePoint at_;
  };

  static WatcherReport ToReport(std::string_view aDataCentre, const Entry& aEntry, TimePoint aNow);
  void Record(std::string_view aDataCentre, const Entry& aEntry);

  Duration maxAge_;
  std::uint64_t highestRevision_ = 0;
  std::map<std::string, Entry, std::less<>> entries_;
  /// When each of the latest revisions was last seen to be the newest in the store.
  std::map<std::uint64_t, TimePoint> confirmed_;
};

} // namespace redwing
