#pragma once

#include "config/Configuration.hpp"
#include "core/Finding.hpp"

namespace redwing {

/// Checks a configuration as a whole: names, references between sections, key hashes, conflicts
/// between routes, and what may not change while a service exists.
class ConfigurationValidator
{
public:
  /// Returns all findings, with JSON pointers into the document.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  static Findings Validate(const Configuration& aConfiguration);

  /// Also compares with the configuration in force: mode and shard count of a service are fixed for
  /// its lifetime, because they decide which shard a key belongs to.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  static Findings Validate(const Configuration& aConfiguration, const Configuration& aPrevious);
};

} // namespace redwing
