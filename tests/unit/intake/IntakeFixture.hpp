#pragma once

#include "core/Hash.hpp"
#include "core/SteadyClock.hpp"
#include "intake/IntakeService.hpp"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace redwing::test {

constexpr const char* kApiKey = "secret-api-key-1";

/// An IntakeService on a loopback port with recorded hooks. Service and test share one thread, so
/// that a test drives the service until a condition holds.
struct IntakeFixture
{
  struct Sent
  {
    /// Empty for the local instance.
    std::string instance_;
    RequestStart start_;
  };

  IntakeFixture() { Publish(); }

  void Publish(bool aWithKey = true, bool aCurrent = true)
  {
    auto revision = std::make_shared<ConfigurationRevision>();
    revision->revision_ = ++revisionNumber_;
    Configuration& configuration = revision->configuration_;
    configuration.callerLimits_ = callerLimits_;
    configuration.workspaces_ = { { "desk", 100, 10, 3 } };
    if (aWithKey) {
      configuration.keys_ = { { "k1", "desk", ToHex(Sha256(kApiKey)) } };
    }
    configuration.services_ = { { "plant", ServiceMode::Pooled, 0, {} },
                                { "leasing", ServiceMode::Keyed, 4, {} } };
    auto addRoute = [&](const char* aPrefix, const char* aService, bool aIdempotent) -> Route& {
      Route route;
      route.id_ = route.pathPrefix_ = aPrefix;
      route.service_ = aService;
      route.idempotent_ = aIdempotent;
      return configuration.routes_.emplace_back(route);
    };
    addRoute("/plant", "plant", true);
    addRoute("/upload", "plant", false);
    addRoute("/open", "plant", true).open_ = true;
    for (const bool idempotent : { false, true }) {
      Route& route = addRoute(idempotent ? "/lookup" : "/book", "leasing", idempotent);
      route.keySource_ = KeySource::PathSegment;
      route.keySegment_ = 1;
    }
    auto view = std::make_shared<RoutingView>();
    view->configuration_ = revision;
    view->configurationCurrent_ = aCurrent;
    for (const char* id : members_) {
      Member member;
      member.ref_ = { id, 1 };
      member.service_ = "plant";
      member.slots_ = 4;
      member.state_ = BackendState::Ready;
      view->members_[id] = member;
    }
    for (std::uint32_t shard = 0; shard < 4; ++shard) {
      view->shards_["leasing"].rows_.push_back(
        { { "leasing", shard }, { owner_, 1 }, 5, { successor_, 1 } });
    }
    view_.Set(view);
  }

  IntakeService& Service()
  {
    if (!service_) {
      settings_.callersAddress_ = { "127.0.0.1", 0 };
      service_.emplace(IntakeDependencies{
        io_,
        clock_,
        view_,
        counters_,
        42,
        "self",
        settings_,
        [this](RequestStart&& aStart) {
          sent_.push_back({ "", std::move(aStart) });
          return accept_;
        },
        [this](RequestEvent&& aEvent) { events_.push_back(std::move(aEvent)); },
        [this](const std::string& aInstance, RequestStart&& aStart) {
          sent_.push_back({ aInstance, std::move(aStart) });
          return accept_;
        },
        [this](const std::string&, RequestEvent&& aEvent) { events_.push_back(std::move(aEvent)); },
        [this](const Workspace&, TimePoint, RateDecision aDecide) {
          if (holdAdmission_) {
            held_.push_back(std::move(aDecide));
          } else {
            aDecide({ admit_, admit_ ? 0U : 1500U, ++lastToken_ });
          }
        },
        [this](const Workspace&, std::uint64_t aToken) { returnedTokens_.push_back(aToken); },
        memoryBudget_,
      });
      BOOST_REQUIRE_EQUAL(service_->Start(), "");
    }
    return *service_;
  }

