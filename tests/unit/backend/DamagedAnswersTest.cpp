#include "BackendBench.hpp"
#include "backend/ControlClient.hpp"

#include <optional>

using namespace redwing;
using namespace std::chrono_literals;
using redwing::test::Bench;
using redwing::test::FakeRequest;
using redwing::test::FakeServer;

// Guards against passing a stale response to the next caller: the server sends a second copy of a
// response late, when the connection is in use again.
BOOST_AUTO_TEST_CASE(StaleResponseIsDiscarded)
{
  const auto answer = [](const std::string& aId) {
    return FakeServer::Ok("body of " + aId, "Redwing-Request-Id: " + aId + "\r\n");
  };
  HttpProtocol protocol;
  protocol.serverEchoesId_ = true;
  int requests = 0;
  Bench bench(
    [&](const FakeRequest&) {
      const std::string own = answer("r" + std::to_string(++requests));
      // Sends a copy of the previous response first.
      const std::string before = requests > 1 ? answer("r" + std::to_string(requests - 1)) : "";
      return FakeServer::Response{ before + own };
    },
    1,
    {},
    protocol);
  constexpr std::uint64_t kRequests = 5;
  for (std::uint64_t id = 1; id <= kRequests; ++id) {
    const auto response = bench.Run(bench.Make(id));
    BOOST_REQUIRE(std::holds_alternative<ResponseStart>(response));
    BOOST_TEST(std::get<ResponseStart>(response).body_ == "body of r" + std::to_string(id));
  }
  BOOST_TEST(requests == static_cast<int>(kRequests));
}

// Guards against a faulty server whose response never ends: its bytes must not be buffered without
// limit, and the caller must not wait until its deadline.
BOOST_AUTO_TEST_CASE(EndlessResponseFailsTheRequest)
{
  const std::vector<std::pair<std::string, std::string>> endless{
    // In the head of a response.
    { "HTTP/1.1 200 OK\r\nX-Filler: ", "x" },
    // In the size line of a chunk, after the chunk extension begins.
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x" },
    // In the body of a response to another request.
    { "HTTP/1.1 200 OK\r\nRedwing-Request-Id: other\r\n\r\n", "x" },
    // Not a response at all.
    { "", "x" },
    // Interim responses, and responses to another request.
    { "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "", "HTTP/1.1 204 No Content\r\nRedwing-Request-Id: other\r\n\r\n" },
  };
  HttpProtocol protocol;
  protocol.serverEchoesId_ = true;
  for (const auto& [text, filler] : endless) {
    Bench bench(
      [&, first = text, more = filler](const FakeRequest&) {
        FakeServer::Response response{ first, false, true };
        response.filler_ = more;
        return response;
      },
      4,
      {},
      protocol);
    const auto begin = bench.clock_.Now();
    const auto response = bench.Run(bench.Make(1));
    const ResponseEvent last =
      std::holds_alternative<ResponseStart>(response) ? bench.responses_.Await(2)[1] : response;
    const auto* refusal = std::get_if<Refusal>(&last);
    BOOST_TEST((refusal == nullptr ? std::holds_alternative<ResponseAbort>(last)
                                   : refusal->outcome_ == Outcome::Unknown));
    BOOST_TEST((bench.clock_.Now() - begin < 5s));
  }
}

namespace {

/// Returns the number of bytes of bodies in aEvents.
std::size_t
BodyBytes(const std::vector<ResponseEvent>& aEvents)
{
  std::size_t bytes = 0;
  for (const ResponseEvent& event : aEvents) {
    if (const auto* start = std::get_if<ResponseStart>(&event)) {
      bytes += start->body_.size();
    } else if (const auto* body = std::get_if<ResponseBody>(&event)) {
      bytes += body->bytes_.size();
    }
  }
  return bytes;
}

} // namespace

// Guards against a process that runs out of memory: a body without end must not be read beyond what
// the caller takes, and its connection must end with the request.
BOOST_AUTO_TEST_CASE(EndlessBodyIsReadOnlyAsFarAsItIsTaken)
{
  Bench bench([](const FakeRequest&) {
    return FakeServer::Response{ "HTTP/1.1 200 OK\r\n\r\n", false, true };
  });
  auto request = bench.Make(1);
  request.deadline_ = bench.clock_.Now() + 1500ms;
  const auto response = bench.Run(std::move(request));
  BOOST_REQUIRE(std::holds_alternative<ResponseStart>(response));
  bench.responses_.AwaitUntil(
    [](const auto& aEvents) { return BodyBytes(aEvents) >= kBodyWindowBytes; });
  // Credit lets as much more be read, and the deadline ends the response.
  bench.service_.Handle(ResponseCredit{ { kLocalLink, 1 }, 1000 });
  const auto events = bench.responses_.AwaitUntil(
    [](const auto& aEvents) { return std::holds_alternative<ResponseAbort>(aEvents.back()); });
  BOOST_TEST(BodyBytes(events) == kBodyWindowBytes + 1000);
}

// Guards against answers to the instance's own calls that are kept without limit.
BOOST_AUTO_TEST_CASE(EndlessAnswersToControlCallsAreGivenUp)
{
  for (const char* text : { "", "HTTP/1.1 200 OK\r\nX-Filler: ", "HTTP/1.1 200 OK\r\n\r\n" }) {
    FakeServer server([&](const FakeRequest&) {
      return FakeServer::Response{ text, false, true };
    });
    boost::asio::io_context context;
    const SteadyClock clock;
    const auto client = std::make_shared<ControlClient>(context, clock);
    std::optional<ControlReply> reply;
    client->Call({ "127.0.0.1", server.Port() },
                 "GET",
                 "/redwing/health",
                 {},
                 500ms,
                 [&](const ControlReply& aReply) { reply = aReply; });
    context.run_for(5s);
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(reply->status_ == 0);
    BOOST_TEST(reply->body_.empty());
  }
}
