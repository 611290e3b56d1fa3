#pragma once

#include "core/Clock.hpp"
#include "store/Store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace redwing {

struct LeaderLeaseSettings
{
  /// A leader that does not renew its lease for this long is replaced. It is shorter than a
  /// member's lease, which must outlast a store outage. Nobody can plan during an outage anyway,
  /// but the loss of only the leader leaves the whole fleet without planning.
  std::chrono::seconds leaseTime_{ 3 };
  std::chrono::milliseconds renewInterval_{ 800 };
  std::chrono::milliseconds retryInterval_{ 250 };
};

/// The store lease to which the leader's entry is bound. It is not renewed any more when the store
/// enters a new epoch, in which its id may belong to another lease. Runs on the context's thread.
class LeaderLease
{
public:
  LeaderLease(boost::asio::io_context& aContext,
              const Clock& aClock,
              Store& aStore,
              LeaderLeaseSettings aSettings);
  ~LeaderLease();

  /// Requests a new lease and stops renewing an earlier one. aDone receives the lease id, or 0 if
  /// the store did not grant a lease.
  ///
  /// Preconditions: none. Thread safety: the context's thread only, like all functions here.
  void Acquire(std::function<void(std::int64_t)> aDone);

  /// Stops renewing the lease, which then expires.
  void Drop();

  /// Returns the earliest time at which the lease may expire.
  TimePoint Deadline() const { return deadline_; }

private:
  void ScheduleRenew(std::chrono::milliseconds aDelay);
  void Renew();
  /// Records that a call that was sent at aSentAt made the lease last for aTimeToLive.
  void Extend(TimePoint aSentAt, std::chrono::milliseconds aTimeToLive);
  /// Returns a callback that does nothing once the lease was dropped or this object was destroyed.
  template<typename T>
  StoreCallback<T> WhileHeld(std::function<void(const StoreResult<T>&)> aHandle);

  boost::asio::io_context& context_;
  const Clock& clock_;
  Store& store_;
  LeaderLeaseSettings settings_;
  boost::asio::steady_timer timer_;
  /// Replaced with each lease, so that replies for an earlier lease are ignored.
  std::shared_ptr<bool> held_;
  std::int64_t lease_ = 0;
  /// Epoch of the store in which the lease was requested.
  std::uint64_t epoch_ = 0;
  TimePoint deadline_{};
};

} // namespace redwing
