#pragma once

#include "core/Address.hpp"
#include "core/Clock.hpp"
#include "exchange/ShardGrant.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace redwing {

/// State of the backend server at the time of a health check.
struct HealthReport
{
  bool ready_ = false;
  bool draining_ = false;
  bool cold_ = false;
  std::uint32_t outstanding_ = 0;
};

struct MonitorHooks
{
  std::function<void(const HealthReport&)> onHealth_;
  /// Called when a poll got no valid response; aRefused is true if the connection was refused.
  std::function<void(bool aRefused)> onHealthFailed_;
};

/// Interface for health checks, grants and cancellation at the backend server. Backend thread only.
class ServerControl
{
public:
  virtual ~ServerControl() = default;

  /// Sets the server's address. Implementations that send grants resend them to a new address.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  virtual void SetTarget(std::optional<Address> aAddress) = 0;

  /// Polls the server's health, unless the previous poll has not finished.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  virtual void Poll() = 0;

  /// Checks over a new connection whether the server is up. Calls aCallback with the report, or
  /// with none and whether the connection was refused.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  virtual void Probe(std::function<void(std::optional<HealthReport>, bool aRefused)> aCallback) = 0;

  /// Replaces the set of grants. While a set is being sent only the latest one is queued; the
  /// callbacks of the sets that it replaces are called with false.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  virtual void SetGrants(const std::vector<ShardGrant>& aGrants,
                         TimePoint aDeadline,
                         std::function<void(bool)> aAcknowledged) = 0;

  /// Asks the server to cancel a running request; returns false if the request can only be
  /// cancelled by closing its connection.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  virtual bool Cancel(const std::string& aRequestId) = 0;
};

} // namespace redwing
