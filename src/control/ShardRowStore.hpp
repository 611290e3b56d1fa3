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

/// Shard rows in the store, in chunks of 64 shards under `/redwing/shards/<service>/<chunk>`.
///
/// Row changes that are waiting for the same chunk are written in one transaction. The content of a
/// chunk is cached, so that an unchanged chunk needs no read before a write.
class ShardRowStore
{
public:
  /// aCurrent is the row in the store after a success or conflict.
  using OnCommitted =
    std::function<void(std::uint64_t aOperation, CommitOutcome aOutcome, const ShardRow& aCurrent)>;
  using OnLoaded = std::function<void(tl::expected<std::vector<ShardRow>, StoreError>)>;

  ShardRowStore(Store& aStore, OnCommitted aOnCommitted);

  /// Replaces one row if the stored row equals aCommit.expected_. An absent row equals an expected
  /// row without owner and with token 0.
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
    bool known_ = false;
    bool busy_ = false;
    std::uint64_t modRevision_ = 0;
    std::map<std::uint32_t, ShardRow> rows_;
    std::vector<CommitRow> waiting_;
    std::vector<CommitRow> writing_;
  };

  void Proceed(const std::string& aKey);
  void ReadThenWrite(const std::string& aKey);
  void Write(const std::string& aKey, bool aFreshlyRead);
  void FinishWrite(const std::string& aKey,
                   std::map<std::uint32_t, ShardRow> aRows,
                   const StoreResult<StoreTransactionResult>& aResult);
  void FailAll(const std::string& aKey, CommitOutcome aOutcome);
  void Adopt(Chunk& aChunk, const StoreEntry& aEntry);

  Store& store_;
  OnCommitted onCommitted_;
  std::map<std::string, Chunk, std::less<>> chunks_;
};

} // namespace redwing
