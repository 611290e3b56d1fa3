#pragma once

#include "core/Address.hpp"
#include "core/Finding.hpp"
#include "core/Log.hpp"
#include "daemon/ProcessLimits.hpp"
#include "routing/RoutingSettings.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace redwing {

/// Checked settings of redwingd.
struct DaemonSettings
{
  std::string instanceId_;
  std::string dataCentre_;
  std::string region_;
  std::string rack_;
  Address callersAddress_;
  Address peersAddress_;
  /// Address that other instances use, if it differs from the one that is bound.
  Address advertisedAddress_;
  Address localAddress_;
  Address storeAddress_;
  std::string fleetKey_;
  std::string operatorToken_;
  LogLevel logLevel_ = LogLevel::Info;
  RoutingSettings routing_;
  /// 0 where the settings state none.
  ProcessLimits limits_{};
};

/// The settings as written, by flag name without dashes; unset ones are absent.
using RawSettings = std::map<std::string, std::string, std::less<>>;

/// Checks settings as a whole. Files that are named for secrets are read.
///
/// Returns the settings, or all findings; their place is the flag and its variable.
///
/// Preconditions: none. Thread safety: callable from any thread.
tl::expected<DaemonSettings, Findings> CheckSettings(const RawSettings& aRaw);

/// Returns the environment variable of a flag: `--store-address` is `REDWING_STORE_ADDRESS`.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::string VariableOf(std::string_view aFlag);

/// Returns findings for variables that start with REDWING_ but belong to no flag.
///
/// Preconditions: aVariables are names of environment variables. Thread safety: callable from any
/// thread.
Findings CheckVariables(const std::vector<std::string>& aVariables);

/// One setting of redwingd.
struct SettingInfo
{
  std::string_view flag_;
  std::string_view help_;
};

/// Returns all settings.
///
/// Preconditions: none. Thread safety: callable from any thread.
const std::vector<SettingInfo>& AllSettings();

} // namespace redwing
