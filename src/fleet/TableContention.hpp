#pragma once

#include "core/Clock.hpp"
#include "core/Random.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace redwing {

struct TableContentionSettings
{
  /// Time that the store usually takes for a write.
  std::chrono::milliseconds writeTime_{ 10 };
  std::chrono::milliseconds longestDelay_{ 2000 };
};

/// Spreads the writes by which instances change their own rows of a shard table. Each write is
/// conditional on the table, so when many instances write at once one of them succeeds and all
/// others conflict. So an instance waits for a random part of the time that the writes of all of
/// them in turn would take; the leader, which writes the rows of many holders together, is
/// usually faster then.
class TableContention
{
public:
  TableContention(const Clock& aClock, std::uint64_t aSeed, TableContentionSettings aSettings = {});

  /// Returns whether this instance may write the table of aService now.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool MayWrite(const std::string& aService) const;

  /// Delays the first write of rows that many instances have to change at the same time, as after a
  /// loss of power; aWriters instances have rows to change.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Spread(const std::string& aService, std::size_t aWriters);

  /// Records that a condition of a write based on revision aBase did not hold; aWriters instances
  /// have rows to change. Returns whether the store must be read: other instances announce their
  /// changes, but that of the one that succeeded did not arrive before a second attempt.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool OnConflict(const std::string& aService, std::uint64_t aBase, std::size_t aWriters);

  /// Records that a write took effect.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnWritten(const std::string& aService);

private:
  struct Conflicts
  {
    unsigned inARow_ = 0;
    std::uint64_t base_ = 0;
    TimePoint notBefore_{};
  };

  TimePoint WithinWritesOf(std::size_t aWriters);

  const Clock& clock_;
  Random random_;
  TableContentionSettings settings_;
  std::map<std::string, Conflicts, std::less<>> conflicts_;
};

} // namespace redwing
