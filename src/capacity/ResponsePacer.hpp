#pragma once

#include "core/Clock.hpp"
#include "exchange/Events.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace redwing {

/// Holds the events of large responses and returns them at the rate of the link's share, in small
/// parts, so that a small response finds a short queue on the link. Responses go in the order of
/// their first events. One whose reader has not taken a full window of kBodyWindowBytes waits and
/// does not hold up the others.
class ResponsePacer
{
public:
  /// Takes an event of a response; bodies are split.
  ///
  /// Preconditions: aEvent is a ResponseStart or a ResponseBody. Thread safety: not thread-safe.
  void Push(ResponseEvent&& aEvent);

  /// Returns the next event that may be sent now, if there is one.
  ///
  /// Preconditions: aBytesPerSecond > 0; aNow never decreases. Thread safety: not thread-safe.
  std::optional<ResponseEvent> Take(double aBytesPerSecond, TimePoint aNow);

  /// Returns when Take is to be called again; nothing if it need not be called before the next Push
  /// or OnCredit.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::optional<TimePoint> NextAt(TimePoint aNow) const;

  /// Lets aBytes more of a response be sent.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnCredit(const ExchangeKey& aKey, std::uint64_t aBytes);

  /// Discards what is left of a response and returns whether its ResponseStart was sent.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool Drop(const ExchangeKey& aKey);

  /// Returns whether events of the response wait.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool Holds(const ExchangeKey& aKey) const;

  /// Returns whether no event waits.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool Empty() const { return waiting_ == 0; }

private:
  struct Queue
  {
    ExchangeKey key_;
    std::deque<ResponseEvent> events_;
    /// Bytes that were sent and not credited.
    std::uint64_t outstanding_ = 0;
    bool started_ = false;
  };

  Queue& QueueOf(const ExchangeKey& aKey);
  static bool MaySend(const Queue& aQueue);

  /// Responses by their turn.
  std::map<std::uint64_t, Queue> queues_;
  std::unordered_map<ExchangeKey, std::uint64_t, ExchangeKeyHash> turns_;
  std::uint64_t nextTurn_ = 0;
  /// Number of events that wait.
  std::size_t waiting_ = 0;
  /// When the bytes sent so far have passed at the rate that applied.
  TimePoint freeAt_{};
};

/// Returns the number of body bytes that aEvent carries.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::uint64_t BodyBytes(const ResponseEvent& aEvent);

/// Returns whether aEvent carries the end of the body.
///
/// Preconditions: none. Thread safety: callable from any thread.
bool EndsBody(const ResponseEvent& aEvent);

} // namespace redwing
