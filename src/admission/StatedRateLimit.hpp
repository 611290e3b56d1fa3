#pragma once

#include "core/Clock.hpp"

#include <optional>

namespace redwing {

/// Paces requests to the rate that a backend server states in its answers, for as long as it does.
class StatedRateLimit
{
public:
  /// Takes what an answer states, in requests per second; nothing if it states no rate. aSentAt is
  /// the time at which its request was sent: the answer to an earlier request than the one that was
  /// answered with a rate may have been written before it, so it ends no limit.
  ///
  /// Preconditions: *aPerSecond is finite and at least 0. Thread safety: not thread-safe.
  void OnAnswer(std::optional<double> aPerSecond, TimePoint aSentAt, TimePoint aNow);

  /// Forgets the rate: a new run of the server has stated none.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Reset() { *this = {}; }

  /// Returns the rate in force in requests per second; 0 means no limit.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  double Rate() const { return perSecond_; }

  /// Returns the time until the server may get its next request; zero if it may get one at aNow.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  Duration Wait(TimePoint aNow) const;

  /// Records a request that was sent, whether it had to wait or not.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnSent(TimePoint aNow);

private:
  double Burst() const;
  /// Returns the requests that may be sent at aNow; negative if more were sent than the rate.
  double TokensAt(TimePoint aNow) const;

  double perSecond_ = 0;
  double tokens_ = 0;
  TimePoint countedAt_{};
  /// Latest answered request whose answer stated a rate, by the time it was sent.
  TimePoint statedFor_{};
};

} // namespace redwing
