#pragma once

#include "core/Random.hpp"
#include "ownership/Effects.hpp"
#include "ownership/OwnershipSettings.hpp"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace redwing {

/// The dependant's side of a binding: obtains the instance lease and the grantor lease of this
/// instance, finds the backup grantor after a loss and moves to another grantor when the ring order
/// changes. Both leases count from the sending of the heartbeat that was answered.
class LeaseHolder
{
public:
  /// A binding made without leaving the former grantor.
  struct OrphanBinding
  {
    DependantAction dependants_ = DependantAction::Drop;
    /// What the dependants do with their own dependants if they are offered a new binding.
    DependantAction nested_ = DependantAction::Drop;
  };

  /// Preconditions: aSettings and aClock outlive the object. Thread safety: not thread-safe.
  LeaseHolder(InstanceRef aSelf, const OwnershipSettings& aSettings, const Clock& aClock);

  /// Sets the ring predecessors, nearest first; empty when this instance is alone in its region.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void SetPredecessors(std::span<const InstanceRef> aPredecessors);

  /// Sends heartbeats, probes and unbind requests that are due; notices the end of the lease.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Tick(Effects& aEffects);

  /// Allows a move to another grantor; only while all dependants are registered at the current one,
  /// so that no dependant that it holds itself is taken along.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void AllowRebind(bool aAllowed) { mayRebind_ = aAllowed; }

  /// Handles an offer. Returns nothing unless this instance bound to the sender without leaving its
  /// grantor; then it returns what must be done with its dependants, which that grantor may have
  /// inherited.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::optional<OrphanBinding> OnOffer(const InstanceRef& aFrom,
                                       const BindOffer& aOffer,
                                       Effects& aEffects);

  /// Handles a reply; returns true when this instance must drop its dependants because its grantor
  /// inherited them.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool OnReply(const InstanceRef& aFrom, const HeartbeatReply& aReply, Effects& aEffects);

  /// Preconditions: none. Thread safety: not thread-safe.
  void OnUnbindAck(const InstanceRef& aFrom, const UnbindAck& aAck, Effects& aEffects);

  /// Handles the warning of the grantor.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnDistress(const InstanceRef& aFrom, const Distress& aDistress);

  /// Returns whether the lease was renewed recently, or never obtained.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool Renewed() const;

  /// Returns whether an instance without lease may choose this one as grantor: neither this one nor
  /// its grantor is about to lose its lease.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool Healthy() const;

  /// Returns the level of which dependants are to be warned; 0 for none.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::uint8_t DistressLevel() const;

  /// Returns whether the instance lease is valid now.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool LeaseValid() const;

  /// Returns whether the instance may renew the leases of its dependants now.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool GrantorLeaseValid() const;

  /// The lease ended; the object stays in this state.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool Expired() const { return expired_; }

  const InstanceRef& Grantor() const { return grantor_; }
  const InstanceRef& Backup() const { return backup_; }
  std::uint64_t Generation() const { return generation_; }
  TimePoint InstanceDeadline() const { return instanceDeadline_; }

private:
  struct Offer
  {
    std::uint64_t generation_ = 0;
    bool ready_ = false;
    bool healthy_ = false;
    TimePoint receivedAt_{};
  };

  void CheckExpiry(TimePoint aNow);
  void TickUnbound(TimePoint aNow, Effects& aEffects);
  void TickBound(TimePoint aNow, Effects& aEffects);
  void TickRebind(TimePoint aNow, Effects& aEffects);
  void Seek(TimePoint aNow, Effects& aEffects);
  void SendHeartbeat(TimePoint aNow, Effects& aEffects);
  void Probe(const InstanceRef& aTo, Effects& aEffects);
  /// Does not adopt aRef as grantor for a while: it was fenced and may not know that yet.
  void Block(const InstanceRef& aRef, TimePoint aNow);
  void BindTo(const InstanceRef& aGrantor, std::uint64_t aGeneration, TimePoint aNow);
  bool Adopt(const InstanceRef& aFrom,
             const HeartbeatReply& aReply,
             TimePoint aNow,
             Effects& aEffects);

  /// Returns the instance to bind to now, or nothing if the current grantor is the right one.
  std::optional<InstanceRef> RebindTarget(TimePoint aNow) const;

  InstanceRef self_;
  const OwnershipSettings& settings_;
  const Clock& clock_;
  std::vector<InstanceRef> predecessors_;
  bool ringKnown_ = false;
  bool everBound_ = false;
  bool expired_ = false;
  bool mayRebind_ = false;
  /// The current grantor has renewed the instance lease at least once.
  bool renewedHere_ = false;
  InstanceRef grantor_;
  InstanceRef backup_;
  std::uint64_t generation_ = 0;
  TimePoint instanceDeadline_{};
  TimePoint grantorDeadline_{};
  TimePoint boundAt_{};
  TimePoint unboundSince_{};
  TimePoint lastRenewal_{};
  TimePoint lastHeartbeat_{};
  TimePoint lastProbe_{};
  TimePoint lastUnbind_{};
  TimePoint lastSeek_{};
  TimePoint distressAt_{};
  std::uint8_t grantorDistress_ = 0;
  bool grantorEnded_ = false;
  TimePoint grantorWarning_{};
  std::map<InstanceRef, Offer> offers_;
  /// Grantor to move to after the current one acknowledged the unbinding.
  std::optional<InstanceRef> next_;
  std::uint64_t nextGeneration_ = 0;
  /// Generations of bindings that this instance left; late replies about them are ignored.
  std::map<InstanceRef, std::uint64_t> left_;
  /// Fenced instances and the end of the time in which they may not know that.
  std::map<InstanceRef, TimePoint> blocked_;
};

} // namespace redwing
