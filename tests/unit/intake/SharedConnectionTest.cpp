#include "IntakeFixture.hpp"

#include <algorithm>
#include <functional>

using namespace redwing;
using namespace redwing::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kDownload = 240'000;
constexpr int kSmallBuffer = 16 * 1024;

/// Requests that share a connection, and what ends one of them.
struct SharedConnection : IntakeFixture
{
  // The service accounts for its connections until it ends.
  ~SharedConnection() { service_.reset(); }

  /// Limits the memory, so that the system holds little of what a caller does not read.
  void LimitMemory() { memoryBudget_ = &budget_; }

  /// Sends a response of aBytes in parts; the last part ends it unless aEnds is false.
  void AnswerInParts(const RequestStart& aRequest, std::size_t aBytes, bool aEnds = true)
  {
    ResponseStart response;
    response.status_ = 200;
    response.contentLength_ = kDownload;
    response.last_ = false;
    Respond(aRequest, std::move(response));
    for (std::size_t sent = 0; sent < aBytes;) {
      const std::size_t part = std::min(kMaxChunkBytes, aBytes - sent);
      sent += part;
      service_->OnResponseEvent(
        ResponseBody{ aRequest.key_, std::string(part, 'x'), aEnds && sent == aBytes });
    }
  }

  void Break(const RequestStart& aRequest)
  {
    service_->OnResponseEvent(ResponseAbort{ aRequest.key_ });
  }

  /// Sends aCount pipelined requests and returns them as they were passed on.
  std::vector<RequestStart> Pipeline(Caller& aCaller, std::size_t aCount)
  {
    std::vector<RequestStart> requests;
    for (std::size_t i = 0; i < aCount; ++i) {
      aCaller.Request("GET /plant/" + std::to_string(i));
    }
    for (std::size_t i = 0; i < aCount; ++i) {
      requests.push_back(NextSent());
    }
    return requests;
  }

  /// Lets connections be taken for stalled after a short time.
  void ShortenTimeouts()
  {
    callerLimits_.idleTimeout_ = 1000ms;
    Publish();
  }

  /// Reads aBytes of body, some of them each time, with a pause in between.
  static std::size_t ReadSlowly(IntakeFixture& aFixture, Caller& aCaller, std::size_t aStep)
  {
    auto next = std::chrono::steady_clock::now();
    aFixture.RunUntil([&] {
      if (std::chrono::steady_clock::now() < next) {
        return false;
      }
      next += 10ms;
      return !aCaller.Take(aStep);
    });
    return aCaller.Received();
  }

  MemoryBudget budget_{ 40 * 1024 * 1024, counters_ };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SharedConnections, SharedConnection)

// Guards against the loss of all responses of a connection: those that wait for a slow one together
// exceed the bound for a single response.
BOOST_AUTO_TEST_CASE(DownloadsThatWaitForTheFirstOneAreDelivered)
{
  settings_.maxPipelined_ = 8;
  LimitMemory();
  Caller caller(*this);
  caller.LimitReceiveBuffer(4 * kSmallBuffer);
  const auto requests = Pipeline(caller, 8);
  for (std::size_t i = 1; i + 1 < requests.size(); ++i) {
    AnswerInParts(requests[i], kDownload);
  }
  AnswerInParts(requests[0], kDownload);
  AnswerInParts(requests[7], kDownload);
  RunUntil([&] {
    caller.Take();
    return caller.Received() > 8 * kDownload;
  });
  caller.Request("GET /plant/next");
  Answer(NextSent(), "next");
  caller.ReadPast("next");
}

// Guards against unbounded memory: a serving side that sends on without credit.
BOOST_AUTO_TEST_CASE(AResponseBeyondItsWindowIsCutOff)
{
  settings_.maxPipelined_ = 8;
  for (const bool first : { true, false }) {
    Caller caller(*this);
    caller.LimitReceiveBuffer();
    const auto requests = Pipeline(caller, 2);
    const RequestStart& greedy = requests[first ? 0 : 1];
    const std::size_t before = EventsOf<RequestCancel>().size();
    ResponseStart response;
    response.status_ = 200;
    response.last_ = false;
    Respond(greedy, std::move(response));
    std::size_t sent = 0;
    for (; sent < 64 * kBodyWindowBytes && EventsOf<RequestCancel>().size() == before;
         sent += kMaxChunkBytes) {
      service_->OnResponseEvent(
        ResponseBody{ greedy.key_, std::string(kMaxChunkBytes, 'x'), false });
    }
    BOOST_TEST(EventsOf<RequestCancel>().size() > before);
    if (!first) {
      BOOST_TEST(sent <= 4 * kBodyWindowBytes + 2 * kMaxChunkBytes);
      Answer(requests[0], "sound");
      BOOST_TEST(Has(caller.ReadPast("}\n"), "sound"));
    }
  }
}

