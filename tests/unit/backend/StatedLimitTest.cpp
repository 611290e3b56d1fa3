#include "BackendBench.hpp"

using namespace redwing;
using namespace redwing::test;

namespace {

/// A server whose answers have the header lines of the moment.
struct Stating
{
  static HttpProtocol Protocol()
  {
    HttpProtocol protocol;
    protocol.serverEchoesId_ = true;
    protocol.limitHeader_ = "Limit";
    protocol.leavingHeader_ = "Leaving";
    return protocol;
  }

  FakeServer::Response Answer(const FakeRequest& aRequest)
  {
    const std::string name = "Redwing-Request-Id: ";
    const auto begin = aRequest.head_.find(name);
    const std::string id = aRequest.head_.substr(begin, aRequest.head_.find("\r\n", begin) - begin);
    std::lock_guard lock(mutex_);
    return { FakeServer::Ok("done", id + "\r\n" + lines_) };
  }

  void State(std::string aLines)
  {
    std::lock_guard lock(mutex_);
    lines_ = std::move(aLines);
  }

  RequestStart Make(std::uint64_t aId, std::chrono::milliseconds aTime)
  {
    RequestStart start = bench_.Make(aId);
    start.deadline_ = bench_.clock_.Now() + aTime;
    start.shard_ = ShardTarget{ 3, 7 };
    return start;
  }

  std::mutex mutex_;
  std::string lines_;
  Bench bench_{ [this](const FakeRequest& aRequest) { return Answer(aRequest); },
                4,
                {},
                Protocol() };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StatedLimits, Stating)

// Guards against requests beyond the limit of the only server that may run them being sent, or
// waiting until they are late, and against a refusal that does not tell when there is room.
BOOST_AUTO_TEST_CASE(WhatCannotBeServedWithinTheLimitIsRefusedAtOnce)
{
  State("Limit: 2.5\r\n");
  BOOST_REQUIRE(std::holds_alternative<ResponseStart>(bench_.Run(Make(1, 1s))));
  const auto before = bench_.clock_.Now();
  for (std::uint64_t id = 2; id < 12; ++id) {
    BOOST_REQUIRE(bench_.service_.TryStart(Make(id, 1s)));
  }
  // At most three of ten have room within their second.
  const auto responses = bench_.responses_.Await(8);
  BOOST_TEST((bench_.clock_.Now() - before < 500ms));
  int refused = 0;
  for (const ResponseEvent& event : responses) {
    if (const auto* refusal = std::get_if<Refusal>(&event)) {
      ++refused;
      BOOST_TEST((refusal->outcome_ == Outcome::NotRun));
      BOOST_REQUIRE(refusal->retryAfterMs_.has_value());
      BOOST_TEST(*refusal->retryAfterMs_ >= 200U);
    }
  }
  BOOST_TEST(refused >= 7);
  BOOST_TEST(bench_.serverRequests_.Size() <= 2U);
}

// Guards against a limit that is lifted by a header that can't be read, and against the higher of
// two limits.
BOOST_AUTO_TEST_CASE(UnreadableAndRepeatedLimitsAreNoReasonToSendMore)
{
  State("Limit: 1\r\nLimit: 900\r\n");
  bench_.Run(Make(1, 1s));
  BOOST_TEST(bench_.service_.Status().statedRate_ <= 1.0);
  for (const char* value : { "none", "-3", "nan", "inf", "1e999", "2 apples", "" }) {
    State(std::string("Limit: ") + value + "\r\n");
    bench_.Run(Make(2, 5s));
    bench_.Announce();
    const auto answer = bench_.responses_.Await(1).back();
    BOOST_TEST(std::holds_alternative<ResponseStart>(answer));
  }
  const auto before = bench_.clock_.Now();
  bench_.Run(Make(3, 5s));
  BOOST_TEST((bench_.clock_.Now() - before > 500ms));
  // The first answer without a limit ends it.
  State("");
  bench_.Run(Make(4, 5s));
  const auto free = bench_.clock_.Now();
  for (std::uint64_t id = 5; id < 10; ++id) {
    bench_.Run(Make(id, 5s));
  }
  BOOST_TEST((bench_.clock_.Now() - free < 1s));
}

// Guards against new and queued requests of a server that says only in its answers that it leaves.
BOOST_AUTO_TEST_CASE(AnyAnswerMaySayThatTheServerLeaves)
{
  State("Leaving: 0\r\n");
  bench_.Run(Make(1, 5s));
  BOOST_CHECK(bench_.service_.Status().state_ != BackendState::Draining);
  State("Limit: 0.5\r\n");
  bench_.Run(Make(2, 5s));
  RequestStart queued = bench_.Make(3);
  BOOST_REQUIRE(bench_.service_.TryStart(std::move(queued)));
  State("leaving: 1\r\n");
  BOOST_REQUIRE(bench_.service_.TryStart(Make(4, 10s)));
  // One of the two gets through and is answered; no later one does.
  bench_.responses_.Await(4);
  BOOST_CHECK(bench_.service_.Status().state_ == BackendState::Draining);
  const auto served = bench_.serverRequests_.Size();
  BOOST_TEST((ExpectRefusal(bench_.Run(bench_.Make(5))).code_ == ErrorCode::Draining));
  bench_.service_.OnAnnounce(
    { "svc", { "127.0.0.1", bench_.server_.Port() }, 4, 32, {}, "run-2", "run-2" });
  BOOST_TEST(bench_.serverRequests_.Size() == served);
  State("");
  // The next run is up once it was asked for its health.
  std::uint64_t id = 6;
  while (!std::holds_alternative<ResponseStart>(bench_.Run(bench_.Make(id)))) {
    BOOST_REQUIRE(++id < 1000);
    std::this_thread::sleep_for(5ms);
  }
}

BOOST_AUTO_TEST_SUITE_END()
