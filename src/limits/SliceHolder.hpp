#pragma once

#include "core/Clock.hpp"
#include "limits/SliceMessages.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace redwing {

/// Outcome of a request that waited for a token.
struct WaiterDecision
{
  std::uint64_t waiterId_ = 0;
  bool admitted_ = false;
  std::uint32_t retryAfterMs_ = 0;
};

/// Tokens of one workspace at one instance. Admits requests from its slices, asks the bucket's
/// owner for more according to demand, and lets requests wait for a short time until the owner
/// replies.
class SliceHolder
{
public:
  enum class Admission
  {
    Admitted,
    Refused,
    /// OnReply or Tick returns the decision later.
    Waiting,
  };

  explicit SliceHolder(std::string aWorkspace);

  /// Admits a request, refuses it, or lets it wait at most until aDeadline.
  ///
  /// Preconditions: aNow does not go back; aWaiterId is unique. Thread safety: not thread-safe.
  Admission Admit(std::uint64_t aWaiterId, TimePoint aDeadline, TimePoint aNow);

  /// Adds tokens that the owner granted; returns decisions for waiting requests.
  ///
  /// Preconditions: aNow does not go back. Thread safety: not thread-safe.
  std::vector<WaiterDecision> OnReply(const SliceReply& aReply, TimePoint aNow);

  /// Serves waiting requests from the tokens at hand and refuses those past their deadline; returns
  /// the decisions.
  ///
  /// Preconditions: aNow does not go back. Thread safety: not thread-safe.
  std::vector<WaiterDecision> Tick(TimePoint aNow);

  /// Returns the request to send to the owner now, if any. Only one request is outstanding at a
  /// time; an unanswered one is repeated with a new id after kReplyTimeout.
  ///
  /// Preconditions: aNow does not go back. Thread safety: not thread-safe.
  std::optional<SliceRequest> TakeRequest(TimePoint aNow);

  /// Returns the reports to send to the owner now: for slices that are used up, and for slices that
  /// are idle because demand has ended. Drops expired slices without a report.
  ///
  /// Preconditions: aNow does not go back. Thread safety: not thread-safe.
  std::vector<SliceReport> TakeReports(TimePoint aNow);

  /// Returns whether Tick, TakeRequest and TakeReports have nothing to do until the next Admit or
  /// OnReply.
  ///
  /// Preconditions: aNow does not go back. Thread safety: not thread-safe.
  bool Idle(TimePoint aNow) const;

  /// Returns the retry time, in milliseconds, for a caller that is refused now.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::uint32_t RetryAfterMs() const { return retryAfterMs_; }

private:
  struct Slice
  {
    std::uint64_t requestId_ = 0;
    std::uint32_t tokens_ = 0;
    TimePoint expiry_;
  };
  struct Waiter
  {
    std::uint64_t id_ = 0;
    TimePoint deadline_;
  };

  void ReturnLateSlice(const SliceReply& aReply);
  bool UseToken(TimePoint aNow);
  void CountDemand(TimePoint aNow);
  double DemandPerSecond(TimePoint aNow) const;
  std::uint32_t Available(TimePoint aNow) const;
  std::vector<WaiterDecision> ServeWaiters(TimePoint aNow);

  std::string workspace_;
  std::deque<Slice> slices_;
  std::deque<Waiter> waiters_;
  std::vector<SliceReport> reports_;
  std::uint64_t nextRequestId_ = 1;
  /// Id of the outstanding request to the owner.
  std::optional<std::uint64_t> pendingId_;
  /// Ids of requests that were repeated before their reply arrived.
  std::deque<std::uint64_t> timedOutIds_;
  TimePoint pendingSince_;
  TimePoint nextRequestAt_;
  std::uint32_t retryAfterMs_ = 1;
  Duration emptyBackoff_;
  Duration timeToLive_;
  /// Estimated requests per second at demandAt_.
  double demand_ = 0;
  TimePoint demandAt_;
  TimePoint lastUse_;
};

} // namespace redwing
