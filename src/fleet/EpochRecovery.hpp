#pragma once

#include "core/Clock.hpp"
#include "fleet/FleetMessages.hpp"
#include "fleet/ShardTable.hpp"
#include "ownership/ShardRow.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace redwing {

/// Decides when a shard table of an earlier epoch of the store may be written into the present one.
/// What was written in the earlier epoch after the store's copy was taken is known to instances
/// only, and their grants from it last until the leases of that epoch have run out. So the leader
/// waits until it has heard from every instance that may know or hold more, or until those leases
/// have run out.
class EpochRecovery
{
public:
  /// aWait is the time after which no lease of an earlier epoch is left.
  EpochRecovery(std::string aSelf, Duration aWait);

  /// Starts an epoch that this instance has just seen. aConfirmed: it was a member of the epoch
  /// before, and knew no table from an epoch before that one. aHolds: its grants are still valid.
  /// aMembers are the members that it knew.
  ///
  /// Preconditions: none. Thread safety: not thread-safe, like all functions here.
  void Begin(std::uint64_t aEpoch,
             bool aConfirmed,
             bool aHolds,
             const std::set<InstanceRef>& aMembers,
             TimePoint aNow);

  /// Returns whether this process was a member in an earlier epoch, so that what it knows may be
  /// newer than what the store contains.
  bool Carried() const { return carried_; }

  /// Returns whether the grants of this instance were valid when it saw the epoch, so that nobody
  /// had taken over its shards by then.
  bool Holds() const { return holds_; }

  /// Returns the members of earlier epochs that are not among aRegistered.
  std::vector<InstanceRef> Missing(const std::set<InstanceRef>& aRegistered) const;

  /// Returns whether the leases of earlier epochs may still run.
  bool Waits(TimePoint aNow) const { return epoch_ > 0 && aNow - seenAt_ < wait_; }

  /// Returns whether leases of epochs before aEpoch may still run.
  bool WaitsFor(std::uint64_t aEpoch, TimePoint aNow) const;

  /// Records a report to this instance; reports of another epoch are ignored.
  void OnReport(const FleetReport& aReport);

  /// Returns whether nobody can know a newer version of aTable or hold shards by one that is not
  /// known here. aRegistered are the members that have registered in this epoch, aRevisions the
  /// revisions of the tables known here.
  bool Accounted(const ShardTable& aTable,
                 const std::set<InstanceRef>& aRegistered,
                 const std::map<std::string, std::uint64_t>& aRevisions) const;

  /// Returns whether the members that have registered were heard, and all had the time to register,
  /// so that the certain part of a table can be written.
  bool HeardRegistered(const std::set<InstanceRef>& aRegistered,
                       const std::map<std::string, std::uint64_t>& aRevisions,
                       TimePoint aNow) const;

  /// Returns whether the holder of aRun, which was heard, still holds its shards, so that no other
  /// instance can.
  bool IsCertain(const ShardRun& aRun, const std::set<InstanceRef>& aRegistered) const;

  /// Returns whether some instance is known to have been a member in an earlier epoch.
  bool SeesEarlierMembers() const;

private:
  struct Report
  {
    std::uint64_t incarnation_ = 0;
    bool carried_ = false;
    bool holds_ = false;
    std::map<std::string, std::uint64_t> tables_;
  };

  bool KnowsNothingNewer(const std::set<InstanceRef>& aRegistered,
                         const std::map<std::string, std::uint64_t>& aRevisions) const;
  bool IsCarried(const std::string& aInstanceId) const;

  std::string self_;
  Duration wait_;
  std::uint64_t epoch_ = 0;
  TimePoint seenAt_{};
  /// Time at which each epoch was first seen.
  std::map<std::uint64_t, TimePoint> seen_;
  bool carried_ = false;
  bool holds_ = false;
  /// Members of earlier epochs, each of which may hold shards by a table of its epoch.
  std::set<InstanceRef> awaited_;
  std::map<std::string, Report> reports_;
};

} // namespace redwing
