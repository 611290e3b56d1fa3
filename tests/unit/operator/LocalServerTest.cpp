#include "operator/LocalServer.hpp"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <thread>

using namespace redwing;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
  explicit Fixture(LocalHandlers aHandlers, LocalServerSettings aSettings = Settings())
  {
    server_ = std::make_unique<LocalServer>(
      context_, std::move(aSettings), std::move(aHandlers), [this](const AuditEntry& aEntry) {
        audit_.push_back(aEntry);
      });
    where_ = server_->Start().value();
  }

  static LocalServerSettings Settings()
  {
    LocalServerSettings settings;
    settings.address_ = { "127.0.0.1", 0 };
    settings.operatorToken_ = "secret";
    return settings;
  }

  /// Sends raw bytes and returns all that comes back until the server closes.
  std::string Send(const std::string& aBytes)
  {
    using boost::asio::ip::tcp;
    tcp::socket socket(context_);
    std::string received;
    bool ended = false;
    socket.async_connect(
      { boost::asio::ip::make_address_v4(where_.ip_), where_.port_ }, [&](auto aError) {
        BOOST_TEST(!aError);
        boost::asio::async_write(socket, boost::asio::buffer(aBytes), [&](auto, auto) {});
        boost::asio::async_read(
          socket, boost::asio::dynamic_buffer(received), [&](auto, auto) { ended = true; });
      });
    while (!ended) {
      context_.run_one();
    }
    return received;
  }

  std::string Request(const std::string& aLine,
                      const std::string& aBody = {},
                      const std::string& aToken = "secret")
  {
    return Send(aLine + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer " +
                aToken + "\r\nRedwing-Operator: ana\r\nContent-Length: " +
                std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
  }

  boost::asio::io_context context_;
  std::vector<AuditEntry> audit_;
  std::unique_ptr<LocalServer> server_;
  Address where_;
};

bool
HasStatus(const std::string& aReply, int aStatus)
{
  return aReply.starts_with("HTTP/1.1 " + std::to_string(aStatus) + " ");
}

} // namespace

// Guards against announcements being misread, and against needing a token for them.
BOOST_AUTO_TEST_CASE(AnnouncementsNeedNoTokenAndAreChecked)
{
  std::optional<BackendAnnouncement> seen;
  LocalHandlers handlers;
  handlers.announce_ = [&](BackendAnnouncement aAnnouncement, const LocalReplyCallback& aReply) {
    seen = std::move(aAnnouncement);
    aReply(JsonReply("{}"));
  };
  Fixture fixture(std::move(handlers));
  BOOST_TEST(HasStatus(
    fixture.Request("POST /v1/announce",
                    R"({"service":"booking","address":"127.0.0.1:9","slots":9,"connections":130,)"
                    R"("labels":{"tier":"a"},"later":1})",
                    ""),
    200));
  BOOST_REQUIRE(seen.has_value());
  BOOST_TEST(
    (*seen == BackendAnnouncement{ "booking", { "127.0.0.1", 9 }, 9, 130, { { "tier", "a" } } }));
  const auto refused =
    fixture.Request("POST /v1/announce", R"({"service":"","address":"host:9","slots":0})");
  BOOST_TEST(HasStatus(refused, 422));
  for (const char* place : { "/service", "/address", "/slots", "/connections" }) {
    BOOST_TEST(refused.find(place) != std::string::npos, place);
  }
  BOOST_TEST(HasStatus(fixture.Request("GET /v1/announce"), 405));
}

// Guards against operator endpoints that answer without the right token, and actions without audit.
BOOST_AUTO_TEST_CASE(OperatorRequestsNeedTheTokenAndAreAudited)
{
  LocalHandlers handlers;
  handlers.status_ = [](const LocalReplyCallback& aReply) { aReply(JsonReply("{}")); };
  handlers.drain_ = [](const DrainRequest&, const LocalReplyCallback& aReply) {
    aReply(JsonReply("{}"));
  };
  Fixture fixture(std::move(handlers));
  for (const char* token : { "", "secre", "secrett", "Secret" }) {
    BOOST_TEST(HasStatus(fixture.Request("GET /v1/status", {}, token), 401), token);
    BOOST_TEST(HasStatus(fixture.Request("POST /v1/drain?operation=a", {}, token), 401), token);
  }
  fixture.audit_.clear();
  BOOST_TEST(HasStatus(fixture.Request("GET /v1/status"), 200));
  BOOST_TEST(HasStatus(fixture.Request("POST /v1/drain?operation=op-1"), 200));
  BOOST_TEST(HasStatus(fixture.Request("POST /v1/drain"), 400));
  BOOST_TEST(HasStatus(fixture.Request("POST /v1/nothing?operation=a"), 404));
  BOOST_TEST(HasStatus(fixture.Request("GET /v1/members"), 501));
  BOOST_REQUIRE(fixture.audit_.size() == 5U);
  const AuditEntry& drain = fixture.audit_[1];
  BOOST_TEST(drain.operator_ == "ana");
  BOOST_TEST(drain.action_ == "POST /v1/drain");
  BOOST_TEST(drain.operation_ == "op-1");
  BOOST_TEST(drain.status_ == 200U);
  auto settings = Fixture::Settings();
  settings.operatorToken_.clear();
  Fixture open(LocalHandlers(), settings);
  BOOST_TEST(HasStatus(open.Request("GET /v1/status", {}, ""), 403));
}

