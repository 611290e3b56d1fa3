#pragma once

#include "config/Configuration.hpp"
#include "core/Clock.hpp"

#include <optional>
#include <string>

namespace redwing {

/// Since when the data centre of an instance may have been withdrawn.
class WithdrawalStart
{
public:
  /// Preconditions: none. Thread safety: not thread-safe, like all functions here.
  explicit WithdrawalStart(std::string aDataCentre);

  /// Takes a configuration that this instance has adopted. The data centre was not withdrawn at
  /// aNotBefore if the one adopted before did not withdraw it.
  ///
  /// Preconditions: none.
  void OnConfiguration(const ConfigurationRevision& aRevision, TimePoint aNotBefore);

  /// Returns the earliest time at which the withdrawal may have begun; nothing while the data
  /// centre is not withdrawn. TimePoint::min() if it was withdrawn before this process knew any
  /// configuration.
  ///
  /// Preconditions: none.
  std::optional<TimePoint> Earliest() const { return earliest_; }

private:
  std::string dataCentre_;
  /// A configuration is known.
  bool known_ = false;
  std::optional<TimePoint> earliest_;
};

} // namespace redwing
