#pragma once

#include "config/Configuration.hpp"
#include "core/Address.hpp"
#include "core/Clock.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace redwing {

/// What a backend server announces to the instance beside it each second.
struct BackendAnnouncement
{
  std::string service_;
  Address address_;
  /// Requests that the backend server runs at the same time.
  std::uint32_t slots_ = 0;
  /// Connections that it accepts.
  std::uint32_t connections_ = 0;
  Labels labels_;
  /// Name of this run of the server, sent with each request; empty if the server does not check it.
  std::string serverId_;
  /// Differs between any two runs of the server; empty if runs are told apart by address only.
  std::string life_;
  /// The announcement itself says that the server is up; it is not asked for its health.
  bool reportsState_ = false;
  /// Since when the server has been leaving; no value if it does not.
  std::optional<TimePoint> leavingSince_{};
  /// Time for which the server stays cold.
  std::chrono::milliseconds coldFor_{ 0 };
  /// Version of the server's software; empty where rollouts are off.
  std::string version_{};

  bool operator==(const BackendAnnouncement&) const = default;
};

} // namespace redwing
