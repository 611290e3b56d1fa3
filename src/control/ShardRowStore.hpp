#pragma once

#include "ownership/Effects.hpp"
#include "ownership/ShardRow.hpp"
#include "store/Store.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace redwing {

/// Reads and writes shard rows, which the store holds in chunks of 64 shards under
/// `/redwing/shards/<service>/<chunk>`.
///
/// Queued row changes of the same chunk are written in one transaction. Chunks are cached, so that
/// a write needs no read unless another instance has changed the chunk.
class ShardRowStore
{
public:
  /// Called with the outcome of a Commit. aCurrent is the row in the store if aOutcome is Success
  /// or Conflict.
  using OnCommitted =
    std::function<void(std::uint64_t aOperation, CommitOutcome aOutcome, const ShardRow& aCurrent)>;
  using OnLoaded = std::function<void(tl::expected<std::vector<ShardRow>, StoreError>)>;

  ShardRowStore(Store& aStore, OnCommitted aOnCommitted);

  /// Replaces a row if the stored row equals aCommit.expected_ (compare-and-swap). An absent row
  /// matches an expected row that has no owner and token 0.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void Commit(const CommitRow& aCommit);

  /// Reads all rows of all services.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void Load(OnLoaded aDone);

private:
  struct Chunk
  {
    /// Whether modRevision_ and rows_ hold a cached value.
    bool cached_ = false;
    /// Whether a read or write is in progress.
    bool busy_ = false;
    std::uint64_t modRevision_ = 0;
    std::map<std::uint32_t, ShardRow> rows_;
    /// Changes for the next write.
    std::vector<CommitRow> queued_;
    /// Changes of the write in progress.
    std::vector<CommitRow> writing_;
  };

  /// Starts the next write of a chunk unless one is in progress or no change is queued.
  void StartNextWrite(const std::string& aKey);
  void ReadThenWrite(const std::string& aKey);
  void Write(const std::string& aKey, bool aFreshlyRead);
  void FinishWrite(const std::string& aKey,
                   std::map<std::uint32_t, ShardRow> aRows,
                   const StoreResult<StoreTransactionResult>& aResult);
  /// Reports aOutcome for all changes of the write in progress, and invalidates the cache.
  void FailWrite(const std::string& aKey, CommitOutcome aOutcome);
  /// Caches a chunk read from the store; invalidates the cache if the chunk is malformed.
  void UpdateCache(Chunk& aChunk, const StoreEntry& aEntry);

  Store& store_;
  OnCommitted onCommitted_;
  std::map<std::string, Chunk, std::less<>> chunks_;
};

} // namespace redwing
