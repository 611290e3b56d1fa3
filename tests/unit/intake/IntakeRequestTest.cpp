#include "IntakeFixture.hpp"

using namespace redwing;
using namespace redwing::test;

BOOST_FIXTURE_TEST_SUITE(IntakeRequest, IntakeFixture)

// Guards against a credential or hop-by-hop header that reaches the backend server.
BOOST_AUTO_TEST_CASE(ForwardsTheRequestWithoutCredentials)
{
  Caller caller(*this);
  caller.Request("GET /plant/x?a=1&key=q&api%5Fkey=w&b=2",
                 "Connection: X-Hop\r\nX-Hop: 1\r\nX-Copy: secret-api-key-1\r\nX-Kept: v\r\n"
                 "Redwing-Workspace: forged\r\nIdempotency-Key: i1\r\nTE: trailers\r\n");
  const RequestStart& request = NextSent();
  BOOST_TEST(request.target_ == "/plant/x?a=1&b=2");
  BOOST_TEST(request.workspace_ == "desk");
  BOOST_TEST(request.keyId_ == "k1");
  BOOST_TEST(request.weight_ == 3U);
  BOOST_TEST(request.idempotencyKey_ == "i1");
  std::string names;
  for (const Header& header : request.headers_) {
    names.append(header.name_).append(",");
  }
  BOOST_TEST(names == "Host,X-Kept,Idempotency-Key,");
  Answer(request, "hello");
  const std::string head = caller.ReadPast("hello");
  BOOST_TEST(Has(head, "HTTP/1.1 200 OK\r\n"));
  BOOST_TEST(Has(head, "Content-Length: 5\r\n"));
  BOOST_TEST(Has(head, "Redwing-Request-Id: " + request.requestId_ + "\r\n"));
  BOOST_TEST(Has(counters_.RenderText(), "workspace=\"desk\",code=\"2xx\"} 1"));
}

// Guards against responses of pipelined requests that are mixed up.
BOOST_AUTO_TEST_CASE(AnswersPipelinedRequestsInOrder)
{
  Caller caller(*this);
  caller.Request("GET /plant/1");
  caller.Request("GET /nowhere");
  caller.Request("GET /plant/2");
  Answer(NextSent(), "one");
  const RequestStart& second = NextSent();
  BOOST_TEST(second.target_ == "/plant/2");
  Answer(second, "two");
  const std::string text = caller.ReadPast("two");
  BOOST_TEST(text.find("one") < text.find("no_route"));
}

// Guards against a refused caller that learns neither the reason nor whether the request ran.
BOOST_AUTO_TEST_CASE(RefusalsCarryStatusCodeAndOutcome)
{
  Caller caller(*this);
  caller.Send("GET /plant/1 HTTP/1.1\r\nHost: t\r\n\r\n");
  std::string text = caller.ReadPast("}\n");
  BOOST_TEST(Has(text, "HTTP/1.1 401 Unauthorized"));
  BOOST_TEST(Has(text, "Redwing-Error: missing_key"));
  BOOST_TEST(Has(text, "Redwing-Outcome: not-run"));
  BOOST_TEST(Has(text, "application/problem+json"));
  caller.Send("GET /plant/1?key=secret-api-key-1 HTTP/1.1\r\nHost: t\r\n\r\n");
  BOOST_TEST(Has(caller.ReadPast("}\n"), "Redwing-Error: missing_key"));
  caller.Request("GET /book");
  BOOST_TEST(Has(caller.ReadPast("}\n"), "Redwing-Error: missing_routing_key"));
  admit_ = false;
  caller.Request("GET /plant/1");
  text = caller.ReadPast("}\n");
  BOOST_TEST(Has(text, "HTTP/1.1 429"));
  BOOST_TEST(Has(text, "Retry-After: 2\r\n"));
  Publish(true, false);
  caller.Request("GET /plant/1");
  BOOST_TEST(Has(caller.ReadPast("}\n"), "Redwing-Error: configuration_stale"));
  caller.Send("GET /open/1 HTTP/1.1\r\nHost: t\r\n\r\n");
  Answer(NextSent(), "open");
  caller.ReadPast("open");
  BOOST_TEST(sent_.size() == 1U);
}

// Guards against an API key that still works on an open connection after it was withdrawn.
BOOST_AUTO_TEST_CASE(WithdrawnKeyStopsWorkingOnAnOpenConnection)
{
  Caller caller(*this);
  caller.Request("GET /plant/1");
  Answer(NextSent(), "one");
  caller.ReadPast("one");
  Publish(false);
  caller.Request("GET /plant/1");
  BOOST_TEST(Has(caller.ReadPast("}\n"), "Redwing-Error: invalid_key"));
}

