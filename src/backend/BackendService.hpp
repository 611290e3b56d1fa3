#pragma once

#include "admission/CallOrigins.hpp"
#include "admission/ColdRateLimit.hpp"
#include "admission/ColdStartRamp.hpp"
#include "admission/FairQueue.hpp"
#include "admission/ServiceTimes.hpp"
#include "admission/SlotLimiter.hpp"
#include "admission/StatedRateLimit.hpp"
#include "backend/BackendTypes.hpp"
#include "backend/LoadMetrics.hpp"
#include "backend/RefusalLog.hpp"
#include "backend/RequestChecks.hpp"
#include "backend/ServedExchange.hpp"
#include "backend/ServerControl.hpp"
#include "backend/ServerLoad.hpp"
#include "backend/ServerSender.hpp"
#include "capacity/LargeResponses.hpp"
#include "core/Clock.hpp"
#include "core/Counters.hpp"
#include "core/Mailbox.hpp"
#include "core/Published.hpp"
#include "ownership/OwnershipGate.hpp"
#include "rollout/RolloutGate.hpp"
#include "rollout/RouteCounter.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace redwing {

/// Serves requests with the backend server that this instance fronts: admits them, dispatches them
/// over HTTP/1.1 and determines the outcome of each. The owner runs the io_context on one thread.
class BackendService
{
public:
  BackendService(boost::asio::io_context& aContext,
                 const Clock& aClock,
                 const Published<RoutingView>& aView,
                 OwnershipGate& aGate,
                 CounterRegistry& aCounters,
                 BackendSettings aSettings,
                 BackendHooks aHooks);
  ~BackendService();

  /// Starts the timers.
  ///
  /// Preconditions: called once before the io_context runs. Thread safety: not thread-safe.
  void Start();

  /// Stops the timers and closes all connections.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void Stop();

  /// Queues a new request; returns false and leaves aStart unchanged if the mailbox is full.
  ///
  /// Preconditions: key_ is unique among the open exchanges. Thread safety: any thread.
  bool TryStart(RequestStart&& aStart);

  /// Queues a further event of an accepted exchange.
  ///
  /// Preconditions: TryStart returned true for the exchange. Thread safety: any thread.
  void Handle(RequestEvent&& aEvent);

  /// Applies an announcement of the backend server.
  ///
  /// Preconditions: none. Thread safety: any thread.
  void OnAnnounce(BackendAnnouncement aAnnouncement);

  /// Marks the backend server as leaving since aSince: running requests finish, new ones are
  /// refused.
  ///
  /// Preconditions: none. Thread safety: any thread.
  void OnLeave(TimePoint aSince);

  /// Refuses requests that are not running and cannot be answered by aAnswerBy.
  ///
  /// Preconditions: called once. Thread safety: any thread.
  void LimitAnswers(TimePoint aAnswerBy);

  /// Refuses new requests from now on; calls aDrained once no request is queued or running.
  ///
  /// Preconditions: none. Thread safety: any thread.
  void BeginDrain(std::function<void()> aDrained);

  /// Writes a log line for each request that is queued or running.
  ///
  /// Preconditions: none. Thread safety: on the thread of the io_context.
  void LogUnfinished() const;

  /// Replaces all grants of the backend server; grants missing from aGrants are revoked. The grants
  /// are valid until aDeadline. aAcknowledged is called with whether the server accepted this set.
  ///
  /// Preconditions: none. Thread safety: any thread.
  void SetGrants(std::vector<ShardGrant> aGrants,
                 TimePoint aDeadline,
                 std::function<void(bool)> aAcknowledged);

  /// Returns the most recently published status.
  ///
  /// Preconditions: none. Thread safety: any thread.
  BackendStatus Status() const;

  /// Adds idempotency entries received from a shard's owner, then calls aDone on the backend
  /// thread.
  ///
  /// Preconditions: none. Thread safety: any thread.
  void ImportEntries(std::vector<IdempotencyEntry> aEntries, std::function<void()> aDone);

  /// Calls aCallback with the idempotency entries of aShard on the backend thread.
  ///
  /// Preconditions: none. Thread safety: any thread.
  void ExportEntries(ShardId aShard, std::function<void(std::vector<IdempotencyEntry>)> aCallback);

