#pragma once

#include "capacity/LinkRate.hpp"
#include "capacity/ResponseSizes.hpp"
#include "core/Clock.hpp"
#include "exchange/Events.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace redwing {

/// Capacity of this instance's link for large responses: the bytes that were admitted and not yet
/// sent, and the time that a further response would take.
///
/// The load that this answers: seven servers behind links of 10 Mbit/s get downloads of 105 Mbit/s.
/// Without a bound all of them are late, and small responses wait behind them.
class LinkCapacity
{
public:
  /// Preconditions: aBytesPerSecond > 0. Thread safety: not thread-safe.
  explicit LinkCapacity(double aBytesPerSecond);

  /// Counts a response as admitted if it would be sent completely by aBy when its server takes
  /// aServiceTime and the response is as large as few are. Otherwise returns after which time it
  /// may come back: refused responses are given their room in turn, so that they do not come back
  /// together. A response is always admitted if no other one is open.
  ///
  /// Preconditions: aKey is not open. Thread safety: not thread-safe.
  std::optional<Duration> Admit(const ExchangeKey& aKey,
                                const ResponseSize& aSize,
                                Duration aServiceTime,
                                TimePoint aBy,
                                TimePoint aNow);

  /// Corrects the size of an open response, of which OnTaken may have reported a part.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void SetSize(const ExchangeKey& aKey, std::uint64_t aBytes);

  /// Records that aBytes of a response came from the server.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnTaken(const ExchangeKey& aKey, std::uint64_t aBytes);

  /// Records that aBytes of a response were sent.
  ///
  /// Preconditions: OnTaken reported them. Thread safety: not thread-safe.
  void OnSent(const ExchangeKey& aKey, std::uint64_t aBytes, TimePoint aNow);

  /// Records that the caller's instance passed aBytes on.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnArrived(const ExchangeKey& aKey, std::uint64_t aBytes, TimePoint aNow);

  /// Records that nothing more comes from the server; what it sent still counts.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnComplete(const ExchangeKey& aKey);

  /// Records that all of a response was sent. What has not arrived still tells the rate.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnAllSent(const ExchangeKey& aKey);

  /// Forgets a response.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Remove(const ExchangeKey& aKey);

  /// Adapts the rate and finds the responses whose readers have stopped.
  ///
  /// Preconditions: aNow never decreases. Thread safety: not thread-safe.
  void Update(TimePoint aNow);

  /// Returns the time that the bytes ahead of a further response take.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  Duration Wait() const { return TimeOf(ahead_); }

  /// Returns the time that aBytes take on the idle link.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  Duration TimeOf(std::uint64_t aBytes) const;

  /// Returns the bytes per second that large responses may use: a share of the link.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  double BytesPerSecond() const;

  /// Returns the bytes that are ahead of a further response.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::uint64_t Ahead() const { return ahead_; }
  /// Bytes that came from the server and were not sent.
  std::uint64_t Held() const { return held_; }

private:
  struct Open
  {
    /// Bytes expected from the server, and bytes that came from it and were not sent.
    std::uint64_t expected_ = 0;
    std::uint64_t waiting_ = 0;
    std::uint64_t taken_ = 0;
    /// Parts that were sent and have not arrived, and when they were sent.
    std::deque<std::pair<std::uint64_t, TimePoint>> sent_;
    TimePoint lastProgress_{};
    /// The reader has stopped: its bytes are not ahead of others.
    bool stopped_ = false;
    bool allSent_ = false;

    std::uint64_t Ahead() const { return stopped_ ? 0 : expected_ + waiting_; }
  };

  /// Changes a response and keeps the totals.
  template<typename Change>
  void With(const ExchangeKey& aKey, Change aChange);

  LinkRate rate_;
  std::unordered_map<ExchangeKey, Open, ExchangeKeyHash> open_;
  std::uint64_t ahead_ = 0;
  std::uint64_t held_ = 0;
  TimePoint nextUpdate_{};
  /// When the room that was promised to refused responses ends.
  TimePoint promisedUntil_{};
};

} // namespace redwing
