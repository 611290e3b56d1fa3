#include "IntakeFixture.hpp"

using namespace redwing;
using namespace redwing::test;
using std::chrono::milliseconds;

namespace {

/// An intake that is about to stop.
struct Stopping : IntakeFixture
{
  Stopping() { settings_.acceptGrace_ = milliseconds(10'000); }

  void BeginShutdown(milliseconds aAnswerIn)
  {
    answerBy_ = clock_.Now() + aAnswerIn;
    Service().BeginShutdown(answerBy_, [] {});
  }

  /// Reads a refusal after which the caller may go elsewhere at once.
  static void ExpectNotRun(Caller& aCaller)
  {
    const std::string text = aCaller.ReadToEnd();
    BOOST_TEST(Has(text, "HTTP/1.1 503"));
    BOOST_TEST(Has(text, "Redwing-Error: draining"));
    BOOST_TEST(Has(text, "Redwing-Outcome: not-run"));
    BOOST_TEST(Has(text, "Retry-After: "));
    BOOST_TEST(Has(text, "Connection: close"));
  }

  TimePoint answerBy_{};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(IntakeShutdown, Stopping)

// Guards against a request that waits in the queue of another instance until the process ends
// (halvorsen-ducts-grown, mix --seed 53221592914).
BOOST_AUTO_TEST_CASE(QueuedRequestsAreRecalledAndRefusedBeforeTheEnd)
{
  for (const char* line : { "GET /plant/1", "POST /upload/1" }) {
    service_.reset();
    events_.clear();
    Caller caller(*this);
    caller.Request(line);
    const RequestStart request = NextSent();
    BeginShutdown(milliseconds(50));
    RunUntil([&] { return !EventsOf<RequestRecall>().empty(); });
    BOOST_TEST((clock_.Now() >= answerBy_));
    BOOST_TEST(EventsOf<RequestRecall>().front().key_.exchangeId_ == request.key_.exchangeId_);
    BOOST_TEST(EventsOf<RequestCancel>().empty());
    const std::size_t sent = sent_.size();
    Refuse(request, ErrorCode::Draining, Outcome::NotRun);
    ExpectNotRun(caller);
    BOOST_TEST(sent_.size() == sent);
  }
}

// Guards against an answer of our own in place of that of a server that is at work.
BOOST_AUTO_TEST_CASE(RunningRequestsAreAnsweredAfterARecall)
{
  Caller caller(*this);
  caller.Request("POST /upload/1");
  const RequestStart request = NextSent();
  BeginShutdown(milliseconds(20));
  RunUntil([&] { return !EventsOf<RequestRecall>().empty(); });
  Answer(request, "stored");
  BOOST_TEST(Has(caller.ReadToEnd(), "stored"));
}

// Guards against requests that are taken late in the grace period and cut when the process ends,
// and against servers that are given less time than the caller has.
BOOST_AUTO_TEST_CASE(RequestsSentDuringAShutdownCarryTheTimeOfTheLastAnswer)
{
  Caller caller(*this);
  caller.Request("GET /plant/1");
  const RequestStart before = NextSent();
  BOOST_TEST((before.answerBy_ == TimePoint::max()));
  Answer(before, "one");
  caller.ReadPast("one");
  BeginShutdown(milliseconds(5'000));
  caller.Request("POST /upload/1");
  const RequestStart request = NextSent();
  BOOST_TEST((request.answerBy_ == answerBy_));
  BOOST_TEST((request.deadline_ > answerBy_));
  Refuse(request, ErrorCode::DeadlineExceeded, Outcome::NotRun);
  ExpectNotRun(caller);
  BOOST_TEST(sent_.size() == 2U);
}

// Guards against a refusal of a request that another member could have served before the end.
BOOST_AUTO_TEST_CASE(RefusedRequestsAreSentToAnotherMemberDuringAShutdown)
{
  BeginShutdown(milliseconds(10'000));
  Caller caller(*this);
  caller.Request("POST /upload/1");
  Refuse(NextSent(), ErrorCode::Overloaded, Outcome::NotRun);
  Answer(NextSent(), "stored");
  BOOST_TEST(Has(caller.ReadToEnd(), "stored"));
}

// Guards against requests that wait for an allowance, an owner or their body until the process
// ends.
BOOST_AUTO_TEST_CASE(RequestsThatWaitAtThisInstanceAreRefusedBeforeTheEnd)
{
  owner_.clear();
  successor_.clear();
  settings_.ownerWait_ = milliseconds(60'000);
  Publish();
  Caller ownerless(*this);
  ownerless.Request("POST /book/42");
  Caller unfinished(*this);
  unfinished.Request("POST /upload/1", "Content-Length: 5\r\n", "ab");
  holdAdmission_ = true;
  Caller held(*this);
  held.Request("GET /plant/1");
  RunUntil([&] { return !held_.empty(); });
  BeginShutdown(milliseconds(50));
  ExpectNotRun(ownerless);
  ExpectNotRun(unfinished);
  ExpectNotRun(held);
  BOOST_TEST((clock_.Now() >= answerBy_));
  BOOST_TEST(sent_.empty());
}

// Guards against a request on a kept connection that is begun when it cannot be answered any more.
BOOST_AUTO_TEST_CASE(RequestsBehindALongOneAreRefusedAfterTheLastAnswer)
{
  settings_.maxPipelined_ = 2;
  Caller caller(*this);
  const std::string head =
    std::string(" HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer ") + kApiKey + "\r\n\r\n";
  caller.Send("GET /plant/1" + head + "POST /upload/2" + head);
  const RequestStart first = NextSent();
  BeginShutdown(milliseconds(20));
  RunUntil([&] { return !EventsOf<RequestRecall>().empty(); });
  Answer(first, "one");
  BOOST_TEST(Has(caller.ReadPast("one"), "HTTP/1.1 200"));
  ExpectNotRun(caller);
  BOOST_TEST(sent_.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
