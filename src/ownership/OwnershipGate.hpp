#pragma once

#include "core/Clock.hpp"
#include "ownership/ShardRow.hpp"

#include <cstdint>
#include <optional>

namespace redwing {

/// Answer of the gate for one shard.
struct GateAnswer
{
  bool owned_ = false;
  std::uint64_t token_ = 0;
  /// New requests wait or are refused while the shard is handed over.
  bool releasing_ = false;
  /// The instance that owns the shard as far as is known.
  InstanceRef owner_;
};

/// Tells the backend thread whether this instance may hand a request of a shard to its server now.
/// Read at every hand-over.
class OwnershipGate
{
public:
  virtual ~OwnershipGate() = default;

  /// Returns whether aShard is owned at aNow, under a lease that has not run out.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  virtual GateAnswer Check(const ShardId& aShard, TimePoint aNow) const = 0;

  /// Records that a request of an owned shard has arrived, whether it will run or be refused.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  virtual void OnArrival(const ShardId& /*aShard*/) {}

  /// Counts a request of aShard as handed over; returns the same answer as Check, and the request
  /// counts as running only if owned_ is true. EndRequest must follow.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  virtual GateAnswer BeginRequest(const ShardId& aShard, TimePoint aNow) = 0;

  /// Ends a request counted by BeginRequest.
  ///
  /// Preconditions: BeginRequest returned owned_ for aShard. Thread safety: callable from any
  /// thread.
  virtual void EndRequest(const ShardId& aShard) = 0;
};

} // namespace redwing
