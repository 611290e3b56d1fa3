#pragma once

#include "core/Clock.hpp"

#include <chrono>
#include <cstddef>

namespace redwing {

/// Durations of the ownership protocol. All instances of a fleet use the same values.
struct OwnershipSettings
{
  Duration heartbeat_ = std::chrono::milliseconds(100);
  /// Time an instance may act for its shards, counted from the sending of a heartbeat.
  Duration instanceLease_ = std::chrono::milliseconds(600);
  /// Time an instance may renew leases of its dependants, counted in the same way.
  Duration grantorLease_ = std::chrono::milliseconds(300);
  /// Largest deviation of a clock's rate from real time.
  double drift_ = 0.01;
  Duration margin_ = std::chrono::milliseconds(10);
  /// Silence of the grantor after which the backup grantor is asked too.
  Duration askBackupAfter_ = std::chrono::milliseconds(250);
  /// Silence of grantor and backup grantor after which dependants are warned: later than the time
  /// in which a backup grantor takes over, early enough for a move before the lease ends.
  Duration distressAfter_ = std::chrono::milliseconds(450);
  /// Interval at which unacknowledged messages are sent again.
  Duration resend_ = std::chrono::milliseconds(30);
  Duration storeRetry_ = std::chrono::milliseconds(200);
  /// A new incarnation that has no lease after this time gives up and rejoins.
  Duration bindTimeout_ = std::chrono::milliseconds(700);
  /// Encoded rows of one message; leaves room for the header within a 1,200 byte datagram.
  std::size_t rowBytes_ = 900;
  /// Off only in tests that show that the explorer finds the resulting violation.
  bool waitForLease_ = true;

  /// Returns how long a grantor waits so that aLease has ended on the slowest clock: both clocks
  /// may deviate, in opposite directions.
  ///
  /// Preconditions: drift_ < 1. Thread safety: callable from any thread.
  Duration Wait(Duration aLease) const
  {
    const double factor = (1.0 + drift_) / (1.0 - drift_);
    return Duration(static_cast<Duration::rep>(static_cast<double>(aLease.count()) * factor)) +
           margin_;
  }
};

} // namespace redwing
