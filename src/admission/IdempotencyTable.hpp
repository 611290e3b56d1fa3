#pragma once

#include "core/Clock.hpp"
#include "exchange/Events.hpp"
#include "ownership/ShardRow.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace redwing {

/// Scope and value of an Idempotency-Key. Entries move with their shard; a pooled service uses
/// shard 0.
struct IdempotencyKey
{
  ShardId shard_;
  std::string workspace_;
  std::string key_;

  // clang-tidy 14 takes the defaulted comparison for a zero that stands for a null pointer.
  auto operator<=>(const IdempotencyKey&) const = default; // NOLINT(modernize-use-nullptr)
};

enum class IdempotencyState : std::uint8_t
{
  Running,
  Done,
  Unknown,
  /// The request did not run; receivers of this state remove the entry.
  Abandoned,
};

struct StoredResponse
{
  std::uint16_t status_ = 0;
  HeaderList headers_;
  std::string body_;
};

struct IdempotencyEntry
{
  IdempotencyKey key_;
  std::uint64_t fingerprint_ = 0;
  IdempotencyState state_ = IdempotencyState::Running;
  /// Kept if the response was complete and small enough.
  std::optional<StoredResponse> response_;
  /// Travels as remaining time.
  TimePoint expiry_{};
};

enum class IdempotencyVerdict : std::uint8_t
{
  /// The request is new and may run once its entry is replicated.
  New,
  /// The first response is kept.
  Replay,
  Conflict,
  InFlight,
  /// The earlier request ended with an unknown outcome, or its response was not kept.
  Unknown,
  /// No room for another entry; the request must not run.
  Full,
};

struct IdempotencyLimits
{
  std::size_t entries_ = 200'000;
  std::size_t responseBytes_ = 64ULL * 1024 * 1024;
  std::size_t responseBytesEach_ = 64ULL * 1024;
  Duration expiry_ = std::chrono::minutes(10);
};

/// Remembers requests with an Idempotency-Key, so that each runs at most once.
class IdempotencyTable
{
public:
  explicit IdempotencyTable(IdempotencyLimits aLimits = {});

  /// Looks aKey up and, if it is new, adds it as running here.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  IdempotencyVerdict Begin(const IdempotencyKey& aKey, std::uint64_t aFingerprint, TimePoint aNow);

  /// Returns the entry of aKey, or null.
  ///
  /// Preconditions: none. Thread safety: not thread-safe. The pointer is valid until the next
  /// change.
  const IdempotencyEntry* Find(const IdempotencyKey& aKey) const;

  /// Ends a running request. Without aResponse the entry says that it ran but not with what result.
  /// Returns the entry for replication, or null if it is gone.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  const IdempotencyEntry* Complete(const IdempotencyKey& aKey,
                                   std::optional<StoredResponse> aResponse,
                                   TimePoint aNow);

  /// Removes a request that did not run; returns what to replicate.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  IdempotencyEntry Abandon(const IdempotencyKey& aKey);

  /// Returns all entries of aShard, for its hand-over or a new successor.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::vector<IdempotencyEntry> Export(const ShardId& aShard) const;

  /// Adds entries from the owner of a shard. Entries that are running there count as unknown here,
  /// until the owner reports their end.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Import(std::span<const IdempotencyEntry> aEntries);

  /// Removes expired entries.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Expire(TimePoint aNow);

  std::size_t Size() const { return entries_.size(); }
  std::size_t ResponseBytes() const { return responseBytes_; }

private:
  struct Slot
  {
    IdempotencyEntry entry_;
    bool runsHere_ = false;
  };
  using Entries = std::map<IdempotencyKey, Slot>;

  void Store(Slot& aSlot, std::optional<StoredResponse> aResponse);
  void DropResponse(IdempotencyEntry& aEntry);
  Entries::iterator Erase(Entries::iterator aIt);

  IdempotencyLimits limits_;
  Entries entries_;
  /// Keys in the order in which their responses were kept; the oldest is dropped first.
  std::list<IdempotencyKey> kept_;
  std::size_t responseBytes_ = 0;
};

} // namespace redwing
