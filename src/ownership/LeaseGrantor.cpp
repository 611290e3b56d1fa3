#include "ownership/LeaseGrantor.hpp"

#include <algorithm>

namespace redwing {

namespace {

constexpr int kOrphanDelayResends = 2;

} // namespace

LeaseGrantor::LeaseGrantor(InstanceRef aSelf,
                           const OwnershipSettings& aSettings,
                           const Clock& aClock,
                           const LeaseHolder& aHolder,
                           GoneMembers& aGone)
  : self_(std::move(aSelf))
  , settings_(aSettings)
  , clock_(aClock)
  , holder_(aHolder)
  , gone_(aGone)
  , takeOvers_(aSettings, aGone)
{
}

DependantBinding*
LeaseGrantor::Find(const InstanceRef& aRef, std::uint64_t aGeneration)
{
  const auto it = bindings_.find(aRef);
  return it != bindings_.end() && it->second.generation_ == aGeneration ? &it->second : nullptr;
}

bool
LeaseGrantor::FromGrantor(const InstanceRef& aFrom, std::uint64_t aGeneration) const
{
  return aFrom == grantor_ && aGeneration == grantorGeneration_;
}

Duration
LeaseGrantor::InstanceWait() const
{
  return settings_.waitForLease_ ? settings_.Wait(settings_.instanceLease_)
                                 : settings_.askBackupAfter_;
}

void
LeaseGrantor::FollowGrantor()
{
  if (holder_.Grantor() == grantor_ && holder_.Generation() == grantorGeneration_) {
    return;
  }
  grantor_ = holder_.Grantor();
  grantorGeneration_ = holder_.Generation();
  for (auto& [ref, binding] : bindings_) {
    binding.registered_ = false;
    binding.lastRegister_ = binding.lastDecide_ = binding.lastDrop_ = TimePoint{};
    binding.rows_.ResetAcknowledgements();
  }
}

void
LeaseGrantor::Erase(const InstanceRef& aRef)
{
  std::vector<InstanceRef> ended{ aRef };
  while (!ended.empty()) {
    const InstanceRef ref = std::move(ended.back());
    ended.pop_back();
    bindings_.erase(ref);
    // What was inherited through a binding and never came into force ends with it.
    for (const auto& [other, binding] : bindings_) {
      if (!binding.confirmed_ && binding.source_ == ref) {
        ended.push_back(other);
      }
    }
  }
}

void
LeaseGrantor::DropAll()
{
  bindings_.clear();
  dropped_.clear();
}

void
LeaseGrantor::DropAndRebind(DependantAction aNested)
{
  dropped_.clear();
  for (const auto& [ref, binding] : bindings_) {
    if (!binding.confirmed_ || binding.dropping_ || binding.death_ != DeathDecision::None) {
      continue;
    }
    const DependantAction action = binding.everInherited_ ? DependantAction::Drop : aNested;
    dropped_[ref] = Dropped{ binding.generation_, 0, action };
  }
  bindings_.clear();
}

void
LeaseGrantor::OfferAgain(const InstanceRef& aFrom, const Heartbeat& aHeartbeat, Effects& aEffects)
{
  const auto it = dropped_.find(aFrom);
  // The grantor lease shows that the new grantor has fenced the former one.
  if (it == dropped_.end() || it->second.generation_ != aHeartbeat.generation_ ||
      !holder_.GrantorLeaseValid() || HeldByAnother(aFrom, nullptr)) {
    return;
  }
  if (it->second.offered_ == 0) {
    it->second.offered_ = ++lastGeneration_;
  }
  offers_[aFrom] = Offer{ it->second.offered_, InstanceRef{} };
  aEffects.push_back(SendMessage{ aFrom,
                                  BindOffer{ it->second.offered_,
                                             true,
                                             true,
                                             true,
                                             aHeartbeat.sentAt_,
                                             it->second.generation_,
                                             it->second.action_ } });
}

void
LeaseGrantor::Tick(Effects& aEffects)
{
  const TimePoint now = clock_.Now();
  FollowGrantor();
  std::vector<DependantBinding*> current;
  for (auto& [ref, binding] : bindings_) {
    current.push_back(&binding);
  }
  for (DependantBinding* binding : current) {
    if (now >= binding->grantorHorizon_ && !binding->dropping_ && !binding->copies_.Empty()) {
      Inherit(*binding, now, aEffects);
    }
  }
  for (auto it = bindings_.begin(); it != bindings_.end();) {
    DependantBinding& binding = it->second;
    TickDeath(binding, now, aEffects);
    if (binding.death_ == DeathDecision::Decided && !takeOvers_.Pending(binding.ref_) &&
        !binding.dropping_) {
      binding.dropping_ = true;
    }
    Register(binding, now, aEffects);
    ++it;
  }
  takeOvers_.Tick(now, aEffects);
  WarnDependants(now, aEffects);
}

void
LeaseGrantor::WarnDependants(TimePoint aNow, Effects& aEffects)
{
  const std::uint8_t level = holder_.DistressLevel();
  if ((level == 0 && holder_.Renewed()) || aNow - lastDistress_ < settings_.resend_) {
    return;
  }
  lastDistress_ = aNow;
  for (const auto& [ref, binding] : bindings_) {
    aEffects.push_back(SendMessage{ ref, Distress{ binding.generation_, level, false } });
  }
}

void
LeaseGrantor::TellEnd(Effects& aEffects) const
{
  for (const auto& [ref, binding] : bindings_) {
    aEffects.push_back(SendMessage{ ref, Distress{ binding.generation_, 0, true } });
  }
}

void
LeaseGrantor::Inherit(DependantBinding& aBinding, TimePoint aNow, Effects& aEffects)
{
  const BackupCopies copies = std::move(aBinding.copies_);
  aBinding.copies_ = BackupCopies{};
  aBinding.generation_ = ++lastGeneration_;
  aBinding.dependantsInherited_ = true;
  aBinding.everInherited_ = true;
  aBinding.registered_ = false;
  aBinding.lastRegister_ = TimePoint{};
  for (const auto& [ref, copy] : copies.All()) {
    if (copy.removed_ || ref == self_ || bindings_.contains(ref)) {
      continue;
    }
    DependantBinding binding;
    binding.ref_ = ref;
    binding.generation_ = ++lastGeneration_;
    binding.instanceHorizon_ = aNow + InstanceWait();
    binding.grantorHorizon_ = aNow + settings_.Wait(settings_.grantorLease_);
    binding.confirmed_ = false;
    binding.heard_ = false;
    binding.inheritedAt_ = aNow;
    binding.source_ = aBinding.ref_;
    binding.dependantsInherited_ = copy.inherited_;
    binding.everInherited_ = true;
    for (const auto& [shard, row] : copy.rows_) {
      binding.rows_.Merge(row);
    }
    if (copy.dead_) {
      // The decision is final; only its effect on the successors may be missing.
      binding.death_ = DeathDecision::Decided;
      takeOvers_.Add(binding.rows_.Rows());
      MarkDead(ref, aEffects);
    }
    bindings_.emplace(ref, std::move(binding));
  }
}

void
LeaseGrantor::Register(DependantBinding& aBinding, TimePoint aNow, Effects& aEffects)
{
  if (grantor_.Empty()) {
    return;
  }
  if (!aBinding.confirmed_) {
    // The source is registered first, so that the backup grantor knows that it was fenced.
    const auto source = bindings_.find(aBinding.source_);
    if (source == bindings_.end() || !source->second.registered_) {
      return;
    }
  }
  if (aBinding.registered_ && aBinding.dropping_) {
    if (aBinding.lastDrop_ == TimePoint{} || aNow - aBinding.lastDrop_ >= settings_.resend_) {
      aBinding.lastDrop_ = aNow;
      aEffects.push_back(SendMessage{
        grantor_, RowsDrop{ grantorGeneration_, aBinding.ref_, aBinding.generation_ } });
    }
    return;
  }
  RowsUpdate update{
    grantorGeneration_, aBinding.ref_, aBinding.generation_, aBinding.dependantsInherited_, {}
  };
  bool sent = false;
  for (auto& batch : aBinding.rows_.TakeDue(aNow, settings_.resend_, settings_.rowBytes_)) {
    update.rows_ = std::move(batch);
    aEffects.push_back(SendMessage{ grantor_, update });
    sent = true;
  }
  if (!sent && !aBinding.registered_ &&
      (aBinding.lastRegister_ == TimePoint{} ||
       aNow - aBinding.lastRegister_ >= settings_.resend_)) {
    update.rows_.clear();
    aBinding.lastRegister_ = aNow;
    aEffects.push_back(SendMessage{ grantor_, update });
  }
}

void
LeaseGrantor::TickDeath(DependantBinding& aBinding, TimePoint aNow, Effects& aEffects)
{
  if (aBinding.death_ == DeathDecision::None && !aBinding.dropping_ &&
      aNow >= aBinding.instanceHorizon_) {
    aBinding.death_ = DeathDecision::Deciding;
  }
  if (aBinding.death_ == DeathDecision::Deciding && aBinding.registered_ &&
      aBinding.rows_.AllHeld() &&
      (aBinding.lastDecide_ == TimePoint{} || aNow - aBinding.lastDecide_ >= settings_.resend_)) {
    aBinding.lastDecide_ = aNow;
    aEffects.push_back(
      SendMessage{ grantor_, Decide{ grantorGeneration_, aBinding.ref_, aBinding.generation_ } });
  }
}

void
LeaseGrantor::MarkDead(const InstanceRef& aRef, Effects& aEffects)
{
  if (!gone_.IsDead(aRef)) {
    gone_.MarkDead(aRef);
    aEffects.push_back(MemberDead{ aRef });
  }
}

void
LeaseGrantor::OnProbe(const InstanceRef& aFrom, Effects& aEffects)
{
  if (gone_.IsDead(aFrom) || bindings_.contains(aFrom)) {
    return;
  }
  Offer& offer = offers_[aFrom];
  if (offer.generation_ == 0 || !offer.orphanOf_.Empty()) {
    offer = Offer{ ++lastGeneration_, InstanceRef{} };
  }
  aEffects.push_back(
    SendMessage{ aFrom,
                 BindOffer{ offer.generation_,
                            holder_.GrantorLeaseValid() && holder_.DistressLevel() == 0,
                            holder_.Healthy(),
                            false,
                            0 } });
}

void
LeaseGrantor::OnHeartbeat(const InstanceRef& aFrom, const Heartbeat& aHeartbeat, Effects& aEffects)
{
  const TimePoint now = clock_.Now();
  FollowGrantor();
  HeartbeatReply reply;
  reply.sentAt_ = aHeartbeat.sentAt_;
  reply.backup_ = grantor_;
  if (gone_.IsDead(aFrom)) {
    reply.dead_ = true;
    aEffects.push_back(SendMessage{ aFrom, reply });
    return;
  }
  auto it = bindings_.find(aFrom);
  if (it == bindings_.end()) {
    if (aHeartbeat.generation_ == 0) {
      OfferToOrphan(aFrom, aHeartbeat, now, aEffects);
      return;
    }
    if (!Bind(aFrom, aHeartbeat.generation_, now, aEffects)) {
      OfferAgain(aFrom, aHeartbeat, aEffects);
      return;
    }
    it = bindings_.find(aFrom);
  }
  DependantBinding& binding = it->second;
  MarkHeard(binding);
  if (!binding.confirmed_) {
    return;
  }
  reply.generation_ = binding.generation_;
  reply.inherited_ = binding.dependantsInherited_;
  if (aHeartbeat.generation_ == binding.generation_) {
    Renew(binding, reply, now);
  }
  aEffects.push_back(SendMessage{ aFrom, reply });
}

bool
LeaseGrantor::Bind(const InstanceRef& aFrom,
                   std::uint64_t aGeneration,
                   TimePoint aNow,
                   Effects& aEffects)
{
  const auto offer = offers_.find(aFrom);
  if (offer == offers_.end() || offer->second.generation_ != aGeneration ||
      HeldByAnother(aFrom, nullptr)) {
    return false;
  }
  const InstanceRef silent = offer->second.orphanOf_;
  // An offer is used once: a late duplicate of this heartbeat must not bind again.
  offers_.erase(offer);
  dropped_.erase(aFrom);
  DependantBinding binding;
  binding.ref_ = aFrom;
  binding.generation_ = aGeneration;
  binding.instanceHorizon_ = aNow + InstanceWait();
  binding.grantorHorizon_ = aNow + settings_.Wait(settings_.grantorLease_);
  if (const auto former = bindings_.find(silent); former != bindings_.end()) {
    // The silent grantor may return after aFrom has moved on; it must drop its dependants then.
    former->second.generation_ = ++lastGeneration_;
    former->second.dependantsInherited_ = true;
    former->second.everInherited_ = true;
    former->second.registered_ = false;
    former->second.lastRegister_ = TimePoint{};
    Register(former->second, aNow, aEffects);
    binding.confirmed_ = false;
    binding.source_ = silent;
  }
  const auto it = bindings_.emplace(aFrom, std::move(binding)).first;
  Register(it->second, aNow, aEffects);
  return true;
}

void
LeaseGrantor::OfferToOrphan(const InstanceRef& aFrom,
                            const Heartbeat& aHeartbeat,
                            TimePoint aNow,
                            Effects& aEffects)
{
  const auto it = bindings_.find(aHeartbeat.grantor_);
  if (it == bindings_.end() || HeldByAnother(aFrom, nullptr)) {
    return;
  }
  // This instance inherited the silent grantor, so a decision of that grantor about aFrom would now
  // need its acknowledgement. A grantor that lives is given time to register aFrom first.
  const DependantBinding& silent = it->second;
  if (silent.heard_ || !silent.confirmed_ ||
      aNow - silent.inheritedAt_ < kOrphanDelayResends * settings_.resend_) {
    return;
  }
  Offer& offer = offers_[aFrom];
  if (offer.generation_ == 0 || offer.orphanOf_ != silent.ref_) {
    offer = Offer{ ++lastGeneration_, silent.ref_ };
  }
  aEffects.push_back(
    SendMessage{ aFrom, BindOffer{ offer.generation_, true, true, true, aHeartbeat.sentAt_ } });
}

void
LeaseGrantor::MarkHeard(DependantBinding& aBinding)
{
  if (!aBinding.heard_) {
    aBinding.heard_ = true;
    // The dependant may register its own dependants from now on, so they are no orphans.
    std::erase_if(offers_,
                  [&](const auto& aEntry) { return aEntry.second.orphanOf_ == aBinding.ref_; });
  }
}

bool
LeaseGrantor::AllRegistered() const
{
  return std::all_of(bindings_.begin(), bindings_.end(), [&](const auto& aEntry) {
    return aEntry.second.registered_ && holder_.Grantor() == grantor_ &&
           holder_.Generation() == grantorGeneration_;
  });
}

void
LeaseGrantor::Renew(DependantBinding& aBinding, HeartbeatReply& aReply, TimePoint aNow)
{
  // The dependant knows the generation of the inheritance, so it has dropped its dependants.
  aBinding.dependantsInherited_ = false;
  aReply.inherited_ = false;
  if (aBinding.death_ != DeathDecision::None || aNow >= aBinding.instanceHorizon_) {
    return;
  }
  if (aNow < aBinding.grantorHorizon_ || aBinding.copies_.Empty()) {
    aReply.grantorLease_ = true;
    aBinding.grantorHorizon_ = aNow + settings_.Wait(settings_.grantorLease_);
  }
  if (holder_.GrantorLeaseValid() && aBinding.registered_ && !aBinding.dropping_) {
    aReply.instanceLease_ = true;
    aBinding.instanceHorizon_ = aNow + InstanceWait();
  }
}

} // namespace redwing
