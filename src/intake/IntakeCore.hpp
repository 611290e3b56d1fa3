#pragma once

#include "core/Random.hpp"
#include "intake/CallerBounds.hpp"
#include "intake/CredentialTable.hpp"
#include "intake/IntakeDependencies.hpp"
#include "intake/OutcomeCounters.hpp"
#include "intake/ReturningCallers.hpp"
#include "intake/RouteLog.hpp"
#include "intake/TimerQueue.hpp"
#include "routing/HedgePolicy.hpp"
#include "routing/OverloadRetries.hpp"
#include "routing/OwnerDirectory.hpp"
#include "routing/PoolSelector.hpp"
#include "routing/RetryBudget.hpp"
#include "routing/RouteTable.hpp"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace redwing::Detail {

class CallerSlot;
class Exchange;
class MemoryGuard;

/// State of the intake thread that its connections and exchanges share.
class IntakeCore
{
public:
  explicit IntakeCore(IntakeDependencies aDependencies);
  ~IntakeCore();
  IntakeCore(const IntakeCore&) = delete;
  IntakeCore& operator=(const IntakeCore&) = delete;

  /// Delays the destruction of exchanges that end while their own functions are on the stack.
  class Scope
  {
  public:
    explicit Scope(IntakeCore& aCore);
    ~Scope();
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

  private:
    IntakeCore& core_;
  };

  /// Adopts the published view if it changed.
  ///
  /// Preconditions: none. Thread safety: intake thread only, like all functions here.
  void RefreshView();

  const IntakeDependencies& Dependencies() const { return dependencies_; }
  const IntakeSettings& Settings() const { return dependencies_.settings_; }
  TimePoint Now() const { return dependencies_.clock_.Now(); }
  const RoutingView& View() const { return *view_; }
  const std::shared_ptr<const RouteTable>& Routes() const { return routes_; }
  const CredentialTable& Credentials() const { return *credentials_; }
  PoolSelector& Selector() { return selector_; }
  OwnerDirectory& Owners() { return owners_; }
  RetryBudget& Retries() { return retries_; }
  OverloadRetries& RetriesOfOverload() { return overloadRetries_; }
  HedgePolicy& HedgesOf(const std::string& aService) { return hedges_[aService]; }
  OutcomeCounters& Outcomes() { return outcomes_; }
  ReturningCallers& Returning() { return returning_; }
  RouteLog& Log() { return log_; }
  TimerQueue& Timers() { return timers_; }
  Counter& HedgeCounter() { return hedgeCounter_; }
  Counter& RetryCounter() { return retryCounter_; }
  /// Counts refused requests that were not sent to another member, because most of them are full.
  Counter& RetryWithheldCounter() { return retryWithheldCounter_; }
  /// Counts connections that were closed by their callers before bytes sent on them were read.
  Counter& UnreadCounter() { return unread_; }
  /// Counts requests whose callers left, before or after the first attempt was sent.
  Counter& AbandonedCounter(bool aRouted)
  {
    return aRouted ? abandonedRouted_ : abandonedUnrouted_;
  }
  MemoryBudget& Memory() { return *memory_; }
  /// Returns what callers must keep to under the adopted configuration.
  const CallerBounds& Bounds() const { return bounds_; }
  /// Returns what acts on connections when memory is used up.
  ///
  /// Preconditions: SetGuard was called.
  MemoryGuard& Guard() { return *guard_; }
  void SetGuard(MemoryGuard& aGuard) { guard_ = &aGuard; }
  Random& Randomness() { return random_; }
  bool ShuttingDown() const { return shuttingDown_; }
  /// Returns when the last answer can be passed on; a distant time unless a shutdown has begun.
  TimePoint AnswerBy() const { return answerBy_; }
  void SetShuttingDown(TimePoint aAnswerBy)
  {
    shuttingDown_ = true;
    answerBy_ = aAnswerBy;
  }

  std::string NextRequestId();

  /// Returns the index of the part that serves the next request of a split route, so that the
  /// parts get their weights over any number of requests.
  ///
  /// Preconditions: aEntry has parts and belongs to Routes().
  std::size_t NextPart(const RouteEntry& aEntry);
  std::uint64_t NextAttemptId() { return ++lastAttemptId_; }
  std::uint64_t NextExchangeId() { return ++lastExchangeId_; }

  void AddExchange(std::uint64_t aId, Exchange& aExchange) { exchanges_[aId] = &aExchange; }
  void RemoveExchange(std::uint64_t aId) { exchanges_.erase(aId); }
  std::size_t ExchangeCount() const { return exchanges_.size(); }
  /// Writes a log line for each request that is unanswered.
  void LogUnanswered() const;
  void AddAttempt(std::uint64_t aId, Exchange& aExchange) { attempts_[aId] = &aExchange; }
  void RemoveAttempt(std::uint64_t aId) { attempts_.erase(aId); }
  void Retire(std::unique_ptr<CallerSlot> aSlot);

  void OnResponseEvent(ResponseEvent&& aEvent);
  void OnPeerDown(const std::string& aInstanceId);
  /// Refuses or recalls all requests that do not run.
  void OnAnswerBy();
  bool OnRateDecision(std::uint64_t aExchangeId, const RateAnswer& aAnswer);

private:
  void OnTimer(std::uint64_t aExchangeId, TimerKind aKind);

  IntakeDependencies dependencies_;
  PublishedReader<RoutingView> reader_;
  std::shared_ptr<const RoutingView> view_;
  std::shared_ptr<const RouteTable> routes_;
  std::unique_ptr<CredentialTable> credentials_;
  /// Without a limit; used if the surroundings give none.
  std::optional<MemoryBudget> unlimited_;
  MemoryBudget* memory_;
  MemoryGuard* guard_ = nullptr;
  CallerBounds bounds_;
  Random random_;
  PoolSelector selector_;
  OwnerDirectory owners_;
  RetryBudget retries_;
  OverloadRetries overloadRetries_;
  std::unordered_map<std::string, HedgePolicy> hedges_;
  OutcomeCounters outcomes_;
  ReturningCallers returning_;
  Counter& hedgeCounter_;
  Counter& retryCounter_;
  Counter& retryWithheldCounter_;
  Counter& abandonedRouted_;
  Counter& abandonedUnrouted_;
  Counter& unread_;
  RouteLog log_;
  TimerQueue timers_;
  /// Claims of the parts of split routes that were not served yet.
  std::unordered_map<const RouteEntry*, std::vector<double>> partClaims_;
  std::uint64_t requestIdBase_;
  std::uint64_t lastRequestId_ = 0;
  std::uint64_t lastAttemptId_ = 0;
  std::uint64_t lastExchangeId_ = 0;
  std::unordered_map<std::uint64_t, Exchange*> exchanges_;
  std::unordered_map<std::uint64_t, Exchange*> attempts_;
  std::vector<std::unique_ptr<CallerSlot>> retired_;
  unsigned depth_ = 0;
  bool shuttingDown_ = false;
  TimePoint answerBy_ = TimePoint::max();
};

} // namespace redwing::Detail
