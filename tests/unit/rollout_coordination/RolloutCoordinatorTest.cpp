#include "RolloutFixture.hpp"
#include "fleet/RolloutRecordText.hpp"
#include "store/StoreRevision.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <ostream>

using namespace redwing;
using namespace redwing::test;

namespace {

const std::vector<RolloutPhase> kRunning{ RolloutPhase::Waiting,
                                          RolloutPhase::Canary,
                                          RolloutPhase::Ramp,
                                          RolloutPhase::Closing };

} // namespace

namespace redwing {
std::ostream&
boost_test_print_type(std::ostream& aStream, RolloutPhase aPhase)
{
  return aStream << NameOf(aPhase);
}
} // namespace redwing

BOOST_FIXTURE_TEST_SUITE(RolloutCoordination, RolloutFixture)

// Guards against a good version that never gets all traffic, and against old servers that still run
// requests when the operator is told to stop them.
BOOST_AUTO_TEST_CASE(AGoodVersionIsCompletedOnceTheOldServersAreClosed)
{
  Order("v2", 10, 15s);
  Run(1s);
  BOOST_TEST(Phase() == RolloutPhase::Waiting);
  BOOST_TEST(Requests("v2") == 0U);
  AddTargets();
  BOOST_REQUIRE(RunToPhase(RolloutPhase::Completed));
  BOOST_TEST(Stored() == RolloutPhase::Completed);
  BOOST_TEST(!completedWhileOpen_);
  BOOST_TEST(unserved_ == 0U);
}

// Guards against more requests at a version under test than the bound, whatever ingresses send.
BOOST_AUTO_TEST_CASE(TheCanaryStaysUnderItsBoundAtEachMoment)
{
  Order("v2", 10, 15s);
  AddTargets();
  while (leader_->Find(kService) == nullptr || Phase() != RolloutPhase::Ramp) {
    Step();
    BOOST_REQUIRE_LE(static_cast<double>(Requests("v2")),
                     kExposureShare * static_cast<double>(served_) + kExposureSlack);
  }
  BOOST_TEST(Requests("v2") > 50U);
}

// Guards against a restart that makes the leader forget what a server has got.
BOOST_AUTO_TEST_CASE(RestartsDoNotRaiseTheBound)
{
  Order("v2", 10, 15s);
  AddTargets();
  BOOST_REQUIRE(RunToPhase(RolloutPhase::Canary));
  std::uint64_t lost = 0;
  int restarts = 0;
  for (; Phase() == RolloutPhase::Canary; ++restarts) {
    // The server uses its whole permission and restarts before it reports.
    const std::string id = leader_->Find(kService)->Targets().front();
    RunUntil([&] { return At(id).permittedUntil_ > now_; });
    Run(150ms);
    Site& site = At(id);
    lost += site.arrivals_;
    site.arrivals_ = 0;
    site.permittedUntil_ = {};
    ++site.incarnation_;
    // The ramp has another bound.
    BOOST_TEST((Phase() != RolloutPhase::Canary ||
                static_cast<double>(lost + Requests("v2")) <=
                  kExposureShare * static_cast<double>(served_) + kExposureSlack));
  }
  BOOST_TEST(restarts > 2);
}

// Guards against a bad version that gets requests after the verdict.
BOOST_AUTO_TEST_CASE(ABadVersionGetsNothingAfterItsLease)
{
  Order("v2", 10, 15s);
  AddTargets("v2", true);
  BOOST_REQUIRE(RunToPhase(RolloutPhase::RolledBack));
  Run(1500ms);
  const std::uint64_t before = Requests("v2");
  Run(5s);
  BOOST_TEST(Requests("v2") == before);
  BOOST_TEST(Stored() == RolloutPhase::RolledBack);
  BOOST_TEST(record_->reason_ == "failures");
}

// Guards against a permission that answers the report with the evidence against it.
BOOST_AUTO_TEST_CASE(TheReportOfABadServerIsAnsweredWithoutAPermission)
{
  Order("v2", 10, 15s);
  AddTargets();
  BOOST_REQUIRE(RunToPhase(RolloutPhase::Canary));
  Site& bad = At(leader_->Find(kService)->Targets().front());
  BOOST_REQUIRE(RunUntil([&] { return bad.permittedUntil_ > now_; }));
  bad.failures_ += 20;
  bad.arrivals_ += 20;
  Report(bad);
  BOOST_TEST((bad.permittedUntil_ <= now_));
  BOOST_TEST((bad.directive_.phase_ == RolloutPhase::RolledBack));
}

