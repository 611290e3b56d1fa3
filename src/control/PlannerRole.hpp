#pragma once

#include "core/Clock.hpp"
#include "ownership/ShardRow.hpp"
#include "store/Store.hpp"

#include <cstdint>
#include <string>

namespace redwing {

constexpr std::string_view kPlannerKey = "/redwing/planner";

/// Holds the planner role under one store lease.
///
/// The role only keeps several planners from working against each other; a planner that acts past
/// its lease does no harm, because owners carry out moves by compare-and-swap.
class PlannerRole
{
public:
  PlannerRole(const Clock& aClock, Store& aStore, std::string aInstanceId);

  /// Tries to take or to renew the role when that is due.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void Tick(bool aIsCandidate);

  /// Returns whether this instance has the role now.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  bool IsHeld() const { return clock_.Now() < heldUntil_; }

private:
  void Look();
  void Acquire();
  void Claim(std::int64_t aLease, TimePoint aSentAt);
  void Renew();

  const Clock& clock_;
  Store& store_;
  std::string instanceId_;
  std::int64_t lease_ = 0;
  bool busy_ = false;
  TimePoint heldUntil_;
  TimePoint nextCall_;
};

} // namespace redwing
