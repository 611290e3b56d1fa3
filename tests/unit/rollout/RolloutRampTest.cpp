#include "rollout/RolloutRamp.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;
using std::chrono::milliseconds;

namespace {

const RolloutBounds kBounds{ .enabled_ = true,
                             .exposureShare_ = 0.1,
                             .exposureSlack_ = 50,
                             .rollbackTime_ = milliseconds(5000) };
const RolloutOrder kOrder{ .service_ = "s",
                           .targetVersion_ = "v2",
                           .duration_ = milliseconds(20'000),
                           .revision_ = 1 };

TimePoint
At(int aMs)
{
  return TimePoint{} + milliseconds(aMs);
}

/// A service with 100 requests a second at aMs after the order, under a leader of old.
RolloutSituation
Situation(int aMs, RolloutVerdict aVerdict = RolloutVerdict::Good)
{
  RolloutSituation situation;
  situation.now_ = At(aMs);
  situation.judgement_.verdict_ = aVerdict;
  situation.judgement_.reason_ = aVerdict == RolloutVerdict::Bad ? "slow" : "";
  situation.judgement_.target_.requests_ = 100;
  situation.serviceRequests_ = static_cast<std::uint64_t>(aMs) / 10;
  situation.requestsPerSecond_ = 100;
  situation.oldServers_ = 5;
  situation.targetServers_ = 5;
  situation.leading_ = std::chrono::minutes(1);
  return situation;
}

constexpr std::array kOpenPhases{ RolloutPhase::Waiting,
                                  RolloutPhase::Canary,
                                  RolloutPhase::Ramp,
                                  RolloutPhase::Closing };

} // namespace

BOOST_AUTO_TEST_SUITE(RolloutRamps)

// Guards against orders without servers, or without old ones, that never end.
BOOST_AUTO_TEST_CASE(OrdersWithServersOfOneVersionEnd)
{
  RolloutRamp none(kBounds, kOrder, At(0));
  RolloutSituation situation = Situation(19'900);
  situation.targetServers_ = 0;
  BOOST_CHECK(none.Next(situation).phase_ == RolloutPhase::Waiting);
  situation.now_ = At(20'000);
  BOOST_CHECK(none.Next(situation).phase_ == RolloutPhase::RolledBack);
  BOOST_CHECK_EQUAL(none.Next(situation).reason_, "no_server");

  RolloutRamp all(kBounds, kOrder, At(0));
  situation = Situation(0);
  situation.oldServers_ = 0;
  situation.oldClosed_ = true;
  all.Next(situation);
  BOOST_CHECK(all.Next(situation).phase_ == RolloutPhase::Completed);
}

// Guards against a bad version that keeps a permission, or that a later verdict brings back.
BOOST_AUTO_TEST_CASE(ABadVersionGoesBackFromEachPhase)
{
  for (const RolloutPhase phase : kOpenPhases) {
    RolloutRamp ramp(kBounds, kOrder, At(0), phase);
    RolloutSituation bad = Situation(5000, RolloutVerdict::Bad);
    bad.leading_ = milliseconds(0);
    ramp.Next(bad);
    const RolloutStep step = ramp.Next(Situation(5500));
    BOOST_CHECK(step.phase_ == RolloutPhase::RolledBack);
    BOOST_CHECK(!step.permits_ && step.share_ == 0 && step.arrivalLimit_ == 0);
    BOOST_CHECK_EQUAL(step.reason_, "slow");
  }
}

// Guards against two leaders whose permissions add up, and a new leader that leaves the phase.
BOOST_AUTO_TEST_CASE(ANewLeaderWaitsInEachPhase)
{
  for (const RolloutPhase phase : kOpenPhases) {
    RolloutRamp ramp(kBounds, kOrder, At(0), phase);
    RolloutSituation situation = Situation(19'000);
    situation.oldClosed_ = true;
    situation.leading_ = milliseconds(1499);
    BOOST_CHECK(!ramp.Next(situation).permits_);
    situation.leading_ = milliseconds(5000);
    situation.allReported_ = false;
    BOOST_CHECK(!ramp.Next(situation).permits_);
    BOOST_CHECK(ramp.Next(situation).phase_ == phase);
  }
}

// Guards against a share or limit over the bound before a verdict, and a closing that ends while
// old servers still run requests.
BOOST_AUTO_TEST_CASE(TheBoundIsCrossedAtTheEndOnly)
{
  RolloutRamp ramp(kBounds, kOrder, At(0));
  RolloutPhase phase = RolloutPhase::Waiting;
  for (int ms = 0; ms < 19'900; ms += 250) {
    RolloutSituation situation = Situation(ms);
    const RolloutStep step = ramp.Next(situation);
    const double reached = 100 * 20 * 0.1 + 50;
    BOOST_CHECK(ms > 15'000 || static_cast<double>(step.arrivalLimit_) <= reached);
    BOOST_CHECK(step.phase_ >= phase);
    phase = step.phase_;
  }
  RolloutSituation closed = Situation(19'900);
  BOOST_CHECK(ramp.Next(closed).phase_ == RolloutPhase::Closing);
  closed.oldClosed_ = true;
  BOOST_CHECK(ramp.Next(closed).phase_ == RolloutPhase::Completed);
}

// Guards against a bad version that gets all traffic because nothing is known of it at the end.
BOOST_AUTO_TEST_CASE(TheBoundIsNotCrossedWithoutEvidence)
{
  RolloutRamp ramp(kBounds, kOrder, At(0));
  for (int ms = 0; ms <= 20'000; ms += 250) {
    const RolloutStep step = ramp.Next(Situation(ms, RolloutVerdict::Undecided));
    BOOST_REQUIRE(step.phase_ != RolloutPhase::Closing);
  }
  const RolloutStep last = ramp.Next(Situation(20'000, RolloutVerdict::Undecided));
  BOOST_CHECK(last.phase_ == RolloutPhase::RolledBack);
  BOOST_CHECK_EQUAL(last.reason_, "evidence");
}

// Guards against a service with too few requests for a verdict that never gets a new version.
BOOST_AUTO_TEST_CASE(FewRequestsNeedNoEvidence)
{
  RolloutRamp ramp(kBounds, kOrder, At(0));
  RolloutStep step;
  for (int ms = 0; ms < 20'000; ms += 250) {
    RolloutSituation situation = Situation(ms, RolloutVerdict::Undecided);
    situation.serviceRequests_ = static_cast<std::uint64_t>(ms) / 1000;
    situation.requestsPerSecond_ = 1;
    step = ramp.Next(situation);
  }
  BOOST_CHECK(step.phase_ == RolloutPhase::Closing);
  // A new leader does not know the requests of instances that are gone.
  RolloutRamp resumed(kBounds, kOrder, At(0), RolloutPhase::Ramp);
  RolloutSituation last = Situation(19'000, RolloutVerdict::Undecided);
  last.serviceRequests_ = 10;
  last.requestsPerSecond_ = 0;
  BOOST_CHECK(resumed.Next(last).phase_ == RolloutPhase::Ramp);
}

// Guards against a canary that gives cold servers more than they can handle.
BOOST_AUTO_TEST_CASE(ColdServersGetLittle)
{
  RolloutRamp ramp(kBounds, kOrder, At(0));
  RolloutSituation situation = Situation(5000);
  situation.coldTargets_ = situation.targetServers_;
  situation.coldPerSecond_ = 1;
  const RolloutStep step = ramp.Next(situation);
  BOOST_CHECK_LE(step.share_, 0.01 + 1e-9);
  BOOST_CHECK_LE(step.arrivalLimit_, 40);
}

// Guards against a repeated order that is ignored, and a deleted one that goes on.
BOOST_AUTO_TEST_CASE(OrdersAreExtendedAndCancelled)
{
  RolloutRamp ramp(kBounds, kOrder, At(0), RolloutPhase::Canary);
  ramp.Reorder(kOrder, At(15'000));
  BOOST_CHECK(ramp.Next(Situation(20'000)).phase_ == RolloutPhase::Canary);
  ramp.Cancel("order_deleted");
  BOOST_CHECK(ramp.Next(Situation(20'250)).phase_ == RolloutPhase::RolledBack);
}

BOOST_AUTO_TEST_SUITE_END()
