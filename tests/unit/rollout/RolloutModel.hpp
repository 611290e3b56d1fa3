#pragma once

#include "core/Random.hpp"
#include "rollout/RolloutJudge.hpp"
#include "rollout/RolloutRamp.hpp"

#include <array>
#include <deque>
#include <memory>
#include <string>
#include <vector>

/// Model of the requests of one rollout, in ticks, without servers or queues.
namespace redwing::RolloutModel {

enum class Flaw
{
  None,
  Failing,
  Slow,
};

enum class Onset
{
  Start,
  Late,
  /// Only while a target server has at least 0.8 of the load of an old one.
  UnderLoad,
};

/// Faults planted into the judge.
enum class Fault
{
  None,
  IgnoresRoutes,
  IgnoresLatency,
  ComparesOtherSpans,
  CountsColdStarts,
  NeedsNoEvidence,
};

struct Draw
{
  double durationS_ = 0;
  double rate_ = 0;
  std::uint32_t oldServers_ = 0;
  std::uint32_t newServers_ = 0;
  double startS_ = 0;
  double coldS_ = 0;
  double coldPerS_ = 0;
  std::vector<double> weights_;
  std::vector<double> medianMs_;
  double sigma_ = 0;
  double oldFailing_ = 0;
  Flaw flaw_ = Flaw::None;
  Onset onset_ = Onset::Start;
  /// Route with the flaw; -1 for all.
  int flawRoute_ = -1;
  double flawSize_ = 0;
  double flawFromS_ = 0;
  /// Time that a target server without a flaw takes, in units of that of an old one.
  double targetSpeed_ = 1;
  /// The load of an old server is that of now, or that before the rollout.
  bool loadOfNow_ = false;
  double disturbedFromS_ = 0;
  double disturbedForS_ = 0;
  bool disturbanceFails_ = false;
  /// A target server stops and breaks half of the requests of that moment; not at all if negative.
  double brokenS_ = -1;
  /// No loss if negative.
  double leaderLostS_ = -1;
};

Draw DrawRollout(std::uint64_t aSeed);

struct Outcome
{
  RolloutPhase phase_ = RolloutPhase::Waiting;
  double requests_ = 0;
  double exposure_ = 0;
  /// Requests to the target later than rollbackTime_ after the 50th bad response.
  double late_ = 0;
  /// Bad responses that a version with this flaw gives if it gets all that the canary may use.
  double detectable_ = 0;
  /// Requests in the closing for which the target servers had no valid permission.
  double unserved_ = 0;
};

extern const RolloutBounds kBounds;

Outcome Run(const Draw& aDraw, std::uint64_t aSeed, Fault aFault = Fault::None);

} // namespace redwing::RolloutModel