// Guards against path and query parameters reaching the wrong field.
BOOST_AUTO_TEST_CASE(TypedRequestsCarryPathAndQuery)
{
  std::string seen;
  LocalHandlers handlers;
  handlers.putConfiguration_ = [&](PutConfigurationRequest aRequest,
                                   const LocalReplyCallback& aReply) {
    seen = aRequest.operation_ + "|" +
           (aRequest.expected_ ? std::to_string(*aRequest.expected_) : "any") + "|" +
           aRequest.document_;
    aReply(JsonReply("{}"));
  };
  handlers.dataCentre_ = [&](DataCentreRequest aRequest, const LocalReplyCallback& aReply) {
    seen = aRequest.id_ + (aRequest.withdrawn_ ? " withdrawn" : " restored");
    aReply(JsonReply("{}"));
  };
  handlers.withdrawKey_ = [&](WithdrawKeyRequest aRequest, const LocalReplyCallback& aReply) {
    seen = aRequest.id_;
    aReply(JsonReply("{}"));
  };
  handlers.shards_ = [&](std::string aService, const LocalReplyCallback& aReply) {
    seen = std::move(aService);
    aReply(JsonReply("{}"));
  };
  Fixture fixture(std::move(handlers));
  fixture.Request("PUT /v1/configuration?operation=a&expect=7", "{x}");
  BOOST_TEST(seen == "a|7|{x}");
  fixture.Request("PUT /v1/configuration?operation=b", "{}");
  BOOST_TEST(seen == "b|any|{}");
  fixture.Request("POST /v1/data-centres/braga/withdraw?operation=a");
  BOOST_TEST(seen == "braga withdrawn");
  fixture.Request("POST /v1/data-centres/braga/restore?operation=a");
  BOOST_TEST(seen == "braga restored");
  fixture.Request("DELETE /v1/keys/k1?operation=a");
  BOOST_TEST(seen == "k1");
  fixture.Request("GET /v1/shards?service=booking");
  BOOST_TEST(seen == "booking");
  for (const char* line : { "PUT /v1/configuration?operation=a&expect=x",
                            "PUT /v1/configuration?operation=a&operation=b",
                            "PUT /v1/configuration?operation=%61",
                            "GET /v1/shards" }) {
    BOOST_TEST(HasStatus(fixture.Request(line), 400), line);
  }
}

// Guards against replies from other threads racing with the server, and against a second reply.
BOOST_AUTO_TEST_CASE(RepliesMayComeFromAnyThreadAndCountOnce)
{
  std::thread thread;
  LocalHandlers handlers;
  handlers.health_ = [&](const LocalReplyCallback& aReply) {
    thread = std::thread([aReply] {
      aReply({ 200, "text/plain", "first" });
      aReply({ 200, "text/plain", "second" });
    });
  };
  Fixture fixture(std::move(handlers));
  const auto reply = fixture.Request("GET /healthz");
  thread.join();
  BOOST_TEST(reply.ends_with("first"));
}

// Guards against clients that use up memory or connections, and handlers that never reply.
BOOST_AUTO_TEST_CASE(LimitsAreEnforced)
{
  LocalHandlers handlers;
  LocalReplyCallback kept;
  handlers.health_ = [&](LocalReplyCallback aReply) { kept = std::move(aReply); };
  auto settings = Fixture::Settings();
  settings.bodyBytes_ = 100;
  settings.headerBytes_ = 300;
  settings.handlerTimeout_ = 20ms;
  Fixture fixture(std::move(handlers), settings);
  BOOST_TEST(HasStatus(fixture.Request("POST /v1/leave", std::string(101, 'x')), 413));
  BOOST_TEST(HasStatus(fixture.Send("GET / HTTP/1.1\r\nA: " + std::string(400, 'x')), 431));
  BOOST_TEST(HasStatus(fixture.Send("nonsense\r\n\r\n"), 400));
  BOOST_TEST(HasStatus(fixture.Request("GET /healthz"), 504));
  // One idle connection uses up a limit of one.
  settings.connections_ = 1;
  Fixture small(LocalHandlers(), settings);
  boost::asio::ip::tcp::socket idle(small.context_);
  idle.connect({ boost::asio::ip::make_address_v4("127.0.0.1"), small.where_.port_ });
  BOOST_TEST(small.Request("GET /healthz").empty());
}