  /// Merges quarantine entries (requests suspected of crashing a server) received by gossip.
  ///
  /// Preconditions: none. Thread safety: any thread.
  void MergeQuarantine(std::vector<QuarantineEntry> aEntries);

  /// Calls aCallback with the entries of requests that do not run freely, on the backend thread.
  ///
  /// Preconditions: none. Thread safety: any thread.
  void ExportQuarantine(std::function<void(std::vector<QuarantineEntry>)> aCallback);

  /// Applies what the leader tells of a rollout; aSentAt is when the report that it answers was
  /// sent, or the start of time for a notice, which permits nothing.
  ///
  /// Preconditions: none. Thread safety: any thread.
  void OnRollout(const RolloutDirective& aDirective, TimePoint aSentAt);

  /// Returns what the server did since the order of aOrderRevision; empty counts if the server
  /// belongs to another service than aService.
  ///
  /// Preconditions: none. Thread safety: on the thread of the io_context.
  ServerCounts CountsSince(const std::string& aService, std::uint64_t aOrderRevision);

private:
  class Observer;
  using ExchangePtr = std::shared_ptr<ServedExchange>;
  enum class Ending
  {
    Answered,
    NotRun,
    Unknown,
  };

  void Post(std::function<void()> aTask);
  void Drain();

  // Admission, implemented in BackendAdmission.cpp.
  void Admit(RequestStart&& aStart);
  /// Accounts for the body of a request of another instance; returns false if it does not fit.
  bool HoldBody(ServedExchange& aExchange);
  /// Returns whether a request is a call of a server, as far as is known.
  bool IsCall(const RequestStart& aStart, TimePoint aNow);
  std::optional<ErrorCode> CheckArrival(const RequestStart& aStart, TimePoint aNow);
  bool IsLeaving(const RequestStart& aStart, TimePoint aNow) const;
  /// Returns the latest time at which an answer can reach the caller.
  TimePoint AnswerBy(const RequestStart& aStart) const;
  /// Returns the error code for a request that would be answered too late because it still takes
  /// aNeeded.
  ErrorCode CodeOfLate(const RequestStart& aStart, Duration aNeeded) const;
  bool ApplyVerdict(const ExchangePtr& aExchange, IdempotencyVerdict aVerdict);
  bool CheckExistingEntry(const ExchangePtr& aExchange, TimePoint aNow);
  void Pump();
  void Prepare(const ExchangePtr& aExchange);
  /// Returns why the request may not run at the server now, whatever was found earlier; nothing if
  /// it may.
  std::optional<SendRefusal> CheckRun(const ServedExchange& aExchange, TimePoint aNow);
  /// Returns why the request may not be written to the server now, after CheckQuarantine and
  /// CheckOwnership have admitted it earlier; nothing if it may.
  std::optional<SendRefusal> CheckSend(const ServedExchange& aExchange, TimePoint aNow);
  bool CheckQuarantine(const ExchangePtr& aExchange, TimePoint aNow);
  bool CheckOwnership(const ExchangePtr& aExchange, TimePoint aNow);
  void BeginEntry(const ExchangePtr& aExchange, TimePoint aNow);
  void OnReplicated(const ExchangePtr& aExchange, bool aAllowed);
  void RefuseNotRun(const ExchangePtr& aExchange, ErrorCode aCode, std::string_view aDetail = {});
  void Refuse(const ExchangePtr& aExchange,
              Outcome aOutcome,
              ErrorCode aCode,
              std::string_view aDetail = {},
              std::optional<std::uint32_t> aRetryAfterMs = {});

  // Dispatch and responses, implemented in BackendExchanges.cpp.
  /// Passes the request to the sender, or refuses it.
  void Dispatch(const ExchangePtr& aExchange);
  /// Accounts for a request that is about to be written.
  void OnSending(ServedExchange& aExchange, HttpRequest& aRequest);
  void OnBody(RequestBody&& aEvent);
  void OnCancel(const ExchangePtr& aExchange);
  void OnRecall(const ExchangePtr& aExchange);
  void OnCredit(const ResponseCredit& aEvent);
  void OnResponse(const ExchangePtr& aExchange, HttpHead&& aHead, std::string&& aBody, bool aLast);
  void OnResponseBody(const ExchangePtr& aExchange, std::string&& aBytes, bool aLast);
  void OnRequestWritten(const ExchangePtr& aExchange, std::size_t aBytes);
  void OnFailed(const ExchangePtr& aExchange, const HttpFailure& aFailure);
  bool OnShed(const ExchangePtr& aExchange, const HttpHead& aHead, bool aLast);
  /// Returns why the response can't be passed on; empty if it can.
  std::string_view FindFault(const HttpHead& aHead) const;
  std::optional<ServerLoad> LoadIn(const HttpHead& aHead) const;
  void FailUnknown(const ExchangePtr& aExchange, std::string_view aDetail);
  void Complete(const ExchangePtr& aExchange);
  void Detach(const ExchangePtr& aExchange, ErrorCode aCode);
  void End(const ExchangePtr& aExchange, Ending aEnding);
  void EndEntry(const ExchangePtr& aExchange, Ending aEnding);

