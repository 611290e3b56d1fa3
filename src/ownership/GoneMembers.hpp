#pragma once

#include "core/Clock.hpp"
#include "ownership/ShardRow.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace redwing {

/// Incarnations that are known never to act again: decided dead, or replaced by a higher
/// incarnation whose predecessor's lease and grants have run out.
class GoneMembers
{
public:
  /// Preconditions: none. Thread safety: not thread-safe.
  explicit GoneMembers(Duration aLeaseWait)
    : leaseWait_(aLeaseWait)
  {
  }

  /// Records that the incarnation was decided dead after its lease.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void MarkDead(const InstanceRef& aRef);

  /// Records that aRef runs, which ends all lower incarnations of the same id.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void MarkRunning(const InstanceRef& aRef, TimePoint aNow);

  /// Returns whether the incarnation was decided dead.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool IsDead(const InstanceRef& aRef) const;

  /// Returns whether the incarnation can never act again.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool IsGone(const InstanceRef& aRef, TimePoint aNow) const;

private:
  struct Running
  {
    std::uint64_t incarnation_ = 0;
    TimePoint since_{};
  };

  Duration leaseWait_;
  std::map<std::string, std::uint64_t, std::less<>> dead_;
  std::map<std::string, Running, std::less<>> running_;
};

} // namespace redwing
