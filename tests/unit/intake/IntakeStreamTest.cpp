#include "IntakeFixture.hpp"

using namespace redwing;
using namespace redwing::test;

BOOST_FIXTURE_TEST_SUITE(IntakeStream, IntakeFixture)

// Guards against a truncated response that the caller takes for complete.
BOOST_AUTO_TEST_CASE(TruncatedResponsesAreReset)
{
  for (const bool knownLength : { false, true }) {
    for (const bool lastArrives : { false, true }) {
      if (lastArrives && !knownLength) {
        continue;
      }
      Caller caller(*this);
      caller.Request("GET /plant/1");
      const RequestStart request = NextSent();
      ResponseStart response;
      response.status_ = 200;
      response.body_ = "part";
      response.last_ = false;
      if (knownLength) {
        response.contentLength_ = 100;
      }
      Respond(request, response);
      caller.ReadPast("part");
      if (lastArrives) {
        service_->OnResponseEvent(ResponseBody{ request.key_, "short", true });
      } else {
        service_->OnResponseEvent(ResponseAbort{ request.key_ });
      }
      BOOST_TEST(!Has(caller.ReadToEnd(), "0\r\n\r\n"));
      BOOST_TEST(caller.WasReset());
    }
  }
}

// Guards against a whole response in one event whose body is shorter than announced.
BOOST_AUTO_TEST_CASE(ShortBodyInOneEventIsRefusedAsUnknown)
{
  Caller caller(*this);
  caller.Request("POST /upload/1", "Content-Length: 1\r\n", "x");
  ResponseStart response;
  response.status_ = 200;
  response.contentLength_ = 10;
  response.body_ = "short";
  Respond(NextSent(), response);
  const std::string text = caller.ReadPast("}\n");
  BOOST_TEST(Has(text, "Redwing-Error: backend_failed"));
  BOOST_TEST(Has(text, "Redwing-Outcome: unknown"));
}

// Guards against a backend server whose response passes for a refusal of ours, and against an
// interim status that the caller takes for the end of the response.
BOOST_AUTO_TEST_CASE(BackendServersCannotForgeRefusals)
{
  Caller caller(*this);
  caller.Request("POST /upload/1");
  ResponseStart response;
  response.status_ = 503;
  response.headers_ = { { "redwing-outcome", "not-run" },
                        { "Redwing-Error", "overloaded" },
                        { "Transfer-Encoding", "chunked" },
                        { "Retry-After", "9" } };
  response.body_ = "busy";
  Respond(NextSent(), response);
  const std::string text = caller.ReadPast("busy");
  BOOST_TEST(!Has(text, "utcome"));
  BOOST_TEST(!Has(text, "Redwing-Error"));
  BOOST_TEST(!Has(text, "chunked"));
  BOOST_TEST(Has(text, "Retry-After: 9"));
  caller.Request("POST /upload/1");
  response.status_ = 101;
  Respond(NextSent(), response);
  BOOST_TEST(Has(caller.ReadPast("}\n"), "Redwing-Outcome: unknown"));
}

// Guards against lost or reordered response bytes and missing credit for the serving side.
BOOST_AUTO_TEST_CASE(StreamsAResponseAndGivesCredit)
{
  Caller caller(*this);
  caller.Request("GET /plant/1");
  const RequestStart request = NextSent();
  ResponseStart response;
  response.status_ = 200;
  response.last_ = false;
  response.body_ = std::string(1000, 'a');
  Respond(request, response);
  service_->OnResponseEvent(ResponseBody{ request.key_, std::string(2000, 'b'), false });
  service_->OnResponseEvent(ResponseBody{ request.key_, "", true });
  const std::string text = caller.ReadPast("0\r\n\r\n");
  BOOST_TEST(Has(text, "Transfer-Encoding: chunked"));
  BOOST_TEST(
    Has(text, "3e8\r\n" + std::string(1000, 'a') + "\r\n7d0\r\n" + std::string(2000, 'b')));
  std::uint32_t credit = 0;
  for (const ResponseCredit& event : EventsOf<ResponseCredit>()) {
    credit += event.bytes_;
  }
  BOOST_TEST(credit == 3000U);
  caller.Request("GET /plant/2");
  Answer(NextSent(), "next");
  caller.ReadPast("next");
}

