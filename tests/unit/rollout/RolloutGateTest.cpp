#include "rollout/RolloutGate.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1000s };

struct GateFixture
{
  GateFixture() { counter_.SetServer("svc", "v2"); }

  static RolloutDirective Make(RolloutPhase aPhase, std::uint64_t aLimit = 10)
  {
    return { "svc", "v2", 7, aPhase, 0.1, { "self" }, aLimit, 1500 };
  }
  RolloutAnswer Check(TimePoint aNow = kStart, std::size_t aWaiting = 0) const
  {
    return gate_.Check(nullptr, aWaiting, aNow);
  }
  void BeOld() { counter_.SetServer("svc", "v1"); }

  RouteCounter counter_;
  RolloutGate gate_{ counter_ };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RolloutGateTests, GateFixture)

// Guards against a change of what an instance does whose service is not rolled out.
BOOST_AUTO_TEST_CASE(WithoutAnOrderTheServerGetsRequests)
{
  BOOST_CHECK(Check() == RolloutAnswer::Open);
  BOOST_CHECK(gate_.PermittedUntil() == TimePoint::max());
  RolloutDirective other = Make(RolloutPhase::Closing);
  other.service_ = "other";
  gate_.OnDirective(other, kStart);
  BOOST_CHECK(Check() == RolloutAnswer::Open);
}

// Guards against requests at a target server after the lease, above the limit, or by a notice.
BOOST_AUTO_TEST_CASE(TheTargetVersionNeedsAPermission)
{
  gate_.OnDirective(Make(RolloutPhase::Canary), {});
  BOOST_CHECK(Check() == RolloutAnswer::NoPermission);
  gate_.OnDirective(Make(RolloutPhase::Canary, 2), kStart);
  BOOST_CHECK(Check(kStart + 1499ms) == RolloutAnswer::Open);
  BOOST_CHECK(Check(kStart + 1500ms) == RolloutAnswer::NoPermission);
  BOOST_CHECK(Check(kStart, 2) == RolloutAnswer::LimitReached);
  counter_.OnSent();
  const auto unwritten = counter_.OnSent();
  BOOST_CHECK(Check() == RolloutAnswer::LimitReached);
  counter_.OnNotSent(unwritten);
  BOOST_CHECK(Check() == RolloutAnswer::Open);
  // A notice keeps the permission of the same phase, and ends it when it tells of the end.
  gate_.OnDirective(Make(RolloutPhase::Ramp, 99), {});
  counter_.OnSent();
  BOOST_CHECK(Check() == RolloutAnswer::LimitReached);
  gate_.OnDirective(Make(RolloutPhase::Waiting), {});
  BOOST_CHECK(Check() == RolloutAnswer::NoPermission);
}

// Guards against a permission of an earlier report that arrives late.
BOOST_AUTO_TEST_CASE(ALateReplyIsIgnored)
{
  gate_.OnDirective(Make(RolloutPhase::Canary, 0), kStart + 500ms);
  gate_.OnDirective(Make(RolloutPhase::Canary, 10), kStart);
  BOOST_CHECK(Check(kStart + 600ms) == RolloutAnswer::LimitReached);
}

// Guards against a rolled-back version that gets requests, also under a later order.
BOOST_AUTO_TEST_CASE(ARolledBackVersionStaysClosed)
{
  gate_.OnDirective(Make(RolloutPhase::Canary), kStart);
  gate_.OnDirective(Make(RolloutPhase::RolledBack), {});
  BOOST_CHECK(Check() == RolloutAnswer::Closed);
  gate_.OnDirective(Make(RolloutPhase::Ramp), kStart + 1s);
  BOOST_CHECK(Check(kStart + 1s) == RolloutAnswer::Closed);
  RolloutDirective next = Make(RolloutPhase::Canary);
  next.targetVersion_ = "v3";
  next.orderRevision_ = 8;
  gate_.OnDirective(next, kStart + 2s);
  BOOST_CHECK(Check(kStart + 2s) == RolloutAnswer::Closed);
  BeOld();
  BOOST_CHECK(Check(kStart + 2s) == RolloutAnswer::Open);
  counter_.SetServer("svc", "v2");
  next.targetVersion_ = "v2";
  next.orderRevision_ = 9;
  gate_.OnDirective(next, kStart + 3s);
  BOOST_CHECK(Check(kStart + 3s) == RolloutAnswer::Open);
}

// Guards against an old server that runs requests after it has reported itself closed, and against
// one that stays closed after the way back.
BOOST_AUTO_TEST_CASE(AClosedServerIsOpenedByTheLeaderOnly)
{
  BeOld();
  gate_.OnDirective(Make(RolloutPhase::Ramp), kStart);
  BOOST_CHECK(!gate_.Closed());
  gate_.OnDirective(Make(RolloutPhase::Closing), kStart + 1s);
  BOOST_CHECK(gate_.Closed());
  BOOST_CHECK(Check(kStart + 1h) == RolloutAnswer::Closed);
  gate_.OnDirective(Make(RolloutPhase::Ramp), {});
  BOOST_CHECK(gate_.Closed());
  gate_.OnDirective(Make(RolloutPhase::Waiting), kStart + 2s);
  BOOST_CHECK(Check(kStart + 2s) == RolloutAnswer::Open);
  gate_.OnDirective(Make(RolloutPhase::Closing), kStart + 3s);
  gate_.OnDirective(Make(RolloutPhase::RolledBack), {});
  BOOST_CHECK(Check(kStart + 3s) == RolloutAnswer::Open);
}

// Guards against a completed rollout that is reverted, and against a lease of the new version then.
BOOST_AUTO_TEST_CASE(CompletedIsFinal)
{
  gate_.OnDirective(Make(RolloutPhase::Completed), {});
  gate_.OnDirective(Make(RolloutPhase::RolledBack), kStart);
  BOOST_CHECK(Check(kStart + 1h) == RolloutAnswer::Open);
  BeOld();
  BOOST_CHECK(gate_.Closed());
}

// Guards against a restarted instance that sends to a server before it was told of the rollout.
BOOST_AUTO_TEST_CASE(WithoutADirectiveTheRoutingCounts)
{
  const RolloutRouting canary{ "v2", RolloutPhase::Canary, 0.1, { "self" } };
  const RolloutRouting completed{ "v2", RolloutPhase::Completed, 1, {} };
  BOOST_CHECK(gate_.Check(&canary, 0, kStart) == RolloutAnswer::NoPermission);
  BOOST_CHECK(gate_.Check(&completed, 0, kStart) == RolloutAnswer::Open);
  BeOld();
  BOOST_CHECK(gate_.Check(&canary, 0, kStart) == RolloutAnswer::Open);
  BOOST_CHECK(gate_.Check(&completed, 0, kStart) == RolloutAnswer::Closed);
}

BOOST_AUTO_TEST_SUITE_END()
