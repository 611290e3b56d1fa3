#pragma once

#include "config/Configuration.hpp"
#include "core/Clock.hpp"
#include "core/Finding.hpp"
#include "fleet/ConfigurationLag.hpp"
#include "fleet/RolloutOrderFeed.hpp"
#include "store/Store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
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
  RolloutOrderFormat rollouts_{};
};

struct ConfigurationFeedSettings
{
  /// All data centres with their regions.
  std::vector<DataCentre> dataCentres_;
  /// Time for which a withdrawal is kept that the store lacks since it came back from an older
  /// copy. It covers the time until the operator has written it again.
  std::chrono::milliseconds withdrawalKeepTime_{ 5000 };
};

/// Watches the configuration and the data centre withdrawals that the operator writes to the store,
/// and delivers them as one ConfigurationRevision; orders of rollouts are delivered before it. An
/// invalid configuration is logged and the last valid one stays in force; an older revision is
/// ignored. Runs on the context's thread.
///
/// The store may come back from an older copy of itself, in a new epoch. The configuration in force
/// stays then until there is a newer one: revisions of configurations are the operator's and do not
/// go back. Withdrawals have no order of their own. One that the store has counts at once, since it
/// may be new; one that it lacks is kept for a time.
class ConfigurationFeed
{
public:
  using Adopt = std::function<void(std::shared_ptr<const ConfigurationRevision>)>;

  /// Preconditions: aContext, aClock and aStore outlive this object.
  ConfigurationFeed(boost::asio::io_context& aContext,
                    const Clock& aClock,
                    Store& aStore,
                    ConfigurationFormat aFormat,
                    ConfigurationFeedSettings aSettings,
                    Adopt aAdopt);
  ~ConfigurationFeed();

  /// Reads the entries and starts to watch them.
  ///
  /// Preconditions: called once. Thread safety: the context's thread only.
  void Start();

  /// Takes the revision of a change that another instance knows of. Reads all entries again if the
  /// watch does not deliver it in time.
  ///
  /// Preconditions: none. Thread safety: the context's thread only.
  void OnReported(std::uint64_t aChange);

  /// Sets the time in which the loss of the watch is noticed; without a value the store's own time
  /// applies.
  ///
  /// Preconditions: aInterval is above 0. Thread safety: the context's thread only.
  void SetWatchInterval(std::optional<std::chrono::milliseconds> aInterval);

  /// Reads all entries again.
  ///
  /// Preconditions: none. Thread safety: the context's thread only.
  void Refresh();

private:
  void Load();
  void OnLoaded(const StoreRange& aRange);
  void KeepWithdrawals();
  void OnWithdrawalsRead(const std::set<std::string>& aKeys);
  void Watch();
  void OnWatchEnded();
  void OnEvents(const std::vector<StoreWatchEvent>& aEvents);
  void OnEntry(const std::string& aKey,
               const std::optional<std::string>& aValue,
               std::uint64_t aRevision);
  void OnDocument(const std::optional<std::string>& aValue, std::uint64_t aRevision);
  void OnWithdrawal(const std::string& aId, bool aWithdrawn);
  void Publish();
  void LoadLater();

  boost::asio::io_context& context_;
  const Clock& clock_;
  Store& store_;
  ConfigurationFormat format_;
  ConfigurationFeedSettings settings_;
  /// The data centres as they were read last.
  std::vector<DataCentre> dataCentres_;
  Adopt adopt_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::optional<ConfigurationRevision> document_;
  /// Revision of the store's entry that was decoded last, valid or not; 0 if none was.
  std::uint64_t decodedEntry_ = 0;
  /// Data centres that remain withdrawn although the store lacks their entry.
  std::set<std::string> kept_;
  boost::asio::steady_timer keepTimer_;
  /// All changes up to this revision are known.
  std::uint64_t revision_ = 0;
  /// Revision of the newest change itself; for one that was found by a read, that of the read.
  std::uint64_t newestChange_ = 0;
  ConfigurationLag lag_;
  RolloutOrderFeed orders_;
  bool loading_ = false;
  /// The last read failed; further failures in a row are not logged.
  bool readFailed_ = false;
  bool watching_ = false;
  std::uint64_t watchedEpoch_ = 0;
  bool changed_ = false;
};

} // namespace redwing
