#include "admission/IdempotencyTable.hpp"

#include <utility>

namespace redwing {

namespace {

/// A full table is not searched for expired entries at every request, which would let a flood of
/// new keys take the processor.
constexpr Duration kSweepInterval = std::chrono::seconds(1);

std::size_t
SizeOf(const StoredResponse& aResponse)
{
  std::size_t size = aResponse.body_.size();
  for (const auto& header : aResponse.headers_) {
    size += header.name_.size() + header.value_.size();
  }
  return size;
}

/// Bytes of an entry without its response. The key stands in the map, in the entry and, at most
/// twice, in the order of responses.
std::size_t
SizeOf(const IdempotencyKey& aKey)
{
  constexpr std::size_t kNodes = 512;
  constexpr std::size_t kCopies = 4;
  return kNodes +
         kCopies * (aKey.shard_.service_.size() + aKey.workspace_.size() + aKey.key_.size());
}

} // namespace

IdempotencyTable::IdempotencyTable(IdempotencyLimits aLimits)
  : limits_(aLimits)
{
}

IdempotencyVerdict
IdempotencyTable::Begin(const IdempotencyKey& aKey, std::uint64_t aFingerprint, TimePoint aNow)
{
  auto it = entries_.find(aKey);
  if (it != entries_.end() && it->second.entry_.expiry_ <= aNow && !it->second.runsHere_) {
    Erase(it);
    it = entries_.end();
  }
  if (it != entries_.end()) {
    const auto& entry = it->second.entry_;
    if (entry.fingerprint_ != aFingerprint) {
      return IdempotencyVerdict::Conflict;
    }
    if (it->second.runsHere_) {
      return IdempotencyVerdict::InFlight;
    }
    return entry.response_ ? IdempotencyVerdict::Replay : IdempotencyVerdict::Unknown;
  }
  const std::size_t bytes = SizeOf(aKey);
  if (IsFull(bytes) && aNow >= nextSweep_) {
    nextSweep_ = aNow + kSweepInterval;
    Expire(aNow);
  }
  if (IsFull(bytes)) {
    return IdempotencyVerdict::Full;
  }
  IdempotencyEntry entry{
    aKey, aFingerprint, IdempotencyState::Running, std::nullopt, aNow + limits_.expiry_
  };
  entries_.emplace(aKey, TableEntry{ std::move(entry), true });
  entryBytes_ += bytes;
  return IdempotencyVerdict::New;
}

const IdempotencyEntry*
IdempotencyTable::Find(const IdempotencyKey& aKey) const
{
  const auto it = entries_.find(aKey);
  return it == entries_.end() ? nullptr : &it->second.entry_;
}

const IdempotencyEntry*
IdempotencyTable::Complete(const IdempotencyKey& aKey,
                           std::optional<StoredResponse> aResponse,
                           TimePoint aNow)
{
  const auto it = entries_.find(aKey);
  if (it == entries_.end()) {
    return nullptr;
  }
  auto& tableEntry = it->second;
  tableEntry.runsHere_ = false;
  tableEntry.entry_.state_ = aResponse ? IdempotencyState::Done : IdempotencyState::Unknown;
  tableEntry.entry_.expiry_ = aNow + limits_.expiry_;
  Store(tableEntry, std::move(aResponse));
  return &tableEntry.entry_;
}

IdempotencyEntry
IdempotencyTable::Abandon(const IdempotencyKey& aKey)
{
  if (const auto it = entries_.find(aKey); it != entries_.end()) {
    Erase(it);
  }
  IdempotencyEntry entry;
  entry.key_ = aKey;
  entry.state_ = IdempotencyState::Abandoned;
  return entry;
}

std::vector<IdempotencyEntry>
IdempotencyTable::Export(const ShardId& aShard) const
{
  std::vector<IdempotencyEntry> entries;
  for (auto it = entries_.lower_bound(IdempotencyKey{ aShard, {}, {} });
       it != entries_.end() && it->first.shard_ == aShard;
       ++it) {
    entries.push_back(it->second.entry_);
  }
  return entries;
}

void
IdempotencyTable::Import(std::span<const IdempotencyEntry> aEntries)
{
  for (const auto& entry : aEntries) {
    const auto it = entries_.find(entry.key_);
    if (entry.state_ == IdempotencyState::Abandoned) {
      if (it != entries_.end() && !it->second.runsHere_) {
        Erase(it);
      }
      continue;
    }
    // A delayed copy must not overwrite the record of a request that has ended.
    const bool stale = it != entries_.end() && entry.state_ == IdempotencyState::Running;
    if (stale || (it != entries_.end() && it->second.runsHere_)) {
      continue;
    }
    if (it == entries_.end()) {
      entryBytes_ += SizeOf(entry.key_);
    }
    auto& tableEntry = entries_[entry.key_];
    DropResponse(tableEntry.entry_);
    tableEntry.entry_ = entry;
    tableEntry.entry_.response_.reset();
    Store(tableEntry, entry.response_);
  }
}

bool
IdempotencyTable::IsFull(std::size_t aBytes) const
{
  return entries_.size() >= limits_.entries_ || entryBytes_ + aBytes > limits_.entryBytes_;
}

void
IdempotencyTable::Expire(TimePoint aNow)
{
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool expired = it->second.entry_.expiry_ <= aNow && !it->second.runsHere_;
    it = expired ? Erase(it) : std::next(it);
  }
}

void
IdempotencyTable::Store(TableEntry& aTableEntry, std::optional<StoredResponse> aResponse)
{
  if (!aResponse || SizeOf(*aResponse) > limits_.bytesPerResponse_) {
    return;
  }
  responseBytes_ += SizeOf(*aResponse);
  aTableEntry.entry_.response_ = std::move(aResponse);
  responseOrder_.push_back(aTableEntry.entry_.key_);
  while (responseBytes_ > limits_.responseBytes_ && !responseOrder_.empty()) {
    if (const auto oldest = entries_.find(responseOrder_.front()); oldest != entries_.end()) {
      DropResponse(oldest->second.entry_);
    }
    responseOrder_.pop_front();
  }
  // Erase leaves the keys of removed entries in responseOrder_. They are removed once they may
  // outnumber the entries.
  if (responseOrder_.size() > 2 * entries_.size() + 1) {
    std::erase_if(responseOrder_, [this](const auto& aKey) { return !entries_.contains(aKey); });
  }
}

void
IdempotencyTable::DropResponse(IdempotencyEntry& aEntry)
{
  if (aEntry.response_) {
    responseBytes_ -= SizeOf(*aEntry.response_);
    aEntry.response_.reset();
  }
}

IdempotencyTable::Entries::iterator
IdempotencyTable::Erase(Entries::iterator aIt)
{
  DropResponse(aIt->second.entry_);
  entryBytes_ -= SizeOf(aIt->first);
  return entries_.erase(aIt);
}

} // namespace redwing
