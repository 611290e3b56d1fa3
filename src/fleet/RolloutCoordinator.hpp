#pragma once

#include "core/Clock.hpp"
#include "fleet/RolloutDecider.hpp"
#include "fleet/ServiceRollout.hpp"
#include "rollout/RolloutTypes.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace redwing {

/// What became of a write to the store.
enum class RolloutWriteOutcome : std::uint8_t
{
  Written,
  /// Nothing was written.
  NotWritten,
  /// The write may have taken effect.
  Unknown,
};

/// Returns whether two revisions are those of one order. A store that came back from an older copy
/// has its entries under the same numbers in a later epoch.
///
/// Preconditions: none. Thread safety: callable from any thread.
bool IsSameOrder(std::uint64_t aRevision, std::uint64_t aOther);

/// Conducts the rollouts of all services while this instance leads: follows orders, asks a decider
/// for each step, permits requests to servers of the target version, and says what the store should
/// have. No I/O and no clock of its own. Runs on the context's thread.
class RolloutCoordinator
{
public:
  /// Returns the time of day, which may jump at any time.
  using TimeOfDay = std::function<std::chrono::system_clock::time_point()>;

  RolloutCoordinator(RolloutDeciderFactory aMakeDecider, TimeOfDay aTimeOfDay);

  /// Takes all present orders, also while this instance doesn't lead.
  ///
  /// Preconditions: at most one order for each service. Thread safety: not thread-safe, like all
  /// functions here.
  void SetOrders(const std::vector<RolloutOrder>& aOrders, TimePoint aNow);

  /// Begins to lead with the records of the store. aEnded are final phases that earlier leaders
  /// told this instance of; they count where the store, restored from an older copy, lacks them.
  ///
  /// Preconditions: none.
  void Begin(const std::vector<RolloutRecord>& aRecords,
             const std::vector<RolloutDirective>& aEnded,
             TimePoint aNow);

  /// Ends to lead.
  ///
  /// Preconditions: none.
  void End();

  /// Makes the store take all records again, because it came back from an older copy.
  ///
  /// Preconditions: none.
  void OnStoreRestored();

  /// Returns the services that the leader needs to know of.
  std::set<std::string> Services() const;

  /// Takes what the leader knows of a service.
  ///
  /// Preconditions: none.
  void SetService(const std::string& aService, RolloutService aState, TimePoint aNow);

  /// Answers a report.
  ///
  /// Preconditions: none.
  RolloutReply OnReport(const RolloutReport& aReport, TimePoint aNow);

  /// Takes the next step of each rollout.
  ///
  /// Preconditions: SetService was called for each of Services().
  void Step(TimePoint aNow);

  /// Returns a record that the store should take and marks it as being written; nothing if there is
  /// none.
  ///
  /// Preconditions: none.
  std::optional<RolloutRecord> TakeWrite();

  /// Takes the result of the write of a record.
  ///
  /// Preconditions: TakeWrite returned it.
  void OnWrite(const RolloutRecord& aRecord, RolloutWriteOutcome aOutcome);

  /// Returns what all instances are to be told. Rollouts that have ended are told of while servers
  /// of the version that must get nothing remain.
  ///
  /// Preconditions: none.
  std::vector<RolloutDirective> Announced(TimePoint aNow) const;

  /// Returns the rollout of a service; null if there is none.
  ///
  /// Preconditions: none.
  const ServiceRollout* Find(const std::string& aService) const;

  bool Leads() const { return leads_; }

  /// Returns whether all rollouts have ended and the store knows.
  ///
  /// Preconditions: none.
  bool Idle() const;

private:
  struct SeenOrder
  {
    RolloutOrder order_;
    TimePoint seenAt_{};
  };

  void Follow(const std::string& aService, TimePoint aNow);
  void FollowOrder(ServiceRollout& aRollout, const SeenOrder* aOrder, TimePoint aNow);
  void Start(const SeenOrder& aOrder, const ServiceRollout* aEarlier, TimePoint aNow);
  void Resume(RolloutRecord aRecord, bool aWriteAgain, TimePoint aNow);
  std::int64_t UnixMilliseconds() const;

  RolloutDeciderFactory makeDecider_;
  TimeOfDay timeOfDay_;
  bool leads_ = false;
  TimePoint leadsSince_{};
  std::map<std::string, SeenOrder> orders_;
  std::map<std::string, std::unique_ptr<ServiceRollout>> rollouts_;
  std::map<std::string, RolloutService> services_;
  std::set<std::string> writing_;
};

} // namespace redwing
