#include "fleet/ConfigurationFeed.hpp"

#include "core/Log.hpp"
#include "store/StoreRevision.hpp"

#include <algorithm>
#include <utility>

namespace redwing {

namespace {

constexpr std::chrono::milliseconds kRetryInterval{ 200 };
/// Time that the watch has to deliver a change that other instances have.
constexpr std::chrono::milliseconds kWatchPatience{ 400 };

} // namespace

ConfigurationFeed::ConfigurationFeed(boost::asio::io_context& aContext,
                                     const Clock& aClock,
                                     Store& aStore,
                                     ConfigurationFormat aFormat,
                                     ConfigurationFeedSettings aSettings,
                                     Adopt aAdopt)
  : context_(aContext)
  , clock_(aClock)
  , store_(aStore)
  , format_(std::move(aFormat))
  , settings_(std::move(aSettings))
  , dataCentres_(settings_.dataCentres_)
  , adopt_(std::move(aAdopt))
  , keepTimer_(aContext)
  , lag_(kWatchPatience)
  , orders_(format_.rollouts_)
{
}

ConfigurationFeed::~ConfigurationFeed()
{
  *alive_ = false;
}

void
ConfigurationFeed::Start()
{
  Load();
}

void
ConfigurationFeed::Refresh()
{
  if (!loading_) {
    Load();
  }
}

void
ConfigurationFeed::OnReported(std::uint64_t aChange)
{
  if (lag_.OnReported(aChange, revision_, clock_.Now())) {
    LogLine(LogLevel::Warning, "configuration_behind")
      .With("known", revision_)
      .With("reported", aChange)
      .With("in_force", document_ ? document_->revision_ : 0);
    Refresh();
  }
}

void
ConfigurationFeed::SetWatchInterval(std::optional<std::chrono::milliseconds> aInterval)
{
  store_.SetWatchInterval(format_.prefix_, aInterval);
}

void
ConfigurationFeed::LoadLater()
{
  const auto timer = std::make_shared<boost::asio::steady_timer>(context_, kRetryInterval);
  timer->async_wait(
    [this, timer, alive = std::weak_ptr<bool>(alive_)](const boost::system::error_code&) {
      const auto present = alive.lock();
      if (present && *present) {
        Refresh();
      }
    });
}

void
ConfigurationFeed::Load()
{
  loading_ = true;
  store_.Range(format_.prefix_,
               false,
               [this, alive = std::weak_ptr<bool>(alive_)](StoreResult<StoreRange> aRange) {
                 const auto present = alive.lock();
                 if (!present || !*present) {
                   return;
                 }
                 loading_ = false;
                 if (aRange) {
                   readFailed_ = false;
                   OnLoaded(*aRange);
                   return;
                 }
                 if (!std::exchange(readFailed_, true)) {
                   LogLine(LogLevel::Warning, "configuration_read_failed")
                     .With("error", aRange.error().message_)
                     .With("in_force", document_ ? document_->revision_ : 0);
                 }
                 LoadLater();
               });
}

void
ConfigurationFeed::OnLoaded(const StoreRange& aRange)
{
  if (aRange.revision_ >= revision_) {
    const std::uint64_t previous = std::exchange(revision_, aRange.revision_);
    if (previous != 0 && EpochOf(previous) < EpochOf(revision_)) {
      LogLine(LogLevel::Warning, "configuration_store_restored")
        .With("previous", previous)
        .With("revision", revision_)
        .With("in_force", document_ ? document_->revision_ : 0);
      KeepWithdrawals();
    }
    std::set<std::string> keys;
    for (const StoreEntry& entry : aRange.entries_) {
      keys.insert(entry.key_);
      OnEntry(entry.key_, entry.value_, entry.modRevision_);
    }
    OnWithdrawalsRead(keys);
    orders_.OnRead(keys);
    Publish();
  }
  if (!watching_) {
    Watch();
  }
}

void
ConfigurationFeed::KeepWithdrawals()
{
  for (const DataCentre& dataCentre : dataCentres_) {
    if (dataCentre.withdrawn_) {
      kept_.insert(dataCentre.id_);
    }
  }
  orders_.Keep();
  keepTimer_.expires_after(settings_.withdrawalKeepTime_);
  keepTimer_.async_wait(
    [this, alive = std::weak_ptr<bool>(alive_)](const boost::system::error_code& aError) {
      const auto present = alive.lock();
      if (aError || !present || !*present) {
        return;
      }
      const bool ordersKept = orders_.EndKeep();
      if (!std::exchange(kept_, {}).empty() || ordersKept) {
        Refresh();
      }
    });
}

void
ConfigurationFeed::OnWithdrawalsRead(const std::set<std::string>& aKeys)
{
  for (const DataCentre& dataCentre : dataCentres_) {
    if (aKeys.contains(format_.withdrawalPrefix_ + dataCentre.id_)) {
      continue;
    }
    if (kept_.contains(dataCentre.id_)) {
      LogLine(LogLevel::Info, "withdrawal_kept").With("data_centre", dataCentre.id_);
    } else if (dataCentre.withdrawn_) {
      newestChange_ = revision_;
      OnWithdrawal(dataCentre.id_, false);
    }
  }
}

void
ConfigurationFeed::Watch()
{
  watching_ = true;
  watchedEpoch_ = EpochOf(revision_);
  store_.Watch(format_.prefix_,
               revision_ + 1,
               [this, alive = std::weak_ptr<bool>(alive_)](
                 const StoreResult<std::vector<StoreWatchEvent>>& aEvents) {
                 const auto present = alive.lock();
                 if (!present || !*present) {
                   return;
                 }
                 if (aEvents) {
                   OnEvents(*aEvents);
                   return;
                 }
                 OnWatchEnded();
               });
}

void
ConfigurationFeed::OnWatchEnded()
{
  watching_ = false;
  if (watchedEpoch_ == store_.Epoch()) {
    LoadLater();
  } else if (EpochOf(revision_) == store_.Epoch()) {
    // The entries of the new epoch were read before the end of the watch was reported.
    Watch();
  } else {
    Refresh();
  }
}

void
ConfigurationFeed::OnEvents(const std::vector<StoreWatchEvent>& aEvents)
{
  // The changes of one transaction have the same revision.
  const std::uint64_t known = revision_;
  for (const StoreWatchEvent& event : aEvents) {
    if (event.modRevision_ > known) {
      revision_ = event.modRevision_;
      OnEntry(event.key_, event.value_, event.modRevision_);
    }
  }
  Publish();
}

void
ConfigurationFeed::OnEntry(const std::string& aKey,
                           const std::optional<std::string>& aValue,
                           std::uint64_t aRevision)
{
  if (aKey == format_.configurationKey_) {
    OnDocument(aValue, aRevision);
    newestChange_ = std::max(newestChange_, aRevision);
  } else if (aKey.starts_with(format_.withdrawalPrefix_)) {
    newestChange_ = std::max(newestChange_, aRevision);
    const std::string id = aKey.substr(format_.withdrawalPrefix_.size());
    kept_.erase(id);
    OnWithdrawal(id, aValue.has_value());
  } else if (orders_.Owns(aKey)) {
    orders_.OnEntry(aKey, aValue, aRevision);
  }
}

void
ConfigurationFeed::OnDocument(const std::optional<std::string>& aValue, std::uint64_t aRevision)
{
  if (!aValue) {
    LogLine(LogLevel::Warning, "configuration_removed").With("key", format_.configurationKey_);
    return;
  }
  if (std::exchange(decodedEntry_, aRevision) == aRevision) {
    return;
  }
  const TimePoint begin = clock_.Now();
  auto decoded = format_.decode_(*aValue);
  LogLine(LogLevel::Info, "configuration_read")
    .With("revision", decoded ? decoded->revision_ : 0)
    .With("bytes", aValue->size())
    .With("decode_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(clock_.Now() - begin).count());
  if (!decoded) {
    for (const Finding& finding : decoded.error()) {
      LogLine(LogLevel::Warning, "configuration_rejected")
        .With("place", finding.place_)
        .With("error", finding.message_);
    }
    return;
  }
  if (!document_ || decoded->revision_ > document_->revision_) {
    document_ = std::move(*decoded);
    changed_ = true;
  } else if (decoded->revision_ < document_->revision_) {
    LogLine(LogLevel::Info, "configuration_older")
      .With("revision", decoded->revision_)
      .With("in_force", document_->revision_);
  }
}

void
ConfigurationFeed::OnWithdrawal(const std::string& aId, bool aWithdrawn)
{
  for (DataCentre& dataCentre : dataCentres_) {
    if (dataCentre.id_ == aId && dataCentre.withdrawn_ != aWithdrawn) {
      dataCentre.withdrawn_ = aWithdrawn;
      changed_ = true;
      LogLine(LogLevel::Info, "data_centre_changed")
        .With("data_centre", aId)
        .With("withdrawn", aWithdrawn ? "yes" : "no")
        .With("revision", revision_);
    }
  }
}

void
ConfigurationFeed::Publish()
{
  orders_.Publish();
  if (!document_ || !std::exchange(changed_, false)) {
    return;
  }
  auto revision = std::make_shared<ConfigurationRevision>(*document_);
  revision->configuration_.dataCentres_ = dataCentres_;
  revision->change_ = newestChange_;
  adopt_(std::move(revision));
}

} // namespace redwing
