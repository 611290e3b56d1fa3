#include "RolloutFixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace redwing;
using namespace redwing::test;

namespace {

/// Counts the counts that are judged as of the present time.
class CountingDecider final : public FakeDecider
{
public:
  CountingDecider(const RolloutRecord& aRecord, TimePoint aOrderedAt, int& aPresent)
    : FakeDecider(aRecord, aOrderedAt)
    , present_(aPresent)
  {
  }

  void Add(RolloutSide, const RouteCounts&, TimePoint, bool) override { ++present_; }

private:
  int& present_;
};

struct UsageFixture : RolloutFixture
{
  void StartCanary()
  {
    Order("v2", 10, 30s);
    AddTargets();
    BOOST_REQUIRE(RunToPhase(RolloutPhase::Canary));
    BOOST_REQUIRE(RunUntil([&] { return Target().permittedUntil_ > now_; }));
  }

  Site& Target() { return At(leader_->Find(kService)->Targets().front()); }
  const RolloutUsage& Usage() { return leader_->Find(kService)->Usage(); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RolloutUsages, UsageFixture)

// Guards against a request of which nothing was written and which makes all earlier requests of its
// server count a second time.
BOOST_AUTO_TEST_CASE(ARequestThatIsTakenBackIsNoRestart)
{
  RolloutUsage usage("v2", now_);
  const auto report = [&](const char* aVersion, std::uint64_t aArrivals) {
    RolloutReport report;
    report.instanceId_ = aVersion;
    report.counts_.version_ = aVersion;
    report.counts_.arrivals_ = aArrivals;
    report.counts_.routes_.push_back({ "r", 90, 1, {} });
    usage.OnReport(report, now_, [](RolloutSide, const RouteCounts&, bool) {});
  };
  for (const char* version : { "v1", "v2" }) {
    report(version, 100);
    report(version, 99);
    report(version, 100);
  }
  BOOST_TEST(usage.ServiceRequests() == 200U);
  BOOST_TEST(usage.TargetRequests() == 100U);
  BOOST_TEST(usage.Routes().at({ RolloutSide::Target, "r" }).requests_ == 90U);
}

// Guards against totals that count again when a server of another version takes the place of one
// and that one comes back, or its last report arrives late.
BOOST_AUTO_TEST_CASE(AnotherVersionAndBackIsCountedOnce)
{
  RolloutUsage usage("v2", now_);
  std::uint64_t judged = 0;
  const auto report = [&](const char* aVersion, std::uint64_t aRequests) {
    RolloutReport report;
    report.instanceId_ = "a";
    report.counts_.version_ = aVersion;
    report.counts_.arrivals_ = aRequests;
    report.counts_.routes_.push_back({ "r", aRequests, 0, {} });
    usage.OnReport(report, now_, [&](RolloutSide, const RouteCounts& aDelta, bool) {
      judged += aDelta.requests_;
    });
  };
  report("v1", 100);
  report("v2", 5);
  report("v1", 90);
  report("v2", 7);
  report("v1", 110);
  BOOST_TEST(usage.ServiceRequests() == 117U);
  BOOST_TEST(usage.TargetRequests() == 7U);
  BOOST_TEST(judged == 117U);
}

// Guards against a report that arrives after a later one and is taken for a restart.
BOOST_AUTO_TEST_CASE(ADelayedReportChangesNothing)
{
  StartCanary();
  Site earlier = At("a");
  Run(500ms);
  Report(At("a"));
  const std::uint64_t before = Usage().ServiceRequests();
  Report(earlier);
  BOOST_TEST(Usage().ServiceRequests() == before);
}

// Guards against requests that a lost server got after its last report, and that nobody counts
// because its permission has ended by the time at which its member record is removed.
BOOST_AUTO_TEST_CASE(ALostTargetIsChargedAfterItsPermission)
{
  StartCanary();
  Site& lost = Target();
  Report(lost);
  lost.cut_ = true;
  lost.arrivals_ = std::max(lost.arrivals_, lost.directive_.arrivalLimit_);
  Run(5s);
  lost.member_ = false;
  Step();
  BOOST_TEST(Usage().TargetRequests() >= Requests("v2"));
}

// Guards against a member record that ends for a moment and makes the bound rise.
BOOST_AUTO_TEST_CASE(AMemberThatComesBackIsNotCountedTwice)
{
  StartCanary();
  Report(At("a"));
  Report(Target());
  Site& target = Target();
  for (Site* site : { &At("a"), &target }) {
    site->member_ = false;
  }
  Run(1s);
  for (Site* site : { &At("a"), &target }) {
    site->member_ = true;
  }
  for (Site& site : sites_) {
    Report(site);
  }
  BOOST_TEST(Usage().ServiceRequests() <= served_);
  BOOST_TEST(Usage().TargetRequests() == Requests("v2"));
}

// Guards against totals that a new leader judges as if they had just arisen, because the time of
// day was set back.
BOOST_AUTO_TEST_CASE(ANewLeaderTakesTotalsAsEarlierCounts)
{
  StartCanary();
  Run(1s);
  int present = 0;
  RolloutCoordinator leader(
    [&](const RolloutRecord& aRecord, TimePoint aOrderedAt) {
      return std::make_unique<CountingDecider>(aRecord, aOrderedAt, present);
    },
    [] { return std::chrono::system_clock::time_point{}; });
  leader.SetOrders(orders_, now_);
  leader.Begin({ *record_ }, {}, now_);
  RolloutReport report;
  report.instanceId_ = "a";
  report.counts_ = leader_->Find(kService)->Usage().Find("a")->counts_;
  BOOST_REQUIRE(!report.counts_.routes_.empty());
  leader.OnReport(report, now_);
  BOOST_TEST(present == 0);
}

// Guards against old servers that a new leader closes before the target servers may serve in their
// place: the earlier leader was lost after it had written the record.
BOOST_DATA_TEST_CASE(ANewLeaderClosesOldServersAfterTargetsAreSafe,
                     boost::unit_test::data::make({ 0, 1, 3 }),
                     closed)
{
  Order("v2", 10, 60s);
  AddTargets();
  const auto closedNow = [&] {
    return std::vector<bool>{ At("a").closed_, At("b").closed_, At("c").closed_ };
  };
  const auto count = [](const std::vector<bool>& aClosed) {
    return std::count(aClosed.begin(), aClosed.end(), true);
  };
  BOOST_REQUIRE(
    RunUntil([&] { return Stored() == RolloutPhase::Closing && count(closedNow()) >= closed; }));
  BOOST_REQUIRE(Stored() == RolloutPhase::Closing);
  leader_.reset();
  const std::vector<bool> before = closedNow();
  Run(7s);
  NewLeader();
  while (Stored() != RolloutPhase::Completed) {
    Step();
    BOOST_REQUIRE(now_ < leaderSince_ + 30s);
    const std::vector<bool> now = closedNow();
    const bool safe = At("xv2").permittedUntil_ > now_ && At("yv2").permittedUntil_ > now_;
    for (std::size_t i = 0; i < now.size(); ++i) {
      BOOST_REQUIRE((now[i] || !before[i]));
      BOOST_REQUIRE((safe || now[i] == before[i] || Stored() == RolloutPhase::Completed));
    }
  }
  BOOST_TEST(!completedWhileOpen_);
}

BOOST_AUTO_TEST_SUITE_END()
