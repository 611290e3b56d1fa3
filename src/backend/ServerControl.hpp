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

/// State of the backend server at one moment.
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
  /// A poll got no valid answer; aRefused says that nothing listened.
  std::function<void(bool aRefused)> onHealthFailed_;
};

/// What an instance asks of its backend server besides requests. Backend thread only.
class ServerControl
{
public:
  virtual ~ServerControl() = default;

  /// Sets the server's address; grants are sent again to a new one.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  virtual void SetTarget(std::optional<Address> aAddress) = 0;

  /// Polls the health unless the last poll is still open.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  virtual void Poll() = 0;

  /// Finds out on a new connection whether the server is up.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  virtual void Probe(std::function<void(std::optional<HealthReport>, bool aRefused)> aCallback) = 0;

  /// Replaces the set of grants. While one is being sent only the latest waits; the callbacks of
  /// those it replaced get false.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  virtual void SetGrants(const std::vector<ShardGrant>& aGrants,
                         TimePoint aDeadline,
                         std::function<void(bool)> aAcknowledged) = 0;

  /// Asks the server to cancel a running request; returns false if only closing the request's
  /// connection cancels it.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  virtual bool Cancel(const std::string& aRequestId) = 0;
};

} // namespace redwing