  /// Runs the service until aCondition holds; fails the test after a generous time.
  template<typename Condition>
  void RunUntil(Condition&& aCondition)
  {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!aCondition()) {
      BOOST_REQUIRE(std::chrono::steady_clock::now() < limit);
      io_.restart();
      io_.run_for(std::chrono::milliseconds(1));
    }
  }

  RequestStart& NextSent()
  {
    RunUntil([&] { return sent_.size() > taken_; });
    return sent_[taken_++].start_;
  }

  void Respond(const RequestStart& aRequest, ResponseStart aResponse)
  {
    aResponse.key_ = aRequest.key_;
    service_->OnResponseEvent(std::move(aResponse));
  }

  void Answer(const RequestStart& aRequest, const std::string& aBody)
  {
    ResponseStart response;
    response.status_ = 200;
    response.body_ = aBody;
    Respond(aRequest, std::move(response));
  }

  void Refuse(const RequestStart& aRequest,
              ErrorCode aCode,
              Outcome aOutcome,
              const std::string& aHint = {})
  {
    Refusal refusal;
    refusal.key_ = aRequest.key_;
    refusal.code_ = aCode;
    refusal.outcome_ = aOutcome;
    refusal.ownerHint_ = aHint;
    service_->OnResponseEvent(std::move(refusal));
  }

  template<typename Event>
  std::vector<Event> EventsOf() const
  {
    std::vector<Event> found;
    for (const RequestEvent& event : events_) {
      if (const auto* typed = std::get_if<Event>(&event)) {
        found.push_back(*typed);
      }
    }
    return found;
  }

  boost::asio::io_context io_;
  SteadyClock clock_;
  Published<RoutingView> view_{ std::make_shared<RoutingView>() };
  CounterRegistry counters_;
  IntakeSettings settings_;
  CallerLimits callerLimits_;
  MemoryBudget* memoryBudget_ = nullptr;
  std::uint64_t revisionNumber_ = 0;
  std::vector<const char*> members_ = { "a", "b" };
  std::string owner_ = "a";
  std::string successor_ = "b";
  bool accept_ = true;
  bool admit_ = true;
  bool holdAdmission_ = false;
  std::vector<RateDecision> held_;
  std::uint64_t lastToken_ = 0;
  std::vector<std::uint64_t> returnedTokens_;
  std::deque<Sent> sent_;
  std::size_t taken_ = 0;
  std::vector<RequestEvent> events_;
  std::optional<IntakeService> service_;
};

/// A caller's connection that shares the fixture's thread.
class Caller
{
public:
  explicit Caller(IntakeFixture& aFixture)
    : fixture_(aFixture)
    , socket_(io_)
  {
    socket_.connect({ boost::asio::ip::make_address("127.0.0.1"), aFixture.Service().Port() });
    socket_.non_blocking(true);
  }

  void Send(std::string_view aBytes)
  {
    while (!aBytes.empty()) {
      boost::system::error_code error;
      const std::size_t sent = socket_.write_some(boost::asio::buffer(aBytes), error);
      aBytes.remove_prefix(sent);
      fixture_.io_.restart();
      fixture_.io_.poll();
    }
  }

  /// Sends what the connection takes at once, and ignores a connection that has ended.
  void TrySend(std::string_view aBytes)
  {
    boost::system::error_code ignored;
    socket_.write_some(boost::asio::buffer(aBytes), ignored);
  }

  /// Sends a request head with Host, the API key and aExtra headers.
  void Request(const std::string& aLine, const std::string& aExtra = {}, const char* aBody = "")
  {
    Send(aLine + " HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer " + kApiKey + "\r\n" + aExtra +
         "\r\n" + aBody);
  }

  /// Lets the system take few bytes before they are read.
  void LimitReceiveBuffer(int aBytes = 4096)
  {
    socket_.set_option(boost::asio::socket_base::receive_buffer_size(aBytes));
  }

  std::size_t Received() const { return received_.size(); }

  /// Takes what has arrived, aMost bytes at most; returns false once the connection has ended.
  bool Take(std::size_t aMost = 16384)
  {
    char bytes[16384];
    boost::system::error_code error;
    const std::size_t count = socket_.read_some(boost::asio::buffer(bytes, aMost), error);
    received_.append(bytes, count);
    if (error && error != boost::asio::error::would_block) {
      ended_ = true;
      reset_ = error == boost::asio::error::connection_reset;
    }
    return !ended_;
  }

  /// Waits until aText has arrived, drops everything up to its end and returns it.
  std::string ReadPast(std::string_view aText)
  {
    std::size_t at = std::string::npos;
    fixture_.RunUntil([&] {
      Take();
      at = received_.find(aText);
      return at != std::string::npos;
    });
    std::string text = received_.substr(0, at + aText.size());
    received_.erase(0, text.size());
    return text;
  }

  std::string ReadToEnd()
  {
    fixture_.RunUntil([&] { return !Take(); });
    return received_;
  }

  void Close() { socket_.close(); }
  bool WasReset() const { return reset_; }

private:
  IntakeFixture& fixture_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_;
  std::string received_;
  bool ended_ = false;
  bool reset_ = false;
};

inline bool
Has(const std::string& aText, std::string_view aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace redwing::test
