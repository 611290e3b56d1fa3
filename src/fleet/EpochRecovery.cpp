#include "fleet/EpochRecovery.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace redwing {

namespace {

/// Part of the wait for the leases of earlier epochs in which members register and report. Those
/// leases usually have half of their time left then.
constexpr int kCollectPart = 4;

} // namespace

EpochRecovery::EpochRecovery(std::string aSelf, Duration aWait)
  : self_(std::move(aSelf))
  , wait_(aWait)
{
}

void
EpochRecovery::Begin(std::uint64_t aEpoch,
                     bool aConfirmed,
                     bool aHolds,
                     const std::set<InstanceRef>& aMembers,
                     TimePoint aNow)
{
  if (!Waits(aNow)) {
    awaited_.clear();
  }
  epoch_ = aEpoch;
  seenAt_ = aNow;
  seen_[aEpoch] = aNow;
  carried_ = carried_ || aConfirmed;
  holds_ = aHolds;
  awaited_.insert(aMembers.begin(), aMembers.end());
  reports_.clear();
}

bool
EpochRecovery::WaitsFor(std::uint64_t aEpoch, TimePoint aNow) const
{
  const auto seen = seen_.find(aEpoch);
  return seen == seen_.end() ? Waits(aNow) : aNow - seen->second < wait_;
}

std::vector<InstanceRef>
EpochRecovery::Missing(const std::set<InstanceRef>& aRegistered) const
{
  std::vector<InstanceRef> missing;
  std::set_difference(awaited_.begin(),
                      awaited_.end(),
                      aRegistered.begin(),
                      aRegistered.end(),
                      std::back_inserter(missing));
  return missing;
}

void
EpochRecovery::OnReport(const FleetReport& aReport)
{
  if (aReport.epoch_ != epoch_) {
    return;
  }
  awaited_.insert(aReport.missing_.begin(), aReport.missing_.end());
  reports_[aReport.from_.id_] = { aReport.from_.incarnation_,
                                  aReport.carried_,
                                  aReport.holds_,
                                  { aReport.tables_.begin(), aReport.tables_.end() } };
}

bool
EpochRecovery::IsCarried(const std::string& aInstanceId) const
{
  if (aInstanceId == self_) {
    return carried_;
  }
  const auto report = reports_.find(aInstanceId);
  return report != reports_.end() && report->second.carried_;
}

bool
EpochRecovery::KnowsNothingNewer(const std::set<InstanceRef>& aRegistered,
                                 const std::map<std::string, std::uint64_t>& aRevisions) const
{
  for (const InstanceRef& member : aRegistered) {
    if (member.id_ == self_) {
      continue;
    }
    const auto report = reports_.find(member.id_);
    if (report == reports_.end() || report->second.incarnation_ != member.incarnation_) {
      return false;
    }
    for (const auto& [service, revision] : report->second.tables_) {
      const auto known = aRevisions.find(service);
      if (known == aRevisions.end() || known->second < revision) {
        return false;
      }
    }
  }
  return true;
}

bool
EpochRecovery::HeardRegistered(const std::set<InstanceRef>& aRegistered,
                               const std::map<std::string, std::uint64_t>& aRevisions,
                               TimePoint aNow) const
{
  return carried_ && aNow - seenAt_ >= wait_ / kCollectPart &&
         KnowsNothingNewer(aRegistered, aRevisions);
}

bool
EpochRecovery::IsCertain(const ShardRun& aRun, const std::set<InstanceRef>& aRegistered) const
{
  const std::string& id = aRun.holder_.instanceId_;
  const auto report = reports_.find(id);
  const bool holds = id == self_ ? holds_ : report != reports_.end() && report->second.holds_;
  const bool registered =
    std::any_of(aRegistered.begin(), aRegistered.end(), [&id](const InstanceRef& aMember) {
      return aMember.id_ == id;
    });
  return holds && registered && aRun.successor_.empty();
}

bool
EpochRecovery::Accounted(const ShardTable& aTable,
                         const std::set<InstanceRef>& aRegistered,
                         const std::map<std::string, std::uint64_t>& aRevisions) const
{
  if (!carried_ || !Missing(aRegistered).empty() || !KnowsNothingNewer(aRegistered, aRevisions)) {
    return false;
  }
  const auto runs = aTable.Runs();
  return std::all_of(runs.begin(), runs.end(), [this](const ShardRun& aRun) {
    return (aRun.holder_.Empty() || IsCarried(aRun.holder_.instanceId_)) &&
           (aRun.successor_.empty() || IsCarried(aRun.successor_));
  });
}

bool
EpochRecovery::SeesEarlierMembers() const
{
  return carried_ || !awaited_.empty() ||
         std::any_of(reports_.begin(), reports_.end(), [](const auto& aReport) {
           return aReport.second.carried_;
         });
}

} // namespace redwing
