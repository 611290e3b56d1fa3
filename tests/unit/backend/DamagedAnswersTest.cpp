#include "BackendBench.hpp"

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
