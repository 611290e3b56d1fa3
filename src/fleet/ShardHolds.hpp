#pragma once

#include "core/Clock.hpp"
#include "exchange/ServerHeartbeat.hpp"
#include "fleet/GrantLog.hpp"
#include "fleet/ShardTable.hpp"
#include "ownership/OwnershipGate.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace redwing {

struct ShardHoldSettings
{
  /// Maximum time for which a server may hold shards after a heartbeat.
  std::chrono::milliseconds longestHold_{ 10000 };
  /// Maximum time for which an earlier process of the instance may have granted shards: no grant
  /// outlasts the lease that covers it.
  std::chrono::milliseconds earlierHold_{ 6000 };
  /// Maximum fraction by which the clock of a server runs slow.
  double clockDrift_ = 0.02;
  /// Safety margin between the end of a hold and the end of the lease that covers it.
  std::chrono::milliseconds margin_{ 60 };
  /// Nothing is granted if the hold would be shorter than this.
  std::chrono::milliseconds shortestHold_{ 400 };
  /// Time for the server to read a reply before requests for newly granted shards are sent.
  std::chrono::milliseconds grantDelay_{ 4 };
};

/// A range of shards that the local server has released to its successor.
struct ReleasedShards
{
  std::uint32_t first_ = 0;
  std::uint32_t last_ = 0;
  std::string successor_;
  std::string handover_;
};

/// What the local server is granted and may hold at one time. Times are by the clock of the
/// instance and 0 once they have passed.
struct HoldStatus
{
  /// Shards of the last reply with grants; 0 once that grant has run out.
  std::size_t granted_ = 0;
  /// Shards that the server may hold by a grant of this process or of an earlier one.
  std::size_t held_ = 0;
  /// Time until the latest end of the hold; 0 if nothing is held.
  Duration holdLeft_{};
  /// Time until the lease that covers grants may end.
  Duration leaseLeft_{};
  /// Number of shards whose hold has ended since the start of the process, by HoldEnd.
  std::array<std::uint64_t, kHoldEnds.size()> ended_{};
};

/// Grants shards to the local server in replies to its heartbeats, as far as the shard table and
/// the lease of this instance allow, and tracks the release of shards that move away.
///
/// A server may hold shards until its last grant has expired on a slow clock. Only this instance
/// grants shards to its server, and never beyond its own lease in the store, so that other
/// instances may take over the shards once that lease has expired.
class ShardHolds final : public OwnershipGate
{
public:
  ShardHolds(const Clock& aClock, std::string aInstanceId, ShardHoldSettings aSettings);

  /// Sets the keyed service of the local server and its shard table. Nothing is granted before the
  /// first call.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void SetTable(const std::string& aService, const ShardTable& aTable);

  /// Sets the time until which no other instance can take over the shards of this one, by a lease
  /// of aEpoch of the store.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void SetLeaseDeadline(TimePoint aDeadline, std::uint64_t aEpoch = 0);

  /// Makes aServerIncarnation the incarnation of the local server that may be granted shards, if
  /// the present one is proved to hold none by grants of this process: they have run out, it
  /// reported that it holds nothing, or aServerIncarnation is a later start of the same server.
  /// Returns whether it did so.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  bool SetServerIncarnation(const std::string& aServerIncarnation);

  /// Returns whether the present incarnation may hold shards by a grant of this process or of an
  /// earlier one.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  bool MayHold();

  /// Returns the time from which the current incarnation holds nothing unless it gets another
  /// grant.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  TimePoint HoldsUntil() const;

  /// Sets the maximum time for which the earlier process of this instance has granted shards, which
  /// may only shorten what is assumed.
  ///
  /// Preconditions: no table was set yet. Thread safety: callable from any thread.
  void LimitEarlierHold(std::chrono::milliseconds aLongest);

  /// Returns the time at which the last grant of an earlier process of this instance has ended.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  TimePoint EarlierHoldsUntil() const;

  /// Returns the maximum time for which a server may hold shards after a heartbeat to this process,
  /// or to an earlier one while its grants may last.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  std::chrono::milliseconds LongestHold() const;

  /// Returns the reply to a heartbeat of the current server incarnation that arrived at aArrivedAt.
  ///
  /// Preconditions: heartbeats come in order. Thread safety: callable from any thread.
  HeartbeatReply OnHeartbeat(const ServerHeartbeat& aHeartbeat, TimePoint aArrivedAt);

  /// Returns whether other instances are about to release shards to this one while it has none to
  /// release itself.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  bool AwaitsShards() const;

  /// Returns whether the table assigns the current incarnation shards that it was not granted yet.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  bool HasNewShards() const;

  /// Returns the released shards, which their successors may take over now.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  std::vector<ReleasedShards> TakeReleased();

  /// Returns what the local server is granted and may hold now.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  HoldStatus Status() const;

  GateAnswer Check(const ShardId& aShard, TimePoint aNow) const override;
  void OnArrival(const ShardId& aShard) override;
  GateAnswer BeginRequest(const ShardId& aShard, TimePoint aNow) override
  {
    return Check(aShard, aNow);
  }
  void EndRequest(const ShardId& /*aShard*/) override {}

  /// Returns the number of requests that arrived for each shard since the last call, as pairs of
  /// shard and count. Refused requests count, because the load of an overloaded server is the
  /// offered load.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  std::vector<std::pair<std::uint32_t, std::uint32_t>> TakeLoad();

private:
  struct Shard
  {
    /// The last reply granted the shard.
    bool granted_ = false;
    /// The server may hold the shard: it was granted and no release was reported.
    bool held_ = false;
    /// Latest end of the last grant of the shard.
    TimePoint until_{};
    /// Fencing token of the last grant; 0 if only an earlier process may have granted the shard.
    std::uint64_t token_ = 0;
    TimePoint grantedAt_{};
    /// A heartbeat reported the shard as held, so the server has read the grant.
    bool reported_ = false;
    /// Sequence number of the first heartbeat whose reply did not grant the shard any more; 0 if
    /// the last reply granted it or there was none yet.
    std::uint64_t notGrantedSince_ = 0;
    std::string handover_;
    std::uint32_t requests_ = 0;
  };

  bool Owned(const ShardRun& aRun) const;
  bool AnyHeld() const;
  void Expire(TimePoint aNow);
  void ApplyReport(const ServerHeartbeat& aHeartbeat);
  /// Logs and counts that the shards of which aEnded is true are held no more.
  void LogEnd(const std::vector<bool>& aEnded, HoldEnd aReason);
  std::vector<bool> ShardsIn(const std::vector<HeldKeys>& aHolds) const;
  std::uint32_t FirstKey(std::uint32_t aShard) const;
  std::uint32_t LastKey(std::uint32_t aShard) const;
  std::uint32_t ShardOfKey(std::uint32_t aKey) const;

  const Clock& clock_;
  std::string instanceId_;
  ShardHoldSettings settings_;
  const TimePoint startedAt_;
  mutable std::mutex mutex_;
  std::string service_;
  std::optional<ShardTable> table_;
  std::string serverIncarnation_;
  TimePoint leaseDeadline_{};
  std::uint64_t leaseEpoch_ = 0;
  GrantLog log_;
  std::array<std::uint64_t, kHoldEnds.size()> ended_{};
  /// Earliest and latest end of the last grant by the server's clock.
  TimePoint grantEnd_{};
  TimePoint holdsUntil_{};
  /// Latest end of grants of an earlier process of this instance.
  TimePoint earlierHoldsUntil_;
  std::vector<Shard> shards_;
};

} // namespace redwing
