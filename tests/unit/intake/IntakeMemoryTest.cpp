#include "IntakeFixture.hpp"

#include <memory>
#include <sstream>
#include <vector>

using namespace redwing;
using namespace redwing::test;

namespace {

struct LimitedIntake : IntakeFixture
{
  LimitedIntake()
  {
    memoryBudget_ = &budget_;
    settings_.closesIdleForNew_ = true;
  }

  // The service accounts for its connections until it ends.
  ~LimitedIntake() { service_.reset(); }

  void Limit(CallerLimits aLimits)
  {
    callerLimits_ = aLimits;
    Publish();
  }

  std::uint64_t Actions(const std::string& aAction)
  {
    return counters_.GetCounter("redwing_memory_actions_total", "action=\"" + aAction + "\"")
      .Value();
  }

  static constexpr std::size_t kMegabyte = 1024 * 1024;
  MemoryBudget budget_{ 40 * kMegabyte, counters_ };
};

std::string
Chunk(std::size_t aBytes)
{
  std::ostringstream text;
  text << std::hex << aBytes << "\r\n" << std::string(aBytes, 'x') << "\r\n";
  return text.str();
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(IntakeMemory, LimitedIntake)

// Guards against bodies over the limit that are passed on, whether their length is stated or not.
BOOST_AUTO_TEST_CASE(BodiesOverTheLimitGet413)
{
  Limit({ 0, 1000, {}, {} });
  for (const bool announced : { true, false }) {
    Caller caller(*this);
    caller.Request("POST /upload/1",
                   announced ? "Content-Length: 1001\r\n" : "Transfer-Encoding: chunked\r\n",
                   announced ? "x" : Chunk(1001).c_str());
    BOOST_TEST(Has(caller.ReadToEnd(), "HTTP/1.1 413 "));
  }
  BOOST_TEST(sent_.empty());
  BOOST_TEST(Actions("body_too_large") == 2U);
}

// Guards against a 413, which says that a request never runs, for one that was passed on in part.
BOOST_AUTO_TEST_CASE(ABodyOverTheLimitAfterItWasPassedOnIsReset)
{
  Limit({ 0, 100'000, {}, {} });
  Caller caller(*this);
  caller.Request("POST /upload/1", "Transfer-Encoding: chunked\r\n", Chunk(70'000).c_str());
  const RequestStart request = NextSent();
  BOOST_TEST(!request.last_);
  caller.Send(Chunk(40'000));
  const std::string text = caller.ReadToEnd();
  BOOST_TEST(text.empty());
  RunUntil([&] { return !EventsOf<RequestCancel>().empty(); });
}

// Guards against bodies that are held although their memory is taken, against a wait without end,
// and against a refusal that does not say that the request did not run.
BOOST_AUTO_TEST_CASE(ABodyWaitsForMemoryAndIsRefused)
{
  HeldMemory taken(budget_, MemoryHolder::Responses);
  taken.Set(budget_.Limit() / 2);
  Caller large(*this);
  large.Request("POST /upload/1", "Content-Length: 60000\r\n", "x");
  Caller small(*this);
  small.Request("POST /upload/2", "Content-Length: 1\r\n", "x");
  BOOST_TEST(NextSent().target_ == "/upload/2");
  const std::string text = large.ReadToEnd();
  BOOST_TEST(Has(text, "HTTP/1.1 503 "));
  BOOST_TEST(Has(text, "Redwing-Outcome: not-run"));
  BOOST_TEST(Actions("request_refused") == 1U);
  BOOST_TEST(sent_.size() == 1U);
}

// Guards against a body that waits on although memory was given back.
BOOST_AUTO_TEST_CASE(ABodyGoesOnOnceThereIsMemory)
{
  HeldMemory taken(budget_, MemoryHolder::Responses);
  taken.Set(budget_.Limit() / 2);
  Caller caller(*this);
  caller.Request("POST /upload/1", "Content-Length: 60000\r\n", std::string(60000, 'x').c_str());
  taken.Set(0);
  BOOST_TEST(NextSent().body_.size() == 60000U);
}

// Guards against a body that stopped and keeps its memory from those that wait.
BOOST_AUTO_TEST_CASE(AStalledBodyGivesWay)
{
  Caller stalled(*this);
  stalled.Request("POST /upload/1", "Content-Length: 1000000\r\n", "x");
  RunUntil([&] { return budget_.Held() > 500'000; });
  HeldMemory taken(budget_, MemoryHolder::Responses);
  taken.Set(budget_.Limit() / 2 - budget_.Held());
  Caller waiting(*this);
  waiting.Request("POST /upload/2", "Content-Length: 60000\r\n", std::string(60000, 'x').c_str());
  BOOST_TEST(NextSent().target_ == "/upload/2");
  BOOST_TEST(stalled.ReadToEnd().empty());
  BOOST_TEST(Actions("stalled_body_closed") == 1U);
}

// Guards against a body that is taken for a stalled one because it was not read while it waited for
// memory: its caller did nothing wrong, and gets its turn while others wait on.
BOOST_AUTO_TEST_CASE(ABodyThatWaitedIsNotStalled)
{
  HeldMemory taken(budget_, MemoryHolder::Responses);
  taken.Set(budget_.Limit() / 2);
  const std::string body(60000, 'x');
  Caller first(*this);
  first.Request("POST /upload/1", "Content-Length: 60000\r\n", body.c_str());
  Caller second(*this);
  second.Request("POST /upload/2", "Content-Length: 60000\r\n", body.c_str());
  const TimePoint longer = clock_.Now() + std::chrono::milliseconds(1300);
  RunUntil([&] { return clock_.Now() >= longer; });
  constexpr std::size_t kRoomForOne = 250'000;
  taken.Set(budget_.Limit() / 2 - kRoomForOne);
  BOOST_TEST(NextSent().body_.size() == body.size());
  BOOST_TEST(Actions("stalled_body_closed") == 0U);
}

// Guards against responses that exceed the limit for callers who do not read them.
BOOST_AUTO_TEST_CASE(TheConnectionThatHoldsMostIsClosed)
{
  Caller idle(*this);
  Caller slow(*this);
  slow.Request("GET /plant/1");
  const RequestStart request = NextSent();
  HeldMemory taken(budget_, MemoryHolder::PeerLinks);
  taken.Set(budget_.Limit() * 9 / 10 - 100'000);
  ResponseStart response;
  response.status_ = 200;
  response.body_ = std::string(900'000, 'x');
  response.last_ = false;
  Respond(request, response);
  RunUntil([&] { return Actions("largest_holder_closed") == 1U; });
  BOOST_TEST(!budget_.Exceeded());
  idle.Request("GET /plant/2");
  BOOST_TEST(NextSent().target_ == "/plant/2");
}

// Guards against a response that is cut off because its reader is slow, though it never stops.
BOOST_AUTO_TEST_CASE(ASlowReaderThatGoesOnGetsTheWholeResponse)
{
  Limit({ 0, 0, {}, std::chrono::milliseconds(2000) });
  Caller slow(*this);
  slow.LimitReceiveBuffer();
  slow.Request("GET /plant/1");
  // The buffers of the system take a part at once.
  constexpr std::size_t kBody = 500'000;
  Answer(NextSent(), std::string(kBody, 'x'));
  auto next = std::chrono::steady_clock::now();
  bool open = true;
  RunUntil([&] {
    if (std::chrono::steady_clock::now() >= next) {
      next += std::chrono::milliseconds(100);
      open = slow.Take(10'000);
    }
    return !open || slow.Received() > kBody;
  });
  BOOST_TEST(slow.Received() > kBody);
}

// Guards against buffers of large heads and responses that idle connections keep.
BOOST_AUTO_TEST_CASE(IdleConnectionsHoldLittle)
{
  Caller caller(*this);
  RunUntil([&] { return budget_.Held() > 0; });
  const std::size_t idle = budget_.Held();
  caller.Request("GET /plant/1", "X-Long: " + std::string(12'000, 'x') + "\r\n");
  Answer(NextSent(), std::string(200'000, 'x') + "end");
  caller.ReadPast("end");
  RunUntil([&] { return budget_.Held() <= 2 * idle; });
}

// Guards against the reservation of a body that lasts until the response has ended.
BOOST_AUTO_TEST_CASE(ABodyThatWasPassedOnIsGivenBack)
{
  Caller caller(*this);
  RunUntil([&] { return budget_.Held() > 0; });
  const std::size_t before = budget_.Held();
  caller.Request("POST /upload/1", "Content-Length: 60000\r\n", std::string(60000, 'x').c_str());
  const RequestStart request = NextSent();
  BOOST_TEST(budget_.Held() >= before + 60000);
  ResponseStart response;
  response.status_ = 200;
  response.body_ = "part";
  response.last_ = false;
  Respond(request, response);
  caller.ReadPast("part");
  RunUntil([&] { return budget_.Held() < before + 20000; });
}

// Guards against a caller that keeps the memory of a body by a byte now and then while others wait.
BOOST_AUTO_TEST_CASE(ATricklingBodyGivesWay)
{
  Caller trickling(*this);
  trickling.Request("POST /upload/1", "Content-Length: 1000000\r\n", "x");
  RunUntil([&] { return budget_.Held() > 500'000; });
  HeldMemory taken(budget_, MemoryHolder::Responses);
  taken.Set(budget_.Limit() / 2 - budget_.Held());
  std::vector<std::unique_ptr<Caller>> waiting;
  RunUntil([&] {
    trickling.TrySend("x");
    if (waiting.empty() || !waiting.back()->Take()) {
      // A body that waits for 2 s is refused; its caller comes back.
      waiting.push_back(std::make_unique<Caller>(*this));
      waiting.back()->Request(
        "POST /upload/2", "Content-Length: 60000\r\n", std::string(60000, 'x').c_str());
    }
    return sent_.size() > taken_;
  });
  BOOST_TEST(NextSent().target_ == "/upload/2");
  trickling.ReadToEnd();
  BOOST_TEST(Actions("stalled_body_closed") == 1U);
}

// Guards against a request that ends without a response because its head waits for memory.
BOOST_AUTO_TEST_CASE(AHeadThatWaitsForMemoryIsRefused)
{
  Limit({ 0, 0, std::chrono::milliseconds(300), {} });
  Caller first(*this);
  first.Request("GET /plant/1");
  NextSent();
  Caller caller(*this);
  RunUntil([&] { return counters_.GetGauge("redwing_caller_connections").Value() == 2; });
  HeldMemory taken(budget_, MemoryHolder::Responses);
  taken.Set(budget_.Limit() * 8 / 10);
  caller.Request("GET /plant/2");
  std::string text = caller.ReadToEnd();
  BOOST_TEST(Has(text, "HTTP/1.1 503 "));
  BOOST_TEST(Has(text, "Redwing-Outcome: not-run"));
  // A head that is larger than the first buffer.
  taken.Set(0);
  caller.Close();
  RunUntil([&] { return counters_.GetGauge("redwing_caller_connections").Value() == 1; });
  Caller large(*this);
  RunUntil([&] { return counters_.GetGauge("redwing_caller_connections").Value() == 2; });
  taken.Set(budget_.Limit() * 8 / 10);
  large.Request("GET /plant/3", "X-Long: " + std::string(8000, 'x') + "\r\n");
  text = large.ReadToEnd();
  BOOST_TEST(Has(text, "HTTP/1.1 503 "));
  BOOST_TEST(sent_.size() == 1U);
}

// Guards against silent connections that keep ordinary callers out.
BOOST_AUTO_TEST_CASE(ASilentConnectionGivesWayToANewOne)
{
  settings_.maxConnections_ = 2;
  Caller served(*this);
  served.Request("GET /plant/1");
  Answer(NextSent(), "first");
  served.ReadPast("first");
  Caller silent(*this);
  RunUntil([&] { return counters_.GetGauge("redwing_caller_connections").Value() == 2; });
  const auto later = std::chrono::steady_clock::now() + std::chrono::milliseconds(600);
  RunUntil([&] { return std::chrono::steady_clock::now() > later; });
  Caller other(*this);
  other.Request("GET /plant/2");
  BOOST_TEST(NextSent().target_ == "/plant/2");
  BOOST_TEST(silent.ReadToEnd().empty());
  served.Request("GET /plant/3");
  BOOST_TEST(NextSent().target_ == "/plant/3");
}

// Guards against heads that never end and keep their connections by one more byte each moment.
BOOST_AUTO_TEST_CASE(AHeadHasATimeLimitFromItsFirstByte)
{
  Limit({ 0, 0, std::chrono::milliseconds(300), {} });
  Caller caller(*this);
  caller.Send("GET /plant/1 HTTP/1.1\r\nX-More: ");
  RunUntil([&] {
    caller.TrySend("x");
    return !caller.Take();
  });
  BOOST_TEST(Actions("timed_out") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
