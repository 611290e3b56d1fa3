#pragma once

#include "core/MemoryBudget.hpp"
#include "exchange/Events.hpp"
#include "intake/IntakeDependencies.hpp"
#include "intake/RequestHead.hpp"
#include "intake/ResponseText.hpp"
#include "intake/TimerQueue.hpp"
#include "routing/RouteTable.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace redwing {

class MemberLoad;
enum class AttemptEnd : std::uint8_t;

namespace Detail {

class CallerSlot;
class IntakeCore;

/// One request of a caller from its head to the end of its response: admission, attempts at
/// serving instances, retries and hedges, and the streams of both bodies.
class Exchange
{
public:
  /// aArrived is when the head of the request had arrived; the time that the request has counts
  /// from then.
  Exchange(IntakeCore& aCore, CallerSlot& aConnection, TimePoint aArrived);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /// Checks the request and asks for admission.
  ///
  /// Preconditions: called once. Thread safety: intake thread only, like all functions here. The
  /// connection may retire the exchange in any function that ends the response.
  void Begin(std::string&& aMethod,
             std::string&& aTarget,
             HeaderList&& aHeaders,
             std::optional<std::uint64_t> aContentLength,
             bool aBodyDone);

  /// Refuses a request whose head could not be parsed.
  void Reject(const char* aFault);

  void OnBody(std::string&& aBytes, bool aLast);
  void OnMalformedBody();
  bool OnRateDecision(const RateAnswer& aAnswer);
  void OnResponseEvent(std::uint64_t aAttemptId, ResponseEvent&& aEvent);
  void OnPeerDown(const std::string& aInstanceId);
  /// The time by which this instance, which is about to stop, can pass an answer on has passed.
  void OnAnswerBy();
  void OnTimer(TimerKind aKind);
  /// Bytes of the response body have left the connection's buffer.
  void OnResponseWritten(std::size_t aBytes);
  /// The caller's connection is gone; running attempts are cancelled.
  void OnCallerGone();

  /// Writes the log line of a request that is unanswered when the process ends.
  void LogUnanswered() const;

  /// Returns whether more of the request body can be buffered.
  bool WantsBody() const;

  /// Accounts for the head of the request.
  void HoldHead(std::size_t aBytes) { headHeld_.Set(aBytes); }

  /// Reserves the memory that the body of the request may take, unless that was done before;
  /// returns false if it does not fit now.
  bool ReserveBody();
  /// Gives back what the body takes no more, once all of it was passed on.
  void ReduceReservation();
  std::size_t BodyBytesHeld() const { return bodyHeld_.Bytes(); }
  std::uint64_t BodyBytesReceived() const { return bodyBytes_; }
  std::size_t BytesHeld() const { return headHeld_.Bytes() + bodyHeld_.Bytes(); }

  /// Refuses a request whose body found no memory.
  void RefuseForMemory();
  bool KeepsConnection() const { return keepsConnection_; }
  bool Uses(const std::string& aInstanceId) const;

private:
  struct Attempt
  {
    std::uint64_t id_;
    std::string instanceId_;
    MemberLoad* load_;
    bool local_;
    TimePoint sentAt_;
  };

  // Admission, in Exchange.cpp
  bool Authenticate();
  bool FindShard();
  void ChoosePart();
  bool BodyTooLarge(std::uint64_t aBytes) const;
  /// Ends a request whose body proved to be over the limit while it arrived.
  void EndTooLarge();
  /// Returns the most bytes that the body takes on its way.
  std::size_t BodyBytesNeeded() const;
  void BuildStart(std::optional<std::uint64_t> aContentLength);
  void BeginWhenReady();
  void Refuse(ErrorCode aCode,
              std::string aDetail,
              Outcome aOutcome = Outcome::NotRun,
              std::optional<std::uint32_t> aRetryAfterMs = std::nullopt);
  /// Gives back the token of a request that did not run.
  void ReturnToken();
  void Finish();
  /// Id of the charged workspace; empty if there is none.
  const std::string& WorkspaceId() const;
  const std::string& ServiceId() const;

  // Attempts, in ExchangeAttempts.cpp
  void SendAttempt(const char* aReason);
  /// Ends the exchange and returns false if its caller has left or its deadline has passed.
  bool MaySend();
  bool KeyStillValid() const;
  bool ChooseTarget(std::string& aInstanceId, MemberLoad*& aLoad);
  void LogAttempt(const Attempt& aAttempt, const char* aReason);
  bool CanReplay() const;
  void SendToAttempt(const Attempt& aAttempt, RequestEvent&& aEvent);
  void CancelAttempts(std::uint64_t aExceptId);
  void EndAttempt(const Attempt& aAttempt, AttemptEnd aEnd);
  void OnDeadline();
  void OnHedgeTimer();
  bool MayHedge() const;
  void ArmHedge();

