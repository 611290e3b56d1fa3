#include "BackendBench.hpp"

#include <future>

using namespace redwing;
using namespace redwing::test;

namespace {

constexpr std::uint64_t kOrder = 7;

/// A server of version v2 beside an instance that a leader directs.
struct ServingFixture
{
  explicit ServingFixture(FakeServer::Handler aHandler = Echo)
    : bench_(std::move(aHandler))
  {
    AnnounceVersion("v2");
  }

  void AnnounceVersion(const std::string& aVersion)
  {
    BackendAnnouncement announcement;
    announcement.service_ = "svc";
    announcement.address_ = { "127.0.0.1", bench_.server_.Port() };
    announcement.slots_ = 4;
    announcement.connections_ = 32;
    announcement.version_ = aVersion;
    bench_.service_.OnAnnounce(announcement);
  }
  void Direct(RolloutPhase aPhase, std::uint64_t aLimit = 0, TimePoint aSentAt = {})
  {
    bench_.service_.OnRollout({ "svc", "v2", kOrder, aPhase, 0.1, { "self" }, aLimit, 60'000 },
                              aSentAt);
  }
  ServerCounts Counts()
  {
    std::promise<ServerCounts> counts;
    asio::post(bench_.context_,
               [&] { counts.set_value(bench_.service_.CountsSince("svc", kOrder)); });
    return counts.get_future().get();
  }
  void ExpectRefused(std::uint64_t aId, const std::string& aDetail)
  {
    const ResponseEvent event = bench_.Run(bench_.Make(aId));
    const Refusal& refusal = ExpectRefusal(event);
    BOOST_CHECK(refusal.code_ == ErrorCode::Draining);
    BOOST_CHECK(refusal.outcome_ == Outcome::NotRun);
    BOOST_TEST(refusal.detail_ == aDetail);
  }
  bool Answered(std::uint64_t aId)
  {
    return std::holds_alternative<ResponseStart>(bench_.Run(bench_.Make(aId)));
  }

  Bench bench_;
};

/// Answers failures to targets that contain "bad", closes on "broken", rejects "shed".
FakeServer::Response
Faulty(const FakeRequest& aRequest)
{
  if (aRequest.target_.find("bad") != std::string::npos) {
    return { "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n" };
  }
  if (aRequest.target_.find("broken") != std::string::npos) {
    return { "", true };
  }
  if (aRequest.target_.find("shed") != std::string::npos) {
    return { "HTTP/1.1 503 X\r\nRedwing-Shed: not-run\r\nContent-Length: 0\r\n\r\n" };
  }
  return Echo(aRequest);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RolloutServing)

// Guards against requests at a server of the target version without a permission or above it.
BOOST_AUTO_TEST_CASE(TheServerGetsNoMoreThanItsPermission)
{
  ServingFixture serving;
  BOOST_TEST(serving.Answered(1));
  serving.Direct(RolloutPhase::Canary);
  serving.ExpectRefused(2, "rollout_no_permission");
  serving.Direct(RolloutPhase::Canary, 2, serving.bench_.clock_.Now());
  BOOST_TEST(serving.Answered(3));
  BOOST_TEST(serving.Answered(4));
  serving.ExpectRefused(5, "rollout_limit");
  serving.Direct(RolloutPhase::RolledBack);
  serving.ExpectRefused(6, "rollout_closed");
  BOOST_TEST(serving.bench_.serverRequests_.Size() == 3U);
  BOOST_TEST(serving.Counts().arrivals_ == 2U);
  BOOST_TEST(serving.Counts().closed_);
}

// Guards against requests that wait until their deadline, or run, when their server is closed; and
// against an instance that reports itself idle while its server works.
BOOST_AUTO_TEST_CASE(QueuedRequestsLeaveAClosedServer)
{
  std::promise<void> release;
  const auto released = release.get_future().share();
  ServingFixture serving([released](const FakeRequest& aRequest) {
    released.wait();
    return Echo(aRequest);
  });
  serving.AnnounceVersion("v1");
  for (std::uint64_t id = 1; id <= 6; ++id) {
    BOOST_REQUIRE(serving.bench_.service_.TryStart(serving.bench_.Make(id)));
  }
  serving.bench_.serverRequests_.Await(4);
  serving.Direct(RolloutPhase::Closing);
  const auto refused = serving.bench_.responses_.Await(2);
  BOOST_TEST(ExpectRefusal(refused[0]).detail_ == "rollout_closed");
  BOOST_TEST(ExpectRefusal(refused[1]).detail_ == "rollout_closed");
  const ServerCounts counts = serving.Counts();
  BOOST_TEST(counts.closed_);
  BOOST_TEST(counts.running_ == 4U);
  release.set_value();
  serving.bench_.responses_.Await(6);
  BOOST_TEST(serving.Counts().running_ == 0U);
  BOOST_TEST(serving.bench_.serverRequests_.Size() == 4U);
}

// Guards against a second attempt that exceeds the permission after the server closed its
// connection.
BOOST_AUTO_TEST_CASE(ASecondAttemptNeedsAPermission)
{
  std::atomic<int> requests{ 0 };
  ServingFixture serving([&](const FakeRequest& aRequest) {
    return ++requests == 2 ? FakeServer::Response{ "", true } : Echo(aRequest);
  });
  serving.Direct(RolloutPhase::Canary, 2, serving.bench_.clock_.Now());
  BOOST_TEST(serving.Answered(1));
  RequestStart start = serving.bench_.Make(2);
  start.idempotent_ = true;
  const ResponseEvent event = serving.bench_.Run(std::move(start));
  BOOST_CHECK(ExpectRefusal(event).outcome_ == Outcome::Unknown);
  RequestStart again = serving.bench_.Make(3);
  again.idempotent_ = true;
  BOOST_CHECK(ExpectRefusal(serving.bench_.Run(std::move(again))).code_ == ErrorCode::Draining);
  BOOST_TEST(requests == 2);
}

// Guards against evidence of a bad version that is missed, and against requests that say nothing
// of the version and are held against it.
BOOST_AUTO_TEST_CASE(FailuresAreCountedByRoute)
{
  ServingFixture serving(Faulty);
  serving.Direct(RolloutPhase::Canary, 100, serving.bench_.clock_.Now());
  std::uint64_t id = 0;
  for (const std::string target : { "/good", "/bad", "/broken", "/shed" }) {
    RequestStart start = serving.bench_.Make(++id);
    start.target_ = target;
    start.class_ = target.substr(1);
    serving.bench_.Run(std::move(start));
  }
  const ServerCounts counts = serving.Counts();
  BOOST_TEST(counts.version_ == "v2");
  BOOST_TEST(counts.arrivals_ == 4U);
  BOOST_REQUIRE(counts.routes_.size() == 3U);
  for (const RouteCounts& route : counts.routes_) {
    BOOST_TEST(route.requests_ == 1U);
    BOOST_TEST(route.failures_ == (route.route_ == "good" ? 0U : 1U));
  }
}

BOOST_AUTO_TEST_SUITE_END()
