#include "BackendBench.hpp"

using namespace redwing;
using namespace std::chrono_literals;
using redwing::test::Bench;
using redwing::test::ExpectRefusal;
using redwing::test::FakeRequest;
using redwing::test::FakeServer;

namespace {

HttpProtocol
EchoingProtocol()
{
  HttpProtocol protocol;
  protocol.serverEchoesId_ = true;
  protocol.notRunHeader_ = "X-Not-Executed";
  protocol.notRunValue_ = {};
  protocol.statusTellsOutcome_ = true;
  return protocol;
}

std::string
IdLine(const std::string& aId)
{
  return aId.empty() ? "" : "Redwing-Request-Id: " + aId + "\r\n";
}

std::string
AnswerTo(const std::string& aId)
{
  return FakeServer::Ok("body of " + aId, IdLine(aId));
}

std::string
RefusalOf(const std::string& aId, const std::string& aStatus)
{
  return "HTTP/1.1 " + aStatus + "\r\nX-Not-Executed: 1\r\n" + IdLine(aId) +
         "Content-Length: 4\r\n\r\nbusy";
}

std::string
IdOf(const FakeRequest& aRequest)
{
  const std::string name = "Redwing-Request-Id: ";
  const auto begin = aRequest.head_.find(name) + name.size();
  return aRequest.head_.substr(begin, aRequest.head_.find("\r\n", begin) - begin);
}

const std::vector<std::string> kRefusalStatus{ "503 Service Unavailable",
                                               "429 Too Many Requests",
                                               "421 Misdirected Request",
                                               "400 Bad Request" };
constexpr auto kInterim =
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";

/// Sends one request that is refused, then another that the server runs, and returns what is said
/// of the latter.
ResponseEvent
RunBehindRefusal(const FakeServer::Response& aRefusal, const std::string& aBefore, Duration aPause)
{
  Bench bench(
    [&](const FakeRequest& aRequest) {
      return IdOf(aRequest) == "r1" ? aRefusal
                                    : FakeServer::Response{ aBefore + AnswerTo(IdOf(aRequest)) };
    },
    1,
    {},
    EchoingProtocol());
  const auto refusal = ExpectRefusal(bench.Run(bench.Make(1)));
  BOOST_TEST((refusal.outcome_ == Outcome::NotRun));
  std::this_thread::sleep_for(aPause);
  return bench.Run(bench.Make(2));
}

void
ExpectAnswer(const ResponseEvent& aEvent, const std::string& aBody)
{
  BOOST_REQUIRE(std::holds_alternative<ResponseStart>(aEvent));
  BOOST_TEST(std::get<ResponseStart>(aEvent).body_ == aBody);
}

} // namespace

// Guards against a copy of an earlier refusal that is taken for the answer to the next request,
// which the server runs.
BOOST_AUTO_TEST_CASE(RepeatedRefusalIsNotTheNextAnswer)
{
  for (const auto& status : kRefusalStatus) {
    const std::string refusal = RefusalOf("r1", status);
    for (const std::string& id : { "r1", "" }) {
      const std::string copy = RefusalOf(id, status);
      BOOST_TEST_CONTEXT(status << " with the id '" << id << "'")
      {
        // Before the next answer, in the same read.
        ExpectAnswer(RunBehindRefusal({ refusal }, copy, 0ms), "body of r2");
        ExpectAnswer(RunBehindRefusal({ refusal }, kInterim + copy + kInterim, 0ms), "body of r2");
        // Behind the refusal, in the same read.
        ExpectAnswer(RunBehindRefusal({ refusal + copy }, "", 0ms), "body of r2");
        // Just after the next request was written.
        FakeServer::Response late{ refusal };
        late.late_ = copy;
        ExpectAnswer(RunBehindRefusal(late, "", 0ms), "body of r2");
        // While the connection is idle.
        late.lateAfter_ = 5ms;
        ExpectAnswer(RunBehindRefusal(late, "", 50ms), "body of r2");
      }
    }
  }
}

// Guards against a repeated refusal that is believed when it arrives in parts.
BOOST_AUTO_TEST_CASE(RepeatedRefusalInPartsIsNotTheNextAnswer)
{
  for (const std::string& earlier : { "r0", "" }) {
    const std::string copy = kInterim + RefusalOf(earlier, kRefusalStatus[0]);
    std::size_t cut = 0;
    Bench bench(
      [&](const FakeRequest& aRequest) {
        const std::string own = AnswerTo(IdOf(aRequest));
        if (cut == 0) {
          return FakeServer::Response{ own };
        }
        const std::string text = copy + own;
        FakeServer::Response response{ text.substr(0, cut) };
        response.late_ = text.substr(cut);
        response.lateAfter_ = 1ms;
        return response;
      },
      1,
      {},
      EchoingProtocol());
    for (; cut < copy.size() + AnswerTo("r100").size(); ++cut) {
      bench.Announce(1);
      const auto id = cut + 100;
      const auto events = bench.responses_.Size();
      std::string body;
      bool last = false;
      BOOST_REQUIRE(bench.service_.TryStart(bench.Make(id)));
      for (std::size_t next = events; !last; ++next) {
        const auto event = bench.responses_.Await(next + 1)[next];
        if (const auto* head = std::get_if<ResponseStart>(&event)) {
          body = head->body_;
          last = head->last_;
        } else {
          BOOST_REQUIRE(std::holds_alternative<ResponseBody>(event));
          body.append(std::get<ResponseBody>(event).bytes_);
          last = std::get<ResponseBody>(event).last_;
        }
      }
      BOOST_TEST(body == "body of r" + std::to_string(id));
    }
  }
}

