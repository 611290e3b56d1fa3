#include "RolloutModel.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

namespace redwing::RolloutModel {

const RolloutBounds kBounds{ .enabled_ = true,
                             .exposureShare_ = 0.1,
                             .exposureSlack_ = 50,
                             .rollbackTime_ = std::chrono::milliseconds(5000) };

namespace {

constexpr double kTickS = 0.25;
/// Time until a step of the leader holds at the servers.
constexpr std::size_t kStepTicks = 2;
constexpr double kNoLeaderS = 1;
constexpr double kColdSlowness = 4;
constexpr double kDisturbedFailing = 0.3;
constexpr double kDisturbedSlowness = 3;

double
LogUniform(Random& aRandom, double aLow, double aHigh)
{
  return aLow * std::pow(aHigh / aLow, aRandom.Unit());
}

double
Binomial(std::mt19937_64& aEngine, double aCount, double aShare)
{
  const double mean = aCount * aShare;
  if (aCount < 1 || aShare <= 0 || aShare >= 1) {
    return aShare >= 1 ? aCount : 0;
  }
  if (mean * (1 - aShare) > 20) {
    const double deviation = std::sqrt(mean * (1 - aShare));
    return std::clamp(std::round(std::normal_distribution(mean, deviation)(aEngine)), 0.0, aCount);
  }
  return std::binomial_distribution(static_cast<int>(aCount), aShare)(aEngine);
}

/// Part of the responses with a log-normal time that lie in each bucket.
std::array<double, kLatencyBuckets>
Buckets(double aMedianMs, double aSigma)
{
  std::array<double, kLatencyBuckets> parts{};
  double below = 0;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    const double bound = 2.0 * std::pow(2.0, static_cast<double>(i) / 2);
    const double upTo = i + 1 == kLatencyBuckets
                          ? 1
                          : 0.5 * std::erfc(-std::log(bound / aMedianMs) / aSigma / std::sqrt(2.0));
    parts[i] = upTo - below;
    below = upTo;
  }
  return parts;
}

class Simulation
{
public:
  Simulation(const Draw& aDraw, std::uint64_t aSeed, Fault aFault)
    : draw_(aDraw)
    , fault_(aFault)
    , random_(aSeed * 2 + 1)
    , drainS_(std::uniform_real_distribution(0.1, 0.6)(random_))
    , reportTick_(random_() % 2)
    , judge_(std::make_unique<RolloutJudge>(Settings()))
    , ramp_(std::make_unique<RolloutRamp>(kBounds, Order(), TimePoint{}))
    , pending_(3, std::vector<RouteCounts>(aDraw.weights_.size()))
    , totals_(pending_)
  {
  }

  Outcome Run()
  {
    for (tick_ = 0; Now() < draw_.durationS_; ++tick_) {
      Serve();
      Report();
      Lead();
    }
    return outcome_;
  }

private:
  double Now() const { return static_cast<double>(tick_) * kTickS; }
  TimePoint At(double aSeconds) const
  {
    return TimePoint{} +
           std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
  }
  RolloutOrder Order() const
  {
    return { .service_ = "s",
             .targetVersion_ = "v2",
             .duration_ = std::chrono::milliseconds(static_cast<int>(draw_.durationS_ * 1000)),
             .revision_ = 1 };
  }
  RolloutJudgeSettings Settings() const
  {
    RolloutJudgeSettings settings;
    if (fault_ == Fault::NeedsNoEvidence) {
      settings.badFailureEvidence_ = 1;
      settings.badFailures_ = 1;
      settings.badSlownessEvidence_ = 1;
      settings.badTimes_ = 1;
    }
    return settings;
  }
  bool Cold() const { return Now() < draw_.startS_ + draw_.coldS_; }
  bool Up() const { return Now() >= draw_.startS_; }
  /// The step that the servers follow, which is the leader's of some ticks ago.
  RolloutStep Held() const { return steps_.size() > kStepTicks ? steps_.front() : RolloutStep{}; }

  bool Flawed(double aTarget, double aOld, std::uint32_t aUsed) const
  {
    if (draw_.flaw_ == Flaw::None || Now() < draw_.flawFromS_) {
      return false;
    }
    const double ofOld = draw_.loadOfNow_ ? aOld : draw_.rate_ * kTickS;
    return draw_.onset_ != Onset::UnderLoad || aTarget / aUsed >= 0.8 * ofOld / draw_.oldServers_;
  }

