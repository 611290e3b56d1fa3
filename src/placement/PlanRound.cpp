#include "placement/PlanRound.hpp"

#include <algorithm>
#include <limits>

namespace redwing::Detail {

namespace {

/// Minimum weight of a shard as a fraction of the mean load, so that idle shards are distributed
/// too.
constexpr double kMinWeightFraction = 0.1;

} // namespace

PlanRound::PlanRound(std::span<const PlannedShard> aShards,
                     std::span<const Candidate> aCandidates,
                     const PlannerLimits& aLimits)
  : shards_(aShards)
  , limits_(aLimits)
  , moved_(aShards.size(), false)
{
  nodes_.reserve(aCandidates.size());
  for (const Candidate& candidate : aCandidates) {
    index_[candidate.ref_] = nodes_.size();
    nodes_.push_back({ &candidate });
  }
  double total = 0;
  for (const PlannedShard& shard : aShards) {
    total += shard.load_;
  }
  if (total > 0) {
    minWeight_ = kMinWeightFraction * total / static_cast<double>(aShards.size());
  }
  for (const PlannedShard& shard : aShards) {
    if (Node* owner = Find(shard.row_.owner_)) {
      owner->load_ += WeightOf(shard);
    }
    if (Node* successor = Find(shard.row_.successor_)) {
      successor->failoverLoad_ += WeightOf(shard);
    }
  }
}

std::vector<PlanStep>
PlanRound::Run()
{
  AssignUnowned();
  Evacuate();
  Balance();
  FixSuccessors();
  return std::move(steps_);
}

void
PlanRound::AssignUnowned()
{
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    const PlannedShard& shard = shards_[i];
    // An owner that is not a candidate is a lost instance. Its successor or the claim rule takes
    // the shard over, not the planner.
    if (!shard.row_.owner_.Empty()) {
      continue;
    }
    const double weight = WeightOf(shard);
    Node* target = LeastLoaded(weight);
    if (target == nullptr) {
      return;
    }
    target->load_ += weight;
    moved_[i] = true;
    const auto successor = ChooseSuccessor(target->candidate_->ref_, weight);
    steps_.emplace_back(AssignShard{
      shard.row_.shard_, target->candidate_->ref_, successor.value_or(InstanceRef{}) });
  }
}

void
PlanRound::Evacuate()
{
  std::map<InstanceRef, std::size_t> moves;
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    const PlannedShard& shard = shards_[i];
    Node* owner = Find(shard.row_.owner_);
    if (owner == nullptr || owner->candidate_->acceptsShards_) {
      continue;
    }
    if (moves[shard.row_.owner_]++ >= limits_.evacuationsPerSource_) {
      continue;
    }
    const double weight = WeightOf(shard);
    Node* target = LeastLoaded(weight);
    if (target == nullptr) {
      return;
    }
    owner->load_ -= weight;
    target->load_ += weight;
    moved_[i] = true;
    steps_.emplace_back(MoveShard{
      shard.row_.shard_, shard.row_.owner_, target->candidate_->ref_, "owner_takes_no_work" });
  }
}

void
PlanRound::Balance()
{
  const double mean = MeanRelativeLoad();
  for (std::size_t move = 0; move < limits_.balanceMoves_ && mean > 0; ++move) {
    Node* busiest = nullptr;
    for (Node& node : nodes_) {
      const bool eligible = node.candidate_->acceptsShards_ && node.candidate_->capacity_ > 0;
      if (eligible && (busiest == nullptr || RelativeLoad(node) > RelativeLoad(*busiest))) {
        busiest = &node;
      }
    }
    if (busiest == nullptr || RelativeLoad(*busiest) <= mean * limits_.imbalance_) {
      return;
    }
    // Selects the heaviest shard whose move leaves target and source less loaded than the source is
    // now.
    std::size_t best = shards_.size();
    Node* bestTarget = nullptr;
    for (std::size_t i = 0; i < shards_.size(); ++i) {
      if (moved_[i] || shards_[i].row_.owner_ != busiest->candidate_->ref_) {
        continue;
      }
      const double weight = WeightOf(shards_[i]);
      Node* target = LeastLoaded(weight);
      if (target == nullptr || target == busiest) {
        continue;
      }
      const double targetAfter = (target->load_ + weight) / target->candidate_->capacity_;
      const double sourceAfter = (busiest->load_ - weight) / busiest->candidate_->capacity_;
      const bool improves = targetAfter < RelativeLoad(*busiest) &&
                            std::max(targetAfter, sourceAfter) < RelativeLoad(*busiest);
      if (improves && (best == shards_.size() || weight > WeightOf(shards_[best]))) {
        best = i;
        bestTarget = target;
      }
    }
    if (bestTarget == nullptr) {
      return;
    }
    const double weight = WeightOf(shards_[best]);
    busiest->load_ -= weight;
    bestTarget->load_ += weight;
    moved_[best] = true;
    steps_.emplace_back(MoveShard{ shards_[best].row_.shard_,
                                   busiest->candidate_->ref_,
                                   bestTarget->candidate_->ref_,
                                   "balance" });
  }
}