  // What the server states of itself in answers, implemented in BackendStated.cpp.
  void ReadStatements(const ServedExchange& aExchange, const HttpHead& aHead);
  void ReadLeaving(const HttpHead& aHead);
  void ReadStatedLimit(const ServedExchange& aExchange, const HttpHead& aHead);
  void LogStatedLimit(std::string_view aState, TimePoint aNow);
  /// Refuses the queued requests that would now be answered too late.
  void QueueAgain(TimePoint aNow);
  /// Returns the time until the server may get a request that arrives now.
  Duration StatedWait(TimePoint aNow) const;
  /// Returns when a request that was refused with aCode may come back; nothing if that does not
  /// depend on a stated limit.
  std::optional<std::uint32_t> StatedRetryAfter(ErrorCode aCode, TimePoint aNow) const;

  // Large responses, implemented in BackendLarge.cpp.
  /// Refuses a request whose large response would be late; returns whether it did.
  bool RefuseForBytes(const ExchangePtr& aExchange, TimePoint aNow);
  /// Sends an event of a response; if the response is large, by a later task and when its turn
  /// comes.
  void SendResponse(const ServedExchange& aExchange, ResponseEvent&& aEvent);
  /// Reads more of a large response ahead of what its caller takes.
  void ReadAhead(const ServedExchange& aExchange, const std::optional<std::uint64_t>& aLength);
  /// Discards what waits of a large response; headSent_ then tells whether its head was sent.
  void DropLarge(ServedExchange& aExchange);
  void ScheduleLarge();
  void ReleaseLarge();
  void ExpireLarge(TimePoint aNow);
  /// Ends a large response that waits after its caller has left.
  void EndCancelledLarge(const ExchangeKey& aKey);
  /// Sends the last event of a large response that is given up.
  void EndLarge(const ExchangeKey& aKey, bool aStarted, ErrorCode aCode);

  // Rollouts, implemented in BackendRollouts.cpp.
  /// Returns whether the server may get one request more than aWaiting ones.
  RolloutAnswer AskRollout(std::size_t aWaiting, TimePoint aNow);
  /// Refuses the request and returns true if the server may not get it.
  bool RefusedByRollout(const ExchangePtr& aExchange, std::size_t aWaiting, TimePoint aNow);
  /// Returns the refusal for aAnswer and counts it; nothing if aAnswer is Open.
  std::optional<SendRefusal> RolloutRefusal(RolloutAnswer aAnswer);
  /// Refuses the queued requests if the server may get none.
  void CheckRollout(TimePoint aNow);
  bool IsColdStart(TimePoint aNow);
  void CountSent(ServedExchange& aExchange);
  void CountAnswer(ServedExchange& aExchange, const HttpHead& aHead, bool aFault);
  void CountDetached(ServedExchange& aExchange, ErrorCode aCode);
  void CountFailed(ServedExchange& aExchange, const HttpFailure& aFailure);

  // Crashes, implemented in BackendCrashes.cpp.
  void ProbeForCrash();
  /// Uses an announcement of the run that refused a connection if its server accepts one now.
  void ProbeRefusedServer(BackendAnnouncement&& aAnnouncement);
  void OnCrash();
  /// Blames the requests that were at the server for its end.
  void RecordCrash(TimePoint aNow);
  void EndFailingExchanges(bool aCrashed);
  void ForgetUnexplained(TimePoint aNow);

