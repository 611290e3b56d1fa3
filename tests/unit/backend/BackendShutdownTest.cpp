#include "BackendBench.hpp"

#include <future>

using namespace redwing;
using namespace redwing::test;

namespace {

/// A server with one slot that answers once it is released.
struct Busy
{
  Busy()
    : bench_(
        [this](const FakeRequest& aRequest) {
          released_.wait();
          return Echo(aRequest);
        },
        1)
  {
    BOOST_REQUIRE(bench_.service_.TryStart(bench_.Make(1)));
    bench_.serverRequests_.Await(1);
  }
  ~Busy() { Release(); }

  void Release()
  {
    if (!std::exchange(done_, true)) {
      release_.set_value();
    }
  }

  std::promise<void> release_;
  std::shared_future<void> released_{ release_.get_future() };
  bool done_ = false;
  Bench bench_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BackendShutdown, Busy)

// Guards against requests that wait in the queue until the instance of their caller has ended.
BOOST_AUTO_TEST_CASE(RecalledRequestsAreRefusedOnlyIfTheyDoNotRun)
{
  BOOST_REQUIRE(bench_.service_.TryStart(bench_.Make(2)));
  bench_.service_.Handle(RequestRecall{ { kLocalLink, 1 } });
  bench_.service_.Handle(RequestRecall{ { kLocalLink, 2 } });
  const Refusal refusal = ExpectRefusal(bench_.responses_.Await(1).front());
  BOOST_TEST(refusal.key_.exchangeId_ == 2U);
  BOOST_TEST((refusal.code_ == ErrorCode::Draining));
  BOOST_TEST((refusal.outcome_ == Outcome::NotRun));
  Release();
  const auto answer = std::get<ResponseStart>(bench_.responses_.Await(2)[1]);
  BOOST_TEST(answer.key_.exchangeId_ == 1U);
  BOOST_TEST(bench_.serverRequests_.Size() == 1U);
}

// Guards against requests that are run although their answer comes too late to be passed on.
BOOST_AUTO_TEST_CASE(QueuedRequestsAreRefusedWhenTheyCannotBeAnsweredBeforeTheirInstanceEnds)
{
  auto start = bench_.Make(2);
  start.answerBy_ = bench_.clock_.Now() + 60ms;
  const Refusal refusal = ExpectRefusal(bench_.Run(std::move(start)));
  BOOST_TEST(refusal.key_.exchangeId_ == 2U);
  BOOST_TEST((refusal.outcome_ == Outcome::NotRun));
  Release();
  bench_.responses_.Await(2);
  auto late = bench_.Make(3);
  late.answerBy_ = bench_.clock_.Now();
  BOOST_TEST((ExpectRefusal(bench_.Run(std::move(late))).outcome_ == Outcome::NotRun));
  BOOST_TEST(bench_.serverRequests_.Size() == 1U);
}

// Guards against a server that is given less time because the instance of the caller stops.
BOOST_AUTO_TEST_CASE(ServersAreGivenTheTimeOfTheCallerDuringAShutdown)
{
  Release();
  bench_.responses_.Await(1);
  auto start = bench_.Make(2);
  start.answerBy_ = bench_.clock_.Now() + 5s;
  bench_.Run(std::move(start));
  const std::string head = bench_.serverRequests_.Await(2)[1].head_;
  const std::string name = "Redwing-Deadline-Ms: ";
  const auto at = head.find(name);
  BOOST_REQUIRE(at != std::string::npos);
  BOOST_TEST(std::stoi(head.substr(at + name.size())) > 9'000);
}

// Guards against requests of other instances that wait in the queue of an instance until it ends.
BOOST_AUTO_TEST_CASE(QueuedRequestsAreRefusedBeforeTheServingInstanceEnds)
{
  BOOST_REQUIRE(bench_.service_.TryStart(bench_.Make(2)));
  Inbox<int> drained;
  bench_.service_.LimitAnswers(bench_.clock_.Now() + 60ms);
  bench_.service_.BeginDrain([&] { drained.Add(1); });
  const Refusal refusal = ExpectRefusal(bench_.responses_.Await(1).front());
  BOOST_TEST(refusal.key_.exchangeId_ == 2U);
  BOOST_TEST((refusal.code_ == ErrorCode::Draining));
  BOOST_TEST((refusal.outcome_ == Outcome::NotRun));
  Release();
  drained.Await(1);
  BOOST_TEST(std::get<ResponseStart>(bench_.responses_.Await(2)[1]).key_.exchangeId_ == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against requests that may not be repeated and are passed to an idle server late in the
// grace period of their instance, whose end cuts them (reported by users of a similar system).
BOOST_AUTO_TEST_CASE(RequestsThatOutlastTheirInstanceAreNotSentToAnIdleServer)
{
  Bench bench([](const FakeRequest& aRequest) {
    std::this_thread::sleep_for(150ms);
    return Echo(aRequest);
  });
  auto first = bench.Make(1);
  first.answerBy_ = bench.clock_.Now() + 10s;
  BOOST_TEST(std::holds_alternative<ResponseStart>(bench.Run(std::move(first))));
  auto late = bench.Make(2);
  late.answerBy_ = bench.clock_.Now() + 75ms;
  BOOST_TEST((ExpectRefusal(bench.Run(std::move(late))).outcome_ == Outcome::NotRun));
  auto inTime = bench.Make(3);
  inTime.answerBy_ = bench.clock_.Now() + 5s;
  BOOST_TEST(std::holds_alternative<ResponseStart>(bench.Run(std::move(inTime))));
  BOOST_TEST(bench.serverRequests_.Size() == 2U);
}
