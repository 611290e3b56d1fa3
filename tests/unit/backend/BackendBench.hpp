#pragma once

#include "FakeServer.hpp"
#include "backend/BackendService.hpp"
#include "core/SteadyClock.hpp"
#include "support/Inbox.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

namespace redwing::test {

using namespace std::chrono_literals;
namespace asio = boost::asio;

class FakeGate final : public OwnershipGate
{
public:
  GateAnswer Check(const ShardId&, TimePoint) const override
  {
    GateAnswer answer;
    answer.owned_ = owned_;
    answer.token_ = 7;
    answer.owner_ = { "elsewhere", 1 };
    return answer;
  }
  GateAnswer BeginRequest(const ShardId& aShard, TimePoint aNow) override
  {
    const auto answer = Check(aShard, aNow);
    running_ += answer.owned_ ? 1 : 0;
    return answer;
  }
  void EndRequest(const ShardId&) override { --running_; }
  void OnArrival(const ShardId&) override { ++arrived_; }

  std::atomic<int> arrived_{ 0 };
  std::atomic<bool> owned_{ true };
  std::atomic<int> running_{ 0 };
};

/// Runs a BackendService against a fake backend server over sockets.
class Bench
{
public:
  using Replicate = std::function<void(const IdempotencyEntry&, std::function<void(bool)>)>;

  explicit Bench(FakeServer::Handler aHandler,
                 std::uint32_t aSlots = 4,
                 Replicate aReplicate = {},
                 HttpProtocol aProtocol = {},
                 double aLinkBitsPerSecond = 0,
                 MemoryBudget* aMemory = nullptr,
                 IdempotencyLimits aRecords = {})
    : server_([this, handler = std::move(aHandler)](const FakeRequest& aRequest) {
      if (aRequest.target_.starts_with("/redwing/")) {
        controlRequests_.Add(aRequest);
        return FakeServer::Response{ FakeServer::Ok(
          R"({"ready":true,"draining":false,"cold":false,"outstanding":0,"slots":4})") };
      }
      serverRequests_.Add(aRequest);
      return handler(aRequest);
    })
    , service_(
        context_,
        clock_,
        view_,
        gate_,
        counters_,
        Settings(std::move(aProtocol), aLinkBitsPerSecond, aRecords),
        { [this](ResponseEvent&& aEvent) { responses_.Add(std::move(aEvent)); },
          [this](const BackendStatus& aStatus) {
            if (aStatus.state_ != BackendState::Down) {
              upEvents_.Add(1);
            }
          },
          std::move(aReplicate),
          [this](const std::vector<QuarantineEntry>& aEntries) { quarantine_.Add(aEntries); },
          {},
          aMemory })
  {
    ConfigurationRevision revision;
    revision.revision_ = 5;
    revision.configuration_.keys_ = { { "k1", "w", "" } };
    Service service;
    service.id_ = "svc";
    service.coldStart_.initial_ = aSlots;
    revision.configuration_.services_ = { service };
    Route large;
    large.id_ = "download";
    large.service_ = "svc";
    large.largeAnswers_ = true;
    revision.configuration_.routes_ = { large };
    auto view = std::make_shared<RoutingView>();
    view->configuration_ = std::make_shared<ConfigurationRevision>(std::move(revision));
    view->self_ = { "self", 1 };
    view_.Set(view);
    service_.Start();
    thread_ = std::thread([this] { context_.run(); });
    Announce(aSlots);
    upEvents_.Await(1);
  }
  ~Bench()
  {
    service_.Stop();
    context_.stop();
    thread_.join();
  }

  static BackendSettings Settings(HttpProtocol aProtocol,
                                  double aLinkBitsPerSecond,
                                  IdempotencyLimits aRecords)
  {
    BackendSettings settings{ { "self", 1 }, 1024, 64, std::move(aProtocol) };
    settings.linkBitsPerSecond_ = aLinkBitsPerSecond;
    settings.idempotency_ = aRecords;
    return settings;
  }

  /// Announces the server; an announcement expires after a few seconds.
  void Announce(std::uint32_t aSlots = 4)
  {
    service_.OnAnnounce({ "svc", { "127.0.0.1", server_.Port() }, aSlots, 32, {} });
  }

  RequestStart Make(std::uint64_t aId)
  {
    RequestStart start;
    start.key_ = { kLocalLink, aId };
    start.requestId_ = "r" + std::to_string(aId);
    start.service_ = "svc";
    start.workspace_ = "w";
    start.method_ = "POST";
    start.target_ = "/things/" + std::to_string(aId);
    start.deadline_ = clock_.Now() + 10s;
    start.fingerprint_ = aId;
    start.keyId_ = "k1";
    return start;
  }
  ResponseEvent Run(RequestStart&& aStart)
  {
    const auto before = responses_.Size();
    BOOST_REQUIRE(service_.TryStart(std::move(aStart)));
    return responses_.Await(before + 1)[before];
  }

  FakeGate gate_;
  SteadyClock clock_;
  CounterRegistry counters_;
  Published<RoutingView> view_{ std::make_shared<RoutingView>() };
  Inbox<FakeRequest> serverRequests_;
  Inbox<FakeRequest> controlRequests_;
  Inbox<ResponseEvent> responses_;
  Inbox<int> upEvents_;
  Inbox<std::vector<QuarantineEntry>> quarantine_;
  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> work_{ context_.get_executor() };
  FakeServer server_;
  BackendService service_;
  std::thread thread_;
};

inline FakeServer::Response
Echo(const FakeRequest& aRequest)
{
  return { FakeServer::Ok(aRequest.target_ + " " + aRequest.body_) };
}

inline const Refusal&
ExpectRefusal(const ResponseEvent& aEvent)
{
  BOOST_REQUIRE(std::holds_alternative<Refusal>(aEvent));
  return std::get<Refusal>(aEvent);
}

} // namespace redwing::test
