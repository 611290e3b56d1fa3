#include "ownership/ReleaseQueue.hpp"

namespace redwing {

ReleaseQueue::ReleaseQueue(const OwnershipSettings& aSettings)
  : settings_(aSettings)
{
}

void
ReleaseQueue::Add(const ShardRow& aRow)
{
  entries_[aRow.shard_] = Entry{ aRow, TimePoint{}, false };
}

bool
ReleaseQueue::OnAck(const ReleaseAck& aAck)
{
  const auto it = entries_.find(aAck.row_.shard_);
  if (it == entries_.end() || it->second.row_ != aAck.row_ || it->second.acknowledged_) {
    return false;
  }
  it->second.acknowledged_ = true;
  return true;
}

std::vector<ShardRow>
ReleaseQueue::Pending() const
{
  std::vector<ShardRow> rows;
  for (const auto& [shard, entry] : entries_) {
    rows.push_back(entry.row_);
  }
  return rows;
}

void
ReleaseQueue::Tick(TimePoint aNow, Effects& aEffects)
{
  for (auto& [shard, entry] : entries_) {
    if (entry.acknowledged_) {
      continue;
    }
    if (entry.lastSent_ == TimePoint{} || aNow - entry.lastSent_ >= settings_.resend_) {
      entry.lastSent_ = aNow;
      aEffects.push_back(SendMessage{ entry.row_.successor_, Release{ entry.row_ } });
    }
  }
}

} // namespace redwing
