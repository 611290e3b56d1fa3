#pragma once

#include "config/Configuration.hpp"
#include "config/ConfigurationDiff.hpp"
#include "config/ConfigurationMutation.hpp"
#include "core/Clock.hpp"
#include "core/Finding.hpp"
#include "core/Random.hpp"
#include "store/Store.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace redwing {

/// The change is in force under revision_.
struct EditStored
{
  std::uint64_t revision_ = 0;
  /// The configuration that was read or written last; it may be newer than revision_.
  Configuration configuration_;
};

/// The change was not stored, because the result would not be valid.
struct EditRefused
{
  Findings findings_;
};

/// The change was not stored, because the configuration is not at the expected revision.
struct EditConflict
{
  std::uint64_t revision_ = 0;
  /// False when the expected revision is not among those that this instance has seen; then the
  /// difference holds only what our document would change in the current one.
  bool baseKnown_ = false;
  ThreeWayDifference difference_;
};

/// The change was not stored, because the store could not be reached.
struct EditUnavailable
{
  std::string message_;
};

/// The change may or may not be stored.
struct EditUnknown
{
  std::string message_;
};

using EditResult =
  std::variant<EditStored, EditRefused, EditConflict, EditUnavailable, EditUnknown>;
using EditCallback = std::function<void(EditResult)>;

/// Changes the stored configuration by compare-and-swap. A write whose reply was lost is resolved
/// by reading the record back and looking for the operation id. All methods run on the store
/// thread.
class ConfigurationEditor
{
public:
  /// Calls the function after the delay, on the store thread.
  using Schedule = std::function<void(Duration, std::function<void()>)>;

  /// Called with each record that an edit has found in force, before the edit's result.
  using OnStored = std::function<void(std::uint64_t aRevision, const std::string& aRecord)>;

  struct Settings
  {
    /// Time after which an edit gives up.
    std::chrono::milliseconds timeLimit_{ 10000 };
    std::chrono::milliseconds minimumDelay_{ 20 };
    std::chrono::milliseconds maximumDelay_{ 1000 };
  };

  /// Preconditions: the references outlive all edits.
  ConfigurationEditor(Store& aStore,
                      const Clock& aClock,
                      std::uint64_t aSeed,
                      Schedule aSchedule,
                      Settings aSettings,
                      OnStored aOnStored = {});

  /// Stores aConfiguration if the revision is aExpected (0: none is stored; no value: any).
  ///
  /// Preconditions: aOperation is not empty and unique to this change. Thread safety: store thread.
  void Apply(std::string aOperation,
             std::optional<std::uint64_t> aExpected,
             Configuration aConfiguration,
             EditCallback aDone);

  /// Applies aMutation to the current configuration, again after each race.
  ///
  /// Preconditions: aOperation is not empty and unique to this change. Thread safety: store thread.
  void Mutate(std::string aOperation, ConfigurationMutation aMutation, EditCallback aDone);

  /// Reads the stored configuration; revision 0 when there is none.
  ///
  /// Preconditions: none. Thread safety: store thread.
  void Read(StoreCallback<ConfigurationRevision> aDone);

private:
  class Edit;
  friend class Edit;

  struct Shared;

  std::shared_ptr<Shared> shared_;
};

} // namespace redwing
