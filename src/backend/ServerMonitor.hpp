#pragma once

#include "backend/BackendTypes.hpp"
#include "backend/ControlClient.hpp"
#include "backend/ServerControl.hpp"
#include "core/Counters.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace redwing {

/// Controls a backend server over its HTTP control endpoints: health polls, probes, grants and
/// cancellation. Backend thread only.
class ServerMonitor final : public ServerControl
{
public:
  ServerMonitor(boost::asio::io_context& aContext,
                const Clock& aClock,
                CounterRegistry& aCounters,
                InstanceRef aSelf,
                MonitorHooks aHooks);
  ~ServerMonitor() override;

  void SetTarget(std::optional<Address> aAddress) override;
  void Poll() override;
  void Probe(std::function<void(std::optional<HealthReport>, bool aRefused)> aCallback) override;
  void SetGrants(const std::vector<ShardGrant>& aGrants,
                 TimePoint aDeadline,
                 std::function<void(bool)> aAcknowledged) override;
  bool Cancel(const std::string& aRequestId) override;

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