  void Serve()
  {
    const double all = std::poisson_distribution(draw_.rate_ * kTickS)(random_);
    outcome_.requests_ += all;
    const RolloutStep step = Held();
    double target = 0;
    const bool alone =
      step.phase_ == RolloutPhase::Closing || step.phase_ == RolloutPhase::Completed;
    outcome_.unserved_ +=
      alone && (valid_ <= 0 || static_cast<double>(step.arrivalLimit_) < outcome_.exposure_ + all)
        ? all
        : 0;
    if (Up() && valid_ > 0) {
      target =
        std::min(Binomial(random_, all, step.share_),
                 std::max(0.0, static_cast<double>(step.arrivalLimit_) - outcome_.exposure_));
    }
    outcome_.exposure_ += target;
    outcome_.late_ += Now() - fiftiethBadS_ > 5 ? target : 0;
    const std::uint32_t used = std::max<std::uint32_t>(1, step.targetServers_);
    Answer(2, target, Flawed(draw_.rate_ * kTickS * step.share_, all - target, used));
    const double first = Binomial(random_, all - target, 0.5);
    Answer(0, first, false);
    Answer(1, all - target - first, false);
  }

  void Answer(std::size_t aGroup, double aCount, bool aFlawed)
  {
    double left = aCount;
    double weights = 1;
    for (std::size_t route = 0; route < draw_.weights_.size(); ++route) {
      const double count = Binomial(random_, left, draw_.weights_[route] / weights);
      left -= count;
      weights -= draw_.weights_[route];
      const bool flawed =
        aFlawed && (draw_.flawRoute_ < 0 || draw_.flawRoute_ == static_cast<int>(route));
      AnswerRoute(aGroup, route, count, flawed);
    }
  }

  void AnswerRoute(std::size_t aGroup, std::size_t aRoute, double aCount, bool aFlawed)
  {
    RouteCounts& counts = pending_[aGroup][aRoute];
    const bool cold = aGroup == 2 && Cold();
    counts.route_ = fault_ == Fault::IgnoresRoutes ? "all" : "r" + std::to_string(aRoute);
    // Part of the tick within the disturbance.
    const double part =
      std::clamp((std::min(Now() + kTickS, draw_.disturbedFromS_ + draw_.disturbedForS_) -
                  std::max(Now(), draw_.disturbedFromS_)) /
                   kTickS,
                 0.0,
                 1.0);
    const double failing =
      draw_.oldFailing_ + (draw_.disturbanceFails_ ? part * kDisturbedFailing : 0);
    const bool broken = aGroup == 2 && draw_.brokenS_ >= Now() && draw_.brokenS_ < Now() + kTickS;
    double failures = Binomial(random_, aCount, broken ? 0.5 : failing);
    if (aFlawed && draw_.flaw_ == Flaw::Failing) {
      failures += Binomial(random_, aCount - failures, draw_.flawSize_);
    }
    counts.requests_ += static_cast<std::uint64_t>(aCount);
    counts.failures_ += static_cast<std::uint64_t>(failures);
    const bool slow = aFlawed && draw_.flaw_ == Flaw::Slow;
    if (aFlawed) {
      const double bad = slow ? aCount : failures;
      if (badResponses_ < 50 && badResponses_ + bad >= 50) {
        fiftiethBadS_ = Now();
      }
      badResponses_ += bad;
    }
    const double slowness = (slow ? draw_.flawSize_ : 1) * (cold ? kColdSlowness : 1) *
                            (aGroup == 2 ? draw_.targetSpeed_ : 1);
    const double disturbed = draw_.disturbanceFails_ ? 0 : Binomial(random_, aCount, part);
    Time(counts, aRoute, aCount - disturbed, slowness);
    Time(counts, aRoute, disturbed, slowness * kDisturbedSlowness);
  }

  void Time(RouteCounts& aCounts, std::size_t aRoute, double aCount, double aSlowness)
  {
    if (aCount < 1) {
      return;
    }
    auto [found, added] = buckets_.try_emplace({ aRoute, aSlowness });
    if (added) {
      found->second = Buckets(draw_.medianMs_[aRoute] * aSlowness, draw_.sigma_);
    }
    double left = aCount;
    double parts = 1;
    for (std::size_t i = 0; i < kLatencyBuckets && left > 0; ++i) {
      const double part = found->second[i];
      const double count =
        part < 1e-4 * parts ? 0 : Binomial(random_, left, std::min(1.0, part / parts));
      aCounts.latencies_[i] += static_cast<std::uint32_t>(count);
      left -= count;
      parts -= part;
    }
  }

