#include "IntakeFixture.hpp"

using namespace redwing;
using namespace redwing::test;

namespace {

/// Settings as an adapter to another protocol makes them.
struct ProtocolFixture : IntakeFixture
{
  ProtocolFixture()
  {
    HttpProtocol& protocol = settings_.protocol_;
    protocol.apiKeyHeader_ = "X-Api";
    protocol.apiKeyScheme_ = {};
    protocol.requestIdHeader_ = "X-Id";
    protocol.callerChoosesId_ = true;
    protocol.timeoutHeader_ = "X-Wait";
    protocol.cleansQuery_ = false;
    protocol.ownPrefix_ = {};
    protocol.ownHeaders_ = { "X-Origin", "X-Workspace" };
    protocol.outcomeHeader_ = {};
    protocol.errorHeader_ = {};
    protocol.fractionalRetryAfter_ = true;
    protocol.statusTellsOutcome_ = true;
    protocol.originHeader_ = "X-Origin";
    settings_.originService_ = "desk";
    settings_.maxPipelined_ = 4;
    settings_.bufferedBodyBytes_ = 512 * 1024;
    settings_.eagerBodyBytes_ = 1024;
    settings_.defaultRetryAfter_ = std::chrono::milliseconds(250);
  }

  static std::string Head(const std::string& aLine, const std::string& aId)
  {
    return aLine + " HTTP/1.1\r\nHost: test\r\nx-api: " + kApiKey + "\r\nX-Id: " + aId + "\r\n";
  }
};

std::string
ValuesOf(const RequestStart& aRequest, std::string_view aName)
{
  std::string values;
  for (const Header& header : aRequest.headers_) {
    if (header.name_ == aName) {
      values.append(header.value_).append(";");
    }
  }
  return values;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(IntakeProtocol, ProtocolFixture)

// Guards against a forged origin, a key that is passed on, and an id or query that is changed.
BOOST_AUTO_TEST_CASE(SetsItsOwnHeadersAndKeepsTheCallersId)
{
  Caller caller(*this);
  caller.Send(Head("GET /plant/1?key=a&b=2", "abc") + "x-ORIGIN: forged\r\nX-Wait: 700\r\n\r\n");
  const RequestStart& request = NextSent();
  BOOST_TEST(request.requestId_ == "abc");
  BOOST_TEST(request.target_ == "/plant/1?key=a&b=2");
  BOOST_TEST(ValuesOf(request, "X-Origin") == "desk;");
  BOOST_TEST(ValuesOf(request, "x-api").empty());
  Refuse(request, ErrorCode::PoisonRequest, Outcome::NotRun);
  const std::string text = caller.ReadPast("\r\n\r\n");
  BOOST_TEST(Has(text, "HTTP/1.1 503"));
  BOOST_TEST(Has(text, "X-Id: abc\r\n"));
}

// Guards against a status that promises "not run" for a request that may have run.
BOOST_AUTO_TEST_CASE(StatusTellsWhetherTheRequestMayHaveRun)
{
  Caller caller(*this);
  caller.Send(Head("POST /upload/1", "u1") + "Content-Length: 0\r\n\r\n");
  Refuse(NextSent(), ErrorCode::LinkLost, Outcome::Unknown);
  BOOST_TEST(Has(caller.ReadPast("}\n"), "HTTP/1.1 502"));
  caller.Send(Head("POST /upload/2", "u2") + "Content-Length: 0\r\n\r\n");
  Refuse(NextSent(), ErrorCode::DeadlineExceeded, Outcome::NotRun);
  const std::string text = caller.ReadPast("}\n");
  BOOST_TEST(Has(text, "HTTP/1.1 503"));
  BOOST_TEST(!Has(text, "Redwing-"));
}

// Guards against pipelined requests that wait for each other, and responses out of order.
BOOST_AUTO_TEST_CASE(IdempotentPipelinedRequestsOverlap)
{
  Caller caller(*this);
  caller.Send(Head("GET /plant/1", "a") + "\r\n" + Head("GET /plant/2", "b") + "\r\n");
  const RequestStart first = NextSent();
  const RequestStart second = NextSent();
  BOOST_TEST(second.target_ == "/plant/2");
  Answer(second, "two");
  Answer(first, "one");
  const std::string text = caller.ReadPast("two");
  BOOST_TEST(text.find("one") < text.find("two"));
}

// Guards against a caller that keeps its connection filled during a shutdown and is served until
// the process ends, which cuts its last requests (tacocerto-mesh, mix --seed 509781421571).
BOOST_AUTO_TEST_CASE(ShutdownTakesNoRequestBehindAnother)
{
  Caller caller(*this);
  caller.Send(Head("GET /plant/1", "a") + "\r\n" + Head("GET /plant/2", "b") + "\r\n");
  const RequestStart first = NextSent();
  const RequestStart second = NextSent();
  Service().BeginShutdown(TimePoint::max(), [] {});
  caller.Send(Head("GET /plant/3", "c") + "\r\n");
  Answer(first, "one");
  caller.ReadPast("one");
  Answer(second, "two");
  const std::string text = caller.ReadToEnd();
  BOOST_TEST(Has(text, "two"));
  BOOST_TEST(Has(text, "Connection: close"));
  BOOST_TEST(sent_.size() == 2U);
}

// Guards against a request that must not be repeated and runs behind a response that may close the
// connection: its caller would send it again.
BOOST_AUTO_TEST_CASE(OtherRequestsWaitForEarlierResponses)
{
  Caller caller(*this);
  caller.Send(Head("GET /plant/1", "a") + "\r\n" + Head("POST /upload/2", "b") +
              "Content-Length: 3\r\n\r\nabc");
  const RequestStart first = NextSent();
  io_.restart();
  io_.poll();
  BOOST_TEST(sent_.size() == 1U);
  Answer(first, "one");
  const RequestStart second = NextSent();
  BOOST_TEST(second.target_ == "/upload/2");
  BOOST_TEST(second.body_ == "abc");
  Answer(second, "two");
  BOOST_TEST(Has(caller.ReadPast("two"), "one"));
}

// Guards against a large body that is transferred to an instance that refuses the request, and one
// that is lost when another instance takes it.
BOOST_AUTO_TEST_CASE(LargeBodiesAreSentOnDemand)
{
  Caller caller(*this);
  const std::string body(100'000, 'b');
  caller.Send(Head("POST /upload/1", "u") + "Content-Length: 100000\r\n\r\n");
  caller.Send(body);
  const RequestStart first = NextSent();
  BOOST_TEST(first.body_.empty());
  BOOST_TEST(!first.last_);
  BOOST_TEST(*first.contentLength_ == body.size());
  BOOST_TEST(EventsOf<RequestBody>().empty());
  Refuse(first, ErrorCode::Overloaded, Outcome::NotRun);
  const RequestStart second = NextSent();
  BOOST_TEST(EventsOf<RequestBody>().empty());
  service_->OnResponseEvent(
    RequestCredit{ second.key_, static_cast<std::uint32_t>(kBodyWindowBytes) });
  std::string sent;
  for (const RequestBody& part : EventsOf<RequestBody>()) {
    BOOST_TEST(part.key_.exchangeId_ == second.key_.exchangeId_);
    sent.append(part.bytes_);
  }
  BOOST_TEST((sent == body));
  BOOST_TEST(EventsOf<RequestBody>().back().last_);
  Answer(second, "stored");
  (void)caller.ReadPast("stored");
}

BOOST_AUTO_TEST_SUITE_END()
