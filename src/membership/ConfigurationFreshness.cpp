#include "membership/ConfigurationFreshness.hpp"

#include <algorithm>

namespace redwing {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kRememberedRevisions = 8;

} // namespace

ConfigurationFreshness::ConfigurationFreshness(Duration aMaxAge)
  : maxAge_(aMaxAge)
{
}

void
ConfigurationFreshness::OnOwnCall(std::string_view aDataCentre,
                                  std::uint64_t aRevision,
                                  bool aStoreReachable,
                                  TimePoint aSentAt)
{
  Record(aDataCentre, { aRevision, aStoreReachable, aSentAt });
}

void
ConfigurationFreshness::Merge(std::span<const WatcherReport> aReports, TimePoint aNow)
{
  for (const WatcherReport& report : aReports) {
    const TimePoint at = aNow - milliseconds(report.ageMs_);
    Record(report.dataCentre_, { report.revision_, report.storeReachable_, at });
  }
}

std::vector<WatcherReport>
ConfigurationFreshness::Reports(TimePoint aNow) const
{
  std::vector<WatcherReport> reports;
  const Entry* youngest = nullptr;
  std::string_view youngestDataCentre;
  for (const auto& [dataCentre, entry] : entries_) {
    if (aNow - entry.at_ > maxAge_) {
      continue;
    }
    if (!entry.storeReachable_) {
      reports.push_back(ToReport(dataCentre, entry, aNow));
    } else if (youngest == nullptr || entry.at_ > youngest->at_) {
      youngest = &entry;
      youngestDataCentre = dataCentre;
    }
  }
  if (youngest != nullptr) {
    reports.push_back(ToReport(youngestDataCentre, *youngest, aNow));
  }
  return reports;
}

WatcherReport
ConfigurationFreshness::ToReport(std::string_view aDataCentre, const Entry& aEntry, TimePoint aNow)
{
  const Duration age = std::max(aNow - aEntry.at_, Duration(0));
  const auto ageMs = std::chrono::ceil<milliseconds>(age).count();
  return { std::string(aDataCentre),
           aEntry.revision_,
           aEntry.storeReachable_,
           static_cast<std::uint32_t>(ageMs) };
}

bool
ConfigurationFreshness::IsCurrent(std::uint64_t aRevision,
                                  std::size_t aDataCentres,
                                  TimePoint aNow) const
{
  // A revision at least as high as one that was the newest a moment ago is as new as that moment.
  const auto end = confirmed_.upper_bound(aRevision);
  const bool confirmed = std::any_of(
    confirmed_.begin(), end, [&](const auto& aEntry) { return aNow - aEntry.second <= maxAge_; });
  if (confirmed) {
    return true;
  }
  if (aRevision == 0 || aRevision < highestRevision_) {
    return false;
  }
  std::size_t unreachable = 0;
  for (const auto& [dataCentre, entry] : entries_) {
    if (aNow - entry.at_ <= maxAge_ && !entry.storeReachable_) {
      ++unreachable;
    }
  }
  return 2 * unreachable > aDataCentres;
}

void
ConfigurationFreshness::Record(std::string_view aDataCentre, const Entry& aEntry)
{
  highestRevision_ = std::max(highestRevision_, aEntry.revision_);
  if (aEntry.storeReachable_ && aEntry.revision_ != 0) {
    TimePoint& at = confirmed_[aEntry.revision_];
    at = std::max(at, aEntry.at_);
    if (confirmed_.size() > kRememberedRevisions) {
      confirmed_.erase(confirmed_.begin());
    }
  }
  const auto [place, inserted] = entries_.try_emplace(std::string(aDataCentre), aEntry);
  // A read that the store answered before a write, but that was sent after it, must not hide that
  // the write confirmed its revision.
  const bool overtaken = aEntry.storeReachable_ && place->second.storeReachable_ &&
                         aEntry.revision_ < place->second.revision_;
  if (!inserted && !overtaken && aEntry.at_ > place->second.at_) {
    place->second = aEntry;
  }
}

} // namespace redwing
