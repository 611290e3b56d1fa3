#include "placement/Planner.hpp"
#include "core/Random.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace redwing;

namespace {

std::vector<Candidate>
Instances(std::size_t aCount, std::size_t aDataCentres)
{
  std::vector<Candidate> candidates;
  for (std::size_t i = 0; i < aCount; ++i) {
    const std::string dataCentre = "dc" + std::to_string(i % aDataCentres);
    candidates.push_back({ { "i" + std::to_string(i), 1 }, dataCentre, "", 9, true });
  }
  return candidates;
}

std::vector<PlannedShard>
Shards(std::size_t aCount)
{
  std::vector<PlannedShard> shards(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    shards[i].row_.shard_ = { "booking", static_cast<std::uint32_t>(i) };
  }
  return shards;
}

/// Applies the steps and returns how many shards changed their owner.
std::size_t
Apply(std::vector<PlannedShard>& aShards, const std::vector<PlanStep>& aSteps)
{
  std::size_t moved = 0;
  for (const PlanStep& step : aSteps) {
    if (const auto* assign = std::get_if<AssignShard>(&step)) {
      ShardRow& row = aShards[assign->shard_.index_].row_;
      row.owner_ = assign->target_;
      row.successor_ = assign->successor_;
      ++moved;
    } else if (const auto* move = std::get_if<MoveShard>(&step)) {
      aShards[move->shard_.index_].row_.owner_ = move->target_;
      aShards[move->shard_.index_].row_.successor_ = {};
      ++moved;
    } else {
      const auto& change = std::get<ChangeSuccessor>(step);
      aShards[change.shard_.index_].row_.successor_ = change.successor_;
    }
  }
  return moved;
}

/// Plans and applies rounds until a plan is empty; returns how many shards changed their owner.
std::size_t
RunUntilConverged(const Planner& aPlanner,
                  std::vector<PlannedShard>& aShards,
                  const std::vector<Candidate>& aCandidates)
{
  std::size_t moved = 0;
  for (int round = 0; round < 1000; ++round) {
    const auto steps = aPlanner.Plan(aShards, aCandidates);
    if (steps.empty()) {
      return moved;
    }
    moved += Apply(aShards, steps);
  }
  BOOST_FAIL("the plan does not converge");
  return moved;
}

/// Returns the largest load of an instance divided by the mean load.
double
Imbalance(const std::vector<PlannedShard>& aShards, const std::vector<Candidate>& aCandidates)
{
  std::map<std::string, double> load;
  double total = 0;
  for (const PlannedShard& shard : aShards) {
    load[shard.row_.owner_.id_] += std::max(shard.load_, 1e-9);
    total += std::max(shard.load_, 1e-9);
  }
  double largest = 0;
  for (const auto& [id, value] : load) {
    largest = std::max(largest, value);
  }
  return largest / (total / static_cast<double>(aCandidates.size()));
}

} // namespace

// Guards against shards without owner, uneven placement, and successors in the owner's data centre.
BOOST_AUTO_TEST_CASE(InitialPlacementIsEvenWithSuccessorsElsewhere)
{
  const Planner planner({});
  auto shards = Shards(64);
  const auto candidates = Instances(7, 4);
  RunUntilConverged(planner, shards, candidates);
  std::map<std::string, std::size_t> owned;
  for (const PlannedShard& shard : shards) {
    BOOST_TEST(!shard.row_.owner_.Empty());
    const auto dataCentreOf = [&](const InstanceRef& aRef) {
      return std::find_if(candidates.begin(),
                          candidates.end(),
                          [&](const Candidate& aCandidate) { return aCandidate.ref_ == aRef; })
        ->dataCentre_;
    };
    BOOST_TEST(dataCentreOf(shard.row_.owner_) != dataCentreOf(shard.row_.successor_));
    ++owned[shard.row_.owner_.id_];
  }
  for (const auto& [id, count] : owned) {
    BOOST_TEST(count >= 9U);
    BOOST_TEST(count <= 10U);
  }
}

// Guards against churn: withdrawing a data centre must move the shards of its instances and no
// others.
BOOST_AUTO_TEST_CASE(WithdrawnDataCentreIsEmptiedWithLittleChurn)
{
  const Planner planner({});
  auto shards = Shards(64);
  auto candidates = Instances(8, 4);
  RunUntilConverged(planner, shards, candidates);
  std::size_t necessary = 0;
  for (Candidate& candidate : candidates) {
    candidate.acceptsShards_ = candidate.dataCentre_ != "dc0";
  }
  for (const PlannedShard& shard : shards) {
    necessary += shard.row_.owner_.id_ == "i0" || shard.row_.owner_.id_ == "i4" ? 1 : 0;
  }
  const std::size_t moved = RunUntilConverged(planner, shards, candidates);
  BOOST_TEST(moved == necessary);
  for (const PlannedShard& shard : shards) {
    BOOST_TEST(shard.row_.owner_.id_ != "i0");
    BOOST_TEST(shard.row_.owner_.id_ != "i4");
  }
}

// Guards against an instance that owns a hot shard and many others, and against plans that
// oscillate: RunUntilConverged fails if the plan does not converge.
BOOST_AUTO_TEST_CASE(SkewedLoadIsBalanced)
{
  const Planner planner({});
  Random random(3);
  for (int trial = 0; trial < 20; ++trial) {
    auto shards = Shards(64);
    const auto candidates = Instances(7, 4);
    RunUntilConverged(planner, shards, candidates);
    double total = 0;
    for (std::size_t i = 0; i < shards.size(); ++i) {
      shards[i].load_ = 100.0 / static_cast<double>(1 + random.Below(64));
      total += shards[i].load_;
    }
    const double before = Imbalance(shards, candidates);
    RunUntilConverged(planner, shards, candidates);
    const double after = Imbalance(shards, candidates);
    BOOST_TEST_MESSAGE("imbalance " << before << " -> " << after);
    const double heaviest =
      std::max_element(shards.begin(), shards.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.load_ < aRight.load_;
      })->load_;
    const double unavoidable = heaviest / (total / static_cast<double>(candidates.size()));
    BOOST_TEST(after <= std::max(1.3, unavoidable * 1.15));
  }
}
