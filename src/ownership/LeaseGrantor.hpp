#pragma once

#include "ownership/DependantBinding.hpp"
#include "ownership/Effects.hpp"
#include "ownership/GoneMembers.hpp"
#include "ownership/LeaseHolder.hpp"
#include "ownership/OwnershipSettings.hpp"
#include "ownership/TakeOverQueue.hpp"

#include <map>

namespace redwing {

/// The grantor's side of bindings: renews leases of dependants, registers them at the backup
/// grantor (the grantor of this instance), decides that an incarnation is dead, and, as backup
/// grantor of its dependants' dependants, inherits those when a dependant's grantor lease has
/// ended.
class LeaseGrantor
{
public:
  /// Preconditions: all references outlive the object. Thread safety: not thread-safe.
  LeaseGrantor(InstanceRef aSelf,
               const OwnershipSettings& aSettings,
               const Clock& aClock,
               const LeaseHolder& aHolder,
               GoneMembers& aGone);

  /// Inherits, registers, decides and resends what is due.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Tick(Effects& aEffects);

  /// Tells all dependants that this incarnation has ended.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void TellEnd(Effects& aEffects) const;

  /// Drops all bindings because the grantor of this instance inherited them.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void DropAll();

  /// Drops all bindings because another instance may have inherited them, and offers the dependants
  /// a new binding as soon as this instance has a grantor lease again. aNested tells what they do
  /// with their own dependants then, unless this instance inherited those.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void DropAndRebind(DependantAction aNested);

  /// Handlers of the messages of the grantor's side.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnProbe(const InstanceRef& aFrom, Effects& aEffects);
  void OnHeartbeat(const InstanceRef& aFrom, const Heartbeat& aHeartbeat, Effects& aEffects);
  void OnUpdate(const InstanceRef& aFrom, const RowsUpdate& aUpdate, Effects& aEffects);
  void OnAck(const InstanceRef& aFrom, const RowsAck& aAck, Effects& aEffects);
  void OnDrop(const InstanceRef& aFrom, const RowsDrop& aDrop, Effects& aEffects);
  void OnDropAck(const InstanceRef& aFrom, const RowsDropAck& aAck, Effects& aEffects);
  void OnUnbind(const InstanceRef& aFrom, const Unbind& aUnbind, Effects& aEffects);
  void OnDecide(const InstanceRef& aFrom, const Decide& aDecide, Effects& aEffects);
  void OnDecideAck(const InstanceRef& aFrom, const DecideAck& aAck, Effects& aEffects);
  void OnTakeOverAck(const TakeOverAck& aAck) { takeOvers_.OnAck(aAck); }

  /// Returns whether the grantor of this instance knows all its dependants.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool AllRegistered() const;

  /// Returns the bindings, for status pages and tests.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  const std::map<InstanceRef, DependantBinding>& Bindings() const { return bindings_; }

private:
  struct Offer
  {
    std::uint64_t generation_ = 0;
    /// Silent grantor of the instance that the offer was made to; empty for an ordinary offer.
    InstanceRef orphanOf_;
  };

  /// A binding that was dropped and may be replaced.
  struct Dropped
  {
    std::uint64_t generation_ = 0;
    std::uint64_t offered_ = 0;
    DependantAction action_ = DependantAction::Drop;
  };

  void OfferAgain(const InstanceRef& aFrom, const Heartbeat& aHeartbeat, Effects& aEffects);
  bool Bind(const InstanceRef& aFrom, std::uint64_t aGeneration, TimePoint aNow, Effects& aEffects);
  void OfferToOrphan(const InstanceRef& aFrom,
                     const Heartbeat& aHeartbeat,
                     TimePoint aNow,
                     Effects& aEffects);
  void Erase(const InstanceRef& aRef);
  void MarkHeard(DependantBinding& aBinding);
  DependantBinding* Find(const InstanceRef& aRef, std::uint64_t aGeneration);
  bool FromGrantor(const InstanceRef& aFrom, std::uint64_t aGeneration) const;
  Duration InstanceWait() const;
  void Renew(DependantBinding& aBinding, HeartbeatReply& aReply, TimePoint aNow);
  void FollowGrantor();
  void WarnDependants(TimePoint aNow, Effects& aEffects);
  void Inherit(DependantBinding& aBinding, TimePoint aNow, Effects& aEffects);
  void Register(DependantBinding& aBinding, TimePoint aNow, Effects& aEffects);
  void TickDeath(DependantBinding& aBinding, TimePoint aNow, Effects& aEffects);
  void UpdateOwn(DependantBinding& aBinding, const RowsUpdate& aUpdate, Effects& aEffects);
  void UpdateCopy(DependantBinding& aBinding, const RowsUpdate& aUpdate, Effects& aEffects);
  bool HeldByAnother(const InstanceRef& aDependant, const DependantBinding* aExcept) const;
  void MarkDead(const InstanceRef& aRef, Effects& aEffects);

  InstanceRef self_;
  const OwnershipSettings& settings_;
  const Clock& clock_;
  const LeaseHolder& holder_;
  GoneMembers& gone_;
  TakeOverQueue takeOvers_;
  std::map<InstanceRef, DependantBinding> bindings_;
  std::map<InstanceRef, Offer> offers_;
  std::map<InstanceRef, Dropped> dropped_;
  /// Generation of the last binding that each dependant left by Unbind.
  std::map<InstanceRef, std::uint64_t> unbound_;
  std::uint64_t lastGeneration_ = 0;
  TimePoint lastDistress_{};
  /// Binding of this instance under which the dependants are registered.
  InstanceRef grantor_;
  std::uint64_t grantorGeneration_ = 0;
};

} // namespace redwing