// Guards against a lost leader that leaves permissions behind, and against a successor that starts
// again from the beginning or gives permissions before it knows those of its predecessor.
BOOST_DATA_TEST_CASE(ALostLeaderIsSucceededInEachPhase,
                     boost::unit_test::data::make(kRunning),
                     phase)
{
  Order("v2", 10, 30s);
  Run(200ms);
  if (phase != RolloutPhase::Waiting) {
    AddTargets();
  }
  BOOST_REQUIRE(RunToPhase(phase));
  Run(300ms);
  leader_.reset();
  Run(1500ms);
  const std::uint64_t before = Requests("v2");
  Run(1s);
  const bool closing = phase == RolloutPhase::Closing;
  BOOST_TEST((Requests("v2") > before) == closing);
  NewLeader();
  BOOST_TEST(Phase() == phase);
  const std::uint64_t atBegin = Requests("v2");
  Run(1400ms);
  BOOST_TEST((Requests("v2") > atBegin) == closing);
  if (phase == RolloutPhase::Waiting) {
    AddTargets();
  }
  BOOST_REQUIRE(RunToPhase(RolloutPhase::Completed));
  BOOST_TEST(!completedWhileOpen_);
  BOOST_TEST(unserved_ == 0U);
}

// Guards against a new leader that goes on without the counts of an instance it can't hear.
BOOST_AUTO_TEST_CASE(ANewLeaderWaitsForEachMember)
{
  Order("v2", 10, 60s);
  AddTargets();
  BOOST_REQUIRE(RunToPhase(RolloutPhase::Canary));
  At("b").cut_ = true;
  leader_.reset();
  Run(2s);
  NewLeader();
  const std::uint64_t before = Requests("v2");
  Run(4s);
  BOOST_TEST(Requests("v2") == before);
  At("b").member_ = false;
  Run(2s);
  BOOST_TEST(Requests("v2") > before);
}

// Guards against a target server that goes on without the leader.
BOOST_DATA_TEST_CASE(ACutOffTargetGetsNothing,
                     boost::unit_test::data::make({ RolloutPhase::Canary, RolloutPhase::Ramp }),
                     phase)
{
  Order("v2", 10, 30s);
  AddTargets();
  BOOST_REQUIRE(RunToPhase(phase));
  Run(600ms);
  Site& cut = At("xv2");
  cut.cut_ = true;
  Run(1500ms);
  const std::uint64_t before = cut.arrivals_;
  Run(1s);
  BOOST_TEST(cut.arrivals_ == before);
  const ServiceRollout* rollout = leader_->Find(kService);
  BOOST_TEST((rollout->Targets() == std::vector<std::string>{ "yv2" }));
  BOOST_TEST(unserved_ == 0U);
}

// Guards against `completed` while an instance that can't be heard may still admit requests.
BOOST_AUTO_TEST_CASE(ClosingWaitsForAnOldServerThatIsCutOff)
{
  Order("v2", 10, 60s);
  AddTargets();
  BOOST_REQUIRE(RunToPhase(RolloutPhase::Ramp));
  At("a").cut_ = true;
  Run(10s);
  BOOST_TEST(Phase() == RolloutPhase::Closing);
  At("a").member_ = false;
  BOOST_REQUIRE(RunToPhase(RolloutPhase::Completed));
}

// Guards against old servers that close while the target servers' permissions would end before a
// lost leader is replaced.
BOOST_AUTO_TEST_CASE(OldServersCloseAfterTargetsAreSafe)
{
  Order("v2", 10, 60s);
  AddTargets();
  const auto closed = [&] { return At("a").closed_ || At("b").closed_ || At("c").closed_; };
  BOOST_REQUIRE(RunUntil([&] {
    const ServiceRollout* rollout = leader_->Find(kService);
    return rollout != nullptr && now_ - rollout->OrderedAt() >= 6900ms;
  }));
  // Still named as a target, because it has reported shortly before.
  At("xv2").cut_ = true;
  Run(600ms);
  BOOST_TEST(Phase() == RolloutPhase::Closing);
  BOOST_TEST(!closed());
  BOOST_REQUIRE(RunUntil(closed));
  BOOST_TEST((At("yv2").permittedUntil_ > now_ + 4s));
}

// Guards against old servers that stay closed when their version is needed again.
BOOST_AUTO_TEST_CASE(ARollbackDuringTheClosingOpensOldServersAgain)
{
  Order("v2", 10, 60s);
  AddTargets();
  BOOST_REQUIRE(RunToPhase(RolloutPhase::Ramp));
  At("a").cut_ = true;
  BOOST_REQUIRE(RunToPhase(RolloutPhase::Closing));
  BOOST_REQUIRE(RunUntil([&] { return At("b").closed_ && At("c").closed_; }));
  At("xv2").bad_ = true;
  BOOST_REQUIRE(RunToPhase(RolloutPhase::RolledBack));
  Run(1s);
  BOOST_TEST(!At("b").closed_);
  BOOST_TEST(!At("c").closed_);
}