  // Refusals and retries, in ExchangeRetries.cpp
  void OnRefusal(Attempt&& aAttempt, Refusal&& aRefusal);
  /// Passes on a refusal after which no attempt follows.
  void RefuseFinally(Refusal&& aRefusal);
  bool RetryAfter(const Attempt& aAttempt, const Refusal& aRefusal);
  /// Returns whether an attempt after aRefusal is taken from the retry budget.
  bool IsCharged(const Refusal& aRefusal) const;
  bool RetryKeyed(const Attempt& aAttempt, const Refusal& aRefusal);
  bool RetryPooled(const Attempt& aAttempt, const Refusal& aRefusal);
  void RetryLater();
  /// Returns whether the retry budget has room for an attempt that is charged.
  bool HasRetry() const;
  /// Takes an attempt that is charged from the retry budget; ends the exchange if there is none.
  bool TakeRetry();

  // The end of the instance, in ExchangeShutdown.cpp
  void RefuseStopping();
  /// Returns the name of what the request waits for.
  std::string_view Stage() const;

  // Bodies, in ExchangeBodies.cpp
  void SendBody();
  void SendDeferredBody();
  void OnResponseStart(std::uint64_t aAttemptId, ResponseStart&& aStart);
  void OnResponseBody(ResponseBody&& aBody);
  void AppendBody(std::string_view aBytes, bool aLast);
  void EndResponse();
  /// Ends a response that its backend server or the serving instance did not complete: by a refusal
  /// in its place if the caller has seen nothing of it.
  void BreakResponse(const char* aDetail);
  /// Resets the connection in place of the rest of the response.
  ///
  /// Preconditions: the request is the first of its connection.
  void AbortResponse();
  BodyFraming FramingOf(const ResponseStart& aStart) const;

  IntakeCore& core_;
  CallerSlot& connection_;
  std::uint64_t id_;
  std::string requestId_;
  RequestHead head_;
  std::shared_ptr<const RouteTable> routes_;
  const RouteEntry* entry_ = nullptr;
  const Workspace* workspace_ = nullptr;
  const CallerKey* key_ = nullptr;
  RequestStart start_;
  TimePoint arrived_;
  TimePoint deadline_ = TimePoint::max();
  TimerQueue::Handle deadlineTimer_{};
  TimerQueue::Handle retryTimer_{};
  TimerQueue::Handle hedgeTimer_{};

  bool admitted_ = false;
  /// Token of the workspace's rate, once admitted_ is set.
  std::uint64_t token_ = 0;
  /// The request was handed to the attempts; more body bytes are streamed.
  bool started_ = false;
  bool finished_ = false;
  bool responding_ = false;
  bool keepsConnection_ = false;

  std::optional<std::uint64_t> contentLength_;
  /// Bytes of the body that have arrived.
  std::uint64_t bodyBytes_ = 0;
  bool bodyReserved_ = false;
  HeldMemory headHeld_;
  HeldMemory bodyHeld_;
  std::string pending_;
  /// Bytes at the start of pending_ that were sent to the present attempt.
  std::size_t sentBytes_ = 0;
  /// The whole body is kept in pending_ and sent to each attempt that asks for it.
  bool deferred_ = false;
  bool bodyDone_ = true;
  bool bodySent_ = false;
  bool streamed_ = false;
  std::size_t requestOutstanding_ = 0;

  std::vector<Attempt> attempts_;
  std::vector<std::string> excluded_;
  std::string lastFailed_;
  std::string ownerHint_;
  TimePoint firstSent_{};
  std::uint32_t attemptCount_ = 0;
  /// The next attempt is taken from the retry budget, because the request may have reached a
  /// backend server before.
  bool charged_ = false;
  /// The refusal after which the next attempt is sent.
  std::optional<Refusal> lastRefusal_;
  /// The present attempt follows the refusal of an overloaded member.
  bool afterOverload_ = false;
  /// Attempts after which it is not known whether the request ran.
  std::uint32_t unknownCount_ = 0;
  std::uint32_t backoffs_ = 0;
  /// When the shard was first found without a serving owner.
  std::optional<TimePoint> ownerMissingSince_;

  BodyFraming framing_ = BodyFraming::None;
  std::optional<std::uint64_t> responseLength_;
  std::uint64_t received_ = 0;
  /// Bytes of the body that have not left the connection's buffer.
  std::size_t unsentBytes_ = 0;
};

} // namespace Detail
} // namespace redwing
