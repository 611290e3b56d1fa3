#pragma once

#include "config/Configuration.hpp"
#include "core/Address.hpp"

#include <cstdint>
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

  bool operator==(const BackendAnnouncement&) const = default;
};

} // namespace redwing
