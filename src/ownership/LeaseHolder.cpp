#include "ownership/LeaseHolder.hpp"

#include <algorithm>
#include <iterator>

namespace redwing {

namespace {

constexpr std::size_t kProbedPredecessors = 3;
constexpr std::uint8_t kLeaveAtDistress = 2;

std::int64_t
ToWire(TimePoint aTime)
{
  return aTime.time_since_epoch().count();
}

TimePoint
FromWire(std::int64_t aTime)
{
  return TimePoint(Duration(aTime));
}

} // namespace

LeaseHolder::LeaseHolder(InstanceRef aSelf, const OwnershipSettings& aSettings, const Clock& aClock)
  : self_(std::move(aSelf))
  , settings_(aSettings)
  , clock_(aClock)
  , unboundSince_(aClock.Now())
{
}

void
LeaseHolder::SetPredecessors(std::span<const InstanceRef> aPredecessors)
{
  predecessors_.assign(aPredecessors.begin(), aPredecessors.end());
  ringKnown_ = true;
  // Without a lease there is nothing to lose; waiting for a grantor that is gone would delay the
  // rejoining of whole rings.
  if (everBound_ && instanceDeadline_ == TimePoint{} &&
      std::find(predecessors_.begin(), predecessors_.end(), grantor_) == predecessors_.end()) {
    expired_ = true;
  }
}

bool
LeaseHolder::LeaseValid() const
{
  return !expired_ && clock_.Now() < instanceDeadline_;
}

bool
LeaseHolder::GrantorLeaseValid() const
{
  return !expired_ && clock_.Now() < grantorDeadline_;
}

void
LeaseHolder::CheckExpiry(TimePoint aNow)
{
  const bool hadLease = instanceDeadline_ != TimePoint{};
  if (hadLease ? aNow >= instanceDeadline_
               : everBound_ && aNow - boundAt_ > settings_.bindTimeout_) {
    expired_ = true;
  }
}

void
LeaseHolder::Tick(Effects& aEffects)
{
  const TimePoint now = clock_.Now();
  CheckExpiry(now);
  if (expired_ || !ringKnown_) {
    return;
  }
  if (!everBound_) {
    TickUnbound(now, aEffects);
  } else {
    TickBound(now, aEffects);
  }
}

void
LeaseHolder::TickUnbound(TimePoint aNow, Effects& aEffects)
{
  if (predecessors_.empty()) {
    // Nobody can decide that an incarnation that was never bound is dead, so it may grant itself
    // the lease.
    instanceDeadline_ = aNow + settings_.instanceLease_;
    return;
  }
  const std::size_t count = std::min(kProbedPredecessors, predecessors_.size());
  for (std::size_t i = 0; i < count; ++i) {
    const auto offer = offers_.find(predecessors_[i]);
    // A farther predecessor is chosen only when the nearest one stays silent for a while.
    // A predecessor that is about to lose its lease would take this instance along, and small rings
    // would never settle.
    if (offer != offers_.end() && offer->second.healthy_ &&
        aNow - offer->second.receivedAt_ < settings_.heartbeat_ &&
        (i == 0 || aNow - unboundSince_ > settings_.askBackupAfter_)) {
      BindTo(predecessors_[i], offer->second.generation_, aNow);
      SendHeartbeat(aNow, aEffects);
      return;
    }
  }
  if (aNow - lastProbe_ >= settings_.resend_) {
    lastProbe_ = aNow;
    for (std::size_t i = 0; i < count; ++i) {
      Probe(predecessors_[i], aEffects);
    }
  }
  if (instanceDeadline_ != TimePoint{}) {
    // Alone until now: the lease continues until a grantor is asked for the first time.
    instanceDeadline_ = aNow + settings_.instanceLease_;
  }
}

void
LeaseHolder::TickBound(TimePoint aNow, Effects& aEffects)
{
  const bool late = !renewedHere_ || aNow - lastRenewal_ > settings_.heartbeat_ + settings_.resend_;
  if (aNow - lastHeartbeat_ >= (late ? settings_.resend_ : settings_.heartbeat_)) {
    SendHeartbeat(aNow, aEffects);
  }
  if (aNow - lastRenewal_ >= settings_.askBackupAfter_) {
    Seek(aNow, aEffects);
  }
  TickRebind(aNow, aEffects);
}

void
LeaseHolder::Seek(TimePoint aNow, Effects& aEffects)
{
  if (aNow - lastSeek_ < settings_.resend_) {
    return;
  }
  lastSeek_ = aNow;
  std::vector<InstanceRef> targets(predecessors_.begin(),
                                   predecessors_.begin() +
                                     std::min(kProbedPredecessors, predecessors_.size()));
  if (std::find(targets.begin(), targets.end(), backup_) == targets.end()) {
    targets.push_back(backup_);
  }
  for (const InstanceRef& target : targets) {
    if (!target.Empty() && target != grantor_ && target != self_) {
      aEffects.push_back(SendMessage{ target, Heartbeat{ 0, ToWire(aNow), grantor_ } });
    }
  }
}

void
LeaseHolder::TickRebind(TimePoint aNow, Effects& aEffects)
{
  if (next_) {
    if (aNow - lastUnbind_ >= settings_.resend_) {
      lastUnbind_ = aNow;
      aEffects.push_back(SendMessage{ grantor_, Unbind{ generation_ } });
    }
    return;
  }
  const std::optional<InstanceRef> target = RebindTarget(aNow);
  if (!target) {
    return;
  }
  const auto offer = offers_.find(*target);
  if (offer != offers_.end() && offer->second.ready_ &&
      aNow - offer->second.receivedAt_ < settings_.heartbeat_) {
    next_ = offer->first;
    nextGeneration_ = offer->second.generation_;
    lastUnbind_ = aNow;
    aEffects.push_back(SendMessage{ grantor_, Unbind{ generation_ } });
  } else if (aNow - lastProbe_ >= settings_.resend_) {
    lastProbe_ = aNow;
    Probe(*target, aEffects);
  }
}

std::optional<InstanceRef>
LeaseHolder::RebindTarget(TimePoint aNow) const
{
  if (!mayRebind_ || predecessors_.empty() || !GrantorLeaseValid() || !LeaseValid() ||
      aNow - boundAt_ < settings_.heartbeat_) {
    return std::nullopt;
  }
  const bool warned = grantorDistress_ > 0 && aNow - distressAt_ < settings_.instanceLease_;
  if (warned && grantorDistress_ >= kLeaveAtDistress) {
    // The target changes with time, so that one that does not answer is passed over.
    std::vector<InstanceRef> others;
    std::copy_if(predecessors_.begin(),
                 predecessors_.end(),
                 std::back_inserter(others),
                 [&](const InstanceRef& aRef) { return aRef != grantor_ && aRef != backup_; });
    if (!others.empty()) {
      const auto turn = static_cast<std::size_t>((aNow - distressAt_) / settings_.resend_);
      return others[turn % others.size()];
    }
  }
  if (warned || predecessors_.front() == grantor_) {
    return std::nullopt;
  }
  return predecessors_.front();
}

void
LeaseHolder::OnDistress(const InstanceRef& aFrom, const Distress& aDistress)
{
  if (aFrom != grantor_ || aDistress.generation_ != generation_) {
    return;
  }
  const TimePoint now = clock_.Now();
  grantorWarning_ = now;
  grantorEnded_ = grantorEnded_ || aDistress.ended_;
  if (aDistress.level_ == 0) {
    return;
  }
  if (grantorDistress_ == 0 || now - distressAt_ >= settings_.instanceLease_) {
    distressAt_ = now;
  }
  grantorDistress_ = aDistress.level_;
}

bool
LeaseHolder::Renewed() const
{
  return !everBound_ || instanceDeadline_ == TimePoint{} ||
         (!grantorEnded_ &&
          clock_.Now() - lastRenewal_ < settings_.heartbeat_ + 2 * settings_.resend_);
}

bool
LeaseHolder::Healthy() const
{
  const bool warned =
    grantorWarning_ != TimePoint{} && clock_.Now() - grantorWarning_ < settings_.grantorLease_;
  return Renewed() && !warned;
}

std::uint8_t
LeaseHolder::DistressLevel() const
{
  const TimePoint now = clock_.Now();
  if (!everBound_ || instanceDeadline_ == TimePoint{}) {
    return 0;
  }
  if (now - lastRenewal_ >= settings_.distressAfter_) {
    return 1;
  }
  const bool warned = grantorDistress_ == 1 && now - distressAt_ < settings_.instanceLease_;
  return warned ? kLeaveAtDistress : 0;
}

void
LeaseHolder::SendHeartbeat(TimePoint aNow, Effects& aEffects)
{
  lastHeartbeat_ = aNow;
  aEffects.push_back(SendMessage{ grantor_, Heartbeat{ generation_, ToWire(aNow), grantor_ } });
}

void
LeaseHolder::Probe(const InstanceRef& aTo, Effects& aEffects)
{
  aEffects.push_back(SendMessage{ aTo, BindProbe{} });
}

void
LeaseHolder::BindTo(const InstanceRef& aGrantor, std::uint64_t aGeneration, TimePoint aNow)
{
  grantor_ = aGrantor;
  generation_ = aGeneration;
  backup_ = InstanceRef{};
  // The promise of the former grantor does not bind the new one.
  grantorDeadline_ = TimePoint{};
  renewedHere_ = false;
  grantorDistress_ = 0;
  grantorEnded_ = false;
  grantorWarning_ = TimePoint{};
  everBound_ = true;
  boundAt_ = aNow;
  lastRenewal_ = aNow;
  next_.reset();
  offers_.clear();
}

std::optional<LeaseHolder::OrphanBinding>
LeaseHolder::OnOffer(const InstanceRef& aFrom, const BindOffer& aOffer, Effects& aEffects)
{
  const TimePoint now = clock_.Now();
  CheckExpiry(now);
  if (expired_) {
    return std::nullopt;
  }
  if (aOffer.former_ != 0) {
    if (!everBound_ || aFrom != grantor_ || aOffer.former_ != generation_) {
      return std::nullopt;
    }
    if (aOffer.action_ != DependantAction::Keep) {
      // The backup grantor may have inherited this instance before it was fenced.
      Block(backup_, now);
    }
    left_[grantor_] = std::max(left_[grantor_], generation_);
    BindTo(aFrom, aOffer.generation_, now);
    SendHeartbeat(now, aEffects);
    return OrphanBinding{ aOffer.action_, DependantAction::Keep };
  }
  if (aOffer.orphan_) {
    // An offer that was asked for before the last renewal is out of date.
    if (everBound_ && aFrom != grantor_ &&
        FromWire(aOffer.sentAt_) >= lastRenewal_ + settings_.askBackupAfter_) {
      left_[grantor_] = std::max(left_[grantor_], generation_);
      Block(grantor_, now);
      Block(backup_, now);
      BindTo(aFrom, aOffer.generation_, now);
      SendHeartbeat(now, aEffects);
      return OrphanBinding{ DependantAction::Rebind, DependantAction::Rebind };
    }
    return std::nullopt;
  }
  offers_[aFrom] = Offer{ aOffer.generation_, aOffer.ready_, aOffer.healthy_, now };
  return std::nullopt;
}

void
LeaseHolder::Block(const InstanceRef& aRef, TimePoint aNow)
{
  // A fenced instance that does not know it loses its lease within this time.
  blocked_[aRef] = aNow + settings_.Wait(settings_.instanceLease_);
}

bool
LeaseHolder::OnReply(const InstanceRef& aFrom, const HeartbeatReply& aReply, Effects& aEffects)
{
  const TimePoint now = clock_.Now();
  CheckExpiry(now);
  if (aReply.dead_) {
    expired_ = true;
  }
  if (expired_) {
    return false;
  }
  if (aFrom != grantor_) {
    return Adopt(aFrom, aReply, now, aEffects) && aReply.inherited_;
  }
  if (aReply.generation_ > generation_) {
    generation_ = aReply.generation_;
    grantorDeadline_ = TimePoint{};
    SendHeartbeat(now, aEffects);
    return aReply.inherited_;
  }
  if (aReply.generation_ != generation_) {
    return false;
  }
  const TimePoint sentAt = FromWire(aReply.sentAt_);
  backup_ = aReply.backup_;
  if (aReply.grantorLease_) {
    grantorDeadline_ = std::max(grantorDeadline_, sentAt + settings_.grantorLease_);
  }
  if (aReply.instanceLease_) {
    // A grantor that lost its own grantor lease answers without renewing; its backup is asked then.
    lastRenewal_ = std::max(lastRenewal_, sentAt);
    renewedHere_ = true;
    instanceDeadline_ = std::max(instanceDeadline_, sentAt + settings_.instanceLease_);
  }
  return false;
}

bool
LeaseHolder::Adopt(const InstanceRef& aFrom,
                   const HeartbeatReply& aReply,
                   TimePoint aNow,
                   Effects& aEffects)
{
  const auto left = left_.find(aFrom);
  const bool fresh = left == left_.end() || aReply.generation_ > left->second;
  const auto blocked = blocked_.find(aFrom);
  if (blocked != blocked_.end() && aNow < blocked->second) {
    return false;
  }
  if (!everBound_ || !fresh || aReply.generation_ == 0 ||
      FromWire(aReply.sentAt_) < lastRenewal_ + settings_.askBackupAfter_) {
    return false;
  }
  left_[grantor_] = std::max(left_[grantor_], generation_);
  BindTo(aFrom, aReply.generation_, aNow);
  SendHeartbeat(aNow, aEffects);
  return true;
}

void
LeaseHolder::OnUnbindAck(const InstanceRef& aFrom, const UnbindAck& aAck, Effects& aEffects)
{
  const TimePoint now = clock_.Now();
  CheckExpiry(now);
  if (expired_ || aFrom != grantor_ || aAck.generation_ != generation_ || !next_) {
    return;
  }
  left_[grantor_] = std::max(left_[grantor_], generation_);
  BindTo(InstanceRef(*next_), nextGeneration_, now);
  SendHeartbeat(now, aEffects);
}

} // namespace redwing
