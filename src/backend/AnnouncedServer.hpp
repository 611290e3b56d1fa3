#pragma once

#include "backend/ServerControl.hpp"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

namespace redwing {

/// Controls a backend server that sends heartbeats: the server reports its state and receives its
/// grants with them, and cancels a request when the request's connection closes. Backend thread
/// only.
class AnnouncedServer final : public ServerControl
{
public:
  explicit AnnouncedServer(boost::asio::io_context& aContext);
  ~AnnouncedServer() override;

  void SetTarget(std::optional<Address> aAddress) override;
  void Poll() override {}

  /// Connects and closes the connection at once, without a health request, because the server may
  /// queue that request until a slot is free.
  void Probe(std::function<void(std::optional<HealthReport>, bool aRefused)> aCallback) override;

  void SetGrants(const std::vector<ShardGrant>& aGrants,
                 TimePoint aDeadline,
                 std::function<void(bool)> aAcknowledged) override;
  bool Cancel(const std::string& /*aRequestId*/) override { return false; }

private:
  struct Attempt;

  boost::asio::io_context& context_;
  std::optional<Address> address_;
  std::vector<std::weak_ptr<Attempt>> open_;
};

} // namespace redwing
