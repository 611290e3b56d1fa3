#include "fleet/RolloutUsage.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace redwing {

namespace {

using std::chrono::milliseconds;

/// Time over which the rate of requests is measured; some reports of each instance.
constexpr milliseconds kRateTime{ 2500 };
/// Longest time between two reports whose difference is judged as of that time: two intervals.
constexpr milliseconds kReportGap{ 1000 };

std::uint64_t
SaturatedAdd(std::uint64_t aLeft, std::uint64_t aRight)
{
  const std::uint64_t most = std::numeric_limits<std::uint64_t>::max();
  return aRight > most - aLeft ? most : aLeft + aRight;
}

std::uint64_t
SaturatedSubtract(std::uint64_t aLeft, std::uint64_t aRight)
{
  return aLeft > aRight ? aLeft - aRight : 0;
}

const RouteCounts*
FindRoute(const ServerCounts& aCounts, const std::string& aRoute)
{
  const auto found =
    std::find_if(aCounts.routes_.begin(), aCounts.routes_.end(), [&](const RouteCounts& aEntry) {
      return aEntry.route_ == aRoute;
    });
  return found == aCounts.routes_.end() ? nullptr : &*found;
}

/// Returns whether aCounts were taken before aLater, of the same process and version. Arrivals do
/// not tell, because a request of which nothing was written is taken back.
bool
IsOlder(const ServerCounts& aCounts, const ServerCounts& aLater)
{
  return std::any_of(aLater.routes_.begin(), aLater.routes_.end(), [&](const RouteCounts& aRoute) {
    const RouteCounts* counts = FindRoute(aCounts, aRoute.route_);
    return counts == nullptr || counts->requests_ < aRoute.requests_ ||
           counts->failures_ < aRoute.failures_;
  });
}

/// Returns aCounts less aBefore, which may be null.
RouteCounts
Difference(const RouteCounts& aCounts, const RouteCounts* aBefore)
{
  if (aBefore == nullptr) {
    return aCounts;
  }
  RouteCounts difference = aCounts;
  difference.requests_ -= aBefore->requests_;
  difference.failures_ -= aBefore->failures_;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    const std::uint32_t before = aBefore->latencies_.at(i);
    difference.latencies_.at(i) -= std::min(before, difference.latencies_.at(i));
  }
  return difference;
}

} // namespace

void
RolloutUsage::OnReport(const RolloutReport& aReport, TimePoint aNow, const Sink& aSink)
{
  const ServerCounts& counts = aReport.counts_;
  const auto [found, first] = entries_.try_emplace(aReport.instanceId_);
  Entry& entry = found->second;
  const bool earlier = aNow - (first ? countedFrom_ : entry.reportedAt_) > kReportGap;
  if (!first && entry.incarnation_ > aReport.incarnation_) {
    // A report of an ended process that was delayed.
    return;
  }
  if (!first && entry.incarnation_ != aReport.incarnation_) {
    Charge(entry);
    entry = {};
  } else if (!first) {
    const bool same = entry.counts_.version_ == counts.version_;
    const auto other = entry.otherVersions_.find(counts.version_);
    const bool known = same || other != entry.otherVersions_.end();
    if (known && IsOlder(counts, same ? entry.counts_ : other->second)) {
      return;
    }
    if (!same) {
      SwitchVersion(entry, counts.version_);
    }
  }
  // Its counts tell what the server got while it was thought to be gone.
  targetRequests_ -= std::exchange(entry.charged_, 0);
  const std::uint64_t before = entry.counts_.arrivals_;
  const std::uint64_t arrived = SaturatedSubtract(counts.arrivals_, before);
  const std::uint64_t takenBack = SaturatedSubtract(before, counts.arrivals_);
  serviceRequests_ += arrived;
  serviceRequests_ -= takenBack;
  if (counts.version_ == targetVersion_) {
    targetRequests_ += arrived;
    targetRequests_ -= takenBack;
  }
  if (!first) {
    followed_ += arrived;
  }
  recent_.emplace_back(aNow, followed_);
  while (recent_.size() > 1 && recent_.front().first < aNow - kRateTime) {
    recent_.pop_front();
  }
  AddRoutes(counts, entry.counts_, earlier, aSink);
  entry.incarnation_ = aReport.incarnation_;
  entry.counts_ = counts;
  entry.reportedAt_ = aNow;
  entry.present_ = true;
}

