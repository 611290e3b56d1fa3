#include "bench/Judge.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing::bench;

namespace {

constexpr std::int64_t kMs = 1'000'000;

struct JudgeFixture
{
  void Run(const std::string& aLoadId, std::size_t aServer, std::int64_t aStartMs)
  {
    RunRecord run;
    run.server_ = aServer;
    run.loadId_ = aLoadId;
    run.shard_ = "booking/1";
    run.workspace_ = "ws0";
    run.startNs_ = aStartMs * kMs;
    records_.runsByLoadId_[aLoadId].push_back(records_.runs_.size());
    records_.runs_.push_back(run);
  }

  OutcomeRecord& Outcome(const std::string& aLoadId,
                         const std::string& aOutcome,
                         std::int64_t aScheduledMs,
                         std::int64_t aDoneMs)
  {
    OutcomeRecord outcome;
    outcome.loadId_ = aLoadId;
    outcome.workspace_ = "ws0";
    outcome.key_ = "ws0-1";
    outcome.outcome_ = aOutcome;
    outcome.scheduledNs_ = aScheduledMs * kMs;
    outcome.doneNs_ = aDoneMs * kMs;
    return outcomes_.emplace_back(outcome);
  }

  void Grant(std::size_t aServer, std::int64_t aFromMs, std::int64_t aUntilMs)
  {
    records_.grants_.push_back({ aServer, "booking/1", 1, aFromMs * kMs, aUntilMs * kMs });
  }

  Json Figures() const { return Judge(deployment_, records_, outcomes_, marks_).Figures(); }

  Deployment deployment_ = MakeDeployment("taco-certo");
  Records records_;
  std::vector<OutcomeRecord> outcomes_;
  Marks marks_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(JudgeSuite, JudgeFixture)

// Guards against a judge that misses a booking that ran on two servers.
BOOST_AUTO_TEST_CASE(CountsDoubleRunsOfRequestsThatMustNotRepeat)
{
  Run("a", 0, 1);
  Run("a", 1, 2);
  Outcome("a", "ok", 0, 3).idempotent_ = false;
  Run("b", 0, 1);
  Run("b", 1, 2);
  Outcome("b", "ok", 0, 3).idempotent_ = true;
  BOOST_TEST(Figures()["double_run"] == 1);
}

// Guards against a judge that believes a "not run" that the records contradict.
BOOST_AUTO_TEST_CASE(CountsRefusalsOfRequestsThatRan)
{
  Run("a", 0, 1);
  Outcome("a", "refused_not_run", 0, 3);
  Outcome("b", "refused_not_run", 0, 3);
  Run("c", 0, 1);
  Outcome("c", "refused_not_run", 0, 3).unknownBefore_ = 1;
  BOOST_TEST(Figures()["false_not_run"] == 1);
}

// Guards against a judge that misses two servers owning one shard at the same time.
BOOST_AUTO_TEST_CASE(MeasuresOverlapOfOwners)
{
  Grant(0, 0, 100);
  Grant(0, 50, 120);
  Grant(1, 90, 200);
  BOOST_TEST(Figures()["double_owner_ms"].get<double>() == 10.0 + 30.0);
}

// Guards against unavailable time that ends at the failed request instead of the next answer.
BOOST_AUTO_TEST_CASE(MeasuresUnavailableTimeUntilTheShardIsServedAgain)
{
  marks_.endNs_ = 10'000 * kMs;
  Run("a", 0, 1);
  Outcome("a", "ok", 0, 2);
  Outcome("b", "refused_not_run", 100, 101);
  Outcome("c", "refused_not_run", 300, 301);
  Outcome("d", "ok", 700, 702);
  BOOST_TEST(Figures()["unavailable_ms_max"].get<double>() == 602.0);
  BOOST_TEST(Figures()["unavailable_ms_total"].get<double>() == 602.0);
}

// Guards against a judge that tolerates more than rate x time + burst in some interval.
BOOST_AUTO_TEST_CASE(CountsRequestsAboveRateAndBurst)
{
  deployment_.workspaces_[0].rate_ = 10;
  deployment_.workspaces_[0].burst_ = 2;
  marks_.limited_ = { "ws0" };
  marks_.endNs_ = 1000 * kMs;
  for (int i = 0; i < 5; ++i) {
    auto id = "r" + std::to_string(i);
    Run(id, 0, 100 + i);
    Outcome(id, "ok", 100 + i, 110 + i);
  }
  // Five within 4 ms, where 2 and a fraction are allowed.
  BOOST_TEST(Figures()["over_rate"] == 2);
}

// Guards against a figure of work in a withdrawn data centre that misses late requests.
BOOST_AUTO_TEST_CASE(CountsRunsInAWithdrawnDataCentre)
{
  marks_.withdrawnDataCentre_ = deployment_.servers_[0].dataCentre_;
  marks_.dataCentreWithdrawnNs_ = 1000 * kMs;
  marks_.endNs_ = 10'000 * kMs;
  Run("within the limit", 0, 3900);
  Run("late", 0, 4100);
  Run("elsewhere", 1, 4100);
  BOOST_TEST(Figures()["after_withdraw_requests"] == 1);
}

// Guards against goodput that counts answers from outside the overload, and against a recovery
// that counts late answers as served.
BOOST_AUTO_TEST_CASE(MeasuresGoodputDuringAndServiceAfterAnOverload)
{
  marks_.capacity_ = 4;
  marks_.overloadFromNs_ = 1000 * kMs;
  marks_.overloadUntilNs_ = 2000 * kMs;
  Outcome("before", "ok", 900, 950);
  Outcome("inside", "ok", 950, 1500);
  Outcome("refused", "refused_not_run", 1400, 1410);
  Outcome("served later", "ok", 1900, 2500);
  Outcome("soon after", "refused_not_run", 2500, 2510);
  Outcome("recovered", "ok", 3500, 3510);
  Outcome("late", "ok", 3600, 4700);
  BOOST_TEST(Figures()["goodput_share"].get<double>() == 0.25);
  BOOST_TEST(Figures()["ok_after_overload"].get<double>() == 0.5);
}

BOOST_AUTO_TEST_SUITE_END()
