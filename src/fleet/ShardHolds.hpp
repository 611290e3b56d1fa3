#pragma once

#include "core/Clock.hpp"
#include "exchange/ServerHeartbeat.hpp"
#include "fleet/ShardTable.hpp"
#include "ownership/OwnershipGate.hpp"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace redwing {

struct ShardHoldSettings
{
  /// Longest time for which a server may hold shards after a heartbeat.
  std::chrono::milliseconds longestHold_{ 10000 };
  /// Clocks of servers run slow by this part at most.
  double clockDrift_ = 0.02;
  /// Kept between the end of a hold and the end of the lease that covers it.
  std::chrono::milliseconds margin_{ 60 };
  /// A shorter hold is not worth renewing.
  std::chrono::milliseconds shortestHold_{ 400 };
  /// Time for the server to read a reply before requests for newly granted shards are sent.
  std::chrono::milliseconds settle_{ 4 };
};

/// Shards that the local server has released for their successor.
struct ReleasedShards
{
  std::uint32_t first_ = 0;
  std::uint32_t last_ = 0;
  std::string successor_;
  std::string handover_;
};

/// What the local server holds: grants in reply to its heartbeats, as far as the shard table and
/// the lease of this instance allow, and the release of shards that move away.
///
/// A server may hold shards until its last grant has run out on a slow clock. Only this instance
/// grants, and never beyond its lease in the store, so that others may take its shards over once
/// the lease has ended.
class ShardHolds final : public OwnershipGate
{
public:
  ShardHolds(const Clock& aClock, std::string aInstanceId, ShardHoldSettings aSettings);

  /// Sets the keyed service of the local server and its table; nothing is granted before.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void SetTable(const std::string& aService, const ShardTable& aTable);

  /// Sets until when the table's rows of this instance are certain.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void SetLeaseDeadline(TimePoint aDeadline);

  /// Sets the run of the local server that may be granted shards. Another run than before holds
  /// nothing of what the earlier one held.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void SetLife(const std::string& aLife);

  /// Answers a heartbeat of the present run that arrived at aArrivedAt.
  ///
  /// Preconditions: heartbeats come in order. Thread safety: callable from any thread.
  HeartbeatReply OnHeartbeat(const ServerHeartbeat& aHeartbeat, TimePoint aArrivedAt);

  /// Returns whether other instances are about to release shards to this one, which itself has
  /// none to release.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  bool AwaitsShards() const;

  /// Returns whether the table gives the present run shards that it was not granted yet.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  bool HasNewShards() const;

  /// Returns the shards that were released and whose successor may have them now.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  std::vector<ReleasedShards> TakeReleased();

  /// Returns the moment from which the present run holds nothing, if it gets no further grant.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  TimePoint HoldsUntil() const;

  GateAnswer Check(const ShardId& aShard, TimePoint aNow) const override;
  void OnArrival(const ShardId& aShard) override;
  GateAnswer BeginRequest(const ShardId& aShard, TimePoint aNow) override
  {
    return Check(aShard, aNow);
  }
  void EndRequest(const ShardId& /*aShard*/) override {}

  /// Returns the requests that arrived for each shard since the last call. Refused ones count: the
  /// load of a server that refuses requests is what it is asked for.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  std::vector<std::pair<std::uint32_t, std::uint32_t>> TakeLoad();

private:
  struct Shard
  {
    /// Part of the last reply.
    bool granted_ = false;
    /// The server may hold the shard: it was granted and its release was not seen.
    bool held_ = false;
    TimePoint grantedAt_{};
    /// Heartbeat whose reply left the shard out.
    std::uint64_t leftOutAt_ = 0;
    std::string handover_;
    std::uint32_t requests_ = 0;
  };

  bool Owned(const ShardRun& aRun) const;
  void Expire(TimePoint aNow);
  void TakeReports(const ServerHeartbeat& aHeartbeat);
  std::vector<bool> ShardsIn(const std::vector<HeldKeys>& aHolds) const;
  std::uint32_t FirstKey(std::uint32_t aShard) const;
  std::uint32_t LastKey(std::uint32_t aShard) const;
  std::uint32_t ShardOfKey(std::uint32_t aKey) const;

  const Clock& clock_;
  std::string instanceId_;
  ShardHoldSettings settings_;
  mutable std::mutex mutex_;
  std::string service_;
  std::optional<ShardTable> table_;
  std::string life_;
  TimePoint leaseDeadline_{};
  /// End of the last grant as the server sees it at the earliest, and at the latest.
  TimePoint grantEnd_{};
  TimePoint holdsUntil_{};
  std::vector<Shard> shards_;
};

} // namespace redwing
