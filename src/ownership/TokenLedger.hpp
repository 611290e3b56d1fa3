#pragma once

#include "ownership/ShardRow.hpp"

#include <cstdint>
#include <map>

namespace redwing {

/// Highest token of each shard that this instance has taken, given away or promised not to take. A
/// shard is taken only with a higher token, so late duplicates have no effect.
class TokenLedger
{
public:
  /// Records that this instance took aShard with aToken.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Take(const ShardId& aShard, std::uint64_t aToken);

  /// Records that aToken of aShard must not be taken any more.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Bar(const ShardId& aShard, std::uint64_t aToken);

  /// Returns whether aToken of aShard may be taken.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool MayTake(const ShardId& aShard, std::uint64_t aToken) const;

  /// Promises not to take over aRow; returns false when that has happened already.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool Promise(const ShardRow& aRow);

private:
  struct Entry
  {
    std::uint64_t highest_ = 0;
    std::uint64_t taken_ = 0;
  };

  std::map<ShardId, Entry> entries_;
};

} // namespace redwing
