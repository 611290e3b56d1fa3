#pragma once

#include "backend/BackendTypes.hpp"
#include "core/Clock.hpp"
#include "fleet/AllowancePools.hpp"
#include "fleet/LeaderLease.hpp"
#include "fleet/RolloutDecider.hpp"
#include "fleet/ShardHolds.hpp"
#include "fleet/ShardPlanner.hpp"
#include "fleet/StoreSession.hpp"
#include "limits/WindowBudget.hpp"
#include "rollout/RolloutTypes.hpp"
#include "routing/RoutingView.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Settings of FleetService and its callbacks into the other parts of the instance.
namespace redwing {

struct FleetSettings
{
  /// Id, incarnation, addresses, data centre and region of this instance, and the service of its
  /// local backend server.
  Member self_;
  /// Processors that this instance may use, in parts of one; 0 if unknown.
  double processors_ = 0;
  StoreSessionSettings session_;
  LeaderLeaseSettings leader_;
  ShardHoldSettings holds_;
  ShardPlannerSettings planner_;
  WindowBudgetSettings budget_;
  /// Workspaces may exceed their allowance in a window by this fraction plus this number of
  /// requests.
  double allowanceOvershoot_ = 0;
  double allowanceSlack_ = 0;
  RolloutBounds rollouts_;
  /// Prefix of the keys of status texts of rollouts, followed by the service; empty if none are
  /// written.
  std::string rolloutStatusPrefix_;
  std::chrono::milliseconds reportInterval_{ 500 };
  /// Time within which an instance in contact with the others learns of a withdrawal.
  std::chrono::milliseconds withdrawalLag_{ 1500 };
  std::uint64_t seed_ = 0;

  /// Sets by how much workspaces may exceed their allowance. Only a part of it is used; the rest is
  /// a reserve for use that instances cannot yet know of each other.
  ///
  /// Preconditions: both are at least 0. Thread safety: not thread-safe.
  void SetAllowanceBounds(double aOvershoot, double aSlack)
  {
    constexpr double kUsedPart = 0.9;
    allowanceOvershoot_ = aOvershoot * kUsedPart;
    allowanceSlack_ = aSlack * kUsedPart;
  }
};

/// Callbacks into the source of the configuration.
struct ConfigurationHooks
{
  /// Takes the revision of a change of the configuration that another instance knows of.
  std::function<void(std::uint64_t aChange)> reported_;
  /// Sets the time in which the loss of the watch must be noticed; without a value the default of
  /// the store applies.
  std::function<void(std::optional<std::chrono::milliseconds> aInterval)> setWatchInterval_;
  /// Returns the operator's text of a rollout's state; may be empty.
  std::function<std::string(const RolloutRecord&)> encodeStatus_{};
};

/// Callbacks into the other parts of the instance.
struct FleetHooks
{
  using CallDone = std::function<void(bool aAnswered, std::string aReply)>;

  /// Calls another instance over a peer link.
  std::function<
    void(const std::string& aInstanceId, std::string aPayload, Duration aTimeout, CallDone aDone)>
    call_;
  std::function<void(BackendAnnouncement)> announce_;
  std::function<void(TimePoint aSince)> serverLeaves_;
  /// Returns the requests per second that the local server can process; 0 if unknown.
  std::function<double()> serviceRate_;
  ConfigurationHooks configuration_;
  /// Returns the time of day, which may jump at any time and differ between machines.
  AllowancePools::TimeOfDay timeOfDay_;
  /// Takes what other instances know of requests that crash servers; may be empty.
  std::function<void(std::vector<QuarantineEntry>)> mergeQuarantine_;
  /// Passes what an instance that has just joined must know of such requests to the callback; may
  /// be empty.
  std::function<void(std::function<void(std::vector<QuarantineEntry>)>)> exportQuarantine_;
  /// Takes what the leader tells of a roll-out; aSentAt is when the report that it answers was
  /// sent, the start of time if it answers none and so permits nothing. May be empty.
  std::function<void(const RolloutDirective&, TimePoint aSentAt)> rollout_{};
  /// Returns what the local server of aService did since the order of aOrderRevision; may be empty.
  std::function<ServerCounts(const std::string& aService, std::uint64_t aOrderRevision)>
    serverCounts_{};
  /// Makes what judges and steps rollouts; without it this instance leads none.
  RolloutDeciderFactory makeDecider_{};
};

} // namespace redwing