  void Report()
  {
    // Two groups of old servers report in turn; the target servers with one of them.
    for (std::size_t group = 0; group < 3; ++group) {
      if (tick_ % 2 != (group == 2 ? reportTick_ : group)) {
        continue;
      }
      for (std::size_t route = 0; route < draw_.weights_.size(); ++route) {
        RouteCounts counts = pending_[group][route];
        pending_[group][route] = {};
        if (fault_ == Fault::IgnoresLatency) {
          counts.latencies_ = {};
        }
        const bool cold = group == 2 && Now() - 2 * kTickS < draw_.startS_ + draw_.coldS_;
        if (!cold) {
          Sum(totals_[group][route], counts);
        }
        if (fault_ == Fault::ComparesOtherSpans && group < 2) {
          delayed_.push_back(counts);
          counts = delayed_.size() > 8 * draw_.weights_.size() ? delayed_.front() : RouteCounts{};
          if (delayed_.size() > 8 * draw_.weights_.size()) {
            delayed_.pop_front();
          }
        }
        judge_->Add(group == 2 ? RolloutSide::Target : RolloutSide::Old,
                    counts,
                    At(Now() + kTickS),
                    cold && fault_ != Fault::CountsColdStarts);
      }
    }
  }

  static void Sum(RouteCounts& aTotal, const RouteCounts& aCounts)
  {
    aTotal.route_ = aCounts.route_;
    aTotal.requests_ += aCounts.requests_;
    aTotal.failures_ += aCounts.failures_;
    for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
      aTotal.latencies_[i] += aCounts.latencies_[i];
    }
  }

  void LoseLeader()
  {
    judge_ = std::make_unique<RolloutJudge>(Settings());
    ramp_ = std::make_unique<RolloutRamp>(kBounds, Order(), TimePoint{}, outcome_.phase_);
    leaderFromS_ = draw_.leaderLostS_ + kNoLeaderS;
    for (std::size_t group = 0; group < 3; ++group) {
      for (const RouteCounts& counts : totals_[group]) {
        judge_->AddEarlier(group == 2 ? RolloutSide::Target : RolloutSide::Old, counts);
      }
    }
  }

  void Lead()
  {
    const bool closing = outcome_.phase_ == RolloutPhase::Closing;
    valid_ -= kTickS;
    if (draw_.leaderLostS_ >= 0 && leaderFromS_ < 0 && Now() >= draw_.leaderLostS_) {
      LoseLeader();
    }
    const bool ended =
      outcome_.phase_ == RolloutPhase::Completed || outcome_.phase_ == RolloutPhase::RolledBack;
    if (Now() < leaderFromS_ || (ended && steps_.front().phase_ == outcome_.phase_)) {
      return;
    }
    RolloutSituation situation;
    situation.now_ = At(Now() + kTickS);
    situation.judgement_ = judge_->Evaluate(situation.now_);
    situation.serviceRequests_ = static_cast<std::uint64_t>(outcome_.requests_);
    situation.targetRequests_ = static_cast<std::uint64_t>(outcome_.exposure_);
    situation.requestsPerSecond_ = draw_.rate_;
    situation.oldServers_ = draw_.oldServers_;
    situation.targetServers_ = Up() ? draw_.newServers_ : 0;
    situation.coldTargets_ = Cold() ? situation.targetServers_ : 0;
    situation.coldPerSecond_ = draw_.coldPerS_;
    situation.oldClosed_ = closing && Now() - closingS_ > 2 * kStepTicks * kTickS + drainS_;
    situation.leading_ = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(leaderFromS_ < 0 ? 100 : Now() - leaderFromS_));
    const RolloutStep step = ramp_->Next(situation);
    if (step.phase_ != outcome_.phase_) {
      outcome_.phase_ = step.phase_;
      closingS_ = Now();
    }
    if (step.permits_ || step.phase_ == RolloutPhase::RolledBack) {
      steps_.push_back(step);
      if (steps_.size() > kStepTicks + 1) {
        steps_.pop_front();
      }
      valid_ =
        step.phase_ == RolloutPhase::Closing || step.phase_ == RolloutPhase::Completed ? 6 : 1.5;
    }
  }

  const Draw draw_;
  const Fault fault_;
  std::mt19937_64 random_;
  double drainS_;
  std::size_t reportTick_;
  std::unique_ptr<RolloutJudge> judge_;
  std::unique_ptr<RolloutRamp> ramp_;
  /// Counts by group (two of old servers, one of target servers) and route.
  std::vector<std::vector<RouteCounts>> pending_;
  std::vector<std::vector<RouteCounts>> totals_;
  std::deque<RouteCounts> delayed_;
  std::map<std::pair<std::size_t, double>, std::array<double, kLatencyBuckets>> buckets_;
  std::deque<RolloutStep> steps_;
  std::size_t tick_ = 0;
  double valid_ = 0;
  double closingS_ = 0;
  double leaderFromS_ = -1;
  double badResponses_ = 0;
  double fiftiethBadS_ = 1e9;
  Outcome outcome_;
};

} // namespace

