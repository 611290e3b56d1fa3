#pragma once

#include "backend/BackendTypes.hpp"
#include "backend/ControlClient.hpp"
#include "core/Counters.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace redwing {

/// One answer of GET /redwing/health.
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

/// Talks to the backend server on behalf of the instance: health, grants, cancellation, probes.
/// Backend thread only.
class ServerMonitor
{
public:
  ServerMonitor(boost::asio::io_context& aContext,
                const Clock& aClock,
                CounterRegistry& aCounters,
                InstanceRef aSelf,
                MonitorHooks aHooks);
  ~ServerMonitor();

  /// Sets the server's address; grants are sent again to a new one.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  void SetTarget(std::optional<Address> aAddress);

  /// Polls the health unless the last poll is still open.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  void Poll();

  /// Asks for the health on a new connection.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  void Probe(std::function<void(std::optional<HealthReport>, bool aRefused)> aCallback);

  /// Replaces the set of grants. While one is being sent only the latest waits; the callbacks of
  /// those it replaced get false.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  void SetGrants(const std::vector<ShardGrant>& aGrants,
                 TimePoint aDeadline,
                 std::function<void(bool)> aAcknowledged);

  /// Asks the server to cancel a running request.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  void Cancel(const std::string& aRequestId);

private:
  struct GrantSet
  {
    std::string body_;
    std::function<void(bool)> acknowledged_;
  };

  void SendGrants();

  boost::asio::io_context& context_;
  const Clock& clock_;
  InstanceRef self_;
  MonitorHooks hooks_;
  std::optional<Address> address_;
  std::shared_ptr<ControlClient> health_;
  std::shared_ptr<ControlClient> grants_;
  std::shared_ptr<ControlClient> cancels_;
  std::vector<std::shared_ptr<ControlClient>> probes_;
  bool polling_ = false;
  bool sendingGrants_ = false;
  std::optional<GrantSet> nextGrants_;
  std::string lastGrants_;
  Counter& grantsSent_;
  Counter& grantsFailed_;
  Counter& cancelsSent_;
};

} // namespace redwing
