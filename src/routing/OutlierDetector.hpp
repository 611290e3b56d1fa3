#pragma once

#include "core/Clock.hpp"
#include "routing/MemberLoad.hpp"

#include <span>
#include <vector>

namespace redwing {

/// Ejection state of one member of a pool.
struct OutlierState
{
  MemberLoad* load_ = nullptr;
  bool ejected_ = false;
  TimePoint ejectedUntil_{};
  Duration ejection_{};
};

/// Finds stragglers among the members of a pool by comparing each with the median member. It uses
/// the age of unanswered attempts as well as latencies, because a straggler reports late and its
/// slow responses arrive later still.
class OutlierDetector
{
public:
  /// Updates the ejections of aMembers; at most half of them are ejected at any moment.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Evaluate(std::span<OutlierState*> aMembers, TimePoint aNow);

  /// Returns whether a request may go to aMember: it is not ejected, or it is due for a trial.
  /// aHedgeable says whether the request can be hedged.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  static bool Admits(const OutlierState& aMember, bool aHedgeable, TimePoint aNow);

private:
  Duration Threshold(std::span<OutlierState*> aMembers);

  std::vector<Duration> scratch_;
};

} // namespace redwing
