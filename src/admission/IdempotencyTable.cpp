#include "admission/IdempotencyTable.hpp"

#include <utility>

namespace redwing {

namespace {

std::size_t
SizeOf(const StoredResponse& aResponse)
{
  std::size_t size = aResponse.body_.size();
  for (const auto& header : aResponse.headers_) {
    size += header.name_.size() + header.value_.size();
  }
  return size;
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
  if (entries_.size() >= limits_.entries_) {
    Expire(aNow);
    if (entries_.size() >= limits_.entries_) {
      return IdempotencyVerdict::Full;
    }
  }
  IdempotencyEntry entry{
    aKey, aFingerprint, IdempotencyState::Running, std::nullopt, aNow + limits_.expiry_
  };
  entries_.emplace(aKey, Slot{ std::move(entry), true });
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
  auto& slot = it->second;
  slot.runsHere_ = false;
  slot.entry_.state_ = aResponse ? IdempotencyState::Done : IdempotencyState::Unknown;
  slot.entry_.expiry_ = aNow + limits_.expiry_;
  Store(slot, std::move(aResponse));
  return &slot.entry_;
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
    // A late copy must not undo what is already known to have ended.
    const bool stale = it != entries_.end() && entry.state_ == IdempotencyState::Running;
    if (stale || (it != entries_.end() && it->second.runsHere_)) {
      continue;
    }
    auto& slot = entries_[entry.key_];
    DropResponse(slot.entry_);
    slot.entry_ = entry;
    slot.entry_.response_.reset();
    Store(slot, entry.response_);
  }
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
IdempotencyTable::Store(Slot& aSlot, std::optional<StoredResponse> aResponse)
{
  if (!aResponse || SizeOf(*aResponse) > limits_.responseBytesEach_) {
    return;
  }
  responseBytes_ += SizeOf(*aResponse);
  aSlot.entry_.response_ = std::move(aResponse);
  kept_.push_back(aSlot.entry_.key_);
  while (responseBytes_ > limits_.responseBytes_ && !kept_.empty()) {
    if (const auto oldest = entries_.find(kept_.front()); oldest != entries_.end()) {
      DropResponse(oldest->second.entry_);
    }
    kept_.pop_front();
  }
  // Removed entries leave their key behind in kept_; sweep when those prevail.
  if (kept_.size() > 2 * entries_.size() + 1) {
    std::erase_if(kept_, [this](const auto& aKey) { return !entries_.contains(aKey); });
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
  return entries_.erase(aIt);
}

} // namespace redwing
