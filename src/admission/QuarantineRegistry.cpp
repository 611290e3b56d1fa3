#include "admission/QuarantineRegistry.hpp"

#include <algorithm>
#include <chrono>

namespace redwing {

namespace {

constexpr std::chrono::minutes kExpiry{ 10 };
/// Number of crashes after which a request is refused.
constexpr std::size_t kQuarantineCrashes = 2;
/// Bounds memory; beyond it the entries that expire first are evicted.
constexpr std::size_t kMaxEntries = 4096;

/// Returns the key of cleared_ for one request and crash.
std::string
ClearedId(const std::string& aCrashId, std::uint64_t aFingerprint)
{
  return aCrashId + '/' + std::to_string(aFingerprint);
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
    QuarantineEntry entry{ aService, fingerprint, { aCrashId }, aNow + kExpiry };
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
    std::set<std::string> crashes;
    for (const auto& crash : received.crashes_) {
      if (!cleared_.contains(ClearedId(crash, received.fingerprint_))) {
        crashes.insert(crash);
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
  if (it == entries_.end() || it->second.expiry_ <= aNow) {
    return QuarantineVerdict::Clear;
  }
  return it->second.crashes_.size() >= kQuarantineCrashes ? QuarantineVerdict::Quarantined
                                                          : QuarantineVerdict::Suspect;
}

bool
QuarantineRegistry::BeginTrial(const std::string& aService, std::uint64_t aFingerprint)
{
  return trials_.emplace(aService, aFingerprint).second;
}

void
QuarantineRegistry::EndTrial(const std::string& aService,
                             std::uint64_t aFingerprint,
                             bool aCompleted)
{
  const Key key{ aService, aFingerprint };
  trials_.erase(key);
  const auto it = entries_.find(key);
  if (!aCompleted || it == entries_.end()) {
    return;
  }
  if (cleared_.size() > kMaxEntries) {
    cleared_.clear();
  }
  for (const auto& crash : it->second.crashes_) {
    cleared_.insert(ClearedId(crash, aFingerprint));
  }
  entries_.erase(it);
}

void
QuarantineRegistry::Expire(TimePoint aNow)
{
  std::erase_if(entries_, [&](const auto& aEntry) { return aEntry.second.expiry_ <= aNow; });
}

} // namespace redwing
