#include "routing/HedgePolicy.hpp"
#include "routing/LatencyTracker.hpp"
#include "routing/OwnerDirectory.hpp"
#include "routing/RetryBudget.hpp"

#include "core/Random.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;
using namespace std::chrono_literals;

// Guards against quantiles that are off by more than a bucket, a quarter of the value.
BOOST_AUTO_TEST_CASE(QuantilesAreWithinABucket)
{
  for (const Duration latency : { Duration(3us), Duration(150us), Duration(7ms), Duration(2s) }) {
    LatencyTracker tracker;
    for (int i = 0; i < 5000; ++i) {
      tracker.Add(latency);
    }
    const double ratio =
      static_cast<double>(tracker.Quantile(0.5).count()) / static_cast<double>(latency.count());
    BOOST_TEST(ratio >= 1.0);
    BOOST_TEST(ratio <= 1.34);
  }
}

// Guards against a tracker that still reports a past slow phase.
BOOST_AUTO_TEST_CASE(OldLatenciesFade)
{
  LatencyTracker tracker;
  for (int i = 0; i < 1000; ++i) {
    tracker.Add(500ms);
  }
  for (int i = 0; i < 10'000; ++i) {
    tracker.Add(1ms);
  }
  BOOST_CHECK(tracker.Quantile(0.99) < 2ms);
}

// Guards against extra work beyond 5 % when a whole pool turns slow and every request asks for a
// hedge.
BOOST_AUTO_TEST_CASE(HedgesStayWithinTheirBudget)
{
  constexpr int kRequests = 20'000;
  HedgePolicy policy;
  Random random(3);
  int hedges = 0;
  for (int i = 0; i < kRequests; ++i) {
    const auto delay = policy.OnRequest();
    const auto latency = std::chrono::microseconds(1000 + random.Below(50'000));
    if (delay && latency > *delay / 8 && policy.TryTake()) {
      ++hedges;
    }
    policy.OnLatency(latency);
  }
  BOOST_TEST(hedges > 0);
  BOOST_TEST(hedges <= kRequests / 20);
}

// Guards against retries that multiply an overload, and against one workspace using up the retries
// of another.
BOOST_AUTO_TEST_CASE(RetriesAreLimitedPerWorkspace)
{
  constexpr int kRequests = 1000;
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < kRequests; ++i) {
    budget.OnRequest("loud", "s");
    while (budget.TryTake("loud", "s")) {
      ++retries;
    }
  }
  BOOST_TEST(retries <= kRequests / 5 + 20);
  BOOST_TEST(budget.TryTake("quiet", "s"));
}

// Guards against a stale hint that outlives a newer row, and against asking the failed owner again
// while the successor may have taken over.
BOOST_AUTO_TEST_CASE(OwnerDirectoryPrefersTheNewestToken)
{
  RoutingView view;
  view.shards_["s"].rows_ = { { { "s", 0 }, { "owner", 1 }, 5, { "successor", 1 } } };
  OwnerDirectory directory;
  BOOST_TEST(directory.Choose(view, "s", 0, "").instanceId_ == "owner");
  BOOST_TEST(directory.Choose(view, "s", 0, "owner").instanceId_ == "successor");
  directory.Learn("s", 0, "newer", 6);
  directory.Learn("s", 0, "older", 4);
  BOOST_TEST(directory.Choose(view, "s", 0, "owner").instanceId_ == "newer");
  view.shards_["s"].rows_[0].token_ = 7;
  BOOST_TEST(directory.Choose(view, "s", 0, "").instanceId_ == "owner");
  view.members_["owner"].reachable_ = false;
  BOOST_TEST(directory.Choose(view, "s", 0, "").instanceId_ == "successor");
  BOOST_TEST(directory.Choose(view, "s", 9, "").instanceId_.empty());
}
