#include "ownership/OwnershipTable.hpp"

namespace redwing {

GateAnswer
OwnershipTable::Answer(const Entry& aEntry, TimePoint aNow) const
{
  GateAnswer answer;
  answer.owned_ = aEntry.owned_ && !aEntry.releasing_ && aNow < LeaseDeadline();
  answer.token_ = aEntry.token_;
  answer.releasing_ = aEntry.releasing_;
  answer.owner_ = aEntry.owner_;
  return answer;
}

GateAnswer
OwnershipTable::Check(const ShardId& aShard, TimePoint aNow) const
{
  std::lock_guard lock(mutex_);
  const auto it = entries_.find(aShard);
  return it == entries_.end() ? GateAnswer{} : Answer(it->second, aNow);
}

GateAnswer
OwnershipTable::BeginRequest(const ShardId& aShard, TimePoint aNow)
{
  std::lock_guard lock(mutex_);
  const auto it = entries_.find(aShard);
  if (it == entries_.end()) {
    return {};
  }
  GateAnswer answer = Answer(it->second, aNow);
  if (answer.owned_) {
    ++it->second.running_;
  }
  return answer;
}

void
OwnershipTable::EndRequest(const ShardId& aShard)
{
  std::lock_guard lock(mutex_);
  const auto it = entries_.find(aShard);
  if (it != entries_.end() && it->second.running_ > 0) {
    --it->second.running_;
  }
}

void
OwnershipTable::SetLeaseDeadline(TimePoint aDeadline)
{
  leaseDeadline_.store(aDeadline.time_since_epoch().count(), std::memory_order_release);
}

TimePoint
OwnershipTable::LeaseDeadline() const
{
  return TimePoint(Duration(leaseDeadline_.load(std::memory_order_acquire)));
}

void
OwnershipTable::Gain(const ShardRow& aRow)
{
  std::lock_guard lock(mutex_);
  Entry& entry = entries_[aRow.shard_];
  entry.owned_ = true;
  entry.releasing_ = false;
  entry.token_ = aRow.token_;
  entry.owner_ = aRow.owner_;
}

void
OwnershipTable::Lose(const ShardId& aShard)
{
  std::lock_guard lock(mutex_);
  Entry& entry = entries_[aShard];
  entry.owned_ = false;
  entry.releasing_ = false;
}

void
OwnershipTable::SetReleasing(const ShardId& aShard, bool aReleasing)
{
  std::lock_guard lock(mutex_);
  entries_[aShard].releasing_ = aReleasing;
}

void
OwnershipTable::SetOwner(const ShardRow& aRow)
{
  std::lock_guard lock(mutex_);
  Entry& entry = entries_[aRow.shard_];
  if (!entry.owned_ && aRow.token_ >= entry.token_) {
    entry.token_ = aRow.token_;
    entry.owner_ = aRow.owner_;
  }
}

void
OwnershipTable::SetGranted(const ShardId& aShard, bool aGranted)
{
  std::lock_guard lock(mutex_);
  entries_[aShard].granted_ = aGranted;
}

bool
OwnershipTable::IsIdle(const ShardId& aShard) const
{
  std::lock_guard lock(mutex_);
  const auto it = entries_.find(aShard);
  return it == entries_.end() || (it->second.running_ == 0 && !it->second.granted_);
}

bool
OwnershipTable::IsReleasing(const ShardId& aShard) const
{
  std::lock_guard lock(mutex_);
  const auto it = entries_.find(aShard);
  return it != entries_.end() && it->second.releasing_;
}

std::uint32_t
OwnershipTable::Running(const ShardId& aShard) const
{
  std::lock_guard lock(mutex_);
  const auto it = entries_.find(aShard);
  return it == entries_.end() ? 0 : it->second.running_;
}

} // namespace redwing
