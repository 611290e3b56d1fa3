#include "fleet/ConfigurationFeed.hpp"

#include "core/Log.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <set>
#include <utility>

namespace redwing {

namespace {

constexpr std::chrono::milliseconds kRetryInterval{ 200 };

} // namespace

ConfigurationFeed::ConfigurationFeed(boost::asio::io_context& aContext,
                                     Store& aStore,
                                     ConfigurationFormat aFormat,
                                     std::vector<DataCentre> aDataCentres,
                                     Adopt aAdopt)
  : context_(aContext)
  , store_(aStore)
  , format_(std::move(aFormat))
  , dataCentres_(std::move(aDataCentres))
  , adopt_(std::move(aAdopt))
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
                   OnLoaded(*aRange);
                 } else {
                   LoadLater();
                 }
               });
}

void
ConfigurationFeed::OnLoaded(const StoreRange& aRange)
{
  if (aRange.revision_ >= revision_) {
    revision_ = aRange.revision_;
    std::set<std::string> keys;
    for (const StoreEntry& entry : aRange.entries_) {
      keys.insert(entry.key_);
      OnEntry(entry.key_, entry.value_);
    }
    for (const DataCentre& dataCentre : dataCentres_) {
      const std::string key = format_.withdrawalPrefix_ + dataCentre.id_;
      if (!keys.contains(key)) {
        OnEntry(key, std::nullopt);
      }
    }
    Publish();
  }
  if (!watching_) {
    Watch();
  }
}

void
ConfigurationFeed::Watch()
{
  watching_ = true;
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
                 } else {
                   watching_ = false;
                   LoadLater();
                 }
               });
}

void
ConfigurationFeed::OnEvents(const std::vector<StoreWatchEvent>& aEvents)
{
  for (const StoreWatchEvent& event : aEvents) {
    if (event.modRevision_ > revision_) {
      revision_ = event.modRevision_;
      OnEntry(event.key_, event.value_);
    }
  }
  Publish();
}

void
ConfigurationFeed::OnEntry(const std::string& aKey, const std::optional<std::string>& aValue)
{
  if (aKey == format_.configurationKey_) {
    if (!aValue) {
      LogLine(LogLevel::Warning, "configuration_removed").With("key", aKey);
      return;
    }
    auto decoded = format_.decode_(*aValue);
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
    }
    return;
  }
  if (!aKey.starts_with(format_.withdrawalPrefix_)) {
    return;
  }
  const std::string id = aKey.substr(format_.withdrawalPrefix_.size());
  for (DataCentre& dataCentre : dataCentres_) {
    if (dataCentre.id_ == id && dataCentre.withdrawn_ != aValue.has_value()) {
      dataCentre.withdrawn_ = aValue.has_value();
      changed_ = true;
      LogLine(LogLevel::Info, "data_centre_changed")
        .With("data_centre", id)
        .With("withdrawn", dataCentre.withdrawn_ ? "yes" : "no")
        .With("revision", revision_);
    }
  }
}

void
ConfigurationFeed::Publish()
{
  if (!document_ || !std::exchange(changed_, false)) {
    return;
  }
  auto revision = std::make_shared<ConfigurationRevision>(*document_);
  revision->configuration_.dataCentres_ = dataCentres_;
  adopt_(std::move(revision));
}

} // namespace redwing
