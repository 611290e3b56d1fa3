#pragma once

#include "config/Configuration.hpp"
#include "core/Finding.hpp"

#include <functional>
#include <string>

namespace redwing {

/// Changes a configuration in place, or returns why it cannot; then the configuration is discarded.
/// It may be called again on a newer configuration after a race.
using ConfigurationMutation = std::function<Findings(Configuration&)>;

/// Adds a key; refused when its id exists.
///
/// Preconditions: none. Thread safety: callable from any thread.
ConfigurationMutation AddKey(CallerKey aKey);

/// Removes a key; refused when it does not exist.
///
/// Preconditions: none. Thread safety: callable from any thread.
ConfigurationMutation WithdrawKey(std::string aId);

/// Withdraws or restores a data centre; refused when it does not exist.
///
/// Preconditions: none. Thread safety: callable from any thread.
ConfigurationMutation SetDataCentreWithdrawn(std::string aId, bool aWithdrawn);

} // namespace redwing
