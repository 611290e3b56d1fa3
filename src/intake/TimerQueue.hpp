#pragma once

#include "core/Clock.hpp"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace redwing::Detail {

enum class TimerKind : std::uint8_t
{
  Deadline,
  Retry,
  Hedge,
};

/// Timers of all exchanges behind one timer of the io_context. A timer of its own for each request
/// would cost a heap operation and a handler in Asio per request, although few ever expire.
class TimerQueue
{
public:
  /// Names a pending timer; the default names none.
  using Handle = std::pair<TimePoint, std::uint64_t>;
  using Expire = std::function<void(std::uint64_t aExchangeId, TimerKind aKind)>;

  TimerQueue(boost::asio::io_context& aIo, const Clock& aClock, Expire aExpire);

  /// Preconditions: none. Thread safety: io_context thread only.
  Handle Add(TimePoint aAt, std::uint64_t aExchangeId, TimerKind aKind);

  /// Removes aHandle if it is pending, and clears it.
  ///
  /// Preconditions: none. Thread safety: io_context thread only.
  void Remove(Handle& aHandle);

private:
  struct Target
  {
    std::uint64_t exchangeId_;
    TimerKind kind_;
  };

  void Arm();
  void OnExpired();

  const Clock& clock_;
  Expire expire_;
  boost::asio::steady_timer timer_;
  std::map<Handle, Target> pending_;
  std::uint64_t nextId_ = 1;
  TimePoint armedFor_ = TimePoint::max();
};

} // namespace redwing::Detail
