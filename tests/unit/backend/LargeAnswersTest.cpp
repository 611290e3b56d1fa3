#include "BackendBench.hpp"

using namespace redwing;
using namespace redwing::test;

namespace {

constexpr std::size_t kBytes = 200'000;

/// A server with large answers behind a link on which one of them takes 0.5 s.
struct NarrowLink
{
  FakeServer::Response Answer(const FakeRequest& aRequest)
  {
    if (aRequest.target_ == "/small") {
      return { FakeServer::Ok("small") };
    }
    FakeServer::Response response{ FakeServer::Ok(body_) };
    if (aRequest.target_ == "/broken") {
      response.text_.resize(response.text_.size() - kBytes / 2);
      response.closeAfter_ = true;
    }
    return response;
  }

  RequestStart Make(std::uint64_t aId, const char* aTarget, std::chrono::milliseconds aTime)
  {
    RequestStart start = bench_.Make(aId);
    start.target_ = aTarget;
    start.class_ = start.target_ == "/small" ? "small" : "download";
    start.targetTime_ = bench_.clock_.Now() + aTime;
    return start;
  }

  /// Returns the events of an exchange when its last one has come.
  std::vector<ResponseEvent> Await(std::uint64_t aId)
  {
    for (std::size_t count = 1;; ++count) {
      std::vector<ResponseEvent> own;
      for (const ResponseEvent& event : bench_.responses_.Await(count)) {
        if (KeyOf(event).exchangeId_ == aId) {
          own.push_back(event);
        }
      }
      if (!own.empty() && (EndsBody(own.back()) || std::holds_alternative<Refusal>(own.back()) ||
                           std::holds_alternative<ResponseAbort>(own.back()))) {
        return own;
      }
    }
  }

  static std::string BodyOf(const std::vector<ResponseEvent>& aEvents)
  {
    std::string body;
    for (const ResponseEvent& event : aEvents) {
      const auto* start = std::get_if<ResponseStart>(&event);
      body += start != nullptr ? start->body_ : std::get<ResponseBody>(event).bytes_;
    }
    return body;
  }

  std::string body_ = [] {
    std::string body(kBytes, ' ');
    for (std::size_t i = 0; i < kBytes; ++i) {
      body[i] = static_cast<char>('a' + i % 23);
    }
    return body;
  }();
  Bench bench_{ [this](const FakeRequest& aRequest) { return Answer(aRequest); }, 4, {}, {}, 4e6 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LargeAnswers, NarrowLink)

// Guards against bodies that lose or mix bytes in the pacing, and against small responses that wait
// for large ones.
BOOST_AUTO_TEST_CASE(LargeAnswersArriveWholeAndSmallOnesFirst)
{
  const auto begin = bench_.clock_.Now();
  BOOST_REQUIRE(bench_.service_.TryStart(Make(1, "/large", 5s)));
  BOOST_REQUIRE(bench_.service_.TryStart(Make(2, "/large", 5s)));
  bench_.serverRequests_.Await(2);
  BOOST_REQUIRE(bench_.service_.TryStart(Make(3, "/small", 5s)));
  BOOST_TEST(BodyOf(Await(3)) == "small");
  BOOST_TEST((BodyOf(Await(1)) == body_));
  BOOST_TEST((BodyOf(Await(2)) == body_));
  const auto events = bench_.responses_.Await(1);
  const auto firstEnd = std::find_if(events.begin(), events.end(), EndsBody);
  BOOST_TEST(KeyOf(*firstEnd).exchangeId_ == 3U);
  // 400,000 bytes at 0.8 of 500,000 a second.
  BOOST_TEST((bench_.clock_.Now() - begin > 900ms));
}

// Guards against late large responses that are run, against refusals that do not tell when there is
// room, and against refusals of other routes.
BOOST_AUTO_TEST_CASE(WhatWouldBeLateIsRefusedBeforeItRuns)
{
  BOOST_REQUIRE(bench_.service_.TryStart(Make(1, "/large", 100ms)));
  bench_.serverRequests_.Await(1);
  Await(1);
  BOOST_REQUIRE(bench_.service_.TryStart(Make(2, "/large", 5s)));
  BOOST_REQUIRE(bench_.service_.TryStart(Make(3, "/large", 600ms)));
  const Refusal refusal = ExpectRefusal(Await(3).back());
  BOOST_TEST((refusal.outcome_ == Outcome::NotRun));
  BOOST_TEST((refusal.code_ == ErrorCode::Overloaded));
  BOOST_TEST(refusal.detail_ == "link_full");
  BOOST_TEST(refusal.retryAfterMs_.value_or(0) >= 200U);
  BOOST_TEST(refusal.load_.byteWaitUs_ > 100'000U);
  BOOST_TEST(refusal.load_.byteTimeUs_ > 400'000U);
  BOOST_REQUIRE(bench_.service_.TryStart(Make(4, "/small", 600ms)));
  BOOST_TEST(BodyOf(Await(4)) == "small");
  Await(2);
  BOOST_TEST(bench_.serverRequests_.Size() == 3U);
}

// Guards against a broken response that ends as a complete one, and against an abort of a response
// whose head was never sent on, which an ingress could repeat.
BOOST_AUTO_TEST_CASE(ABrokenAnswerIsNeverAComplete)
{
  BOOST_REQUIRE(bench_.service_.TryStart(Make(1, "/large", 5s)));
  bench_.responses_.Await(1);
  BOOST_REQUIRE(bench_.service_.TryStart(Make(2, "/broken", 5s)));
  const auto events = Await(2);
  BOOST_TEST(events.size() == 1U);
  BOOST_TEST((ExpectRefusal(events.back()).outcome_ == Outcome::Unknown));
  BOOST_TEST((BodyOf(Await(1)) == body_));
}

// Guards against the bytes of a caller that has left taking the link from others, and against an
// instance that stops before the last response was sent.
BOOST_AUTO_TEST_CASE(ACallerThatLeavesFreesTheLinkAndADrainWaits)
{
  BOOST_REQUIRE(bench_.service_.TryStart(Make(1, "/large", 5s)));
  bench_.responses_.Await(1);
  bench_.service_.Handle(RequestCancel{ { kLocalLink, 1 } });
  // The links on the way keep the exchange until its last event.
  bench_.responses_.AwaitUntil([](const auto& aEvents) {
    return std::any_of(aEvents.begin(), aEvents.end(), [](const ResponseEvent& aEvent) {
      return KeyOf(aEvent).exchangeId_ == 1 && (std::holds_alternative<ResponseAbort>(aEvent) ||
                                                std::holds_alternative<Refusal>(aEvent));
    });
  });
  const auto begin = bench_.clock_.Now();
  BOOST_REQUIRE(bench_.service_.TryStart(Make(2, "/large", 5s)));
  bench_.responses_.Await(3);
  std::atomic<bool> drained{ false };
  bench_.service_.BeginDrain([&] { drained = true; });
  BOOST_TEST(!drained);
  BOOST_TEST((BodyOf(Await(2)) == body_));
  BOOST_TEST((bench_.clock_.Now() - begin > 400ms));
}

BOOST_AUTO_TEST_SUITE_END()
