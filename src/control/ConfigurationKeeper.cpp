#include "control/ConfigurationKeeper.hpp"

#include "config/ConfigurationRecord.hpp"
#include "core/Log.hpp"

#include <utility>

namespace redwing {

namespace {

using std::chrono::milliseconds;

/// Age at which a confirmation of the configuration expires. A withdrawn API key must stop working
/// within 3 s; the difference allows for reports in transit.
constexpr Duration kMaxConfirmationAge = milliseconds(2500);
/// Interval at which a watcher reads the store to confirm the configuration.
constexpr Duration kReadInterval = milliseconds(400);
/// Minimum time between two attempts to open the watch.
constexpr Duration kWatchRetry = milliseconds(1000);

} // namespace

ConfigurationKeeper::ConfigurationKeeper(const Clock& aClock,
                                         Store& aStore,
                                         std::string aDataCentre,
                                         OnAdopted aOnAdopted)
  : clock_(aClock)
  , store_(aStore)
  , dataCentre_(std::move(aDataCentre))
  , onAdopted_(std::move(aOnAdopted))
  , freshness_(kMaxConfirmationAge)
  , current_(std::make_shared<const ConfigurationRevision>())
{
}

void
ConfigurationKeeper::Adopt(std::uint64_t aRevision, const std::string& aRecord)
{
  if (aRevision <= current_->revision_) {
    return;
  }
  auto record = ConfigurationRecord::Parse(aRecord);
  if (!record) {
    LogLine(LogLevel::Error, "configuration_rejected")
      .With("revision", aRevision)
      .With("error", record.error());
    return;
  }
  auto next = std::make_shared<ConfigurationRevision>();
  next->revision_ = aRevision;
  if (!record->operations_.empty()) {
    next->operationId_ = record->operations_.front().id_;
  }
  next->configuration_ = std::move(record->configuration_);
  LogLine(LogLevel::Info, "configuration_adopted")
    .With("revision", aRevision)
    .With("previous", current_->revision_)
    .With("operation", next->operationId_);
  current_ = std::move(next);
  record_ = aRecord;
  onAdopted_(current_);
}

void
ConfigurationKeeper::AdoptStored(std::uint64_t aRevision,
                                 const std::string& aRecord,
                                 TimePoint aSentAt)
{
  freshness_.OnOwnCall(dataCentre_, aRevision, true, aSentAt);
  Adopt(aRevision, aRecord);
}

void
ConfigurationKeeper::Tick(bool aIsWatcher)
{
  if (!aIsWatcher) {
    return;
  }
  if (!watching_ && storeReachable_ && clock_.Now() >= nextWatch_) {
    Watch();
  }
  if (!reading_ && clock_.Now() >= nextRead_) {
    Read([](bool) {});
  }
}

void
ConfigurationKeeper::Watch()
{
  watching_ = true;
  nextWatch_ = clock_.Now() + kWatchRetry;
  store_.Watch(kConfigurationKey,
               current_->revision_ + 1,
               [this](const StoreResult<std::vector<StoreWatchEvent>>& aEvents) {
                 if (!aEvents) {
                   watching_ = false;
                   return;
                 }
                 for (const StoreWatchEvent& event : *aEvents) {
                   if (event.key_ == kConfigurationKey && event.value_) {
                     Adopt(event.modRevision_, *event.value_);
                   }
                 }
               });
}

void
ConfigurationKeeper::Read(std::function<void(bool aReached)> aDone)
{
  const TimePoint sentAt = clock_.Now();
  reading_ = true;
  nextRead_ = sentAt + kReadInterval;
  store_.Range(kConfigurationKey,
               true,
               [this, sentAt, done = std::move(aDone)](const StoreResult<StoreRange>& aResult) {
                 reading_ = false;
                 const bool budgetExceeded =
                   !aResult && aResult.error().kind_ == StoreErrorKind::BudgetExceeded;
                 if (budgetExceeded) {
                   done(false);
                   return;
                 }
                 storeReachable_ = aResult.has_value();
                 std::uint64_t revision = current_->revision_;
                 if (aResult && !aResult->entries_.empty()) {
                   const StoreEntry& entry = aResult->entries_.front();
                   revision = entry.modRevision_;
                   Adopt(entry.modRevision_, entry.value_);
                 }
                 freshness_.OnOwnCall(dataCentre_, revision, storeReachable_, sentAt);
                 done(storeReachable_);
               });
}

void
ConfigurationKeeper::Merge(std::span<const WatcherReport> aReports)
{
  freshness_.Merge(aReports, clock_.Now());
}

bool
ConfigurationKeeper::IsCurrent(std::size_t aDataCentres) const
{
  return freshness_.IsCurrent(current_->revision_, aDataCentres, clock_.Now());
}

} // namespace redwing
