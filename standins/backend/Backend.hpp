#pragma once

#include "backend/Announcer.hpp"
#include "backend/GrantTable.hpp"
#include "backend/Recorder.hpp"
#include "common/HttpServer.hpp"
#include "core/Random.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace redwing::standins {

struct BackendSettings
{
  Address address_;
  std::optional<Address> control_;
  std::optional<Address> instance_;
  std::string service_ = "booking";
  std::uint32_t slots_ = 9;
  std::uint32_t connections_ = 130;
  std::map<std::string, std::string> labels_;
  bool checkTokens_ = false;
  std::int64_t serviceTimeUs_ = 2000;
  bool exponential_ = false;
  std::string recordFile_;
  std::int64_t reportLagMs_ = 0;
  bool reportIdle_ = false;
  std::int64_t coldMs_ = 0;
  std::uint64_t seed_ = 1;
};

/// Test server that behaves like the platform's backend servers, with faults on command.
/// Not thread-safe.
class Backend
{
public:
  Backend(boost::asio::io_context& aIo, BackendSettings aSettings);
  /// Stops accepting, tells the instance and records open grants.
  void Shutdown();

private:
  struct Run
  {
    std::uint64_t number_ = 0;
    std::string requestId_;
    std::string loadId_;
    std::int64_t deadlineNs_ = 0;
    bool ended_ = false;
    HttpExchangePtr exchange_;
    boost::asio::steady_timer timer_;
  };
  using RunPtr = std::shared_ptr<Run>;
  struct Report
  {
    std::int64_t atNs_ = 0;
    std::size_t outstanding_ = 0;
    bool cold_ = false;
  };

  void Handle(const HttpExchangePtr& aExchange);
  bool HandleRouter(const HttpExchangePtr& aExchange);
  void HandleControl(const HttpExchangePtr& aExchange);
  void Freeze(std::int64_t aMs);
  void Health(const HttpExchangePtr& aExchange);
  void Start(const HttpExchangePtr& aExchange);
  bool GrantHolds(const HttpRequest& aRequest) const;
  void CheckForCallerKey(const HttpRequest& aRequest);
  void Finish(const RunPtr& aRun, bool aComplete);
  void Answer(const Run& aRun);
  std::chrono::nanoseconds ServiceTime();
  std::size_t ColdLimit(std::int64_t aNowNs) const;
  void SampleReport();

  boost::asio::io_context& io_;
  BackendSettings settings_;
  Recorder recorder_;
  GrantTable grants_;
  Random random_;
  std::map<std::uint64_t, RunPtr> runs_;
  std::deque<Report> reports_;
  boost::asio::steady_timer reportTimer_;
  std::uint64_t nextRun_ = 0;
  std::int64_t coldFromNs_ = 0;
  std::int64_t coldMs_ = 0;
  bool collapsed_ = false;
  std::uint64_t collapses_ = 0;
  double slowFactor_ = 1;
  std::int64_t slowUntilNs_ = 0;
  bool draining_ = false;
  std::uint64_t shed_ = 0;
  std::uint64_t keysSeen_ = 0;
  HttpServer server_;
  std::optional<HttpServer> control_;
  std::optional<Announcer> announcer_;
};

} // namespace redwing::standins
