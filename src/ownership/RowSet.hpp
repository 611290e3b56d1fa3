#pragma once

#include "core/Clock.hpp"
#include "ownership/Messages.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace redwing {

/// Versioned rows of one owner together with what the next replica has acknowledged of them.
class RowSet
{
public:
  /// Stores aRow unless a version at least as high is present; returns whether it was stored.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool Merge(const VersionedRow& aRow);

  /// Records that the next replica holds aVersion.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Acknowledge(const RowVersion& aVersion);

  /// Returns whether the next replica holds the current version of aShard (true if absent).
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool IsHeld(const ShardId& aShard) const;

  /// Returns whether the next replica holds all rows.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool AllHeld() const { return unacknowledged_ == 0; }

  /// Forgets all acknowledgements because the next replica changed.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void ResetAcknowledgements();

  /// Returns the rows to send now, split into messages of at most aBytes of encoded rows.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::vector<std::vector<VersionedRow>> TakeDue(TimePoint aNow,
                                                 Duration aResend,
                                                 std::size_t aBytes);

  /// Returns the rows that have an owner.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::vector<ShardRow> Rows() const;

  /// Returns all rows with versions.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::vector<VersionedRow> Versioned() const;

private:
  struct Entry
  {
    VersionedRow row_;
    std::uint64_t acknowledged_ = 0;
    TimePoint lastSent_{};

    bool Held() const { return acknowledged_ == row_.version_; }
  };

  std::map<ShardId, Entry> entries_;
  std::size_t unacknowledged_ = 0;
};

} // namespace redwing
