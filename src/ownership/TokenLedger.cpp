#include "ownership/TokenLedger.hpp"

#include <algorithm>

namespace redwing {

void
TokenLedger::Take(const ShardId& aShard, std::uint64_t aToken)
{
  Entry& entry = entries_[aShard];
  entry.highest_ = std::max(entry.highest_, aToken);
  entry.taken_ = std::max(entry.taken_, aToken);
}

void
TokenLedger::Bar(const ShardId& aShard, std::uint64_t aToken)
{
  Entry& entry = entries_[aShard];
  entry.highest_ = std::max(entry.highest_, aToken);
}

bool
TokenLedger::MayTake(const ShardId& aShard, std::uint64_t aToken) const
{
  const auto it = entries_.find(aShard);
  return it == entries_.end() || aToken > it->second.highest_;
}

bool
TokenLedger::Promise(const ShardRow& aRow)
{
  Entry& entry = entries_[aRow.shard_];
  if (entry.taken_ > aRow.token_) {
    return false;
  }
  entry.highest_ = std::max(entry.highest_, aRow.token_ + 1);
  return true;
}

} // namespace redwing
