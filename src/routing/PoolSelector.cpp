#include "routing/PoolSelector.hpp"

#include "config/SelectorMatcher.hpp"

#include <algorithm>

namespace redwing {

namespace {

/// A near member up to this load is preferred to any far one.
constexpr double kNearLoad = 0.75;
/// Above kNearLoad a far member is chosen when its load is lower by this much.
constexpr double kFarPenalty = 0.25;
/// A far member must be expected to answer sooner by this factor.
constexpr double kFarFactor = 1.3;
constexpr double kFarFactorOfLarge = 2.2;
/// Slots assumed for a member that does not announce them.
constexpr double kDefaultSlots = 4.0;
/// A cold member counts with this share of its slots; its own instance limits it further.
constexpr double kColdShare = 0.25;
constexpr Duration kEvaluationInterval = std::chrono::milliseconds(2);

const DataCentre*
FindDataCentre(const RoutingView& aView, const std::string& aId)
{
  if (!aView.configuration_) {
    return nullptr;
  }
  for (const DataCentre& dataCentre : aView.configuration_->configuration_.dataCentres_) {
    if (dataCentre.id_ == aId) {
      return &dataCentre;
    }
  }
  return nullptr;
}

bool
MayServe(const Member& aMember, const DataCentre* aDataCentre)
{
  return aMember.reachable_ && !aMember.leaving_ &&
         (aMember.state_ == BackendState::Ready || aMember.state_ == BackendState::Cold) &&
         (aDataCentre == nullptr || !aDataCentre->withdrawn_);
}

RolloutSide
SideOf(const Member& aMember, const RolloutRouting* aRollout)
{
  return aRollout != nullptr && aMember.version_ == aRollout->targetVersion_ ? RolloutSide::Target
                                                                             : RolloutSide::Old;
}

/// Returns whether the leader lets requests go to aMember. What it does not know of the rollout is
/// left to the instance beside the server, which refuses what it must not send.
bool
MayServe(const Member& aMember, const RolloutRouting& aRollout)
{
  if (SideOf(aMember, &aRollout) == RolloutSide::Old) {
    return aRollout.phase_ != RolloutPhase::Completed;
  }
  switch (aRollout.phase_) {
    case RolloutPhase::Waiting:
    case RolloutPhase::RolledBack:
      return false;
    case RolloutPhase::Completed:
      return true;
    default:
      break;
  }
  const bool named =
    std::find(aRollout.targets_.begin(), aRollout.targets_.end(), aMember.ref_.id_) !=
    aRollout.targets_.end();
  return named && (aRollout.share_ > 0 || aRollout.phase_ == RolloutPhase::Closing);
}

} // namespace

PoolSelector::PoolSelector(const Clock& aClock, std::uint64_t aSeed, RoutingSettings aSettings)
  : clock_(aClock)
  , random_(aSeed)
  , settings_(aSettings)
{
}

void
PoolSelector::SetView(std::shared_ptr<const RoutingView> aView)
{
  view_ = std::move(aView);
  pools_.clear();
  std::erase_if(tracked_, [&](const auto& aEntry) {
    return aEntry.second->load_.Outstanding() == 0 && !view_->members_.contains(aEntry.first);
  });
}

const Member*
PoolSelector::Choose(const Route& aRoute, std::span<const std::string> aExcluded, ChoiceBy aChoice)
{
  choice_ = aChoice;
  large_ = aRoute.largeAnswers_;
  now_ = clock_.Now();
  Pool& pool = PoolOf(aRoute);
  if (settings_.outlierEjection_ && now_ >= pool.nextEvaluation_) {
    pool.detector_.Evaluate(pool.outliers_, now_);
    pool.nextEvaluation_ = now_ + kEvaluationInterval;
  }
  side_.reset();
  if (pool.rollout_ == nullptr) {
    return ChooseInPool(pool, aExcluded);
  }
  side_ = FirstSide(aRoute, *pool.rollout_, !aExcluded.empty());
  if (const Member* member = ChooseInPool(pool, aExcluded)) {
    return member;
  }
  side_ = side_ == RolloutSide::Old ? RolloutSide::Target : RolloutSide::Old;
  return ChooseInPool(pool, aExcluded);
}

const Member*
PoolSelector::ChooseInPool(Pool& aPool, std::span<const std::string> aExcluded)
{
  if (aPool.groups_.size() == 1) {
    return ChooseInGroup(aPool, aPool.groups_.front(), aExcluded);
  }
  std::uint64_t total = 0;
  for (const Group& group : aPool.groups_) {
    total += group.weight_;
  }
  if (total > 0) {
    std::uint64_t ticket = random_.Below(total);
    for (const Group& group : aPool.groups_) {
      if (ticket < group.weight_) {
        if (const Member* member = ChooseInGroup(aPool, group, aExcluded)) {
          return member;
        }
        break;
      }
      ticket -= group.weight_;
    }
  }
  for (const Group& group : aPool.groups_) {
    if (const Member* member = ChooseInGroup(aPool, group, aExcluded)) {
      return member;
    }
  }
  return nullptr;
}

RolloutSide
PoolSelector::FirstSide(const Route& aRoute, const RolloutRouting& aRollout, bool aRetry)
{
  if (aRollout.phase_ == RolloutPhase::Closing || aRollout.phase_ == RolloutPhase::Completed) {
    return RolloutSide::Target;
  }
  if (aRetry || aRollout.share_ <= 0) {
    return RolloutSide::Old;
  }
  const auto [due, first] = shareDue_.try_emplace(aRoute.id_, 0.0);
  if (first) {
    // Many instances with few requests each would otherwise all begin with the old version.
    constexpr std::uint64_t kSteps = 1'000'000;
    due->second = static_cast<double>(random_.Below(kSteps)) / kSteps;
  }
  due->second += std::min(aRollout.share_, 1.0);
  if (due->second < 1) {
    return RolloutSide::Old;
  }
  due->second -= 1;
  return RolloutSide::Target;
}

std::size_t
PoolSelector::Size(const Route& aRoute)
{
  return PoolOf(aRoute).members_;
}

bool
PoolSelector::IsEjected(const std::string& aInstanceId) const
{
  const auto found = tracked_.find(aInstanceId);
  return found != tracked_.end() && found->second->outlier_.ejected_;
}

MemberLoad&
PoolSelector::LoadOf(const std::string& aInstanceId)
{
  return TrackedOf(aInstanceId).load_;
}

PoolSelector::Pool&
PoolSelector::PoolOf(const Route& aRoute)
{
  auto& pool = pools_[&aRoute];
  if (!pool) {
    pool = BuildPool(aRoute);
  }
  return *pool;
}

std::unique_ptr<PoolSelector::Pool>
PoolSelector::BuildPool(const Route& aRoute)
{
  auto pool = std::make_unique<Pool>();
  pool->rollout_ = RolloutOf(aRoute.service_);
  if (pool->rollout_ == nullptr) {
    shareDue_.erase(aRoute.id_);
  }
  std::vector<Candidate> members = EligibleMembers(aRoute.service_);
  for (const Candidate& candidate : members) {
    pool->outliers_.push_back(&candidate.tracked_->outlier_);
  }
  // Groups of selectors hold a part of them; the difference does not matter for large pools.
  pool->members_ = members.size();
  if (aRoute.selectors_.empty()) {
    pool->groups_.push_back({ 1, std::move(members) });
    return pool;
  }
  for (const Selector& selector : aRoute.selectors_) {
    Group group{ selector.weight_, {} };
    for (const Candidate& candidate : members) {
      const SelectorSubject subject{ candidate.member_->labels_,
                                     FindDataCentre(*view_, candidate.member_->dataCentre_) };
      if (SelectorMatcher::Matches(selector, subject)) {
        group.candidates_.push_back(candidate);
      }
    }
    if (!group.candidates_.empty()) {
      pool->groups_.push_back(std::move(group));
    }
  }
  return pool;
}

std::vector<PoolSelector::Candidate>
PoolSelector::EligibleMembers(const std::string& aService)
{
  std::vector<Candidate> members;
  const RolloutRouting* rollout = RolloutOf(aService);
  for (const auto& [id, member] : view_->members_) {
    if (member.service_ != aService ||
        !MayServe(member, FindDataCentre(*view_, member.dataCentre_)) ||
        (rollout != nullptr && !MayServe(member, *rollout))) {
      continue;
    }
    double slots = member.slots_ == 0 ? kDefaultSlots : member.slots_;
    if (member.state_ == BackendState::Cold) {
      slots = std::max(1.0, slots * kColdShare);
    }
    members.push_back({ &member,
                        &TrackedOf(id),
                        slots,
                        member.dataCentre_ == view_->selfDataCentre_,
                        SideOf(member, rollout) });
  }
  return members;
}

const RolloutRouting*
PoolSelector::RolloutOf(const std::string& aService) const
{
  const auto found = view_->rollouts_.find(aService);
  return found == view_->rollouts_.end() ? nullptr : &found->second;
}

PoolSelector::Tracked&
PoolSelector::TrackedOf(const std::string& aInstanceId)
{
  auto& tracked = tracked_[aInstanceId];
  if (!tracked) {
    tracked = std::make_unique<Tracked>();
    tracked->outlier_.load_ = &tracked->load_;
  }
  return *tracked;
}

const Member*
PoolSelector::ChooseInGroup(Pool& aPool,
                            const Group& aGroup,
                            std::span<const std::string> aExcluded)
{
  Collect(aGroup, aExcluded, settings_.outlierEjection_);
  if (near_.empty() && far_.empty() && settings_.outlierEjection_) {
    // A slow server is better than none.
    Collect(aGroup, aExcluded, false);
  }
  if (near_.empty() && far_.empty()) {
    return nullptr;
  }
  const bool fastest = choice_ == ChoiceBy::Speed && settings_.balancing_ == Balancing::TwoChoices;
  return (fastest ? Fastest() : Balance(aPool))->member_;
}

void
PoolSelector::Collect(const Group& aGroup,
                      std::span<const std::string> aExcluded,
                      bool aAdmittedOnly)
{
  near_.clear();
  far_.clear();
  for (const Candidate& candidate : aGroup.candidates_) {
    const bool excluded =
      std::find(aExcluded.begin(), aExcluded.end(), candidate.member_->ref_.id_) != aExcluded.end();
    if (excluded || (side_ && candidate.side_ != *side_) ||
        (aAdmittedOnly &&
         !OutlierDetector::Admits(candidate.tracked_->outlier_, choice_ == ChoiceBy::Load, now_))) {
      continue;
    }
    (candidate.near_ ? near_ : far_).push_back(&candidate);
  }
}

const PoolSelector::Candidate*
PoolSelector::Balance(Pool& aPool)
{
  if (settings_.balancing_ == Balancing::TwoChoices) {
    return TwoChoices();
  }
  if (settings_.balancing_ == Balancing::ExpectedTime) {
    return Soonest();
  }
  near_.insert(near_.end(), far_.begin(), far_.end());
  if (settings_.balancing_ == Balancing::RoundRobin) {
    return near_[aPool.turn_++ % near_.size()];
  }
  return *std::min_element(
    near_.begin(), near_.end(), [](const Candidate* aLeft, const Candidate* aRight) {
      return aLeft->tracked_->load_.Outstanding() < aRight->tracked_->load_.Outstanding();
    });
}

const PoolSelector::Candidate*
PoolSelector::TwoChoices()
{
  if (near_.empty()) {
    return BetterOfTwo(far_);
  }
  const Candidate* near = BetterOfTwo(near_);
  if (far_.empty() || Score(*near) <= kNearLoad) {
    return near;
  }
  const Candidate* far = BetterOfTwo(far_);
  return Score(*far) + kFarPenalty < Score(*near) ? far : near;
}

const PoolSelector::Candidate*
PoolSelector::Soonest()
{
  near_.insert(near_.end(), far_.begin(), far_.end());
  options_.clear();
  for (const Candidate* candidate : near_) {
    options_.push_back({ &candidate->tracked_->load_, candidate->slots_, candidate->near_ });
  }
  const double farFactor = choice_ == ChoiceBy::LoadNear ? kFarFactorOfLarge : kFarFactor;
  return near_[soonest_.Choose(options_, farFactor, random_, now_, large_)];
}

const PoolSelector::Candidate*
PoolSelector::Fastest()
{
  near_.insert(near_.end(), far_.begin(), far_.end());
  return *std::min_element(
    near_.begin(), near_.end(), [this](const Candidate* aLeft, const Candidate* aRight) {
      const MemberLoad& left = aLeft->tracked_->load_;
      const MemberLoad& right = aRight->tracked_->load_;
      if (left.Overtaken() != right.Overtaken()) {
        return left.Overtaken() < right.Overtaken();
      }
      const Duration leftAge = left.WaitingAge(0, now_);
      const Duration rightAge = right.WaitingAge(0, now_);
      if (leftAge != rightAge) {
        return leftAge < rightAge;
      }
      // The latest news of equally idle members is the most reliable.
      return left.LastResult().start_ > right.LastResult().start_;
    });
}

const PoolSelector::Candidate*
PoolSelector::BetterOfTwo(const std::vector<const Candidate*>& aFrom)
{
  if (aFrom.size() == 1) {
    return aFrom.front();
  }
  const std::size_t first = random_.Below(aFrom.size());
  std::size_t second = random_.Below(aFrom.size() - 1);
  second += second >= first ? 1 : 0;
  return Score(*aFrom[second]) < Score(*aFrom[first]) ? aFrom[second] : aFrom[first];
}

double
PoolSelector::Score(const Candidate& aCandidate) const
{
  return aCandidate.tracked_->load_.Score(aCandidate.slots_, now_);
}

} // namespace redwing
