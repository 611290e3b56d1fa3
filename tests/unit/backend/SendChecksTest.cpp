#include "BackendBench.hpp"

#include <future>

using namespace redwing;
using namespace redwing::test;

BOOST_AUTO_TEST_SUITE(SendChecks)

// Guards against a request that is sent again past the checks and the retry budget of its caller's
// instance, idempotent or not, when the server closes a keep-alive connection without a response;
// and against a second attempt that meets another connection of which the server has closed its
// end.
BOOST_AUTO_TEST_CASE(LostResponsesAreLeftToTheCallersInstance)
{
  std::atomic<bool> drop{ false };
  Bench bench([&](const FakeRequest& aRequest) {
    return drop.exchange(false) ? FakeServer::Response{ "", true } : Echo(aRequest);
  });
  const auto make = [&](std::uint64_t aAttempt, bool aIdempotent) {
    auto start = bench.Make(aAttempt);
    start.requestId_ = aIdempotent ? "repeatable" : "once";
    start.idempotent_ = aIdempotent;
    return start;
  };
  std::uint64_t attempt = 0;
  std::size_t sent = 0;
  for (const bool idempotent : { false, true }) {
    BOOST_TEST(std::get<ResponseStart>(bench.Run(bench.Make(++attempt))).status_ == 200);
    drop = true;
    const auto refusal = ExpectRefusal(bench.Run(make(++attempt, idempotent)));
    BOOST_TEST((refusal.outcome_ == Outcome::Unknown));
    BOOST_TEST((refusal.code_ == ErrorCode::BackendFailed));
    sent += 2;
    BOOST_TEST(bench.serverRequests_.Size() == sent);
  }
  BOOST_TEST(std::get<ResponseStart>(bench.Run(make(++attempt, true))).status_ == 200);
}

// Guards against a request that reaches a server which was told long ago that it may leave: the
// connection of its first attempt ends without a response while the server drains.
BOOST_AUTO_TEST_CASE(NothingIsSentToALeavingServerAfterALostResponse)
{
  std::promise<void> release;
  const auto released = release.get_future().share();
  std::atomic<int> requests{ 0 };
  Bench bench([&, released](const FakeRequest& aRequest) {
    if (++requests != 2) {
      return Echo(aRequest);
    }
    released.wait();
    return FakeServer::Response{ "", true };
  });
  BOOST_TEST(std::get<ResponseStart>(bench.Run(bench.Make(1))).status_ == 200);
  auto start = bench.Make(2);
  start.idempotent_ = true;
  BOOST_REQUIRE(bench.service_.TryStart(std::move(start)));
  bench.serverRequests_.Await(2);
  bench.service_.OnLeave(bench.clock_.Now());
  release.set_value();
  BOOST_CHECK(ExpectRefusal(bench.responses_.Await(2)[1]).outcome_ == Outcome::Unknown);
  auto again = bench.Make(3);
  again.idempotent_ = true;
  BOOST_CHECK(ExpectRefusal(bench.Run(std::move(again))).code_ == ErrorCode::Draining);
  BOOST_TEST(requests == 2);
}

// Guards against a request that is sent although what its send depends on has ended while its entry
// was being replicated.
BOOST_AUTO_TEST_CASE(AReplicatedRequestIsCheckedAgainBeforeItIsSent)
{
  Inbox<std::function<void(bool)>> waiting;
  Bench bench(Echo, 4, [&](const IdempotencyEntry& aEntry, std::function<void(bool)> aDone) {
    if (aEntry.state_ == IdempotencyState::Running) {
      waiting.Add(std::move(aDone));
    }
  });
  auto start = bench.Make(1);
  start.shard_ = ShardTarget{ 1, 7 };
  start.idempotencyKey_ = "once";
  BOOST_REQUIRE(bench.service_.TryStart(std::move(start)));
  const auto done = waiting.Await(1).front();
  bench.service_.OnLeave(bench.clock_.Now() - 1h);
  done(true);
  const auto refusal = ExpectRefusal(bench.responses_.Await(1)[0]);
  BOOST_CHECK(refusal.code_ == ErrorCode::Draining);
  BOOST_CHECK(refusal.outcome_ == Outcome::NotRun);
  BOOST_TEST(bench.serverRequests_.Size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
