#pragma once

#include "core/Clock.hpp"
#include "exchange/Events.hpp"
#include "ownership/ShardRow.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <list>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace redwing {

/// An Idempotency-Key together with its scope. Entries move with their shard; pooled services use
/// shard 0.
struct IdempotencyKey
{
  ShardId shard_;
  std::string workspace_;
  std::string key_;

  // clang-tidy 14 mistakes the defaulted comparison for a 0 used as a null pointer.
  auto operator<=>(const IdempotencyKey&) const = default; // NOLINT(modernize-use-nullptr)
};

enum class IdempotencyState : std::uint8_t
{
  Running,
  /// The request completed; its response may have been dropped.
  Done,
  /// The request ended without a known outcome.
  Unknown,
  /// The request did not run. Receivers of this state remove the entry.
  Abandoned,
};

/// A response that is stored for replay.
struct StoredResponse
{
  std::uint16_t status_ = 0;
  HeaderList headers_;
  std::string body_;
};

/// What is recorded about one Idempotency-Key, and replicated to the successor of its shard.
struct IdempotencyEntry
{
  IdempotencyKey key_;
  /// Hash of the request; a different request under the same key is a conflict.
  std::uint64_t fingerprint_ = 0;
  IdempotencyState state_ = IdempotencyState::Running;
  /// Present if the response was complete and small enough, and was not evicted.
  std::optional<StoredResponse> response_;
  /// Encoded as the remaining time, because clocks of instances differ.
  TimePoint expiry_{};
};

/// Result of looking up an Idempotency-Key.
enum class IdempotencyVerdict : std::uint8_t
{
  /// The request is new and may run once its entry is replicated.
  New,
  /// The request has completed and its response is stored.
  Replay,
  /// The key was used for a different request.
  Conflict,
  /// The request is running at this instance.
  InFlight,
  /// The outcome of the earlier request is unknown, or its response is not stored.
  Unknown,
  /// The table is full; the request must not run.
  Full,
};

/// Limits on the memory of the table, and the lifetime of its entries.
struct IdempotencyLimits
{
  std::size_t entries_ = 200'000;
  /// Total size of the entries without their responses.
  std::size_t entryBytes_ = std::numeric_limits<std::size_t>::max();
  /// Total size of the stored responses.
  std::size_t responseBytes_ = 64ULL * 1024 * 1024;
  /// Larger responses are not stored.
  std::size_t bytesPerResponse_ = 64ULL * 1024;
  /// Lifetime of an entry, from its start and again from its end.
  Duration expiry_ = std::chrono::minutes(10);
};

/// Records requests that carry an Idempotency-Key, so that each of them runs at most once.
class IdempotencyTable
{
public:
  explicit IdempotencyTable(IdempotencyLimits aLimits = {});

  /// Looks up aKey and, if it is new, adds an entry for a request that runs at this instance.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  IdempotencyVerdict Begin(const IdempotencyKey& aKey, std::uint64_t aFingerprint, TimePoint aNow);

  /// Returns the entry of aKey, or null. The pointer is valid until the table changes.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  const IdempotencyEntry* Find(const IdempotencyKey& aKey) const;

  /// Marks a running request as ended. Without aResponse its outcome is recorded as unknown.
  /// Returns the entry for replication, or null if the table no longer has it.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  const IdempotencyEntry* Complete(const IdempotencyKey& aKey,
                                   std::optional<StoredResponse> aResponse,
                                   TimePoint aNow);

  /// Removes the entry of a request that did not run, and returns an entry that makes replicas do
  /// the same.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  IdempotencyEntry Abandon(const IdempotencyKey& aKey);

  /// Returns all entries of aShard, for a handover of the shard or for a new successor.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::vector<IdempotencyEntry> Export(const ShardId& aShard) const;

  /// Adds entries received from the owner of their shard. A request that runs at the owner has an
  /// unknown outcome here until the owner reports its end.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Import(std::span<const IdempotencyEntry> aEntries);

  /// Removes expired entries, except those of requests that run at this instance.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Expire(TimePoint aNow);

  std::size_t Size() const { return entries_.size(); }
  std::size_t ResponseBytes() const { return responseBytes_; }
  std::size_t EntryBytes() const { return entryBytes_; }

private:
  struct TableEntry
  {
    IdempotencyEntry entry_;
    /// Whether the request runs at this instance.
    bool runsHere_ = false;
  };
  using Entries = std::map<IdempotencyKey, TableEntry>;

  /// Stores aResponse if it is small enough, and evicts the oldest responses over the limit.
  void Store(TableEntry& aTableEntry, std::optional<StoredResponse> aResponse);
  void DropResponse(IdempotencyEntry& aEntry);
  /// Returns whether a new entry of aBytes exceeds the limits.
  bool IsFull(std::size_t aBytes) const;
  Entries::iterator Erase(Entries::iterator aIt);

  IdempotencyLimits limits_;
  Entries entries_;
  /// Keys in the order in which their responses were stored; the oldest response is evicted first.
  std::list<IdempotencyKey> responseOrder_;
  std::size_t responseBytes_ = 0;
  std::size_t entryBytes_ = 0;
  /// When a full table may be searched for expired entries again.
  TimePoint nextSweep_{};
};

} // namespace redwing