  // Health and timers, implemented in BackendHealth.cpp.
  void Tick();
  void ExpireRequests(TimePoint aNow);
  void CheckProgress(TimePoint aNow);
  void CheckLeases(TimePoint aNow);
  void OnProgressProbe(const HealthReport& aReport);
  void Announce(BackendAnnouncement&& aAnnouncement);
  /// Applies the configuration if it has changed.
  void ConsumeConfiguration();
  void ApplyConfiguration();
  void Leave(TimePoint aSince);
  void BeginLeaving(TimePoint aSince);
  void OnNewServer(TimePoint aNow);
  void OnHealth(const HealthReport& aReport);
  void OnHealthFailed(bool aRefused);
  void MarkDown(std::string_view aReason);
  void PublishStatus();
  void CheckDrained();

  IdempotencyKey EntryKey(const RequestStart& aStart) const;
  LoadReport Load() const;
  ServiceRate Rate(TimePoint aNow) const;
  bool Serving() const { return announcement_ && !down_; }

  boost::asio::io_context& context_;
  const Clock& clock_;
  OwnershipGate& gate_;
  BackendSettings settings_;
  BackendHooks hooks_;
  RequestChecks checks_;
  RefusalLog refusalLog_;
  Mailbox<RequestEvent> mailbox_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer largeTimer_;
  ServerSender sender_;
  std::unique_ptr<ServerControl> monitor_;
  SlotLimiter limiter_;
  FairQueue queue_;
  CallOrigins callOrigins_;
  RouteCounter routeCounter_;
  RolloutGate rolloutGate_{ routeCounter_ };
  RolloutAnswer rolloutState_ = RolloutAnswer::Open;
  /// The last answer of the gate was not Open.
  bool rolloutShut_ = false;
  /// Until when the server is cold by its own word.
  TimePoint coldUntil_{};
  ColdStartRamp ramp_;
  ColdRateLimit coldRate_;
  StatedRateLimit statedRate_;
  TimePoint nextLimitLog_{};
  TimePoint nextLinkLog_{};
  ServiceTimes estimator_;
  /// Nothing without a stated capacity of the link.
  std::unique_ptr<LargeResponses> large_;
  /// ReleaseLarge will be called.
  bool largeScheduled_ = false;
  IdempotencyTable entries_;
  Gauge& recordBytes_;
  Gauge& keptResponseBytes_;
  Counter& recordsFull_;
  QuarantineRegistry quarantine_;
  std::unordered_map<ExchangeKey, ExchangePtr, ExchangeKeyHash> exchanges_;
  std::optional<BackendAnnouncement> announcement_;
  TimePoint announcedAt_{};
  /// When the present run of the server was announced.
  TimePoint serverSince_{};
  TimePoint lastHealthy_{};
  TimePoint nextPoll_{};
  TimePoint nextSweep_{};
  TimePoint nextProbe_{};
  HealthReport health_;
  /// Ratio of the server's current service times to its normal ones, as last reported by the
  /// server, and the time of that report.
  double slowdown_ = 1;
  TimePoint slowdownAt_{};
  bool down_ = true;
  bool leaving_ = false;
  TimePoint leavingSince_{};
  /// Identifies the server run that crashed last; announcements that it sent before the crash may
  /// still arrive.
  std::string crashedRunId_;
  TimePoint crashedAt_{};
  bool stopped_ = false;
  /// A function further up the stack calls Pump.
  bool pumpHeld_ = false;
  bool probingCrash_ = false;
  bool probingRefused_ = false;
  bool probingProgress_ = false;
  std::uint32_t unansweredProbes_ = 0;
  std::uint64_t crashes_ = 0;
  /// Fingerprints of requests whose connection the server closed without an answer, and when.
  std::vector<std::pair<std::uint64_t, TimePoint>> unexplained_;
  std::vector<std::function<void()>> drained_;
  bool draining_ = false;
  /// When this instance, which is about to stop, can pass on the last answer.
  TimePoint answerBy_ = TimePoint::max();
  mutable std::mutex statusMutex_;
  BackendStatus status_;
  Counter& started_;
  Counter& answered_;
  Counter& notRun_;
  Counter& unknown_;
  LoadMetrics loadMetrics_;
  Counter& sheds_;
  /// Those of servers that had free slots.
  Counter& shedsWithRoom_;
  Counter& stalls_;
  Counter& crashCount_;
  Counter& rolloutPermitted_;
  Counter& rolloutUnpermitted_;
  Counter& rolloutLimited_;
  Counter& rolloutClosed_;
  Gauge& rolloutGauge_;
};

} // namespace redwing
