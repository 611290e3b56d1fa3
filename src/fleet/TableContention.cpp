#include "fleet/TableContention.hpp"

#include <algorithm>

namespace redwing {

TableContention::TableContention(const Clock& aClock,
                                 std::uint64_t aSeed,
                                 TableContentionSettings aSettings)
  : clock_(aClock)
  , random_(aSeed)
  , settings_(aSettings)
{
}

bool
TableContention::MayWrite(const std::string& aService) const
{
  const auto found = conflicts_.find(aService);
  return found == conflicts_.end() || clock_.Now() >= found->second.notBefore_;
}

TimePoint
TableContention::WithinWritesOf(std::size_t aWriters)
{
  const Duration longest = std::min<Duration>(
    settings_.writeTime_ * static_cast<std::int64_t>(aWriters), settings_.longestDelay_);
  const auto delay = random_.Below(std::max<std::int64_t>(1, longest.count()));
  return clock_.Now() + Duration(static_cast<Duration::rep>(delay));
}

void
TableContention::Spread(const std::string& aService, std::size_t aWriters)
{
  conflicts_[aService].notBefore_ = WithinWritesOf(aWriters);
}

bool
TableContention::OnConflict(const std::string& aService, std::uint64_t aBase, std::size_t aWriters)
{
  Conflicts& conflicts = conflicts_[aService];
  const bool unchanged = conflicts.inARow_ > 0 && conflicts.base_ == aBase;
  constexpr unsigned kMostDoublings = 3;
  conflicts.notBefore_ = WithinWritesOf(aWriters << std::min(conflicts.inARow_, kMostDoublings));
  conflicts.base_ = aBase;
  ++conflicts.inARow_;
  return unchanged;
}

void
TableContention::OnWritten(const std::string& aService)
{
  conflicts_.erase(aService);
}

} // namespace redwing
