#pragma once

#include "core/Clock.hpp"
#include "core/Random.hpp"
#include "routing/ExpectedTimeChoice.hpp"
#include "routing/OutlierDetector.hpp"
#include "routing/RoutingSettings.hpp"
#include "routing/RoutingView.hpp"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace redwing {

/// What the choice among the members that may be chosen follows.
enum class ChoiceBy : std::uint8_t
{
  /// The balancing of the settings.
  Load,
  /// As Load, for a request that cannot be hedged: it is rarely the trial of an ejected member.
  LoadUnhedged,
  /// As LoadUnhedged, for a request with a large body, whose transfer to another data centre costs
  /// more than a short wait.
  LoadNear,
  /// The signs of a straggler; for hedges, because a hedge that meets another straggler gains
  /// nothing and cannot be hedged again.
  Speed,
};

/// Chooses the backend server of a pooled service for each attempt.
class PoolSelector
{
public:
  PoolSelector(const Clock& aClock, std::uint64_t aSeed, RoutingSettings aSettings);

  /// Adopts a new view. Load and ejection of members that stay are kept.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void SetView(std::shared_ptr<const RoutingView> aView);

  /// Returns the member for an attempt of aRoute, or null when none may be chosen. Members in
  /// aExcluded are not chosen again.
  ///
  /// Preconditions: aRoute is from the configuration of the current view. Thread safety: not
  /// thread-safe.
  const Member* Choose(const Route& aRoute,
                       std::span<const std::string> aExcluded,
                       ChoiceBy aChoice = ChoiceBy::Load);

  /// Returns the number of members that may serve aRoute.
  ///
  /// Preconditions: aRoute is from the configuration of the current view. Thread safety: not
  /// thread-safe.
  std::size_t Size(const Route& aRoute);

  /// Returns whether aInstanceId is ejected, so that a request sent to it serves as its trial.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool IsEjected(const std::string& aInstanceId) const;

  /// Returns the load of aInstanceId; the reference stays valid for the selector's lifetime.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  MemberLoad& LoadOf(const std::string& aInstanceId);

private:
  struct Tracked
  {
    MemberLoad load_;
    OutlierState outlier_;
  };
  struct Candidate
  {
    const Member* member_;
    Tracked* tracked_;
    double slots_;
    bool near_;
    RolloutSide side_;
  };
  struct Group
  {
    std::uint32_t weight_;
    std::vector<Candidate> candidates_;
  };
  struct Pool
  {
    std::vector<Group> groups_;
    std::vector<OutlierState*> outliers_;
    OutlierDetector detector_;
    TimePoint nextEvaluation_{};
    std::size_t turn_ = 0;
    /// Members that may serve the route; groups may share them.
    std::size_t members_ = 0;
    /// Null if the service is not rolled out.
    const RolloutRouting* rollout_ = nullptr;
  };

  Pool& PoolOf(const Route& aRoute);
  std::unique_ptr<Pool> BuildPool(const Route& aRoute);
  std::vector<Candidate> EligibleMembers(const std::string& aService);
  const RolloutRouting* RolloutOf(const std::string& aService) const;
  Tracked& TrackedOf(const std::string& aInstanceId);
  const Member* ChooseInPool(Pool& aPool, std::span<const std::string> aExcluded);
  const Member* ChooseInGroup(Pool& aPool,
                              const Group& aGroup,
                              std::span<const std::string> aExcluded);
  void Collect(const Group& aGroup, std::span<const std::string> aExcluded, bool aAdmittedOnly);
  /// Returns the side whose servers are tried first.
  RolloutSide FirstSide(const Route& aRoute, const RolloutRouting& aRollout, bool aRetry);
  const Candidate* Balance(Pool& aPool);
  const Candidate* TwoChoices();
  const Candidate* Soonest();
  const Candidate* Fastest();
  const Candidate* BetterOfTwo(const std::vector<const Candidate*>& aFrom);
  double Score(const Candidate& aCandidate) const;

  const Clock& clock_;
  Random random_;
  RoutingSettings settings_;
  std::shared_ptr<const RoutingView> view_;
  std::unordered_map<std::string, std::unique_ptr<Tracked>> tracked_;
  std::unordered_map<const Route*, std::unique_ptr<Pool>> pools_;
  /// By route whose service is rolled out: the part of a request by which the target version lags
  /// behind its share.
  std::unordered_map<std::string, double> shareDue_;
  std::vector<const Candidate*> near_;
  std::vector<const Candidate*> far_;
  ExpectedTimeChoice soonest_;
  std::vector<ExpectedTimeChoice::Option> options_;
  TimePoint now_{};
  ChoiceBy choice_ = ChoiceBy::Load;
  bool large_ = false;
  /// Side that the choice is limited to.
  std::optional<RolloutSide> side_;
};

} // namespace redwing
