#pragma once

#include "ownership/Effects.hpp"
#include "ownership/OwnershipSettings.hpp"
#include "ownership/RowSet.hpp"

namespace redwing {

/// Replicates the rows of this instance to its grantor, which forwards them to the backup grantor.
class RowReplicator
{
public:
  /// Preconditions: aSettings outlives the object. Thread safety: not thread-safe.
  RowReplicator(InstanceRef aSelf, const OwnershipSettings& aSettings);

  /// Replicates a new version of aRow; an empty owner tells that this instance gave it up.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Put(const ShardRow& aRow);

  /// Returns whether grantor and backup grantor hold the current version of aShard.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool IsHeld(const ShardId& aShard) const;

  /// Sets the binding; a changed one has to receive all rows again.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void SetBinding(const InstanceRef& aGrantor, std::uint64_t aGeneration);

  /// Handles the acknowledgement of rows.
  ///
  /// Preconditions: aAck.dependant_ is this instance. Thread safety: not thread-safe.
  void OnAck(const InstanceRef& aFrom, const RowsAck& aAck);

  /// Sends what is due.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Tick(TimePoint aNow, Effects& aEffects);

private:
  InstanceRef self_;
  const OwnershipSettings& settings_;
  InstanceRef grantor_;
  std::uint64_t generation_ = 0;
  std::uint64_t version_ = 0;
  RowSet rows_;
};

} // namespace redwing
