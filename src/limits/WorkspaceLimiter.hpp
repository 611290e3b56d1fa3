#pragma once

#include "core/Clock.hpp"
#include "limits/SliceHolder.hpp"
#include "limits/SliceMessages.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace redwing {

/// Rate limiter of one instance, with a SliceHolder for each workspace that sent requests recently.
class WorkspaceLimiter
{
public:
  using Decide = std::function<void(bool aAdmitted, std::uint32_t aRetryAfterMs)>;
  using SendRequest = std::function<void(const SliceRequest&)>;
  using SendReport = std::function<void(const SliceReport&)>;

  WorkspaceLimiter(const Clock& aClock, SendRequest aSendRequest, SendReport aSendReport);

  /// Asks for one token. Calls aDecide exactly once, either before returning or from OnReply or
  /// Tick.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Admit(std::string_view aWorkspace, TimePoint aDeadline, Decide aDecide);

  /// Handles the reply of a bucket's owner.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnReply(const SliceReply& aReply);

  /// Handles timeouts and deadlines; call it every few milliseconds unless Idle returns true.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Tick();

  /// Returns whether Tick has nothing urgent to do until the next Admit or OnReply.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool Idle() const;

private:
  struct Entry
  {
    SliceHolder holder_;
    TimePoint lastRequest_;
  };

  void Send(SliceHolder& aHolder, TimePoint aNow);
  void NotifyWaiters(const std::vector<WaiterDecision>& aDecisions);

  const Clock& clock_;
  SendRequest sendRequest_;
  SendReport sendReport_;
  std::map<std::string, Entry, std::less<>> entries_;
  std::unordered_map<std::uint64_t, Decide> waiting_;
  std::uint64_t nextWaiterId_ = 1;
};

} // namespace redwing
