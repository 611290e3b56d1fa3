#pragma once

#include "config/Configuration.hpp"
#include "core/Clock.hpp"
#include "membership/ConfigurationFreshness.hpp"
#include "store/Store.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

namespace redwing {

/// Keeps the newest known configuration of this instance.
///
/// Watchers (a few instances per data centre) watch the key in the store, and read it regularly to
/// confirm that nothing newer exists; all others learn from messages that a
/// newer revision exists and pull it from the instance that told them.
class ConfigurationKeeper
{
public:
  /// Called after a newer configuration was adopted.
  using OnAdopted = std::function<void(const std::shared_ptr<const ConfigurationRevision>&)>;

  ConfigurationKeeper(const Clock& aClock,
                      Store& aStore,
                      std::string aDataCentre,
                      OnAdopted aOnAdopted);

  /// Adopts a stored value if its revision is higher than the current one and the value is valid.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void Adopt(std::uint64_t aRevision, const std::string& aRecord);

  /// Reads the store if this instance is a watcher and a read is due.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void Tick(bool aIsWatcher);

  /// Reads the store at once, for the join of an instance; aDone tells whether the store answered.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void Read(std::function<void(bool aReached)> aDone);

  /// Merges reports of other instances' watchers.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void Merge(std::span<const WatcherReport> aReports);

  /// Preconditions: none. Thread safety: control thread only.
  std::vector<WatcherReport> Reports() const { return freshness_.Reports(clock_.Now()); }

  /// Returns whether the current revision is confirmed to be the newest.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  bool IsCurrent(std::size_t aDataCentres) const;

  const std::shared_ptr<const ConfigurationRevision>& Current() const { return current_; }
  const std::string& Record() const { return record_; }
  bool StoreReachable() const { return storeReachable_; }

private:
  void Watch();

  const Clock& clock_;
  Store& store_;
  std::string dataCentre_;
  OnAdopted onAdopted_;
  ConfigurationFreshness freshness_;
  std::shared_ptr<const ConfigurationRevision> current_;
  std::string record_;
  bool reading_ = false;
  bool storeReachable_ = false;
  TimePoint nextRead_;
  bool watching_ = false;
  TimePoint nextWatch_;
};

} // namespace redwing
