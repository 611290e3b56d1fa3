#include "limits/WindowBudget.hpp"
#include "core/Random.hpp"
#include "limits/BudgetPool.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>

using namespace redwing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kInstances = 11;
constexpr double kAllowance = 120;
constexpr Duration kWindow = 5s;

/// Instances that share the allowance of one workspace through a pool, on simulated time.
class Fleet
{
public:
  explicit Fleet(std::uint64_t aSeed)
    : random_(aSeed)
  {
    for (std::size_t i = 0; i < kInstances; ++i) {
      Restart(i);
    }
    pool_.emplace(WindowBudgetSettings{}, now_);
  }

  void Restart(std::size_t aIndex)
  {
    nodes_[aIndex] = std::make_unique<WindowBudget>(WindowBudgetSettings{}, now_);
    nodes_[aIndex]->SetAllowance(kAllowance, kInstances);
    ++runs_[aIndex];
  }

  void NewLeader() { pool_.emplace(WindowBudgetSettings{}, now_); }

  void Request(std::size_t aIndex)
  {
    ++asked_;
    if (nodes_[aIndex]->TryTake(now_)) {
      admitted_.push_back(now_);
    }
    while (!admitted_.empty() && now_ - admitted_.front() >= kWindow) {
      admitted_.pop_front();
    }
    most_ = std::max(most_, admitted_.size());
  }

  /// Reports of all instances; each is lost with the given probability.
  void Report(double aLoss)
  {
    for (std::size_t i = 0; i < kInstances; ++i) {
      const BudgetUse use = nodes_[i]->Report(now_);
      if (random_.Unit() < aLoss) {
        continue;
      }
      const std::string run = std::to_string(i) + "#" + std::to_string(runs_[i]);
      const double extra = pool_->OnReport(run, use, kAllowance, kInstances, now_);
      if (random_.Unit() >= aLoss) {
        nodes_[i]->OnGrant(extra, now_);
      }
    }
  }

  /// Runs for aTime with a request rate for each instance.
  void Run(Duration aTime, const std::map<std::size_t, double>& aRates, double aLoss)
  {
    constexpr Duration kStep = 10ms;
    const TimePoint end = now_ + aTime;
    while (now_ < end) {
      now_ += kStep;
      for (const auto& [index, rate] : aRates) {
        if (random_.Unit() < rate * std::chrono::duration<double>(kStep).count()) {
          Request(index);
        }
      }
      if (now_ >= nextReport_) {
        nextReport_ = now_ + 500ms;
        Report(aLoss);
      }
    }
  }

  Random random_;
  TimePoint now_{ 1h };
  TimePoint nextReport_{};
  std::map<std::size_t, std::unique_ptr<WindowBudget>> nodes_;
  std::map<std::size_t, unsigned> runs_;
  std::optional<BudgetPool> pool_;
  std::deque<TimePoint> admitted_;
  std::size_t asked_ = 0;
  std::size_t most_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PooledAllowance)

// Guards against a workspace that is refused within its rate because its callers use one instance.
BOOST_AUTO_TEST_CASE(OneInstanceMayUseWhatOthersLeave)
{
  Fleet fleet(1);
  fleet.Run(10s, { { 3, 8 } }, 0);
  const std::size_t asked = fleet.asked_;
  std::size_t admitted = 0;
  for (int i = 0; i < 10; ++i) {
    const std::size_t before = fleet.admitted_.size();
    fleet.Run(5s, { { 3, 15 } }, 0);
    admitted = std::max(admitted, fleet.admitted_.size());
    (void)before;
  }
  BOOST_TEST(asked > 0U);
  // 15 requests a second are 75 in a window; an equal division would admit 11.
  BOOST_TEST(admitted > 60U);
}

// Guards against a fleet that together exceeds the allowance of a workspace in any window, with any
// demand, lost reports and replies, restarts and changes of the leader.
BOOST_AUTO_TEST_CASE(StaysWithinTheAllowance)
{
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Fleet fleet(seed);
    for (int phase = 0; phase < 12; ++phase) {
      std::map<std::size_t, double> rates;
      const std::size_t active = 1 + fleet.random_.Below(kInstances);
      for (std::size_t i = 0; i < active; ++i) {
        rates[fleet.random_.Below(kInstances)] = fleet.random_.Unit() * 120;
      }
      switch (fleet.random_.Below(4)) {
        case 0:
          fleet.Restart(fleet.random_.Below(kInstances));
          break;
        case 1:
          fleet.NewLeader();
          break;
        default:
          break;
      }
      fleet.Run(2s + std::chrono::milliseconds(fleet.random_.Below(4000)),
                rates,
                fleet.random_.Unit() < 0.5 ? 0 : fleet.random_.Unit());
    }
    // The bound of the users' pages allows a tenth and 20 requests more than rate and burst.
    BOOST_TEST(static_cast<double>(fleet.most_) <= kAllowance * 1.1 + 20, "seed " << seed);
  }
}

// Guards against requests that count although they did not run.
BOOST_AUTO_TEST_CASE(ReturnedRequestsDoNotCount)
{
  WindowBudget budget({}, TimePoint(1h));
  budget.SetAllowance(10, 1);
  const TimePoint now = TimePoint(1h) + 20s;
  for (int i = 0; i < 100; ++i) {
    BOOST_REQUIRE(budget.TryTake(now));
    budget.Return();
  }
}

BOOST_AUTO_TEST_SUITE_END()
