#pragma once

#include "ownership/Effects.hpp"
#include "ownership/OwnershipSettings.hpp"

#include <map>
#include <vector>

namespace redwing {

/// Rows that this instance gave up in favour of their successors, sent until acknowledged.
class ReleaseQueue
{
public:
  /// Preconditions: aSettings outlives the object. Thread safety: not thread-safe.
  explicit ReleaseQueue(const OwnershipSettings& aSettings);

  /// Preconditions: this instance does not act for the shard any more. Thread safety: not
  /// thread-safe.
  void Add(const ShardRow& aRow);

  /// Returns whether this is the first acknowledgement of a release. The row is kept until Remove,
  /// because the successor may be lost before it writes the row back.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool OnAck(const ReleaseAck& aAck);

  /// Forgets a release because the store has a newer row.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Remove(const ShardId& aShard) { entries_.erase(aShard); }

  /// Returns the released rows that the store still has.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::vector<ShardRow> Pending() const;

  /// Sends what is due.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Tick(TimePoint aNow, Effects& aEffects);

private:
  struct Entry
  {
    ShardRow row_;
    TimePoint lastSent_{};
    bool acknowledged_ = false;
  };

  const OwnershipSettings& settings_;
  std::map<ShardId, Entry> entries_;
};

} // namespace redwing