// Guards against the loss of complete responses of sound servers when a response behind them, which
// was ready first, breaks off, and of the responses behind it.
BOOST_AUTO_TEST_CASE(ABrokenResponseThatWaitsTakesNoOtherWithIt)
{
  settings_.maxPipelined_ = 8;
  Caller caller(*this);
  caller.LimitReceiveBuffer();
  const auto requests = Pipeline(caller, 3);
  AnswerInParts(requests[1], 1000, false);
  Break(requests[1]);
  AnswerInParts(requests[2], kDownload);
  AnswerInParts(requests[0], kDownload);
  const std::string text = caller.ReadPast("}\n");
  BOOST_TEST(std::count(text.begin(), text.end(), 'x') >= static_cast<long>(kDownload));
  BOOST_TEST(Has(text, "Redwing-Error: backend_failed"));
  BOOST_TEST(Has(text, "Redwing-Outcome: unknown"));
  RunUntil([&] {
    caller.Take();
    return caller.Received() > kDownload;
  });
}

// Guards against the loss of an earlier response that is on its way, when the one behind it breaks
// off after it began, and against a broken response that looks complete.
BOOST_AUTO_TEST_CASE(ABrokenResponseResetsOnlyAfterEarlierOnes)
{
  settings_.maxPipelined_ = 8;
  for (const std::size_t size : { std::size_t{ 100'000 }, kDownload }) {
    Caller caller(*this);
    caller.LimitReceiveBuffer();
    const auto requests = Pipeline(caller, 2);
    Answer(requests[0], std::string(size, 'y'));
    AnswerInParts(requests[1], 1000, false);
    Break(requests[1]);
    const std::size_t received = ReadSlowly(*this, caller, 4096);
    BOOST_TEST(received > size);
    BOOST_TEST(received < size + kDownload);
  }
}

// Guards against a request that is passed on although the one before it closes the connection.
BOOST_AUTO_TEST_CASE(NothingIsPassedOnBehindARequestThatCloses)
{
  settings_.maxPipelined_ = 8;
  Caller caller(*this);
  caller.Request("GET /plant/1", "Connection: close\r\n");
  caller.Request("GET /plant/2");
  const RequestStart first = NextSent();
  Answer(first, "last");
  BOOST_TEST(Has(caller.ReadToEnd(), "last"));
  BOOST_TEST(sent_.size() == 1U);
}

// Guards against an earlier response that is lost since the body of the next request stops.
BOOST_AUTO_TEST_CASE(AStalledBodyTakesNoEarlierResponseWithIt)
{
  LimitMemory();
  ShortenTimeouts();
  Caller caller(*this);
  caller.LimitReceiveBuffer(kSmallBuffer);
  caller.Request("GET /plant/1");
  Answer(NextSent(), std::string(2 * kDownload, 'y'));
  caller.Request("POST /upload/1", "Content-Length: 1000\r\n", "x");
  BOOST_TEST(ReadSlowly(*this, caller, 1024) > 2 * kDownload);
}

// Guards against an upload that is taken for stalled because it waits for an earlier response and
// is not read meanwhile.
BOOST_AUTO_TEST_CASE(AnUploadThatWaitsItsTurnIsNotStalled)
{
  settings_.maxPipelined_ = 8;
  ShortenTimeouts();
  Caller caller(*this);
  caller.Request("GET /plant/1");
  const RequestStart first = NextSent();
  caller.Request("POST /upload/1", "Content-Length: 100000\r\n", std::string(50'000, 'x').c_str());
  const auto limit = std::chrono::steady_clock::now() + 2500ms;
  RunUntil([&] { return std::chrono::steady_clock::now() > limit; });
  Answer(first, "first");
  caller.ReadPast("first");
  caller.Send(std::string(50'000, 'x'));
  Answer(NextSent(), "stored");
  caller.ReadPast("stored");
}

// Guards against responses that are cut off at the end of a connection because their caller reads
// them later than the connection lingers, and sends more.
BOOST_AUTO_TEST_CASE(AClosingConnectionWaitsForASlowReader)
{
  Caller caller(*this);
  caller.LimitReceiveBuffer();
  caller.Request("GET /plant/1", "Connection: close\r\n");
  Answer(NextSent(), std::string(kDownload, 'y'));
  const auto limit = std::chrono::steady_clock::now() + 2500ms;
  RunUntil([&] {
    caller.TrySend("x");
    return std::chrono::steady_clock::now() > limit;
  });
  BOOST_TEST(caller.ReadToEnd().size() > kDownload);
}

BOOST_AUTO_TEST_SUITE_END()
