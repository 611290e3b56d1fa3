#include "admission/QuarantineRegistry.hpp"

#include <algorithm>
#include <chrono>

namespace redwing {

namespace {

constexpr std::chrono::minutes kExpiry{ 10 };
/// Crashes within this time count as one if there are at least kCommonCrashes of them.
constexpr std::chrono::seconds kSameMoment{ 1 };
constexpr std::size_t kCommonCrashes = 3;
/// Bounds memory; beyond it the entries that expire first are evicted.
constexpr std::size_t kMaxEntries = 4096;

/// Returns the key of cleared_ for one request and crash.
std::string
ClearedId(const std::string& aCrashId, std::uint64_t aFingerprint)
{
  return aCrashId + '/' + std::to_string(aFingerprint);
}

struct CrashCount
{
  std::size_t crashes_ = 0;
  /// Some of them had a common cause.
  bool common_ = false;
};

CrashCount
CountCrashes(const std::map<std::string, TimePoint>& aCrashes)
{
  std::vector<TimePoint> times;
  times.reserve(aCrashes.size());
  for (const auto& [id, time] : aCrashes) {
    times.push_back(time);
  }
  std::sort(times.begin(), times.end());
  CrashCount count;
  for (auto first = times.begin(); first != times.end();) {
    const auto end = std::upper_bound(first, times.end(), *first + kSameMoment);
    const auto together = static_cast<std::size_t>(end - first);
    count.common_ = count.common_ || together >= kCommonCrashes;
    count.crashes_ += together >= kCommonCrashes ? 1 : together;
    first = end;
  }
  return count;
}

} // namespace

std::vector<QuarantineEntry>
QuarantineRegistry::RecordCrash(const std::string& aService,
                                std::span<const std::uint64_t> aFingerprints,
                                const std::string& aCrashId,
                                TimePoint aNow)
{
  std::vector<QuarantineEntry> changed;
  for (const auto fingerprint : aFingerprints) {
    QuarantineEntry entry{ aService, fingerprint, { { aCrashId, aNow } }, aNow + kExpiry };
    Merge({ &entry, 1 });
    if (const auto it = entries_.find({ aService, fingerprint }); it != entries_.end()) {
      changed.push_back(it->second);
    }
  }
  return changed;
}

void
QuarantineRegistry::Merge(std::span<const QuarantineEntry> aEntries)
{
  for (const auto& received : aEntries) {
    if (received.cleared_) {
      Clear({ received.service_, received.fingerprint_ }, received.crashes_);
      continue;
    }
    std::map<std::string, TimePoint> crashes;
    for (const auto& [crash, time] : received.crashes_) {
      if (!cleared_.contains(ClearedId(crash, received.fingerprint_))) {
        crashes.emplace(crash, time);
      }
    }
    if (crashes.empty()) {
      continue;
    }
    auto& entry = entries_[{ received.service_, received.fingerprint_ }];
    entry.service_ = received.service_;
    entry.fingerprint_ = received.fingerprint_;
    entry.crashes_.merge(crashes);
    entry.expiry_ = std::max(entry.expiry_, received.expiry_);
  }
  while (entries_.size() > kMaxEntries) {
    entries_.erase(
      std::min_element(entries_.begin(), entries_.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.expiry_ < aRight.second.expiry_;
      }));
  }
}

QuarantineVerdict
QuarantineRegistry::Check(const std::string& aService,
                          std::uint64_t aFingerprint,
                          TimePoint aNow) const
{
  if (entries_.empty()) {
    return QuarantineVerdict::Clear;
  }
  const auto it = entries_.find({ aService, aFingerprint });
  return it == entries_.end() ? QuarantineVerdict::Clear : VerdictOn(it->second, aNow);
}

QuarantineVerdict
QuarantineRegistry::VerdictOn(const QuarantineEntry& aEntry, TimePoint aNow) const
{
  if (aEntry.expiry_ <= aNow) {
    return QuarantineVerdict::Clear;
  }
  const CrashCount count = CountCrashes(aEntry.crashes_);
  if (count.crashes_ >= settings_.refusalCrashes_) {
    return QuarantineVerdict::Quarantined;
  }
  return count.common_ || count.crashes_ >= settings_.trialCrashes_ ? QuarantineVerdict::Suspect
                                                                    : QuarantineVerdict::Clear;
}

std::vector<QuarantineEntry>
QuarantineRegistry::Suspects(TimePoint aNow) const
{
  std::vector<QuarantineEntry> suspects;
  for (const auto& [key, entry] : entries_) {
    if (VerdictOn(entry, aNow) != QuarantineVerdict::Clear) {
      suspects.push_back(entry);
    }
  }
  return suspects;
}

bool
QuarantineRegistry::BeginTrial(const std::string& aService, std::uint64_t aFingerprint)
{
  return trials_.emplace(aService, aFingerprint).second;
}

std::optional<QuarantineEntry>
QuarantineRegistry::EndTrial(const std::string& aService,
                             std::uint64_t aFingerprint,
                             bool aCompleted)
{
  const Key key{ aService, aFingerprint };
  trials_.erase(key);
  const auto it = entries_.find(key);
  if (!aCompleted || it == entries_.end()) {
    return std::nullopt;
  }
  QuarantineEntry entry = it->second;
  entry.cleared_ = true;
  Clear(key, entry.crashes_);
  return entry;
}

std::optional<QuarantineEntry>
QuarantineRegistry::OnCompleted(const std::string& aService,
                                std::uint64_t aFingerprint,
                                TimePoint aNow)
{
  const bool hindered = Check(aService, aFingerprint, aNow) != QuarantineVerdict::Clear;
  auto cleared = EndTrial(aService, aFingerprint, true);
  return hindered ? std::move(cleared) : std::nullopt;
}

void
QuarantineRegistry::Clear(const Key& aKey, const std::map<std::string, TimePoint>& aCrashes)
{
  if (cleared_.size() > kMaxEntries) {
    cleared_.clear();
  }
  const auto it = entries_.find(aKey);
  for (const auto& [crash, time] : aCrashes) {
    cleared_.insert(ClearedId(crash, aKey.second));
    if (it != entries_.end()) {
      it->second.crashes_.erase(crash);
    }
  }
  if (it != entries_.end() && it->second.crashes_.empty()) {
    entries_.erase(it);
  }
}

void
QuarantineRegistry::Expire(TimePoint aNow)
{
  std::erase_if(entries_, [&](const auto& aEntry) { return aEntry.second.expiry_ <= aNow; });
}

} // namespace redwing
