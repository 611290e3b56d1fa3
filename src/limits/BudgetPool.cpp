#include "limits/BudgetPool.hpp"

#include <algorithm>

namespace redwing {

namespace {

/// Part of an allowance that may be granted beyond the last record, and the minimum in requests.
constexpr double kUnrecordedShare = 0.1;
constexpr double kMinUnrecorded = 5;
/// Longest time from the admission of a request until the report that counts it.
constexpr std::chrono::milliseconds kRecordDelay{ 600 };
/// Time that the store needs to write a record.
constexpr std::chrono::milliseconds kStoreDelay{ 200 };
/// Greatest age of the last record at which a successor may assume that the earlier pool could
/// write records until it ended. With an older record, the earlier pool may have gone on granting
/// while the store was unreachable.
constexpr std::chrono::milliseconds kMaxRecordAgeAtRestart{ 3000 };

} // namespace

BudgetPool::BudgetPool(WindowBudgetSettings aSettings)
  : settings_(aSettings)
  , history_(aSettings.window_)
  , inherited_(aSettings.window_)
{
}

void
BudgetPool::Inherit(const PoolRecord& aRecord, std::optional<Duration> aAge, TimePoint aNow)
{
  inherits_ = true;
  inheritedLimit_ = aRecord.limit_;
  inheritedUntil_ = aNow + settings_.grantLifetime_;
  inheritedLostUse_ = aRecord.lostUse_;
  inheritedLostUseExpiry_ = aNow - aAge.value_or(Duration::zero()) + settings_.window_;
  if (!aAge || *aAge >= settings_.window_) {
    return;
  }
  inherited_.Import(aRecord.history_, *aAge, aNow);
  if (*aAge <= kMaxRecordAgeAtRestart) {
    recordedUntil_ = aNow - *aAge + kRecordInterval + kStoreDelay;
  }
}

void
BudgetPool::EndInheritance(TimePoint aUntil)
{
  inheritedUntil_ = std::min(inheritedUntil_, aUntil);
}

double
BudgetPool::LostUse(TimePoint aNow) const
{
  return LostUseWithPool(aNow) + (aNow < inheritedLostUseExpiry_ ? inheritedLostUse_ : 0);
}

double
BudgetPool::LostUseWithPool(TimePoint aNow) const
{
  if (!inherits_ || aNow >= inheritedUntil_ + settings_.window_) {
    return 0;
  }
  const TimePoint end = std::min(inheritedUntil_, recordedUntil_);
  double inWindow = inheritedLimit_;
  if (aNow > end) {
    // Requests missing from the record were admitted after it. Together with the recorded requests
    // of the window that ended then, they were at most the limit. Requests are recorded up to
    // kRecordDelay after their admission, so the oldest counts may belong to requests admitted
    // before that window and are left out.
    const double unrecorded =
      aNow < end + settings_.window_
        ? inheritedLimit_ - inherited_.CountWithin(end, settings_.window_ - kRecordDelay)
        : 0;
    inWindow = std::min(
      inWindow, inherited_.CountWithin(aNow, settings_.window_) + std::max(0.0, unrecorded));
  }
  return std::clamp(inheritedLimit_ - heldBySurvivors_, 0.0, inWindow);
}

BudgetPool::Entry&
BudgetPool::EntryOf(const std::string& aInstanceId, std::uint64_t aIncarnation, TimePoint aNow)
{
  const auto [entry, isNew] = entries_.try_emplace({ aInstanceId, aIncarnation });
  if (isNew) {
    // Earlier processes of the instance have ended. Their use counts for one more window.
    const auto first = entries_.lower_bound({ aInstanceId, 0 });
    for (auto other = first; other != entries_.end() && other->first.first == aInstanceId;
         ++other) {
      other->second.expiresAt_ = std::min(other->second.expiresAt_, aNow + settings_.window_);
    }
  }
  return entry->second;
}

void
BudgetPool::UpdateEntry(Entry& aEntry, const BudgetUse& aUse, TimePoint aNow)
{
  const bool first = aEntry.reportedAt_ == TimePoint{};
  if (first) {
    heldBySurvivors_ += aNow <= inheritedUntil_ ? aUse.held_ : 0;
    history_.Import(aUse.history_, Duration::zero(), aNow);
  } else if (aNow - aEntry.reportedAt_ <= kRecordDelay) {
    // After a longer gap, the requests may be old and must not be counted as recent.
    history_.Add(static_cast<std::uint32_t>(aUse.admitted_ - aEntry.admitted_), aNow);
  }
  aEntry = { aUse.committed_,
             aUse.wanted_,
             aUse.admitted_,
             aNow,
             aNow + settings_.window_ + settings_.grantLifetime_ };
}

double
BudgetPool::UnrecordedAllowance(double aAllowance) const
{
  return std::max(kMinUnrecorded, kUnrecordedShare * aAllowance);
}

bool
BudgetPool::NeedsRecord(double aAllowance) const
{
  return limit_ < aAllowance && liveUse_ > limit_ - UnrecordedAllowance(aAllowance) / 2;
}

PoolRecord
BudgetPool::MakeRecord(double aAllowance, TimePoint aNow)
{
  PoolRecord record{ std::min(aAllowance, liveUse_ + UnrecordedAllowance(aAllowance)),
                     std::min(aAllowance, LostUse(aNow)),
                     history_.Export(aNow) };
  // A lower limit applies at once, a higher one only after the record is stored.
  limit_ = std::min(limit_, record.limit_);
  return record;
}

double
BudgetPool::OnReport(const std::string& aInstanceId,
                     std::uint64_t aIncarnation,
                     const BudgetUse& aUse,
                     double aAllowance,
                     std::size_t aInstances,
                     std::size_t aDisconnected,
                     TimePoint aNow)
{
  std::erase_if(entries_, [&](const auto& aEntry) { return aNow > aEntry.second.expiresAt_; });
  Entry& own = EntryOf(aInstanceId, aIncarnation, aNow);
  UpdateEntry(own, aUse, aNow);
  double counted = 0;
  double wanted = 0;
  for (const auto& [process, other] : entries_) {
    counted += other.counted_;
    wanted += other.wanted_;
  }
  const double equalShare = aAllowance / static_cast<double>(aInstances);
  const std::size_t known = std::min(aInstances, aDisconnected + entries_.size());
  const double assumed =
    static_cast<double>(aDisconnected) * equalShare * settings_.fallbackShare_ +
    static_cast<double>(aInstances - known) * settings_.GuaranteedMinimum(aAllowance, aInstances);
  liveUse_ = counted + assumed;
  const double available = std::min(aAllowance - LostUse(aNow), limit_) - liveUse_;
  if (available <= 0 || wanted <= 0) {
    return 0;
  }
  // Divides the rest in proportion to demand, but grants at least one whole request if possible.
  const double extra =
    std::min({ aUse.wanted_, available, std::max(1.0, available * aUse.wanted_ / wanted) });
  own.counted_ += extra;
  own.wanted_ -= extra;
  liveUse_ += extra;
  return extra;
}

} // namespace redwing
