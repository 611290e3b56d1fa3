#include "fleet/ShardPlanner.hpp"

#include <algorithm>
#include <numeric>
#include <optional>

namespace redwing {

namespace {

constexpr std::size_t kNoCandidate = static_cast<std::size_t>(-1);

/// State of one planning round. Loads and fair shares are fractions of the total load.
class Round
{
public:
  Round(const ShardPlannerSettings& aSettings,
        const ShardTable& aTable,
        std::span<const ShardCandidate> aCandidates,
        std::span<const double> aLoad)
    : settings_(aSettings)
    , table_(aTable)
    , candidates_(aCandidates)
    , weights_(WeightsOf(aTable.Shards(), aLoad, aSettings.evenShare_))
    , load_(aCandidates.size(), 0)
    , fair_(aCandidates.size(), 0)
  {
    double capacity = 0;
    for (const ShardCandidate& candidate : candidates_) {
      capacity += SharesFairly(candidate) ? candidate.capacity_ : 0;
    }
    for (std::size_t i = 0; i < candidates_.size(); ++i) {
      fair_[i] =
        SharesFairly(candidates_[i]) && capacity > 0 ? candidates_[i].capacity_ / capacity : 0;
    }
    for (const ShardRun& run : table_.Runs()) {
      const std::size_t target = TargetOf(run);
      if (target != kNoCandidate) {
        load_[target] += WeightOf(run.first_, run.last_);
      }
    }
  }

  ShardTable Run(bool aRebalance, bool aAssign)
  {
    if (std::none_of(fair_.begin(), fair_.end(), [](double aFair) { return aFair > 0; })) {
      return table_;
    }
    const std::vector<ShardRun> runs(table_.Runs().begin(), table_.Runs().end());
    if (aAssign) {
      AssignShards(runs);
    }
    for (const ShardRun& run : runs) {
      const std::size_t holder = HolderOf(run);
      if (holder == kNoCandidate) {
        continue;
      }
      const std::size_t target = TargetOf(run);
      const bool misplaced = target == kNoCandidate || !candidates_[target].accepts_;
      if (misplaced && candidates_[holder].accepts_) {
        // The successor is gone, so the holder keeps the shards.
        table_.SetSuccessor(run.first_, run.last_, {});
      } else if (misplaced) {
        PlaceShards(run, false);
      }
    }
    if (aRebalance) {
      FillLimited();
      Rebalance();
    }
    return std::move(table_);
  }

private:
  static bool SharesFairly(const ShardCandidate& aCandidate)
  {
    return aCandidate.accepts_ && aCandidate.intake_ == ShardIntake::Fair;
  }

  /// Moves shards to servers with a limit, and away from those that exceed it.
  void FillLimited()
  {
    for (std::size_t i = 0; i < candidates_.size(); ++i) {
      if (!candidates_[i].accepts_ || candidates_[i].intake_ != ShardIntake::Limited) {
        continue;
      }
      // The traffic of a set of shards is at most its weight divided by the part of the weight that
      // stands for traffic.
      const double limit = candidates_[i].limit_ * (1 - settings_.evenShare_);
      while (load_[i] < limit) {
        const std::size_t from = MostLoaded();
        if (from == kNoCandidate || Move(from, i, limit - load_[i]) <= 0) {
          break;
        }
      }
      while (load_[i] > limit) {
        // A single shard may weigh more than the excess, so that Move would refuse it.
        const std::size_t to = MostUnderloaded();
        if (to == kNoCandidate || Move(i, to, std::max(load_[i] - limit, HeaviestOf(i))) <= 0) {
          break;
        }
      }
    }
  }

  /// Returns the most loaded candidate without a limit.
  std::size_t MostLoaded() const
  {
    std::size_t best = kNoCandidate;
    for (std::size_t i = 0; i < candidates_.size(); ++i) {
      if (fair_[i] > 0 && (best == kNoCandidate || load_[i] > load_[best])) {
        best = i;
      }
    }
    return best;
  }