void
RolloutUsage::SwitchVersion(Entry& aEntry, const std::string& aVersion)
{
  Charge(aEntry);
  Entry next;
  next.incarnation_ = aEntry.incarnation_;
  next.otherVersions_ = std::move(aEntry.otherVersions_);
  next.reportedAt_ = aEntry.reportedAt_;
  next.otherVersions_[aEntry.counts_.version_] = std::move(aEntry.counts_);
  if (const auto known = next.otherVersions_.extract(aVersion)) {
    next.counts_ = std::move(known.mapped());
  }
  aEntry = std::move(next);
}

void
RolloutUsage::AddRoutes(const ServerCounts& aCounts,
                        const ServerCounts& aBefore,
                        bool aEarlier,
                        const Sink& aSink)
{
  const RolloutSide side =
    aCounts.version_ == targetVersion_ ? RolloutSide::Target : RolloutSide::Old;
  for (const RouteCounts& route : aCounts.routes_) {
    const RouteCounts delta = Difference(route, FindRoute(aBefore, route.route_));
    if (delta.requests_ == 0 && delta.failures_ == 0) {
      continue;
    }
    RouteCounts& total = routes_[{ side, route.route_ }];
    total.route_ = route.route_;
    total.requests_ += delta.requests_;
    total.failures_ += delta.failures_;
    for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
      total.latencies_.at(i) += delta.latencies_.at(i);
    }
    aSink(side, delta, aEarlier);
  }
}

void
RolloutUsage::Charge(Entry& aEntry)
{
  if (aEntry.charged_ > 0 || !aEntry.bounded_ || aEntry.permittedUntil_ <= aEntry.reportedAt_) {
    return;
  }
  const std::uint64_t most = std::numeric_limits<std::uint64_t>::max() - targetRequests_;
  aEntry.charged_ = std::min(most, SaturatedSubtract(aEntry.limit_, aEntry.counts_.arrivals_));
  targetRequests_ += aEntry.charged_;
}

void
RolloutUsage::Keep(const std::set<std::string>& aMembers)
{
  for (auto& [id, entry] : entries_) {
    if (entry.present_ && !aMembers.contains(id)) {
      // A member record outlasts the permissions of a server that is lost, so that they have ended.
      Charge(entry);
      entry.present_ = false;
    }
  }
}

std::uint64_t
RolloutUsage::Permit(const std::string& aInstanceId,
                     std::uint64_t aTotal,
                     std::size_t aServers,
                     bool aBounded,
                     TimePoint aUntil,
                     TimePoint aNow)
{
  // Requests that other servers may get by permissions that still run count as if they had come.
  std::uint64_t others = 0;
  for (const auto& [id, entry] : entries_) {
    if (id != aInstanceId && entry.present_ && aNow < entry.permittedUntil_) {
      others = SaturatedAdd(others, SaturatedSubtract(entry.limit_, entry.counts_.arrivals_));
    }
  }
  Entry& entry = entries_.at(aInstanceId);
  const std::uint64_t left = SaturatedSubtract(aTotal, targetRequests_);
  const std::uint64_t part = std::min(left / aServers, SaturatedSubtract(left, others));
  const std::uint64_t limit = SaturatedAdd(entry.counts_.arrivals_, part);
  // The reply may be lost, so that an earlier permission goes on.
  const bool running = aNow < entry.permittedUntil_;
  entry.limit_ = running ? std::max(entry.limit_, limit) : limit;
  entry.permittedUntil_ = std::max(entry.permittedUntil_, aUntil);
  entry.bounded_ = aBounded;
  return limit;
}

void
RolloutUsage::Reopen()
{
  for (auto& [id, entry] : entries_) {
    entry.counts_.closed_ = false;
  }
}

const RolloutUsage::Entry*
RolloutUsage::Find(const std::string& aInstanceId) const
{
  const auto found = entries_.find(aInstanceId);
  return found == entries_.end() || !found->second.present_ ? nullptr : &found->second;
}

double
RolloutUsage::RequestsPerSecond(TimePoint aNow) const
{
  if (recent_.empty()) {
    return 0;
  }
  const double seconds = std::chrono::duration<double>(aNow - recent_.front().first).count();
  return seconds > 0 ? static_cast<double>(followed_ - recent_.front().second) / seconds : 0;
}

} // namespace redwing
