#include "control/ShardRowStore.hpp"

#include "control/ShardRowCodec.hpp"
#include "core/Log.hpp"

#include <utility>

namespace redwing {

namespace {

bool
Matches(const std::map<std::uint32_t, ShardRow>& aRows, const ShardRow& aExpected)
{
  const auto found = aRows.find(aExpected.shard_.index_);
  if (found == aRows.end()) {
    return aExpected.owner_.Empty() && aExpected.token_ == 0;
  }
  return found->second == aExpected;
}

ShardRow
CurrentRow(const std::map<std::uint32_t, ShardRow>& aRows, const ShardId& aShard)
{
  const auto found = aRows.find(aShard.index_);
  if (found != aRows.end()) {
    return found->second;
  }
  ShardRow absent;
  absent.shard_ = aShard;
  return absent;
}

} // namespace

ShardRowStore::ShardRowStore(Store& aStore, OnCommitted aOnCommitted)
  : store_(aStore)
  , onCommitted_(std::move(aOnCommitted))
{
}

void
ShardRowStore::Commit(const CommitRow& aCommit)
{
  const std::string key = ChunkKey(aCommit.next_.shard_);
  chunks_[key].queued_.push_back(aCommit);
  StartNextWrite(key);
}

void
ShardRowStore::Load(OnLoaded aDone)
{
  store_.Range(std::string(kShardPrefix),
               false,
               [this, done = std::move(aDone)](const StoreResult<StoreRange>& aResult) {
                 if (!aResult) {
                   done(tl::unexpected(aResult.error()));
                   return;
                 }
                 std::vector<ShardRow> rows;
                 for (const StoreEntry& entry : aResult->entries_) {
                   const auto service = ServiceOfChunk(entry.key_);
                   const auto decoded =
                     service ? DecodeChunk(*service, entry.value_) : std::nullopt;
                   if (!decoded) {
                     continue;
                   }
                   for (const auto& [index, row] : *decoded) {
                     rows.push_back(row);
                   }
                   Chunk& chunk = chunks_[entry.key_];
                   if (!chunk.busy_) {
                     UpdateCache(chunk, entry);
                   }
                 }
                 done(std::move(rows));
               });
}

void
ShardRowStore::StartNextWrite(const std::string& aKey)
{
  Chunk& chunk = chunks_[aKey];
  if (chunk.busy_ || chunk.queued_.empty()) {
    return;
  }
  chunk.busy_ = true;
  chunk.writing_ = std::exchange(chunk.queued_, {});
  if (chunk.cached_) {
    Write(aKey, false);
  } else {
    ReadThenWrite(aKey);
  }
}

void
ShardRowStore::ReadThenWrite(const std::string& aKey)
{
  store_.Range(aKey, true, [this, aKey](const StoreResult<StoreRange>& aResult) {
    if (!aResult) {
      FailWrite(aKey, CommitOutcome::Unavailable);
      return;
    }
    Chunk& chunk = chunks_[aKey];
    chunk.cached_ = true;
    chunk.modRevision_ = 0;
    chunk.rows_.clear();
    for (const StoreEntry& entry : aResult->entries_) {
      UpdateCache(chunk, entry);
    }
    if (!chunk.cached_) {
      LogLine(LogLevel::Error, "chunk_malformed").With("key", aKey);
      FailWrite(aKey, CommitOutcome::Unavailable);
      return;
    }
    Write(aKey, true);
  });
}

void
ShardRowStore::Write(const std::string& aKey, bool aFreshlyRead)
{
  Chunk& chunk = chunks_[aKey];
  auto rows = chunk.rows_;
  std::vector<CommitRow> applied;
  std::vector<CommitRow> conflicts;
  for (const CommitRow& commit : chunk.writing_) {
    const bool matches = Matches(rows, commit.expected_);
    if (matches) {
      rows[commit.next_.shard_.index_] = commit.next_;
    }
    (matches ? applied : conflicts).push_back(commit);
  }
  if (!conflicts.empty() && !aFreshlyRead) {
    // The cache may be stale.
    ReadThenWrite(aKey);
    return;
  }
  chunk.writing_ = std::move(applied);
  chunk.busy_ = !chunk.writing_.empty();
  const bool nothingToWrite = !chunk.busy_;
  const auto current = chunk.rows_;
  for (const CommitRow& commit : conflicts) {
    onCommitted_(
      commit.operation_, CommitOutcome::Conflict, CurrentRow(current, commit.next_.shard_));
  }
  if (nothingToWrite) {
    StartNextWrite(aKey);
    return;
  }
  StoreTransaction transaction;
  transaction.compares_.push_back({ aKey, chunk.modRevision_ });
  transaction.writes_.push_back({ aKey, EncodeChunk(rows), 0 });
  store_.Commit(
    std::move(transaction),
    [this, aKey, rows = std::move(rows)](const StoreResult<StoreTransactionResult>& aResult) {
      FinishWrite(aKey, rows, aResult);
    });
}

void
ShardRowStore::FinishWrite(const std::string& aKey,
                           std::map<std::uint32_t, ShardRow> aRows,
                           const StoreResult<StoreTransactionResult>& aResult)
{
  Chunk& chunk = chunks_[aKey];
  if (!aResult) {
    const bool unknown = aResult.error().kind_ == StoreErrorKind::OutcomeUnknown;
    FailWrite(aKey, unknown ? CommitOutcome::Unknown : CommitOutcome::Unavailable);
    return;
  }
  if (!aResult->succeeded_) {
    // Another instance changed the chunk, possibly in other rows; compare with a fresh read.
    ReadThenWrite(aKey);
    return;
  }
  chunk.rows_ = std::move(aRows);
  chunk.modRevision_ = aResult->revision_;
  chunk.busy_ = false;
  const std::vector<CommitRow> written = std::exchange(chunk.writing_, {});
  for (const CommitRow& commit : written) {
    onCommitted_(commit.operation_, CommitOutcome::Success, commit.next_);
  }
  StartNextWrite(aKey);
}

void
ShardRowStore::FailWrite(const std::string& aKey, CommitOutcome aOutcome)
{
  Chunk& chunk = chunks_[aKey];
  chunk.cached_ = false;
  chunk.busy_ = false;
  const std::vector<CommitRow> failed = std::exchange(chunk.writing_, {});
  for (const CommitRow& commit : failed) {
    onCommitted_(commit.operation_, aOutcome, ShardRow{});
  }
  StartNextWrite(aKey);
}

void
ShardRowStore::UpdateCache(Chunk& aChunk, const StoreEntry& aEntry)
{
  const auto service = ServiceOfChunk(aEntry.key_);
  auto rows = service ? DecodeChunk(*service, aEntry.value_) : std::nullopt;
  aChunk.cached_ = rows.has_value();
  if (rows) {
    aChunk.rows_ = std::move(*rows);
    aChunk.modRevision_ = aEntry.modRevision_;
  }
}

} // namespace redwing