// Guards against a promise that the request did not run when the refusal may be of another request.
BOOST_AUTO_TEST_CASE(RefusalWithoutAnIdPromisesNothing)
{
  for (const auto& status : kRefusalStatus) {
    Bench bench([&](const FakeRequest&) { return FakeServer::Response{ RefusalOf("", status) }; },
                1,
                {},
                EchoingProtocol());
    for (std::uint64_t id = 1; id <= 2; ++id) {
      const auto refusal = ExpectRefusal(bench.Run(bench.Make(id)));
      BOOST_TEST((refusal.outcome_ == Outcome::Unknown), status);
    }
  }
}

// Guards against reporting a truthful refusal as unknown.
BOOST_AUTO_TEST_CASE(RefusalWithTheIdIsNotRun)
{
  for (const auto& status : kRefusalStatus) {
    Bench bench(
      [&](const FakeRequest& aRequest) {
        return FakeServer::Response{ kInterim + RefusalOf(IdOf(aRequest), status) };
      },
      1,
      {},
      EchoingProtocol());
    for (std::uint64_t id = 1; id <= 3; ++id) {
      const auto refusal = ExpectRefusal(bench.Run(bench.Make(id)));
      BOOST_TEST((refusal.outcome_ == Outcome::NotRun), status);
    }
  }
}

// Guards against a copy of a refusal that is taken for the answer to the same request, which came
// back under its id after it had been refused.
BOOST_AUTO_TEST_CASE(RepeatedRefusalIsNotTheAnswerToTheSameRequestLater)
{
  std::atomic<int> requests{ 0 };
  Bench bench(
    [&](const FakeRequest&) {
      if (++requests > 1) {
        std::this_thread::sleep_for(50ms);
        return FakeServer::Response{ AnswerTo("r1") };
      }
      FakeServer::Response refused{ RefusalOf("r1", "421 Misdirected Request") };
      refused.late_ = refused.text_;
      return refused;
    },
    1,
    {},
    EchoingProtocol());
  const auto make = [&](std::uint64_t aAttempt) {
    auto start = bench.Make(aAttempt);
    start.requestId_ = "r1";
    start.shard_ = ShardTarget{ 1, 7 };
    return start;
  };
  const auto refusal = ExpectRefusal(bench.Run(make(1)));
  BOOST_TEST((refusal.outcome_ == Outcome::NotRun));
  ExpectAnswer(bench.Run(make(2)), "body of r1");
}

// Guards against a promise that a request did not run after its first copy may have run: the lost
// response is reported as unknown, and the refusal of a second attempt tells of that attempt alone.
BOOST_AUTO_TEST_CASE(ALostResponseIsUnknownAndALaterRefusalIsNot)
{
  int requests = 0;
  Bench bench(
    [&](const FakeRequest& aRequest) {
      switch (++requests) {
        case 1:
          return FakeServer::Response{ AnswerTo(IdOf(aRequest)) };
        case 2:
          return FakeServer::Response{ "", true };
        default:
          return FakeServer::Response{ RefusalOf(IdOf(aRequest), kRefusalStatus[0]) };
      }
    },
    1,
    {},
    EchoingProtocol());
  ExpectAnswer(bench.Run(bench.Make(1)), "body of r1");
  auto start = bench.Make(2);
  start.idempotent_ = true;
  const auto refusal = ExpectRefusal(bench.Run(std::move(start)));
  BOOST_TEST((refusal.outcome_ == Outcome::Unknown));
  BOOST_TEST(requests == 2);
  auto again = bench.Make(3);
  again.requestId_ = "r2";
  BOOST_TEST((ExpectRefusal(bench.Run(std::move(again))).outcome_ == Outcome::NotRun));
  BOOST_TEST(requests == 3);
}

// Guards against passing on a status that promises callers that the request did not run when the
// server did not say so.
BOOST_AUTO_TEST_CASE(StatusAloneDoesNotPromiseThatTheRequestDidNotRun)
{
  for (const std::string& status : { "503 Busy", "429 Too Many Requests", "408 Timeout" }) {
    Bench bench(
      [&](const FakeRequest& aRequest) {
        return FakeServer::Response{ "HTTP/1.1 " + status + "\r\n" + IdLine(IdOf(aRequest)) +
                                     "Content-Length: 0\r\n\r\n" };
      },
      1,
      {},
      EchoingProtocol());
    const auto refusal = ExpectRefusal(bench.Run(bench.Make(1)));
    BOOST_TEST((refusal.outcome_ == Outcome::Unknown), status);
  }
}

// Guards against waiting for the body of a response to HEAD that follows an interim response.
BOOST_AUTO_TEST_CASE(HeadResponseBehindAnInterimOneHasNoBody)
{
  Bench bench(
    [&](const FakeRequest& aRequest) {
      return FakeServer::Response{ kInterim + std::string("HTTP/1.1 200 OK\r\n") +
                                   IdLine(IdOf(aRequest)) + "Content-Length: 5\r\n\r\n" };
    },
    1,
    {},
    EchoingProtocol());
  auto start = bench.Make(1);
  start.method_ = "HEAD";
  start.deadline_ = bench.clock_.Now() + 1s;
  const auto response = bench.Run(std::move(start));
  BOOST_REQUIRE(std::holds_alternative<ResponseStart>(response));
  BOOST_TEST(std::get<ResponseStart>(response).last_);
}
