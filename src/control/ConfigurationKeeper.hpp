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

/// Holds the newest configuration that this instance knows.
///
/// A few instances per data centre are watchers: they watch the configuration key in the store and
/// read it at a fixed interval to confirm that no newer revision exists. All other instances learn
/// of a newer revision through gossip and pull it from the sender.
class ConfigurationKeeper
{
public:
  /// Called after a newer configuration has been adopted.
  using OnAdopted = std::function<void(const std::shared_ptr<const ConfigurationRevision>&)>;

  ConfigurationKeeper(const Clock& aClock,
                      Store& aStore,
                      std::string aDataCentre,
                      OnAdopted aOnAdopted);

  /// Adopts aRecord if aRevision is higher than the current revision and the record is valid.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void Adopt(std::uint64_t aRevision, const std::string& aRecord);

  /// Adopts a record that this instance wrote to the store. The write also confirms the revision,
  /// which was the newest at some time after aSentAt.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void AdoptStored(std::uint64_t aRevision, const std::string& aRecord, TimePoint aSentAt);

  /// Reads the store if this instance is a watcher and a read is due.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void Tick(bool aIsWatcher);

  /// Reads the store immediately, as an instance does when it joins. aDone receives whether the
  /// store answered.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void Read(std::function<void(bool aReached)> aDone);

  /// Merges watcher reports received from other instances.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void Merge(std::span<const WatcherReport> aReports);

  /// Returns the watcher reports to send with the next gossip round.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  std::vector<WatcherReport> Reports() const { return freshness_.Reports(clock_.Now()); }

  /// Returns whether the current revision is confirmed to be the newest.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  bool IsCurrent(std::size_t aDataCentres) const;

  const std::shared_ptr<const ConfigurationRevision>& Current() const { return current_; }
  /// Returns the stored record of the current configuration; empty before the first adoption.
  const std::string& Record() const { return record_; }
  /// Returns whether the last read of the store succeeded.
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
