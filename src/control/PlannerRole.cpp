#include "control/PlannerRole.hpp"

#include "core/Log.hpp"

#include <utility>

namespace redwing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kLeaseTime{ 5 };
constexpr Duration kRenewInterval = milliseconds(1500);
constexpr Duration kAcquireInterval = milliseconds(1500);

} // namespace

PlannerRole::PlannerRole(const Clock& aClock, Store& aStore, std::string aInstanceId)
  : clock_(aClock)
  , store_(aStore)
  , instanceId_(std::move(aInstanceId))
{
}

void
PlannerRole::Tick(bool aIsCandidate)
{
  const TimePoint now = clock_.Now();
  if (callOutstanding_ || now < nextCall_) {
    return;
  }
  if (IsHeld() && lease_ != 0) {
    nextCall_ = now + kRenewInterval;
    Renew();
  } else if (aIsCandidate) {
    nextCall_ = now + kAcquireInterval;
    AcquireIfVacant();
  }
}

void
PlannerRole::AcquireIfVacant()
{
  callOutstanding_ = true;
  store_.Range(std::string(kPlannerKey), true, [this](const StoreResult<StoreRange>& aResult) {
    callOutstanding_ = false;
    if (aResult && aResult->entries_.empty()) {
      Acquire();
    }
  });
}

void
PlannerRole::Acquire()
{
  callOutstanding_ = true;
  const TimePoint sentAt = clock_.Now();
  store_.GrantLease(kLeaseTime, [this, sentAt](const StoreResult<StoreLease>& aLease) {
    callOutstanding_ = false;
    if (aLease) {
      Claim(*aLease, sentAt);
    }
  });
}

void
PlannerRole::Claim(const StoreLease& aLease, TimePoint aSentAt)
{
  callOutstanding_ = true;
  StoreTransaction transaction;
  transaction.compares_.push_back({ std::string(kPlannerKey), 0 });
  transaction.writes_.push_back({ std::string(kPlannerKey), instanceId_, aLease.id_ });
  store_.Commit(std::move(transaction),
                [this, aLease, aSentAt](const StoreResult<StoreTransactionResult>& aResult) {
                  callOutstanding_ = false;
                  if (!aResult || !aResult->succeeded_) {
                    return;
                  }
                  lease_ = aLease.id_;
                  heldUntil_ = aSentAt + std::min<Duration>(kLeaseTime, aLease.timeToLive_);
                  LogLine(LogLevel::Info, "planner_role_taken").With("lease", lease_);
                });
}

void
PlannerRole::Renew()
{
  callOutstanding_ = true;
  const TimePoint sentAt = clock_.Now();
  store_.KeepAlive(
    lease_, [this, sentAt](const StoreResult<std::chrono::milliseconds>& aTimeToLive) {
      callOutstanding_ = false;
      if (!aTimeToLive) {
        return;
      }
      if (aTimeToLive->count() <= 0) {
        lease_ = 0;
        heldUntil_ = TimePoint{};
        LogLine(LogLevel::Warning, "planner_role_lost").With("instance", instanceId_);
        return;
      }
      heldUntil_ = sentAt + *aTimeToLive;
    });
}

} // namespace redwing