  /// Returns the weight of the heaviest shard that a candidate holds and does not hand over.
  double HeaviestOf(std::size_t aCandidate) const
  {
    double heaviest = 0;
    for (const ShardRun& run : table_.Runs()) {
      if (HolderOf(run) == aCandidate && run.successor_.empty()) {
        heaviest = std::max(
          heaviest,
          *std::max_element(weights_.begin() + run.first_, weights_.begin() + run.last_ + 1));
      }
    }
    return heaviest;
  }

  /// Assigns the shards that nobody holds: to the new incarnation of their last holder's server, or
  /// else to the candidates furthest below their fair shares.
  void AssignShards(std::span<const ShardRun> aRuns)
  {
    std::vector<ShardRun> orphaned;
    for (const ShardRun& run : aRuns) {
      if (HolderOf(run) != kNoCandidate) {
        continue;
      }
      const std::size_t last = IndexOf(run.holder_.instanceId_);
      if (last == kNoCandidate || !candidates_[last].accepts_ ||
          candidates_[last].serverIncarnation_.empty()) {
        orphaned.push_back(run);
        continue;
      }
      load_[last] += WeightOf(run.first_, run.last_);
      table_.Assign(
        run.first_, run.last_, { run.holder_.instanceId_, candidates_[last].serverIncarnation_ });
    }
    for (const ShardRun& run : orphaned) {
      PlaceShards(run, true);
    }
  }

  static std::vector<double> WeightsOf(std::uint32_t aShards,
                                       std::span<const double> aLoad,
                                       double aEvenShare)
  {
    const double total = std::accumulate(aLoad.begin(), aLoad.end(), 0.0);
    const double even = (total > 0 ? aEvenShare : 1.0) / aShards;
    std::vector<double> weights(aShards, even);
    for (std::size_t i = 0; total > 0 && i < aLoad.size(); ++i) {
      weights[i] += (1 - aEvenShare) * aLoad[i] / total;
    }
    return weights;
  }

  double WeightOf(std::uint32_t aFirst, std::uint32_t aLast) const
  {
    return std::accumulate(weights_.begin() + aFirst, weights_.begin() + aLast + 1, 0.0);
  }

  std::size_t IndexOf(const std::string& aInstanceId) const
  {
    for (std::size_t i = 0; i < candidates_.size(); ++i) {
      if (candidates_[i].instanceId_ == aInstanceId) {
        return i;
      }
    }
    return kNoCandidate;
  }

  /// Returns the candidate whose current server incarnation holds the shards.
  std::size_t HolderOf(const ShardRun& aRun) const
  {
    const std::size_t index = IndexOf(aRun.holder_.instanceId_);
    const bool holds = index != kNoCandidate && !aRun.holder_.serverIncarnation_.empty() &&
                       candidates_[index].serverIncarnation_ == aRun.holder_.serverIncarnation_;
    return holds ? index : kNoCandidate;
  }

  /// Returns the candidate that will hold the shards after pending handovers.
  std::size_t TargetOf(const ShardRun& aRun) const
  {
    const std::size_t holder = HolderOf(aRun);
    if (holder == kNoCandidate || aRun.successor_.empty()) {
      return holder;
    }
    return IndexOf(aRun.successor_);
  }

  /// Returns the accepting candidate whose load is furthest below its fair share.
  std::size_t MostUnderloaded() const
  {
    std::size_t best = kNoCandidate;
    for (std::size_t i = 0; i < candidates_.size(); ++i) {
      const double need = fair_[i] - load_[i];
      if (fair_[i] > 0 && (best == kNoCandidate || need > fair_[best] - load_[best])) {
        best = i;
      }
    }
    return best;
  }