Draw
DrawRollout(std::uint64_t aSeed)
{
  Random random(aSeed * 2);
  Draw draw;
  draw.durationS_ = 8 + 52 * random.Unit();
  draw.rate_ = LogUniform(random, 30, 2000);
  draw.oldServers_ = static_cast<std::uint32_t>(LogUniform(random, 2, 51));
  draw.newServers_ =
    random.Below(2) == 0
      ? draw.oldServers_
      : std::clamp<std::uint32_t>(draw.oldServers_ * (70 + random.Below(80)) / 100, 2, 50);
  draw.startS_ = 0.3 + 1.2 * random.Unit();
  draw.coldS_ = 5 * random.Unit();
  draw.coldPerS_ = draw.rate_ / draw.oldServers_ * (0.3 + 0.7 * random.Unit());
  const std::uint64_t routes = 1 + random.Below(4);
  double sum = 0;
  for (std::uint64_t i = 0; i < routes; ++i) {
    sum += draw.weights_.emplace_back(0.3 + random.Unit());
    draw.medianMs_.push_back(LogUniform(random, 5, 200));
  }
  for (double& weight : draw.weights_) {
    weight /= sum;
  }
  draw.sigma_ = 0.2 + 0.5 * random.Unit();
  draw.oldFailing_ = 0.02 * random.Unit();
  draw.flaw_ = static_cast<Flaw>(random.Below(3));
  draw.onset_ = static_cast<Onset>(random.Below(3));
  draw.flawRoute_ =
    routes > 1 && random.Below(2) == 0 ? static_cast<int>(random.Below(routes)) : -1;
  draw.flawSize_ = draw.flaw_ == Flaw::Slow ? 2.5 + 5.5 * random.Unit() : 0.1 + 0.9 * random.Unit();
  draw.flawFromS_ = draw.onset_ == Onset::Late ? 0.6 * draw.durationS_ * random.Unit() : 0;
  draw.targetSpeed_ = LogUniform(random, 0.8, 1.25);
  draw.loadOfNow_ = random.Below(2) == 0;
  if (random.Below(5) < 2) {
    draw.disturbedFromS_ = draw.durationS_ * random.Unit();
    draw.disturbedForS_ = 1 + 4 * random.Unit();
    draw.disturbanceFails_ = random.Below(2) == 0;
  }
  draw.brokenS_ = random.Below(4) == 0 ? draw.durationS_ * random.Unit() : -1;
  return draw;
}

Outcome
Run(const Draw& aDraw, std::uint64_t aSeed, Fault aFault)
{
  Outcome outcome = Simulation(aDraw, aSeed, aFault).Run();
  if (aDraw.flaw_ != Flaw::None) {
    const double route = aDraw.flawRoute_ < 0 ? 1 : aDraw.weights_.at(aDraw.flawRoute_);
    const double seconds = std::max(
      0.0, 0.75 * aDraw.durationS_ - std::max(aDraw.flawFromS_, aDraw.startS_ + aDraw.coldS_));
    outcome.detectable_ =
      (0.08 * aDraw.rate_ * seconds) * route * (aDraw.flaw_ == Flaw::Slow ? 1 : aDraw.flawSize_);
  }
  return outcome;
}

} // namespace redwing::RolloutModel