void
PlanRound::FixSuccessors()
{
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    const ShardRow& row = shards_[i].row_;
    if (moved_[i] || Find(row.owner_) == nullptr || IsValidSuccessor(row.successor_, row.owner_)) {
      continue;
    }
    const double weight = WeightOf(shards_[i]);
    const auto successor = ChooseSuccessor(row.owner_, weight);
    if (successor && *successor != row.successor_) {
      steps_.emplace_back(ChangeSuccessor{ row.shard_, row.owner_, *successor });
    }
  }
}

double
PlanRound::WeightOf(const PlannedShard& aShard) const
{
  return std::max(aShard.load_, minWeight_);
}

double
PlanRound::RelativeLoad(const Node& aNode) const
{
  return aNode.candidate_->capacity_ > 0 ? aNode.load_ / aNode.candidate_->capacity_
                                         : std::numeric_limits<double>::infinity();
}

double
PlanRound::MeanRelativeLoad() const
{
  double load = 0;
  double capacity = 0;
  for (const Node& node : nodes_) {
    load += node.load_;
    capacity += node.candidate_->acceptsShards_ ? node.candidate_->capacity_ : 0;
  }
  return capacity > 0 ? load / capacity : 0;
}

PlanRound::Node*
PlanRound::Find(const InstanceRef& aRef)
{
  const auto found = index_.find(aRef);
  return found == index_.end() ? nullptr : &nodes_[found->second];
}

PlanRound::Node*
PlanRound::LeastLoaded(double aWeight)
{
  Node* best = nullptr;
  double bestLoad = std::numeric_limits<double>::infinity();
  for (Node& node : nodes_) {
    if (!node.candidate_->acceptsShards_ || node.candidate_->capacity_ <= 0) {
      continue;
    }
    const double after = (node.load_ + aWeight) / node.candidate_->capacity_;
    if (after < bestLoad) {
      bestLoad = after;
      best = &node;
    }
  }
  return best;
}

std::optional<InstanceRef>
PlanRound::ChooseSuccessor(const InstanceRef& aOwner, double aWeight)
{
  const Node* owner = Find(aOwner);
  const bool otherDataCentre = AnotherDataCentreExists(*owner->candidate_);
  Node* best = nullptr;
  double bestLoad = std::numeric_limits<double>::infinity();
  for (Node& node : nodes_) {
    const Candidate& candidate = *node.candidate_;
    const bool sameDataCentre = candidate.dataCentre_ == owner->candidate_->dataCentre_;
    if (&node == owner || !candidate.acceptsShards_ || candidate.capacity_ <= 0 ||
        (otherDataCentre && sameDataCentre)) {
      continue;
    }
    const double after = (node.load_ + node.failoverLoad_ + aWeight) / candidate.capacity_;
    if (after < bestLoad) {
      bestLoad = after;
      best = &node;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  best->failoverLoad_ += aWeight;
  return best->candidate_->ref_;
}

bool
PlanRound::IsValidSuccessor(const InstanceRef& aSuccessor, const InstanceRef& aOwner)
{
  const Node* successor = Find(aSuccessor);
  if (successor == nullptr || aSuccessor == aOwner) {
    return false;
  }
  const Candidate& candidate = *successor->candidate_;
  const Candidate& owner = *Find(aOwner)->candidate_;
  const bool validDataCentre =
    candidate.dataCentre_ != owner.dataCentre_ || !AnotherDataCentreExists(owner);
  return candidate.acceptsShards_ && candidate.capacity_ > 0 && validDataCentre;
}

bool
PlanRound::AnotherDataCentreExists(const Candidate& aOwner) const
{
  return std::any_of(nodes_.begin(), nodes_.end(), [&](const Node& aNode) {
    const Candidate& other = *aNode.candidate_;
    return other.dataCentre_ != aOwner.dataCentre_ && other.acceptsShards_ && other.capacity_ > 0;
  });
}

} // namespace redwing::Detail
