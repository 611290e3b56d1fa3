#pragma once

#include "core/Clock.hpp"
#include "rollout/RolloutTypes.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace redwing {

/// What the leader knows of a rollout when it asks for the next step.
struct RolloutInput
{
  TimePoint now_;
  RolloutPhase phase_ = RolloutPhase::Waiting;
  /// Requests that have reached the service, and servers of the target version, since the order.
  std::uint64_t serviceRequests_ = 0;
  std::uint64_t targetRequests_ = 0;
  /// Present requests a second of the service.
  double requestsPerSecond_ = 0;
  /// Servers that take requests.
  std::size_t oldServers_ = 0;
  std::size_t targetServers_ = 0;
  /// Target servers that are cold, and what a cold server can handle; 0 if unlimited.
  std::size_t coldTargets_ = 0;
  double coldPerSecond_ = 0;
  /// All old servers are closed, idle and hold no shard.
  bool oldClosed_ = false;
  Duration leaderFor_{};
};

/// The evidence of one side, for log lines and operators.
struct RolloutEvidence
{
  std::uint64_t requests_ = 0;
  std::uint64_t failures_ = 0;
  double typicalMs_ = 0;
};

struct RolloutDecision
{
  RolloutPhase phase_ = RolloutPhase::Waiting;
  /// Part of the service's requests for the target version.
  double share_ = 0;
  /// Number of target servers to use.
  std::size_t targets_ = 0;
  /// Highest number of requests that all target servers together may have got by the end of the
  /// next lease.
  std::uint64_t arrivalLimit_ = 0;
  /// Replies may carry permissions; otherwise those that still run stay as they are.
  bool permits_ = true;
  /// Why the rollout waits or went back.
  std::string reason_;
  /// Route that the verdict is about; empty if none.
  std::string route_;
  RolloutEvidence old_;
  RolloutEvidence target_;
};

/// Judges the versions of one rollout and chooses its steps. Runs on the context's thread.
class RolloutDecider
{
public:
  virtual ~RolloutDecider() = default;

  /// Takes what one server did on one route since its last report; aCold tells that it was cold at
  /// some time since.
  ///
  /// Preconditions: none. Thread safety: not thread-safe, like all functions here.
  virtual void Add(RolloutSide aSide, const RouteCounts& aDelta, TimePoint aAt, bool aCold) = 0;

  /// Takes counts of a longer time: those before a change of leader, or of an instance that was cut
  /// off.
  ///
  /// Preconditions: none.
  virtual void AddEarlier(RolloutSide aSide, const RouteCounts& aCounts) = 0;

  /// Returns the next step.
  ///
  /// Preconditions: the time of aInput does not go back between calls.
  virtual RolloutDecision Next(const RolloutInput& aInput) = 0;

  /// Takes the order with its duration extended.
  ///
  /// Preconditions: aOrder names the same version.
  virtual void Extend(const RolloutOrder& aOrder) = 0;
};

/// Returns the decider of the rollout of aRecord, which began at aOrderedAt and goes on in the
/// record's phase.
using RolloutDeciderFactory =
  std::function<std::unique_ptr<RolloutDecider>(const RolloutRecord& aRecord,
                                                TimePoint aOrderedAt)>;

} // namespace redwing
