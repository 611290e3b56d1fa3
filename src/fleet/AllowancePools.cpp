#include "fleet/AllowancePools.hpp"

#include "core/Log.hpp"
#include "core/WireArchive.hpp"

#include <algorithm>
#include <cereal/types/map.hpp>
#include <cereal/types/vector.hpp>
#include <utility>

namespace redwing {

namespace {

using std::chrono::milliseconds;

/// Minimum time between two ledgers; limits the rate of store writes while demand rises.
constexpr milliseconds kLedgerSpacing{ 100 };
/// Instances that are still running report to a new leader within this time.
constexpr milliseconds kReportWait{ 1000 };

/// The stored form of the ledger.
struct Ledger
{
  /// Time of day on the machine of the leader that wrote it, in milliseconds since 1970.
  std::int64_t writtenAtMs_ = 0;
  std::map<std::string, PoolRecord> workspaces_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(writtenAtMs_, workspaces_);
  }
};

} // namespace

template<typename Archive>
void
serialize(Archive& aArchive, PoolRecord& aRecord)
{
  aArchive(aRecord.limit_, aRecord.lostUse_, aRecord.history_);
}

AllowancePools::AllowancePools(WindowBudgetSettings aSettings, TimeOfDay aTimeOfDay)
  : settings_(aSettings)
  , timeOfDay_(std::move(aTimeOfDay))
{
}

void
AllowancePools::Begin(const std::optional<std::string>& aLedger, TimePoint aNow, bool aOutdated)
{
  pools_.clear();
  pendingLimits_.clear();
  inherited_.reset();
  inheritedAge_.reset();
  leadershipStartedAt_ = aNow;
  inheritedUntil_.reset();
  usedSinceLedger_ = false;
  storing_ = false;
  outdated_ = aOutdated;
  if (!aLedger) {
    if (aOutdated) {
      inherited_.emplace();
    }
    return;
  }
  Ledger ledger;
  if (!ReadWire(*aLedger, ledger)) {
    LogLine(LogLevel::Error, "allowance_ledger_invalid").With("bytes", aLedger->size());
    ledger = {};
  }
  const std::int64_t now = NowMs();
  // If the time of day was set back, the age is unknown. Ages above one window are equivalent.
  const bool known = ledger.writtenAtMs_ >= 0 && ledger.writtenAtMs_ <= now;
  if (known) {
    const milliseconds age(now - ledger.writtenAtMs_);
    inheritedAge_ = std::min<Duration>(settings_.window_, age);
  }
  inherited_ = std::move(ledger.workspaces_);
  LogLine(LogLevel::Info, "allowance_ledger_read")
    .With("written_at_ms", ledger.writtenAtMs_)
    .With("now_ms", now)
    .With("workspaces", inherited_->size());
}

std::int64_t
AllowancePools::NowMs() const
{
  return std::chrono::duration_cast<milliseconds>(timeOfDay_().time_since_epoch()).count();
}

BudgetPool&
AllowancePools::PoolOf(const std::string& aWorkspace, double aAllowance)
{
  const auto [entry, isNew] = pools_.try_emplace(aWorkspace, settings_);
  BudgetPool& pool = entry->second;
  if (!isNew) {
    return pool;
  }
  PoolRecord record;
  record.limit_ = pool.UnrecordedAllowance(aAllowance);
  if (inherited_) {
    if (const auto found = inherited_->find(aWorkspace); found != inherited_->end()) {
      record = found->second;
    }
    PoolRecord inherits = record;
    if (outdated_ && !inheritedUntil_) {
      inherits.limit_ = std::max(inherits.limit_, aAllowance);
    }
    pool.Inherit(inherits, inheritedAge_, leadershipStartedAt_);
    if (inheritedUntil_) {
      pool.EndInheritance(*inheritedUntil_);
    }
  }
  pool.SetLimit(record.limit_);
  return pool;
}

void
AllowancePools::Resume()
{
  pendingLimits_.clear();
  storing_ = false;
  // The store may have lost the ledgers that the limits rest on.
  usedSinceLedger_ = !pools_.empty();
  ledgerTakenAt_ = {};
}

double
AllowancePools::OnReport(const std::string& aWorkspace,
                         const std::string& aInstanceId,
                         std::uint64_t aIncarnation,
                         const BudgetUse& aUse,
                         double aAllowance,
                         std::size_t aInstances,
                         std::size_t aUnheard,
                         TimePoint aNow)
{
  usedSinceLedger_ = true;
  BudgetPool& pool = PoolOf(aWorkspace, aAllowance);
  return pool.OnReport(aInstanceId, aIncarnation, aUse, aAllowance, aInstances, aUnheard, aNow);
}

void
AllowancePools::EndInheritance(TimePoint aUntil)
{
  if (inheritedUntil_) {
    return;
  }
  inheritedUntil_ = aUntil;
  for (auto& [workspace, pool] : pools_) {
    pool.EndInheritance(aUntil);
    if (outdated_) {
      // What is left is the use of processes that the ledger knew and that were lost.
      const auto found = inherited_->find(workspace);
      pool.LowerInheritance(found == inherited_->end() ? 0 : found->second.limit_);
    }
  }
}

bool
AllowancePools::AwaitsReports(TimePoint aNow) const
{
  return inherited_ && !inheritedUntil_ && aNow - leadershipStartedAt_ < kReportWait;
}

std::optional<std::string>
AllowancePools::TakeLedger(const AllowanceOf& aAllowanceOf, TimePoint aNow)
{
  if (!usedSinceLedger_ || storing_ || AwaitsReports(aNow) ||
      aNow - ledgerTakenAt_ < kLedgerSpacing) {
    return std::nullopt;
  }
  std::erase_if(pools_, [&](const auto& aPool) { return !aAllowanceOf(aPool.first); });
  const bool urgent = std::any_of(pools_.begin(), pools_.end(), [&](const auto& aPool) {
    return aPool.second.NeedsRecord(*aAllowanceOf(aPool.first));
  });
  if (!urgent && aNow - ledgerTakenAt_ < BudgetPool::kRecordInterval) {
    return std::nullopt;
  }
  usedSinceLedger_ = false;
  storing_ = true;
  ledgerTakenAt_ = aNow;
  Ledger ledger;
  ledger.writtenAtMs_ = NowMs();
  pendingLimits_.clear();
  for (auto& [workspace, pool] : pools_) {
    PoolRecord record = pool.MakeRecord(*aAllowanceOf(workspace), aNow);
    pendingLimits_[workspace] = record.limit_;
    ledger.workspaces_[workspace] = std::move(record);
  }
  return WriteWire(ledger);
}

void
AllowancePools::OnLedgerStored(bool aStored)
{
  storing_ = false;
  if (!aStored) {
    usedSinceLedger_ = true;
    return;
  }
  for (const auto& [workspace, limit] : pendingLimits_) {
    if (const auto pool = pools_.find(workspace); pool != pools_.end()) {
      pool->second.SetLimit(limit);
    }
  }
}

} // namespace redwing
