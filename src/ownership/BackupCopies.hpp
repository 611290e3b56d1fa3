#pragma once

#include "ownership/Messages.hpp"

#include <map>
#include <vector>

namespace redwing {

/// What a backup grantor holds of one of its dependants' own dependants: registered bindings with
/// copies of their rows. Removed bindings are remembered, so that a late duplicate of a
/// registration does not bring one back.
class BackupCopies
{
public:
  struct Copy
  {
    std::uint64_t bindingGeneration_ = 0;
    bool removed_ = false;
    bool dead_ = false;
    bool inherited_ = false;
    std::map<ShardId, VersionedRow> rows_;
  };

  /// Merges an update; returns false when it is older than what is known.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool Merge(const RowsUpdate& aUpdate);

  /// Removes a registered binding; returns false when a newer one is registered.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool Drop(const RowsDrop& aDrop);

  /// Marks a registered binding as decided dead; returns false when it is not registered.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool MarkDead(const Decide& aDecide);

  /// Returns whether aDependant is registered and not removed.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool Holds(const InstanceRef& aDependant) const;

  /// Returns all copies, also removed ones.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  const std::map<InstanceRef, Copy>& All() const { return copies_; }

  /// Returns whether any binding is registered and not removed.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool Empty() const;

private:
  std::map<InstanceRef, Copy> copies_;
};

} // namespace redwing
