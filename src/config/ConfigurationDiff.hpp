#pragma once

#include "config/Configuration.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace redwing {

enum class ChangeKind : std::uint8_t
{
  Added,
  Removed,
  Changed,
};

/// One entry that differs between two configurations.
struct ConfigurationChange
{
  ChangeKind kind_ = ChangeKind::Changed;
  /// Section and id, such as `routes/book`.
  std::string place_;
  /// The entry as JSON; empty when it was added.
  std::string before_;
  /// The entry as JSON; empty when it was removed.
  std::string after_;

  bool operator==(const ConfigurationChange&) const = default;
};

/// What two operators changed since the configuration that both started from.
struct ThreeWayDifference
{
  std::vector<ConfigurationChange> ours_;
  std::vector<ConfigurationChange> theirs_;
  /// Places that both changed, differently.
  std::vector<std::string> conflicts_;

  bool operator==(const ThreeWayDifference&) const = default;
};

class ConfigurationDiff
{
public:
  /// Returns the entries that differ, by section and id. The order of entries does not matter.
  ///
  /// Preconditions: ids are unique per section. Thread safety: callable from any thread.
  static std::vector<ConfigurationChange> Compare(const Configuration& aBefore,
                                                  const Configuration& aAfter);

  /// Compares our and their configuration with their common base.
  ///
  /// Preconditions: ids are unique per section. Thread safety: callable from any thread.
  static ThreeWayDifference Compare3(const Configuration& aBase,
                                     const Configuration& aOurs,
                                     const Configuration& aTheirs);
};

} // namespace redwing
