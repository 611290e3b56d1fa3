// Part of StoreSession: the lease to which the member record is bound.

#include "core/Log.hpp"
#include "fleet/StoreSession.hpp"

#include <algorithm>
#include <utility>

namespace redwing {

using std::chrono::milliseconds;

namespace {

/// Value of lease_ while a lease is being requested.
constexpr std::int64_t kLeaseRequested = -1;

} // namespace

void
StoreSession::Register()
{
  if (ended_ || registered_ || lease_ != 0 || !self_ || !loadedInEpoch_) {
    return;
  }
  GrantLease();
}

void
StoreSession::GrantLease()
{
  grantSentAt_ = clock_.Now();
  // Marks the request as pending, so that Register does not send another one.
  lease_ = kLeaseRequested;
  const std::uint64_t request = ++leaseRequest_;
  store_.GrantLease(
    settings_.leaseTime_,
    WithinEpoch<StoreLease>([this, request](const StoreResult<StoreLease>& aLease) {
      if (request != leaseRequest_ || lease_ != kLeaseRequested) {
        // No record was bound to this lease and nobody renews it, so it expires by itself.
        LogLine(LogLevel::Info, "member_lease_unused").With("lease", aLease ? aLease->id_ : 0);
        return;
      }
      if (!aLease) {
        lease_ = 0;
        RunAfter(settings_.retryInterval_, [this] { Register(); });
        return;
      }
      lease_ = aLease->id_;
      grantedTime_ = aLease->timeToLive_;
      LogLine(LogLevel::Info, "member_lease_granted")
        .With("lease", lease_)
        .With("time_to_live_ms", grantedTime_.count());
      WriteSelf();
    }));
}

void
StoreSession::ScheduleRenew(milliseconds aDelay)
{
  renewTimer_.expires_after(aDelay);
  renewTimer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError && registered_ && !ended_) {
      Renew();
    }
  });
}

void
StoreSession::Renew()
{
  const TimePoint sentAt = clock_.Now();
  const std::int64_t lease = lease_;
  store_.KeepAlive(
    lease, WithinEpoch<milliseconds>([this, sentAt, lease](const StoreResult<milliseconds>& aLeft) {
      if (ended_ || !registered_ || lease != lease_) {
        return;
      }
      if (!aLeft) {
        RenewThroughPeer();
        return;
      }
      if (aLeft->count() == 0) {
        OnLapsed("lease_ended");
        return;
      }
      relayed_ = false;
      Extend(sentAt, *aLeft);
      hooks_.onChange_();
    }));
}

void
StoreSession::RenewThroughPeer()
{
  // The store may reject or be unreachable for this instance while it serves others.
  ScheduleRenew(settings_.retryInterval_);
  const TimePoint sentAt = clock_.Now();
  hooks_.relayRenewal_(lease_, [this, sentAt, epoch = epoch_, lease = lease_](milliseconds aLeft) {
    if (aLeft == milliseconds::zero() || ended_ || !registered_ || lease != lease_ ||
        epoch != epoch_) {
      return;
    }
    if (!std::exchange(relayed_, true)) {
      LogLine(LogLevel::Info, "lease_renewed_by_peer").With("lease", lease);
    }
    Extend(sentAt, aLeft);
    hooks_.onChange_();
  });
}

void
StoreSession::Extend(TimePoint aSentAt, milliseconds aTimeToLive)
{
  if (aSentAt < extendedBySentAt_) {
    // A later call was answered first, whose time to live may be shorter.
    return;
  }
  extendedBySentAt_ = aSentAt;
  const auto lasts = std::min<milliseconds>(settings_.leaseTime_, aTimeToLive);
  const TimePoint end = aSentAt + lasts;
  // A lease that was shortened may end before an earlier deadline.
  leaseDeadline_ = lasts < settings_.leaseTime_ ? end : std::max(leaseDeadline_, end);
  ScheduleRenew(std::min(settings_.renewInterval_, lasts / 3));
}

void
StoreSession::OnLapsed(const char* aReason)
{
  LogLine(LogLevel::Warning, "member_lapsed")
    .With("instance", self_->member_.ref_.id_)
    .With("lease", lease_)
    .With("reason", aReason);
  registered_ = false;
  confirmed_ = false;
  lease_ = 0;
  leaseDeadline_ = {};
  earlierDeadline_ = {};
  writtenServerIncarnation_.clear();
  renewTimer_.cancel();
  hooks_.onChange_();
  Reload();
}

} // namespace redwing
