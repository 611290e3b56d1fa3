#pragma once

#include "core/Clock.hpp"
#include "core/MemoryBudget.hpp"

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace redwing::Detail {

class CallerConnection;
class IntakeCore;

/// Acts on callers' connections when the memory budget or the number of connections is used up:
/// lets those go on whose bodies wait for memory, and chooses which connection is closed. Intake
/// thread only.
class MemoryGuard
{
public:
  using Connections = std::function<std::vector<std::shared_ptr<CallerConnection>>()>;

  /// aConnections returns all open connections.
  MemoryGuard(IntakeCore& aCore, Connections aConnections);
  ~MemoryGuard();
  MemoryGuard(const MemoryGuard&) = delete;
  MemoryGuard& operator=(const MemoryGuard&) = delete;

  /// Lets aConnection try again soon; connections go on in the order in which they began to wait.
  ///
  /// Preconditions: aConnection does not wait already.
  void Wait(std::weak_ptr<CallerConnection> aConnection);

  /// Closes a connection without a request, so that another one can be accepted: one that never
  /// sent a byte if there is one, and the one that was silent longest. Returns whether it did.
  ///
  /// Preconditions: none.
  bool MakeWay() { return CloseIdle(false); }

  /// Counts aAction, and writes a log line unless one was written within the last second.
  ///
  /// Preconditions: none.
  void Report(MemoryAction aAction, std::string_view aReason);

private:
  void Arm();
  void Resume();
  /// Closes the connection that holds most of a body and sent nothing lately, or, if there is none,
  /// the one whose body comes slowest; returns whether there is one.
  bool CloseStalledBody(TimePoint aNow);
  bool CloseIdle(bool aOnlyFresh);
  void CloseLargest();

  IntakeCore& core_;
  Connections connections_;
  boost::asio::steady_timer timer_;
  std::vector<std::weak_ptr<CallerConnection>> waiting_;
  /// Expires with this object; posted handlers may be called later.
  std::shared_ptr<void> alive_ = std::make_shared<char>();
  bool armed_ = false;
  /// Set on any thread that holds bytes.
  std::atomic<bool> closeScheduled_{ false };
  TimePoint lastLine_{};
  std::uint64_t suppressed_ = 0;
};

} // namespace redwing::Detail
