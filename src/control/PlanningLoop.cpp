#include "control/PlanningLoop.hpp"

#include "core/Log.hpp"

#include <utility>

namespace redwing {

namespace {

using std::chrono::milliseconds;

constexpr Duration kRoundInterval = milliseconds(300);
/// Interval at which the planner reads the shard rows from the store.
constexpr Duration kReadInterval = std::chrono::seconds(5);

/// Shards are placed when no new instance or backend server has appeared for this time. Backend
/// servers announce themselves every second, so those of a starting fleet appear within it.
constexpr Duration kSettleTime = milliseconds(1100);
/// Time allowed for a step. It includes store writes and the hand-over of a shard, which waits for
/// outstanding requests to finish.
constexpr Duration kStepTimeout = milliseconds(2000);
/// A shard whose owner has been absent for this time is treated as orphaned: the ring did not take
/// it over.
constexpr Duration kOrphanTimeout = std::chrono::seconds(3);

bool
Serves(const Member& aMember)
{
  return aMember.state_ == BackendState::Ready || aMember.state_ == BackendState::Cold;
}

void
LogStep(std::string_view aStep,
        const ShardId& aShard,
        const InstanceRef& aFrom,
        const InstanceRef& aTo,
        std::string_view aReason)
{
  LogLine(LogLevel::Info, "placement")
    .With("step", aStep)
    .With("service", aShard.service_)
    .With("shard", aShard.index_)
    .With("from", aFrom.Empty() ? "-" : aFrom.id_)
    .With("to", aTo.id_)
    .With("reason", aReason);
}

} // namespace

PlanningLoop::PlanningLoop(const Clock& aClock,
                           std::string aInstanceId,
                           Store& aStore,
                           FleetState& aFleet,
                           OwnershipDriver& aDriver)
  : clock_(aClock)
  , fleet_(aFleet)
  , driver_(aDriver)
  , role_(aClock, aStore, std::move(aInstanceId))
  , planner_(PlannerLimits{})
{
}

void
PlanningLoop::Tick(const Configuration& aConfiguration, bool aIsCandidate)
{
  role_.Tick(aIsCandidate);
  if (!role_.IsHeld() || driver_.Node() == nullptr) {
    rowsRead_ = false;
    return;
  }
  const TimePoint now = clock_.Now();
  if (now >= nextRead_ && !reading_) {
    ReadRows();
  }
  if (!rowsRead_ || now < nextRound_ || !IsSettled()) {
    return;
  }
  nextRound_ = now + kRoundInterval;
  std::set<std::string> withdrawn;
  for (const DataCentre& dataCentre : aConfiguration.dataCentres_) {
    if (dataCentre.withdrawn_) {
      withdrawn.insert(dataCentre.id_);
    }
  }
  const std::string shares(kShareService);
  PlanService(shares, kShareShards, CandidatesOf(shares, withdrawn));
  for (const Service& service : aConfiguration.services_) {
    if (service.mode_ == ServiceMode::Keyed) {
      PlanService(service.id_, service.shards_, CandidatesOf(service.id_, withdrawn));
    }
  }
}

bool
PlanningLoop::IsSettled()
{
  for (const auto& [id, member] : fleet_.Members()) {
    // Each incarnation counts only once, so that a flapping backend server does not stop planning.
    const bool isNewMember = seenMembers_.insert(member.ref_).second;
    const bool isNewServer = Serves(member) && seenServing_.insert(member.ref_).second;
    if (isNewMember || isNewServer) {
      lastArrival_ = clock_.Now();
    }
  }
  return clock_.Now() - lastArrival_ >= kSettleTime;
}

void
PlanningLoop::ReadRows()
{
  reading_ = true;
  nextRead_ = clock_.Now() + kReadInterval;
  driver_.Rows().Load([this](const tl::expected<std::vector<ShardRow>, StoreError>& aRows) {
    reading_ = false;
    if (!aRows) {
      nextRead_ = clock_.Now() + kRoundInterval;
      return;
    }
    rowsRead_ = true;
    driver_.OnStoreRows(*aRows);
  });
}

void
PlanningLoop::PlanService(const std::string& aService,
                          std::uint32_t aShards,
                          const std::vector<Candidate>& aCandidates)
{
  std::vector<PlannedShard> shards(aShards);
  for (std::uint32_t index = 0; index < aShards; ++index) {
    const ShardId shard{ aService, index };
    const auto row = fleet_.Rows().find(shard);
    if (row != fleet_.Rows().end()) {
      shards[index].row_ = row->second;
    }
    shards[index].row_.shard_ = shard;
    if (IsOrphan(shards[index].row_)) {
      shards[index].row_.owner_ = {};
    }
    ApplyPending(shards[index].row_);
  }
  for (const PlanStep& step : planner_.Plan(shards, aCandidates)) {
    const ShardId& shard =
      std::visit([](const auto& aStep) -> const ShardId& { return aStep.shard_; }, step);
    // A pending step is not replaced: an owner that received a new target in each round would
    // restart its change each time.
    const bool isNew = pending_.try_emplace(shard, step, clock_.Now() + kStepTimeout).second;
    if (isNew) {
      ExecuteStep(step);
    }
  }
}

void
PlanningLoop::ApplyPending(ShardRow& aRow)
{
  const auto pending = pending_.find(aRow.shard_);
  if (pending == pending_.end()) {
    return;
  }
  const ShardRow before = aRow;
  if (const auto* assign = std::get_if<AssignShard>(&pending->second.step_)) {
    aRow.owner_ = assign->target_;
  } else if (const auto* move = std::get_if<MoveShard>(&pending->second.step_)) {
    aRow.owner_ = move->target_;
  } else {
    aRow.successor_ = std::get<ChangeSuccessor>(pending->second.step_).successor_;
  }
  if (aRow == before || clock_.Now() >= pending->second.deadline_) {
    aRow = before;
    pending_.erase(pending);
  }
}

bool
PlanningLoop::IsOrphan(const ShardRow& aRow)
{
  const auto owner = fleet_.Members().find(aRow.owner_.id_);
  const bool present = owner != fleet_.Members().end() && owner->second.ref_ == aRow.owner_;
  if (aRow.owner_.Empty() || present) {
    absentSince_.erase(aRow.shard_);
    return false;
  }
  const auto [since, inserted] = absentSince_.try_emplace(aRow.shard_, clock_.Now());
  return clock_.Now() - since->second > kOrphanTimeout;
}

std::vector<Candidate>
PlanningLoop::CandidatesOf(const std::string& aService,
                           const std::set<std::string>& aWithdrawn) const
{
  std::vector<Candidate> candidates;
  const bool internal = aService == kShareService;
  for (const auto& [id, member] : fleet_.Members()) {
    if (!internal && member.service_ != aService) {
      continue;
    }
    Candidate candidate;
    candidate.ref_ = member.ref_;
    candidate.dataCentre_ = member.dataCentre_;
    candidate.rack_ = member.rack_;
    candidate.capacity_ = internal ? 1 : member.slots_;
    const bool serves = internal || Serves(member);
    candidate.acceptsShards_ =
      serves && !member.leaving_ && !aWithdrawn.contains(member.dataCentre_);
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

void
PlanningLoop::ExecuteStep(const PlanStep& aStep)
{
  OwnershipNode& node = *driver_.Node();
  if (const auto* assign = std::get_if<AssignShard>(&aStep)) {
    const auto known = fleet_.Rows().find(assign->shard_);
    if (known == fleet_.Rows().end()) {
      LogStep("assign", assign->shard_, {}, assign->target_, "no_owner");
      ShardRow row;
      row.shard_ = assign->shard_;
      node.OnStoreRows(std::span<const ShardRow>(&row, 1));
    } else {
      LogStep("assign", assign->shard_, known->second.owner_, assign->target_, "owner_gone");
    }
    node.AssignShard(assign->shard_, assign->target_);
  } else if (const auto* move = std::get_if<MoveShard>(&aStep)) {
    LogStep("move", move->shard_, move->owner_, move->target_, move->reason_);
    node.ProposeMove(move->shard_, move->target_);
  } else {
    const auto& change = std::get<ChangeSuccessor>(aStep);
    LogStep("successor", change.shard_, change.owner_, change.successor_, "no_good_successor");
    node.ProposeSuccessorFor(change.shard_, change.successor_);
  }
}

} // namespace redwing