  /// Distributes the shards of aRun among the candidates furthest below their fair shares, in long
  /// contiguous ranges. Orphaned shards are assigned at once, others get a successor.
  void PlaceShards(const ShardRun& aRun, bool aOrphaned)
  {
    std::uint32_t first = aRun.first_;
    while (first <= aRun.last_) {
      const std::size_t target = MostUnderloaded();
      std::uint32_t last = first;
      double weight = weights_[first];
      while (last < aRun.last_ && load_[target] + weight + weights_[last + 1] <= fair_[target]) {
        weight += weights_[++last];
      }
      load_[target] += weight;
      if (aOrphaned) {
        table_.Assign(
          first, last, { candidates_[target].instanceId_, candidates_[target].serverIncarnation_ });
      } else {
        table_.SetSuccessor(first, last, candidates_[target].instanceId_);
      }
      first = last + 1;
    }
  }

  /// Moves shards from the most overloaded server to the one furthest below its fair share, until
  /// no server is overloaded or moveShare_ is used up.
  void Rebalance()
  {
    double budget = settings_.moveShare_;
    while (budget > 0) {
      std::size_t from = kNoCandidate;
      double worst = settings_.overloadFactor_;
      for (std::size_t i = 0; i < candidates_.size(); ++i) {
        const double ratio = fair_[i] > 0 ? load_[i] / fair_[i] : 0;
        if (ratio > worst) {
          worst = ratio;
          from = i;
        }
      }
      const std::size_t to = MostUnderloaded();
      if (from == kNoCandidate || to == from) {
        return;
      }
      const double amount = std::min({ budget, load_[from] - fair_[from], fair_[to] - load_[to] });
      const double moved = amount > 0 ? Move(from, to, amount) : 0;
      if (moved <= 0) {
        return;
      }
      budget -= moved;
    }
  }

  /// Sets aTo as the successor for shards of aFrom with a total weight of at most aAmount; returns
  /// their weight.
  double Move(std::size_t aFrom, std::size_t aTo, double aAmount)
  {
    // Moving the run with the highest weight per shard needs the fewest shards.
    std::optional<ShardRun> best;
    double bestDensity = 0;
    for (const ShardRun& run : table_.Runs()) {
      if (HolderOf(run) != aFrom || !run.successor_.empty()) {
        continue;
      }
      const double density =
        WeightOf(run.first_, run.last_) / static_cast<double>(run.last_ - run.first_ + 1);
      if (!best || density > bestDensity) {
        best = run;
        bestDensity = density;
      }
    }
    if (!best) {
      return 0;
    }
    // Takes shards from the end of the run, or from its start if the last shard alone exceeds
    // aAmount. A shard that exceeds aAmount by itself is not moved.
    double weight = 0;
    std::uint32_t first = best->last_ + 1;
    while (first > best->first_ && weight + weights_[first - 1] <= aAmount) {
      weight += weights_[--first];
    }
    std::uint32_t last = best->last_;
    if (weight <= 0) {
      weight = 0;
      first = best->first_;
      last = first;
      while (last < best->last_ && weight + weights_[last] <= aAmount) {
        weight += weights_[last++];
      }
      if (weight <= 0) {
        return 0;
      }
      --last;
    }
    table_.SetSuccessor(first, last, candidates_[aTo].instanceId_);
    load_[aFrom] -= weight;
    load_[aTo] += weight;
    return weight;
  }

  const ShardPlannerSettings& settings_;
  ShardTable table_;
  std::span<const ShardCandidate> candidates_;
  std::vector<double> weights_;
  /// Load of each candidate after pending handovers, and its fair share; both add up to 1.
  std::vector<double> load_;
  std::vector<double> fair_;
};

} // namespace

ShardTable
ShardPlanner::Plan(const ShardTable& aTable,
                   std::span<const ShardCandidate> aCandidates,
                   std::span<const double> aLoad,
                   bool aRebalance,
                   bool aAssign) const
{
  return Round(settings_, aTable, aCandidates, aLoad).Run(aRebalance, aAssign);
}

} // namespace redwing