// Guards against a request that is sent with an API key that was withdrawn during its upload.
BOOST_AUTO_TEST_CASE(KeyWithdrawnDuringTheUploadStopsTheRequest)
{
  Caller caller(*this);
  caller.Request("POST /upload/1", "Content-Length: 2\r\nExpect: 100-continue\r\n", "a");
  caller.ReadPast("100 Continue\r\n\r\n");
  Publish(false);
  caller.Send("b");
  BOOST_TEST(Has(caller.ReadPast("}\n"), "Redwing-Error: invalid_key"));
  BOOST_TEST(sent_.empty());
}

// Guards against request smuggling: framing that two readers may read differently.
BOOST_AUTO_TEST_CASE(RefusesAmbiguousFramingAndCloses)
{
  const std::string start = "POST /open/1 HTTP/1.1\r\nHost: t\r\n";
  for (const char* headers : {
         "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
         "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
         "Content-Length: 4, 5\r\n\r\nabcde",
         "Transfer-Encoding: gzip\r\n\r\n",
         "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
         "X-Folded: a\r\n b\r\n\r\n",
         "Host: other\r\n\r\n",
         "Content-Length : 4\r\n\r\nabcd",
       }) {
    Caller caller(*this);
    caller.Send(start + headers + "GET /open/smuggled HTTP/1.1\r\nHost: t\r\n\r\n");
    const std::string text = caller.ReadToEnd();
    BOOST_TEST(Has(text, "HTTP/1.1 400 Bad Request"), headers);
    BOOST_TEST(Has(text, "Connection: close"), headers);
    BOOST_TEST(text.find("HTTP/1.1", 1) == std::string::npos, headers);
  }
  BOOST_TEST(sent_.empty());
}

// Guards against a path that matches one route here and another resource at the server, and
// against a request head without bound.
BOOST_AUTO_TEST_CASE(RefusesDotSegmentsAndOversizedHeads)
{
  Caller caller(*this);
  caller.Send("GET /open/%2E%2e/plant HTTP/1.1\r\nHost: t\r\n\r\n");
  BOOST_TEST(Has(caller.ReadPast("}\n"), "400 Bad Request"));
  caller.Send("GET /open/1 HTTP/1.1\r\nHost: t\r\nX-Big: " + std::string(17'000, 'x'));
  BOOST_TEST(Has(caller.ReadToEnd(), "400 Bad Request"));
  BOOST_TEST(sent_.empty());
}

// Guards against a timeout that exceeds the route's and against a request left without response.
BOOST_AUTO_TEST_CASE(DeadlineEndsTheRequestAsUnknown)
{
  Caller caller(*this);
  caller.Request("GET /plant/1", "Redwing-Timeout-Ms: 30\r\n");
  const RequestStart request = NextSent();
  BOOST_CHECK(request.deadline_ <= clock_.Now() + std::chrono::milliseconds(30));
  const std::string text = caller.ReadPast("}\n");
  BOOST_TEST(Has(text, "HTTP/1.1 504"));
  BOOST_TEST(Has(text, "Redwing-Outcome: unknown"));
  BOOST_TEST(EventsOf<RequestCancel>().size() == 1U);
  // A late response must not reach the next request on the connection.
  Answer(request, "late");
  caller.Request("GET /plant/2");
  Answer(NextSent(), "fresh");
  BOOST_TEST(!Has(caller.ReadPast("fresh"), "late"));
}

// Guards against a shutdown that interrupts a request or leaves a connection open.
BOOST_AUTO_TEST_CASE(ShutdownAnswersRequestsInFlight)
{
  settings_.shutdownGrace_ = std::chrono::milliseconds(1);
  Caller busy(*this);
  Caller idle(*this);
  busy.Request("GET /plant/1");
  const RequestStart request = NextSent();
  bool done = false;
  Service().BeginShutdown(TimePoint::max(), [&] { done = true; });
  BOOST_TEST(idle.ReadToEnd().empty());
  BOOST_TEST(!done);
  idle.Close();
  Answer(request, "answer");
  const std::string text = busy.ReadToEnd();
  BOOST_TEST(Has(text, "Connection: close"));
  BOOST_TEST(Has(text, "answer"));
  busy.Close();
  RunUntil([&] { return done; });
}

BOOST_AUTO_TEST_SUITE_END()
