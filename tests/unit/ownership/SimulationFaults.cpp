// Part of Simulation: the planner's proposals and the faults of instances.

#include "Simulation.hpp"

#include <iterator>
#include <vector>

namespace redwing::test {

void
Simulation::Plan()
{
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    if (current_.empty()) {
      return;
    }
    auto planner =
      std::next(current_.begin(), static_cast<std::ptrdiff_t>(random_.Below(current_.size())));
    if (now_ >= planner->second->pausedUntil_) {
      PlanAt(planner->second, i);
      Drain(planner->second);
    }
  }
}

void
Simulation::PlanAt(Node* aNode, std::size_t aShard)
{
  const ShardId& shard = shards_[aShard];
  auto target =
    std::next(current_.begin(), static_cast<std::ptrdiff_t>(random_.Below(current_.size())))
      ->second;
  Node* owner = OwnerOf(aShard);
  if (owner == nullptr) {
    aNode->node_->AssignShard(shard, target->ref_);
    return;
  }
  const ShardRow* row = owner->node_->Shards().Find(shard);
  if (now_ < owner->pausedUntil_ || row == nullptr || target == owner) {
    return;
  }
  const LeaseHolder& holder = owner->node_->Holder();
  Node* successor = Current(row->successor_.id_);
  const bool named = successor != nullptr && successor->ref_ == row->successor_;
  if (plannerMoves_ && Chance(0.05)) {
    owner->node_->ProposeMove(shard, target->ref_);
    ++counts_["move"];
  } else if (!named || (plannerMoves_ && Chance(0.1))) {
    if (plannerMoves_ || (target->ref_ != holder.Grantor() && target->ref_ != holder.Backup())) {
      owner->node_->ProposeSuccessorFor(shard, target->ref_);
    }
  }
  Drain(owner);
}

void
Simulation::GroupFault()
{
  const double kind = random_.Unit();
  if (kind < 0.4) {
    // Cuts in both directions between two groups, in the range in which leases end.
    std::vector<bool> side;
    const bool arcs = random_.Below(2) == 0;
    const std::size_t first = random_.Below(ids_.size());
    const std::size_t length = 1 + random_.Below(ids_.size() - 1);
    for (std::size_t i = 0; i < ids_.size(); ++i) {
      const bool inArc = (i + ids_.size() - first) % ids_.size() < length;
      side.push_back(arcs ? inArc : random_.Below(2) == 0);
    }
    const TimePoint until = now_ + Between(200000, 2500000);
    for (std::size_t i = 0; i < ids_.size(); ++i) {
      for (std::size_t k = 0; k < ids_.size(); ++k) {
        if (side[i] != side[k]) {
          Cut(ids_[i], ids_[k], until);
        }
      }
    }
    ++counts_["partition"];
    return;
  }
  Node* node = Current(ids_[random_.Below(ids_.size())]);
  Node* grantor = node == nullptr ? nullptr : Current(node->node_->Holder().Grantor().id_);
  if (node == nullptr || grantor == nullptr) {
    return;
  }
  if (kind < 0.7) {
    ++counts_["pair loss"];
    for (const std::string& id : { node->ref_.id_, grantor->ref_.id_ }) {
      Kill(id);
      At(Between(1000, 3000000), nullptr, [this, id] { Restart(id); });
    }
  } else {
    ++counts_["pair pause"];
    node->pausedUntil_ = now_ + Between(200000, 1200000);
    grantor->pausedUntil_ = now_ + Between(200000, 1200000);
  }
}

void
Simulation::Fault()
{
  if (groupFaults_ && Chance(0.1)) {
    GroupFault();
    return;
  }
  const std::string& id = ids_[random_.Below(ids_.size())];
  const std::string& other = ids_[random_.Below(ids_.size())];
  const double kind = random_.Unit();
  if (kind < 0.04) {
    Kill(id);
    At(Between(1000, 3000000), nullptr, [this, id] { Restart(id); });
  } else if (kind < 0.06) {
    if (Node* node = Current(id)) {
      node->node_->ReleaseAll();
      Drain(node);
      ++counts_["release all"];
      At(Between(100000, 1000000), nullptr, [this, id, ref = node->ref_] {
        if (Node* leaving = Current(id); leaving != nullptr && leaving->ref_ == ref) {
          Kill(id);
          At(Between(1000, 500000), nullptr, [this, id] { Restart(id); });
        }
      });
    }
  } else if (kind < 0.14) {
    Cut(id, other, now_ + Between(1000, 2000000));
    ++counts_["cut"];
  } else if (kind < 0.18) {
    if (Node* node = Current(id)) {
      node->pausedUntil_ = now_ + Between(100000, 2000000);
    }
  } else if (kind < 0.20) {
    storeUp_ = !storeUp_;
  } else if (kind < 0.25) {
    storeUp_ = true;
  }
}

} // namespace redwing::test
