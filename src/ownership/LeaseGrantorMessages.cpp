#include "ownership/LeaseGrantor.hpp"

#include <algorithm>

namespace redwing {

void
LeaseGrantor::OnUpdate(const InstanceRef& aFrom, const RowsUpdate& aUpdate, Effects& aEffects)
{
  FollowGrantor();
  DependantBinding* const binding = Find(aFrom, aUpdate.generation_);
  if (binding == nullptr || binding->death_ != DeathDecision::None || !binding->confirmed_) {
    return;
  }
  if (aUpdate.dependant_ == aFrom) {
    UpdateOwn(*binding, aUpdate, aEffects);
  } else {
    UpdateCopy(*binding, aUpdate, aEffects);
  }
}

void
LeaseGrantor::UpdateOwn(DependantBinding& aBinding, const RowsUpdate& aUpdate, Effects& aEffects)
{
  RowsAck ack{ aBinding.generation_, aBinding.ref_, 0, false, {} };
  for (const VersionedRow& row : aUpdate.rows_) {
    // A resent row that the backup grantor holds already is acknowledged at once.
    if (!aBinding.rows_.Merge(row) && aBinding.rows_.IsHeld(row.row_.shard_)) {
      ack.rows_.push_back({ row.row_.shard_, row.version_ });
    }
  }
  if (!ack.rows_.empty()) {
    aEffects.push_back(SendMessage{ aBinding.ref_, ack });
  }
  if (!aBinding.dropping_) {
    Register(aBinding, clock_.Now(), aEffects);
  }
}

bool
LeaseGrantor::HeldByAnother(const InstanceRef& aDependant, const DependantBinding* aExcept) const
{
  return std::any_of(bindings_.begin(), bindings_.end(), [&](const auto& aEntry) {
    return &aEntry.second != aExcept && aEntry.second.copies_.Holds(aDependant);
  });
}

void
LeaseGrantor::UpdateCopy(DependantBinding& aBinding, const RowsUpdate& aUpdate, Effects& aEffects)
{
  if (aBinding.dropping_ || HeldByAnother(aUpdate.dependant_, &aBinding)) {
    return;
  }
  RowsAck ack{ aUpdate.generation_, aUpdate.dependant_, aUpdate.bindingGeneration_, false, {} };
  if (bindings_.contains(aUpdate.dependant_)) {
    ack.refused_ = true;
  } else if (aBinding.copies_.Merge(aUpdate)) {
    for (const VersionedRow& row : aUpdate.rows_) {
      ack.rows_.push_back({ row.row_.shard_, row.version_ });
    }
  } else {
    return;
  }
  aEffects.push_back(SendMessage{ aBinding.ref_, std::move(ack) });
}

void
LeaseGrantor::OnAck(const InstanceRef& aFrom, const RowsAck& aAck, Effects& aEffects)
{
  FollowGrantor();
  DependantBinding* const binding = Find(aAck.dependant_, aAck.bindingGeneration_);
  if (binding == nullptr || !FromGrantor(aFrom, aAck.generation_)) {
    return;
  }
  if (aAck.refused_) {
    Erase(aAck.dependant_);
    return;
  }
  const bool first = !binding->registered_;
  binding->registered_ = true;
  binding->confirmed_ = true;
  for (const RowVersion& version : aAck.rows_) {
    binding->rows_.Acknowledge(version);
  }
  if (!aAck.rows_.empty()) {
    aEffects.push_back(SendMessage{
      binding->ref_, RowsAck{ binding->generation_, binding->ref_, 0, false, aAck.rows_ } });
  }
  if (first) {
    for (auto& [ref, other] : bindings_) {
      if (!other.confirmed_ && other.source_ == aAck.dependant_) {
        Register(other, clock_.Now(), aEffects);
      }
    }
  }
}

void
LeaseGrantor::OnDrop(const InstanceRef& aFrom, const RowsDrop& aDrop, Effects& aEffects)
{
  DependantBinding* const binding = Find(aFrom, aDrop.generation_);
  if (binding == nullptr || binding->death_ != DeathDecision::None) {
    return;
  }
  if (binding->copies_.Drop(aDrop)) {
    aEffects.push_back(SendMessage{
      aFrom, RowsDropAck{ aDrop.generation_, aDrop.dependant_, aDrop.bindingGeneration_ } });
  }
}

void
LeaseGrantor::OnDropAck(const InstanceRef& aFrom, const RowsDropAck& aAck, Effects& aEffects)
{
  FollowGrantor();
  DependantBinding* const binding = Find(aAck.dependant_, aAck.bindingGeneration_);
  if (binding == nullptr || !binding->dropping_ || !FromGrantor(aFrom, aAck.generation_)) {
    return;
  }
  if (binding->death_ != DeathDecision::Decided) {
    unbound_[binding->ref_] = binding->generation_;
    aEffects.push_back(SendMessage{ binding->ref_, UnbindAck{ binding->generation_ } });
  }
  Erase(aAck.dependant_);
}

void
LeaseGrantor::OnUnbind(const InstanceRef& aFrom, const Unbind& aUnbind, Effects& aEffects)
{
  FollowGrantor();
  const auto unbound = unbound_.find(aFrom);
  if (unbound != unbound_.end() && unbound->second == aUnbind.generation_) {
    aEffects.push_back(SendMessage{ aFrom, UnbindAck{ aUnbind.generation_ } });
    return;
  }
  DependantBinding* const binding = Find(aFrom, aUnbind.generation_);
  if (binding == nullptr || binding->death_ != DeathDecision::None || !binding->confirmed_) {
    return;
  }
  if (clock_.Now() >= binding->grantorHorizon_ && !binding->copies_.Empty()) {
    return;
  }
  binding->dropping_ = true;
  Register(*binding, clock_.Now(), aEffects);
}

void
LeaseGrantor::OnDecide(const InstanceRef& aFrom, const Decide& aDecide, Effects& aEffects)
{
  DependantBinding* const binding = Find(aFrom, aDecide.generation_);
  // Without a valid grantor lease the sender may have been inherited, and its dependants may have
  // been offered a new binding as orphans.
  if (binding == nullptr || binding->death_ != DeathDecision::None || aDecide.dependant_ == self_ ||
      !holder_.GrantorLeaseValid()) {
    return;
  }
  if (binding->copies_.MarkDead(aDecide)) {
    MarkDead(aDecide.dependant_, aEffects);
    aEffects.push_back(SendMessage{
      aFrom, DecideAck{ aDecide.generation_, aDecide.dependant_, aDecide.bindingGeneration_ } });
  }
}

void
LeaseGrantor::OnDecideAck(const InstanceRef& aFrom, const DecideAck& aAck, Effects& aEffects)
{
  FollowGrantor();
  DependantBinding* const binding = Find(aAck.dependant_, aAck.bindingGeneration_);
  if (binding == nullptr || binding->death_ != DeathDecision::Deciding ||
      !FromGrantor(aFrom, aAck.generation_)) {
    return;
  }
  binding->death_ = DeathDecision::Decided;
  takeOvers_.Add(binding->rows_.Rows());
  MarkDead(binding->ref_, aEffects);
  takeOvers_.Tick(clock_.Now(), aEffects);
}

} // namespace redwing
