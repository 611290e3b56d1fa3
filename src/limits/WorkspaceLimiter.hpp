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

/// Rate limiter of one instance: a SliceHolder per workspace that sent requests lately.
class WorkspaceLimiter
{
public:
  using Decide = std::function<void(bool aAdmitted, std::uint32_t aRetryAfterMs)>;
  using SendRequest = std::function<void(const SliceRequest&)>;
  using SendReport = std::function<void(const SliceReport&)>;

  WorkspaceLimiter(const Clock& aClock, SendRequest aSendRequest, SendReport aSendReport);

  /// Asks for one token. aDecide is called once, before this returns or from OnReply or Tick.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Admit(std::string_view aWorkspace, TimePoint aDeadline, Decide aDecide);

  /// Handles the answer of a bucket's owner.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnReply(const SliceReply& aReply);

  /// Advances time; call it every few milliseconds unless Idle returns true.
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
  void Conclude(const std::vector<WaiterDecision>& aDecisions);

  const Clock& clock_;
  SendRequest sendRequest_;
  SendReport sendReport_;
  std::map<std::string, Entry, std::less<>> entries_;
  std::unordered_map<std::uint64_t, Decide> waiting_;
  std::uint64_t nextWaiterId_ = 1;
};

} // namespace redwing
