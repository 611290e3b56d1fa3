#include "ownership/TakeOverQueue.hpp"

namespace redwing {

TakeOverQueue::TakeOverQueue(const OwnershipSettings& aSettings, const GoneMembers& aGone)
  : settings_(aSettings)
  , gone_(aGone)
{
}

void
TakeOverQueue::Add(const std::vector<ShardRow>& aRows)
{
  for (const ShardRow& row : aRows) {
    if (!row.successor_.Empty()) {
      entries_[{ row.owner_, row.shard_ }] = Entry{ row, TimePoint{} };
    }
  }
}

void
TakeOverQueue::OnAck(const TakeOverAck& aAck)
{
  const auto it = entries_.find({ aAck.row_.owner_, aAck.row_.shard_ });
  if (it != entries_.end() && it->second.row_ == aAck.row_) {
    entries_.erase(it);
  }
}

bool
TakeOverQueue::Pending(const InstanceRef& aOwner) const
{
  const auto it = entries_.lower_bound({ aOwner, ShardId{} });
  return it != entries_.end() && it->first.first == aOwner;
}

void
TakeOverQueue::Tick(TimePoint aNow, Effects& aEffects)
{
  for (auto it = entries_.begin(); it != entries_.end();) {
    Entry& entry = it->second;
    if (gone_.IsGone(entry.row_.successor_, aNow)) {
      it = entries_.erase(it);
      continue;
    }
    if (entry.lastSent_ == TimePoint{} || aNow - entry.lastSent_ >= settings_.resend_) {
      entry.lastSent_ = aNow;
      aEffects.push_back(SendMessage{ entry.row_.successor_, TakeOver{ entry.row_ } });
    }
    ++it;
  }
}

} // namespace redwing
