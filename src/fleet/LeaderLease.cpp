#include "fleet/LeaderLease.hpp"

#include "core/Log.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace redwing {

LeaderLease::LeaderLease(boost::asio::io_context& aContext,
                         const Clock& aClock,
                         Store& aStore,
                         LeaderLeaseSettings aSettings)
  : context_(aContext)
  , clock_(aClock)
  , store_(aStore)
  , settings_(aSettings)
  , timer_(aContext)
{
}

LeaderLease::~LeaderLease() = default;

template<typename T>
StoreCallback<T>
LeaderLease::WhileHeld(std::function<void(const StoreResult<T>&)> aHandle)
{
  return [&context = context_, held = std::weak_ptr<bool>(held_), handle = std::move(aHandle)](
           StoreResult<T> aResult) {
    boost::asio::post(context, [held, handle, result = std::move(aResult)] {
      if (held.lock()) {
        handle(result);
      }
    });
  };
}

void
LeaderLease::Acquire(std::function<void(std::int64_t)> aDone)
{
  Drop();
  held_ = std::make_shared<bool>(true);
  epoch_ = store_.Epoch();
  const TimePoint sentAt = clock_.Now();
  store_.GrantLease(
    settings_.leaseTime_,
    WhileHeld<StoreLease>(
      [this, sentAt, done = std::move(aDone)](const StoreResult<StoreLease>& aLease) {
        if (!aLease) {
          LogLine(LogLevel::Warning, "leader_lease_refused").With("error", aLease.error().message_);
          done(0);
          return;
        }
        if (store_.Epoch() != epoch_) {
          done(0);
          return;
        }
        lease_ = aLease->id_;
        Extend(sentAt, aLease->timeToLive_);
        done(lease_);
      }));
}

void
LeaderLease::Drop()
{
  held_.reset();
  timer_.cancel();
  lease_ = 0;
  deadline_ = {};
}

void
LeaderLease::ScheduleRenew(std::chrono::milliseconds aDelay)
{
  timer_.expires_after(aDelay);
  timer_.async_wait(
    [this, held = std::weak_ptr<bool>(held_)](const boost::system::error_code& aError) {
      if (!aError && held.lock()) {
        Renew();
      }
    });
}

void
LeaderLease::Extend(TimePoint aSentAt, std::chrono::milliseconds aTimeToLive)
{
  const auto lasts = std::min<std::chrono::milliseconds>(settings_.leaseTime_, aTimeToLive);
  const TimePoint end = aSentAt + lasts;
  // A lease that was shortened may end before an earlier deadline.
  deadline_ = lasts < settings_.leaseTime_ ? end : std::max(deadline_, end);
  ScheduleRenew(std::min(settings_.renewInterval_, lasts / 3));
}

void
LeaderLease::Renew()
{
  const TimePoint sentAt = clock_.Now();
  store_.KeepAlive(
    lease_,
    WhileHeld<std::chrono::milliseconds>(
      [this, sentAt](const StoreResult<std::chrono::milliseconds>& aLeft) {
        if (store_.Epoch() != epoch_) {
          LogLine(LogLevel::Warning, "leader_lease_of_earlier_epoch").With("lease", lease_);
        } else if (!aLeft) {
          ScheduleRenew(settings_.retryInterval_);
        } else if (aLeft->count() == 0) {
          LogLine(LogLevel::Warning, "leader_lease_ended").With("lease", lease_);
          Drop();
        } else {
          Extend(sentAt, *aLeft);
        }
      }));
}

} // namespace redwing