// Guards against unbounded buffering of uploads: no more than a window may be outstanding.
BOOST_AUTO_TEST_CASE(StreamsAnUploadWithinTheWindow)
{
  constexpr std::size_t kTotal = 1024 * 1024;
  Caller caller(*this);
  caller.Request("POST /upload/1", "Content-Length: " + std::to_string(kTotal) + "\r\n");
  std::string body(kTotal, 'x');
  for (std::size_t i = 0; i < body.size(); i += 7) {
    body[i] = static_cast<char>('a' + i % 26);
  }
  std::string received;
  bool last = false;
  std::size_t credited = 0;
  std::size_t offset = 0;
  std::optional<RequestStart> request;
  std::size_t eventsSeen = 0;
  RunUntil([&] {
    if (offset < body.size()) {
      const std::size_t bytes = std::min<std::size_t>(16384, body.size() - offset);
      if (offset - received.size() < 2 * kBodyWindowBytes) {
        caller.Send(std::string_view(body).substr(offset, bytes));
        offset += bytes;
      }
    }
    if (!request && sent_.size() > 0) {
      request = NextSent();
      received = request->body_;
      BOOST_TEST(!request->last_);
    }
    for (; eventsSeen < events_.size(); ++eventsSeen) {
      if (const auto* part = std::get_if<RequestBody>(&events_[eventsSeen])) {
        BOOST_REQUIRE(part->bytes_.size() <= kMaxChunkBytes);
        received += part->bytes_;
        last = part->last_;
      }
    }
    BOOST_REQUIRE(received.size() - credited <= kBodyWindowBytes);
    if (received.size() - credited > kBodyWindowBytes / 2) {
      const auto bytes = static_cast<std::uint32_t>(received.size() - credited);
      credited = received.size();
      service_->OnResponseEvent(RequestCredit{ request->key_, bytes });
    }
    return last;
  });
  BOOST_TEST((received == body));
  Answer(*request, "stored");
  caller.ReadPast("stored");
}

// Guards against chunked uploads that are read wrongly, and trailers that reach the server.
BOOST_AUTO_TEST_CASE(JoinsAChunkedUpload)
{
  Caller caller(*this);
  caller.Request("POST /upload/1", "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n", "");
  caller.ReadPast("HTTP/1.1 100 Continue\r\n\r\n");
  caller.Send("3\r\nabc\r\n");
  caller.Send("2\r\nde\r\n0\r\nX-Trailer: secret-api-key-1\r\n\r\n");
  const RequestStart& request = NextSent();
  BOOST_TEST(request.body_ == "abcde");
  BOOST_TEST(request.last_);
  BOOST_TEST((request.contentLength_ == 5U));
  for (const Header& header : request.headers_) {
    BOOST_TEST(header.name_ != "X-Trailer");
  }
  Answer(request, "ok!");
  caller.ReadPast("ok!");
}

// Guards against chunks of one byte that become an event each, which takes many times their
// payload, and against a small part that is held back although nothing is on its way.
BOOST_AUTO_TEST_CASE(SmallChunksShareEvents)
{
  constexpr std::size_t kChunks = 2000;
  Caller caller(*this);
  caller.Request("POST /upload/1", "Transfer-Encoding: chunked\r\n", "");
  caller.Send("10000\r\n" + std::string(kMaxChunkBytes, 'x') + "\r\n");
  const RequestStart request = NextSent();
  const auto body = [this] {
    std::string text;
    for (const RequestBody& part : EventsOf<RequestBody>()) {
      text += part.bytes_;
    }
    return text;
  };
  service_->OnResponseEvent(RequestCredit{ request.key_, kMaxChunkBytes });
  caller.Send("1\r\na\r\n");
  RunUntil([&] { return body() == "a"; });
  for (std::size_t i = 0; i < kChunks; ++i) {
    caller.Send("1\r\nb\r\n");
  }
  caller.Send("0\r\n\r\n");
  RunUntil([&] { return body().size() == kChunks + 1; });
  BOOST_TEST(EventsOf<RequestBody>().size() == 2U);
  BOOST_TEST(EventsOf<RequestBody>().back().last_);
  Answer(request, "stored");
  caller.ReadPast("stored");
}

// Guards against a server that keeps working for a caller that has left.
BOOST_AUTO_TEST_CASE(CallerDisconnectCancelsTheRequest)
{
  Caller caller(*this);
  caller.Request("GET /plant/1");
  const RequestStart request = NextSent();
  caller.Close();
  RunUntil([&] { return !events_.empty(); });
  BOOST_REQUIRE_EQUAL(EventsOf<RequestCancel>().size(), 1U);
  BOOST_CHECK(EventsOf<RequestCancel>().front().key_ == request.key_);
}

// Guards against a body after a HEAD response, which the caller would read as the next response.
BOOST_AUTO_TEST_CASE(HeadResponsesHaveNoBody)
{
  Caller caller(*this);
  caller.Request("HEAD /plant/1");
  ResponseStart response;
  response.status_ = 200;
  response.contentLength_ = 12;
  Respond(NextSent(), response);
  BOOST_TEST(Has(caller.ReadPast("\r\n\r\n"), "Content-Length: 12\r\n"));
  caller.Request("GET /plant/2");
  Answer(NextSent(), "body");
  BOOST_TEST(caller.ReadPast("body").find("HTTP/1.1 200") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
