#include "limits/UseHistory.hpp"

#include <algorithm>
#include <numeric>

namespace redwing {

UseHistory::UseHistory(Duration aWindow)
  : window_(aWindow)
{
}

void
UseHistory::Add(std::uint32_t aCount, TimePoint aNow)
{
  buckets_.erase(buckets_.begin(), buckets_.lower_bound(IndexOf(aNow - window_)));
  if (aCount > 0) {
    buckets_[IndexOf(aNow)] += aCount;
  }
}

double
UseHistory::CountWithin(TimePoint aNow, Duration aSpan) const
{
  return std::accumulate(buckets_.lower_bound(IndexOf(aNow - aSpan)),
                         buckets_.upper_bound(IndexOf(aNow)),
                         0.0,
                         [](double aSum, const auto& aBucket) { return aSum + aBucket.second; });
}

std::vector<std::uint32_t>
UseHistory::Export(TimePoint aNow) const
{
  const Index newest =
    buckets_.empty() ? IndexOf(aNow) : std::max(IndexOf(aNow), buckets_.rbegin()->first);
  std::vector<std::uint32_t> counts;
  for (auto bucket = buckets_.lower_bound(IndexOf(aNow - window_)); bucket != buckets_.end();
       ++bucket) {
    const auto age = static_cast<std::size_t>(newest - bucket->first);
    if (counts.size() <= age) {
      counts.resize(age + 1);
    }
    counts[age] += bucket->second;
  }
  return counts;
}

void
UseHistory::Import(std::span<const std::uint32_t> aCounts, Duration aAge, TimePoint aNow)
{
  Index index = IndexOf(aNow - aAge);
  for (const std::uint32_t count : aCounts) {
    if (count > 0) {
      buckets_[index] += count;
    }
    --index;
  }
}

} // namespace redwing