// Guards against a final state that the store doesn't have, and against a bad version that keeps
// its permissions because the store is away.
BOOST_AUTO_TEST_CASE(AnUnavailableStoreDelaysOnlyWhatMustBeWritten)
{
  Order("v2", 10, 60s);
  AddTargets();
  BOOST_REQUIRE(RunToPhase(RolloutPhase::Canary));
  storeDown_ = true;
  Run(9s);
  BOOST_TEST(Phase() == RolloutPhase::Ramp);
  BOOST_TEST(!At("a").closed_);
  storeDown_ = false;
  BOOST_REQUIRE(RunToPhase(RolloutPhase::Closing));
  storeDown_ = true;
  Run(9s);
  BOOST_TEST(Phase() == RolloutPhase::Closing);
  At("xv2").bad_ = true;
  BOOST_REQUIRE(RunToPhase(RolloutPhase::RolledBack));
  Run(1s);
  const std::uint64_t before = Requests("v2");
  Run(2s);
  BOOST_TEST(Requests("v2") == before);
  BOOST_TEST(Stored() == RolloutPhase::Closing);
  storeDown_ = false;
  Run(100ms);
  BOOST_TEST(Stored() == RolloutPhase::RolledBack);
}

// Guards against a rollback after the store may already say `completed`.
BOOST_AUTO_TEST_CASE(AFinalPhaseWithAnUnknownOutcomeIsKept)
{
  Order("v2", 10, 60s);
  AddTargets();
  BOOST_REQUIRE(RunToPhase(RolloutPhase::Closing));
  loseReply_ = true;
  BOOST_REQUIRE(RunUntil([&] { return !loseReply_; }));
  BOOST_TEST(Stored() == RolloutPhase::Completed);
  storeDown_ = true;
  At("xv2").bad_ = true;
  Run(5s);
  storeDown_ = false;
  Run(200ms);
  BOOST_TEST(Phase() == RolloutPhase::Completed);
  BOOST_TEST(Stored() == RolloutPhase::Completed);
}

// Guards against an order that is repeated and begins again, or doesn't extend the time.
BOOST_AUTO_TEST_CASE(ARepeatedOrderExtendsTheRollout)
{
  Order("v2", 10, 6s);
  AddTargets();
  BOOST_REQUIRE(RunToPhase(RolloutPhase::Ramp));
  const TimePoint orderedAt = leader_->Find(kService)->OrderedAt();
  Order("v2", 11, 20s);
  Run(100ms);
  BOOST_TEST(Phase() == RolloutPhase::Ramp);
  BOOST_TEST(record_->order_.revision_ == 10U);
  BOOST_TEST(record_->latestRevision_ == 11U);
  leader_.reset();
  Run(1s);
  NewLeader();
  BOOST_TEST((leader_->Find(kService)->OrderedAt() - orderedAt < 2ms));
  BOOST_REQUIRE(RunToPhase(RolloutPhase::Completed));
  const int writes = writes_;
  Run(2s);
  BOOST_TEST(writes_ == writes);
  Order("v2", 12, 20s);
  Run(200ms);
  BOOST_TEST(record_->order_.revision_ == 12U);
}

// Guards against two versions that are rolled out at once, and against a version that was rolled
// back and is taken for an old one.
BOOST_AUTO_TEST_CASE(AnOrderForAnotherVersionFirstRollsBack)
{
  Order("v2", 10, 30s);
  AddTargets();
  BOOST_REQUIRE(RunToPhase(RolloutPhase::Canary));
  Order("v3", 11, 30s);
  AddTargets("v3");
  Step();
  BOOST_TEST(Stored() == RolloutPhase::RolledBack);
  BOOST_TEST(record_->order_.targetVersion_ == "v2");
  BOOST_TEST(record_->reason_ == "order_replaced");
  Run(200ms);
  BOOST_TEST(record_->order_.targetVersion_ == "v3");
  BOOST_TEST((record_->closedVersions_ == std::vector<std::string>{ "v2" }));
  BOOST_TEST(
    (leader_->Announced(now_).front().closedVersions_ == std::vector<std::string>{ "v2" }));
}

// Guards against a rollout that goes on without an order.
BOOST_DATA_TEST_CASE(ADeletedOrderRollsBack, boost::unit_test::data::make(kRunning), phase)
{
  Order("v2", 10, 30s);
  if (phase != RolloutPhase::Waiting) {
    AddTargets();
  }
  BOOST_REQUIRE(RunToPhase(phase));
  orders_.clear();
  leader_->SetOrders(orders_, now_);
  Run(100ms);
  BOOST_TEST(Stored() == RolloutPhase::RolledBack);
  BOOST_TEST(record_->reason_ == "order_deleted");
}

