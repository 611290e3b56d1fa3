#pragma once

#include "ownership/Effects.hpp"
#include "ownership/GoneMembers.hpp"
#include "ownership/OwnershipSettings.hpp"

#include <map>
#include <utility>

namespace redwing {

/// Tells successors to take over the rows of incarnations that were decided dead, until each one
/// acknowledged or is gone itself.
class TakeOverQueue
{
public:
  /// Preconditions: aSettings and aGone outlive the object. Thread safety: not thread-safe.
  TakeOverQueue(const OwnershipSettings& aSettings, const GoneMembers& aGone);

  /// Adds the rows that have a successor.
  ///
  /// Preconditions: the owner of each row was decided dead. Thread safety: not thread-safe.
  void Add(const std::vector<ShardRow>& aRows);

  /// Preconditions: none. Thread safety: not thread-safe.
  void OnAck(const TakeOverAck& aAck);

  /// Returns whether rows of aOwner are still waiting.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool Pending(const InstanceRef& aOwner) const;

  /// Sends what is due.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Tick(TimePoint aNow, Effects& aEffects);

private:
  struct Entry
  {
    ShardRow row_;
    TimePoint lastSent_{};
  };

  const OwnershipSettings& settings_;
  const GoneMembers& gone_;
  std::map<std::pair<InstanceRef, ShardId>, Entry> entries_;
};

} // namespace redwing
