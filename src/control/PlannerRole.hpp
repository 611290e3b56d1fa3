#pragma once

#include "core/Clock.hpp"
#include "ownership/ShardRow.hpp"
#include "store/Store.hpp"

#include <cstdint>
#include <string>

namespace redwing {

constexpr std::string_view kPlannerKey = "/redwing/planner";

/// Elects the planner: the instance whose store lease holds the planner key.
///
/// The role only prevents several planners from working against each other. A planner that acts
/// after its lease has expired does no harm, because owners execute moves by compare-and-swap.
class PlannerRole
{
public:
  PlannerRole(const Clock& aClock, Store& aStore, std::string aInstanceId);

  /// Renews the role if this instance holds it; otherwise tries to acquire it if aIsCandidate. Does
  /// nothing while a store call is outstanding or before the next call is due.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void Tick(bool aIsCandidate);

  /// Returns whether this instance holds the role.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  bool IsHeld() const { return clock_.Now() < heldUntil_; }

private:
  /// Reads the planner key, and acquires the role if the key is absent.
  void AcquireIfVacant();
  void Acquire();
  void Claim(const StoreLease& aLease, TimePoint aSentAt);
  void Renew();

  const Clock& clock_;
  Store& store_;
  std::string instanceId_;
  std::int64_t lease_ = 0;
  bool callOutstanding_ = false;
  TimePoint heldUntil_;
  TimePoint nextCall_;
};

} // namespace redwing