// Guards against an order that waits although there is nothing to do, and against one that waits
// for ever.
BOOST_AUTO_TEST_CASE(OrdersWithoutAnythingToMoveEnd)
{
  Order("v1", 10, 5s);
  Run(100ms);
  BOOST_TEST(Stored() == RolloutPhase::Completed);
  BOOST_TEST(leader_->Find(kService)->Announced().phase_ == RolloutPhase::Completed);
  Order("v2", 11, 5s);
  Run(4900ms);
  BOOST_TEST(Stored() == RolloutPhase::Waiting);
  Run(300ms);
  BOOST_TEST(Stored() == RolloutPhase::RolledBack);
}

// Guards against a service without any server: the old ones are closed, and those of the target
// version are lost before the rollout is complete.
BOOST_AUTO_TEST_CASE(ClosingWithoutTargetsRollsBack)
{
  judged_ = true;
  Order("v2", 10, 30s);
  AddTargets();
  BOOST_REQUIRE(RunToPhase(RolloutPhase::Closing));
  for (const char* id : { "xv2", "yv2" }) {
    At(id).member_ = false;
    At(id).cut_ = true;
  }
  Run(8s);
  BOOST_TEST(Stored() == RolloutPhase::RolledBack);
  BOOST_TEST(leader_->Find(kService)->Announced().phase_ == RolloutPhase::RolledBack);
}

// Guards against a rollout that a store restored from an older copy makes begin again.
BOOST_DATA_TEST_CASE(ARestoredStoreRevertsNoCompletion,
                     boost::unit_test::data::make({ false, true }),
                     newLeader)
{
  Order("v2", MakeRevision(0, 10), 30s);
  AddTargets();
  BOOST_REQUIRE(RunToPhase(RolloutPhase::Canary));
  const auto copy = record_;
  BOOST_REQUIRE(RunToPhase(RolloutPhase::Completed));
  const RolloutDirective told = leader_->Find(kService)->Announced();
  record_ = copy;
  Order("v2", MakeRevision(1, 10), 30s);
  if (newLeader) {
    NewLeader({ told });
  } else {
    leader_->OnStoreRestored();
  }
  Run(2s);
  BOOST_TEST(Phase() == RolloutPhase::Completed);
  BOOST_TEST(Stored() == RolloutPhase::Completed);
  BOOST_TEST(record_->order_.revision_ == 10U);
}

// Guards against a completed rollout that begins again because the store lacks its record, or has
// that of an earlier order.
BOOST_DATA_TEST_CASE(ARestoredStoreWithoutTheRecordRevertsNoCompletion,
                     boost::unit_test::data::make({ false, true }),
                     earlierRecord)
{
  Order("v2", 10, 30s);
  AddTargets();
  BOOST_REQUIRE(RunToPhase(RolloutPhase::Completed));
  const RolloutDirective told = leader_->Find(kService)->Announced();
  record_.reset();
  if (earlierRecord) {
    record_.emplace();
    record_->order_ = { kService, "v1", 10s, 4 };
    record_->latestRevision_ = 4;
    record_->phase_ = RolloutPhase::Completed;
  }
  NewLeader({ told });
  Run(2s);
  BOOST_TEST(Stored() == RolloutPhase::Completed);
  BOOST_TEST(record_->order_.targetVersion_ == "v2");
  BOOST_TEST(record_->order_.revision_ == 10U);
}

// Guards against steps of judge and ramp that the coordinator doesn't carry out in time.
BOOST_DATA_TEST_CASE(JudgeAndRampReachTheirEnds, boost::unit_test::data::make({ false, true }), bad)
{
  judged_ = true;
  NewLeader();
  Order("v2", 10, 16s);
  AddTargets("v2", bad);
  const TimePoint orderedAt = now_;
  BOOST_REQUIRE(RunToPhase(bad ? RolloutPhase::RolledBack : RolloutPhase::Completed));
  BOOST_TEST((now_ - orderedAt <= 16s));
  BOOST_TEST(!completedWhileOpen_);
  if (bad) {
    Run(2s);
    BOOST_TEST(static_cast<double>(Requests("v2")) <= 0.1 * static_cast<double>(served_) + 50);
  }
}

// Guards against a record that a later leader can't read.
BOOST_AUTO_TEST_CASE(RecordsAreReadAsTheyAreWritten)
{
  RolloutRecord record;
  record.order_ = { kService, "v\"2", 12s, 7 };
  record.orderedAt_ = 1'700'000'000'000;
  record.phase_ = RolloutPhase::Ramp;
  record.reason_ = "capacity";
  record.latestRevision_ = 9;
  record.closedVersions_ = { "v0" };
  const auto read = ParseRolloutRecord(ToText(record));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((*read == record));
  BOOST_TEST(!ParseRolloutRecord("{}").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
