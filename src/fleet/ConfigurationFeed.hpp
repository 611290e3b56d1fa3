#pragma once

#include "config/Configuration.hpp"
#include "core/Finding.hpp"
#include "store/Store.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace redwing {

/// Store keys and decoder of the operator's configuration.
struct ConfigurationFormat
{
  /// Common prefix of all operator keys.
  std::string prefix_;
  std::string configurationKey_;
  /// Prefix of withdrawal keys. It is followed by the id of a data centre, which is withdrawn while
  /// the key exists.
  std::string withdrawalPrefix_;
  std::function<tl::expected<ConfigurationRevision, Findings>(std::string_view)> decode_;
};

/// Watches the configuration and the data centre withdrawals that the operator writes to the store,
/// and delivers them as one ConfigurationRevision. An invalid configuration is logged and the last
/// valid one stays in force; an older revision is ignored. Runs on the context's thread.
class ConfigurationFeed
{
public:
  using Adopt = std::function<void(std::shared_ptr<const ConfigurationRevision>)>;

  /// aDataCentres lists all data centres with their regions.
  ConfigurationFeed(boost::asio::io_context& aContext,
                    Store& aStore,
                    ConfigurationFormat aFormat,
                    std::vector<DataCentre> aDataCentres,
                    Adopt aAdopt);
  ~ConfigurationFeed();

  /// Reads the entries and starts to watch them.
  ///
  /// Preconditions: called once. Thread safety: the context's thread only.
  void Start();

  /// Reads all entries again, for example because another instance reported a newer configuration.
  ///
  /// Preconditions: none. Thread safety: the context's thread only.
  void Refresh();

private:
  void Load();
  void OnLoaded(const StoreRange& aRange);
  void Watch();
  void OnEvents(const std::vector<StoreWatchEvent>& aEvents);
  void OnEntry(const std::string& aKey, const std::optional<std::string>& aValue);
  void Publish();
  void LoadLater();

  boost::asio::io_context& context_;
  Store& store_;
  ConfigurationFormat format_;
  std::vector<DataCentre> dataCentres_;
  Adopt adopt_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::optional<ConfigurationRevision> document_;
  std::uint64_t revision_ = 0;
  bool loading_ = false;
  bool watching_ = false;
  bool changed_ = false;
};

} // namespace redwing
