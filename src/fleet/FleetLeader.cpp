// Part of FleetService: shard placement by the leader, and the reports that instances send to it.

#include "core/Log.hpp"
#include "fleet/FleetService.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

namespace redwing {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kPlanInterval{ 500 };
/// Minimum time between two rebalancing rounds; the effect of a move on the load shows after about
/// this time.
constexpr milliseconds kRebalanceInterval{ 1500 };
/// At low load, fast servers get more than their proportional share of the shards, because latency
/// then depends on the speed of the server and not on its queue. Without load the weight is the
/// capacity to the power of 1 + kMaxSpeedPreference, a little more than its square; at a
/// utilisation of kHighUtilisation and above it is proportional to the capacity.
constexpr double kMaxSpeedPreference = 1.2;
constexpr double kHighUtilisation = 0.8;
/// Servers of one service differ from the average speed by at most this factor; measured rates
/// beyond it are treated as disturbances and clamped.
constexpr double kMaxSpeedRatio = 2;
/// The first table of a service is created once the members of a starting fleet have registered:
/// this long after the start of the process and this long after the last change of members.
constexpr milliseconds kBootstrapDelay{ 1500 };
constexpr milliseconds kBootstrapQuiet{ 600 };
constexpr milliseconds kReportTimeout{ 450 };
/// Random delay of the first report to a new leader, which spreads the reports of all instances.
constexpr std::uint64_t kFirstReportJitterMs = 100;
constexpr milliseconds kLeaderReplyTimeout{ 3000 };
/// Half-life of the exponentially decayed traffic of a shard.
constexpr milliseconds kTrafficHalfLife{ 2000 };
/// Minimum number of recent requests for a meaningful load distribution.
constexpr double kMinRecentRequests = 60;
constexpr double kServiceRateSmoothing = 0.1;
/// Maximum number of conditions in one store transaction, less those for the table itself.
constexpr std::size_t kMaxLostHolders = 28;
/// Number of consecutive replies with a newer store revision after which the entries are read
/// again.
constexpr unsigned kMaxStaleReplies = 2;

} // namespace

void
FleetService::PlanAll()
{
  const TimePoint now = clock_.Now();
  if (!leads_ || now < nextPlan_) {
    return;
  }
  nextPlan_ = now + kPlanInterval;
  for (const Service& service : configuration_->configuration_.services_) {
    if (service.mode_ == ServiceMode::Keyed && !writing_.contains(service.id_)) {
      Plan(service);
    }
  }
}

double
FleetService::SpeedPreference(const std::string& aService, double aCapacity) const
{
  const auto traffic = shardTraffic_.find(aService);
  if (traffic == shardTraffic_.end() || aCapacity <= 0) {
    return 0;
  }
  // The decayed count of a steady rate r with half-life h converges to r * h / ln 2.
  const double halfLife = std::chrono::duration<double>(kTrafficHalfLife).count();
  const double rate = traffic->second.total_ * std::log(2.0) / halfLife;
  return kMaxSpeedPreference * std::clamp(1 - rate / aCapacity / kHighUtilisation, 0.0, 1.0);
}

std::vector<ShardCandidate>
FleetService::CandidatesOf(const std::string& aService) const
{
  std::set<std::string> withdrawn;
  for (const DataCentre& dataCentre : configuration_->configuration_.dataCentres_) {
    if (dataCentre.withdrawn_) {
      withdrawn.insert(dataCentre.id_);
    }
  }
  double known = 0;
  std::size_t count = 0;
  std::vector<ShardCandidate> candidates;
  for (const auto& [key, member] : members_) {
    const MemberRecord& record = member.record_;
    if (record.member_.service_ != aService || !IsCurrent(member.revision_)) {
      continue;
    }
    ShardCandidate candidate;
    candidate.instanceId_ = record.member_.ref_.id_;
    candidate.serverIncarnation_ = record.serverIncarnation_;
    candidate.accepts_ = record.Accepts() && !withdrawn.contains(record.member_.dataCentre_);
    const auto rate = serviceRates_.find(candidate.instanceId_);
    candidate.capacity_ = rate == serviceRates_.end() ? 0 : rate->second;
    known += candidate.capacity_;
    count += candidate.capacity_ > 0 ? 1 : 0;
    candidates.push_back(std::move(candidate));
  }
  const double averageRate = count > 0 ? known / static_cast<double>(count) : 1;
  for (ShardCandidate& candidate : candidates) {
    candidate.capacity_ = candidate.capacity_ <= 0 ? averageRate
                                                   : std::clamp(candidate.capacity_,
                                                                averageRate / kMaxSpeedRatio,
                                                                averageRate * kMaxSpeedRatio);
  }
  const double capacity = std::accumulate(
    candidates.begin(), candidates.end(), 0.0, [](double aSum, const ShardCandidate& aCandidate) {
      return aSum + (aCandidate.accepts_ ? aCandidate.capacity_ : 0);
    });
  const double preference = count > 0 ? SpeedPreference(aService, capacity) : 0;
  for (ShardCandidate& candidate : candidates) {
    candidate.capacity_ *= std::pow(candidate.capacity_ / averageRate, preference);
  }
  LimitToRollout(aService, candidates);
  return candidates;
}

bool
FleetService::MayCreateTable() const
{
  const TimePoint now = clock_.Now();
  return now - startedAt_ >= kBootstrapDelay && now - membersChangedAt_ >= kBootstrapQuiet &&
         (!SeesEarlierEpoch() || MayRecover(ShardTable()));
}

std::vector<double>
FleetService::RecentTraffic(const std::string& aService)
{
  ShardTraffic& traffic = shardTraffic_[aService];
  return traffic.total_ >= kMinRecentRequests ? traffic.requests_ : std::vector<double>();
}

void
FleetService::Plan(const Service& aService)
{
  const auto known = tables_.find(aService.id_);
  if (known != tables_.end() && !IsCurrent(known->second.revision_)) {
    RecoverTable(aService.id_, known->second);
    return;
  }
  const bool create = known == tables_.end() || known->second.table_.Shards() != aService.shards_;
  if (create && !MayCreateTable()) {
    return;
  }
  const KnownTable base = create ? KnownTable{ known == tables_.end() ? 0 : known->second.revision_,
                                               ShardTable(aService.shards_) }
                                 : known->second;
  const auto candidates = CandidatesOf(aService.id_);
  std::vector<double> traffic = RecentTraffic(aService.id_);
  if (traffic.size() != aService.shards_) {
    traffic.clear();
  }
  const TimePoint now = clock_.Now();
  const auto runs = base.table_.Runs();
  const bool moving = std::any_of(
    runs.begin(), runs.end(), [](const ShardRun& aRun) { return !aRun.successor_.empty(); });
  TimePoint& nextRebalance = nextRebalance_[aService.id_];
  const bool settled = base.table_.Settled() || !recovery_.Waits(now);
  const bool rebalance = settled && !moving && now >= nextRebalance;
  ShardTable next = planner_.Plan(base.table_, candidates, traffic, rebalance, settled);
  next.SetSettled(settled);
  if (next == base.table_) {
    return;
  }
  nextRebalance = now + kRebalanceInterval;
  // The write is conditional on the member records of holders that lose shards without a handover,
  // so that shards are only taken from holders that are gone at the revision of this plan. Holders
  // that exceed the conditions of one transaction follow in the next one.
  std::set<std::string> lost;
  std::vector<ShardRun> postponed;
  for (const ShardRun& run : base.table_.Runs()) {
    const std::string& id = run.holder_.instanceId_;
    const bool taken = !run.holder_.Empty() && next.At(run.first_).holder_ != run.holder_;
    if (taken && lost.size() >= kMaxLostHolders && !lost.contains(id)) {
      postponed.push_back(run);
    } else if (taken) {
      lost.insert(id);
    }
  }
  next.Apply(postponed);
  std::vector<StoreCompare> conditions;
  for (const std::string& id : lost) {
    const std::string key = session_.MemberKey(id);
    conditions.push_back({ key, session_.RevisionOf(key) });
  }
  WriteTable(aService.id_, base, next, std::move(conditions), lost.empty() ? "plan" : "take_over");
}

bool
FleetService::InContactWithLeader(TimePoint aNow) const
{
  const WindowBudgetSettings& budget = settings_.budget_;
  // A process that has run for less than a window uses nothing beyond what it reports either.
  return (answeredReportAt_ != TimePoint{} &&
          aNow - answeredReportAt_ < budget.disconnectedAfter_) ||
         aNow - startedAt_ < budget.window_ - budget.disconnectedAfter_;
}

FleetReport
FleetService::StartReport()
{
  FleetReport report;
  report.from_ = settings_.self_.ref_;
  report.sequence_ = ++reportSequence_;
  const TimePoint now = clock_.Now();
  report.inContactWithLeader_ = InContactWithLeader(now);
  report.runningMs_ = static_cast<std::uint32_t>(
    std::min<std::int64_t>(std::chrono::duration_cast<milliseconds>(now - startedAt_).count(),
                           std::numeric_limits<std::uint32_t>::max()));
  report.configurationChange_ = configuration_->change_;
  report.memberRevision_ = session_.NewestChange();
  report.epoch_ = session_.Epoch();
  return report;
}

BudgetUse
FleetService::UseOf(const std::string& aWorkspace, WindowBudget& aBudget, std::size_t aWaiting)
{
  const TimePoint now = clock_.Now();
  BudgetUse use = aBudget.Report(now, aWaiting);
  if (answeredTerms_[aWorkspace] != session_.RevisionOf(session_.LeaderKey())) {
    use.history_ = aBudget.History(now);
  }
  return use;
}

FleetReport
FleetService::MakeReport()
{
  FleetReport report = StartReport();
  for (const auto& [service, table] : tables_) {
    report.tables_.emplace_back(service, table.revision_);
  }
  report.carried_ = recovery_.Carried();
  report.holds_ = recovery_.Holds();
  if (recovery_.Waits(clock_.Now())) {
    report.missing_ = recovery_.Missing(RegisteredMembers());
  }
  report.service_ = settings_.self_.service_;
  report.shardLoad_ = holds_.TakeLoad();
  report.serviceRate_ = hooks_.serviceRate_();
  const TimePoint now = clock_.Now();
  const std::string leader = Leader();
  for (auto& [workspace, budget] : budgets_) {
    if (unreachable_.contains(leader)) {
      // A report offers the unused allowance for lending, which an unreachable leader cannot lend
      // back.
      break;
    }
    Refresh(budget, budget.Allowance());
    // A newer report would make the budget ignore the reply to the request that is in progress.
    if (budget.InUse(now) && !allowanceRequests_[workspace].open_) {
      report.uses_.push_back({ workspace, UseOf(workspace, budget, 0) });
    }
  }
  return report;
}

std::string
FleetService::Leader() const
{
  const auto leader = session_.All().find(session_.LeaderKey());
  return leader == session_.All().end() ? std::string() : leader->second.value_;
}

void
FleetService::ScheduleReport(TimePoint aNow)
{
  const std::uint64_t term = session_.RevisionOf(session_.LeaderKey());
  if (term != knownTerm_) {
    // A new leader lends little before all instances have reported.
    knownTerm_ = term;
    nextReport_ = std::min(nextReport_, aNow + milliseconds(random_.Below(kFirstReportJitterMs)));
  }
  if (aNow >= nextReport_) {
    nextReport_ = aNow + settings_.reportInterval_;
    SendReport();
  }
}

void
FleetService::SendReport()
{
  if (clock_.Now() - lastLeaderReplyAt_ > kLeaderReplyTimeout) {
    // Without a leader, changed tables can only be read from the store.
    lastLeaderReplyAt_ = clock_.Now();
    session_.Reload();
  }
  const std::string leader = Leader();
  const bool self = leader == settings_.self_.ref_.id_;
  if (!leader.empty() && (!self || leads_)) {
    Send(leader, MakeReport(), kReportTimeout, [](bool) {});
  }
}

void
FleetService::Send(const std::string& aLeader,
                   const FleetReport& aReport,
                   Duration aTimeout,
                   std::function<void(bool)> aDone)
{
  const TimePoint sentAt = clock_.Now();
  const std::uint64_t term = session_.RevisionOf(session_.LeaderKey());
  if (aLeader == settings_.self_.ref_.id_) {
    OnReply(OnReport(aReport), term, sentAt);
    aDone(true);
    return;
  }
  hooks_.call_(
    aLeader,
    WriteWire(FleetRequest(aReport)),
    aTimeout,
    [this, sentAt, term, done = std::move(aDone)](bool aAnswered, const std::string& aReply) {
      FleetReply reply;
      const bool answered = aAnswered && ReadWire(aReply, reply) && reply.leads_;
      if (answered) {
        OnReply(reply, term, sentAt);
      }
      done(answered);
    });
}

std::set<std::string>
FleetService::MemberIds() const
{
  std::set<std::string> ids;
  for (const auto& [key, member] : members_) {
    ids.insert(member.record_.member_.ref_.id_);
  }
  return ids;
}

void
FleetService::UpdateInheritanceEnd(const FleetReport& aReport, TimePoint aNow)
{
  if (aReport.service_.empty()) {
    // The report only asks for an allowance.
    return;
  }
  // A restarted process does not use what an earlier leader lent to its predecessor.
  const milliseconds running(aReport.runningMs_);
  earlierGrantsUsedUntil_.try_emplace(aReport.from_.id_,
                                      running < settings_.budget_.window_ ? aNow - running : aNow);
  TimePoint until{};
  for (const std::string& id : MemberIds()) {
    const auto known = earlierGrantsUsedUntil_.find(id);
    if (known == earlierGrantsUsedUntil_.end()) {
      return;
    }
    until = std::max(until, known->second);
  }
  pools_.EndInheritance(until);
}

FleetReply
FleetService::OnReport(const FleetReport& aReport)
{
  session_.OnEpochSeen(aReport.epoch_);
  FleetReply reply;
  reply.leads_ = leads_;
  reply.epoch_ = session_.Epoch();
  reply.configurationChange_ = configuration_->change_;
  reply.memberRevision_ = session_.NewestChange();
  hooks_.configuration_.reported_(aReport.configurationChange_);
  const InstanceRef& from = aReport.from_;
  if (!leads_ || !contacts_.OnReport(from.id_,
                                     from.incarnation_,
                                     aReport.sequence_,
                                     aReport.inContactWithLeader_,
                                     clock_.Now())) {
    reply.leads_ = false;
    return reply;
  }
  RepairTables(aReport, reply);
  const TimePoint now = clock_.Now();
  UpdateInheritanceEnd(aReport, now);
  if (aReport.serviceRate_ > 0) {
    double& rate = serviceRates_.try_emplace(aReport.from_.id_, aReport.serviceRate_).first->second;
    rate += kServiceRateSmoothing * (aReport.serviceRate_ - rate);
  }
  const auto table = tables_.find(aReport.service_);
  if (!aReport.shardLoad_.empty() && table != tables_.end()) {
    ShardTraffic& traffic = shardTraffic_[aReport.service_];
    traffic.requests_.resize(table->second.table_.Shards(), 0);
    const double elapsed =
      std::chrono::duration<double, std::milli>(now - traffic.updatedAt_).count();
    const double decay = std::exp2(-elapsed / static_cast<double>(kTrafficHalfLife.count()));
    traffic.total_ = 0;
    for (double& requests : traffic.requests_) {
      requests *= decay;
      traffic.total_ += requests;
    }
    traffic.updatedAt_ = now;
    for (const auto& [shard, requests] : aReport.shardLoad_) {
      if (shard < traffic.requests_.size()) {
        traffic.requests_[shard] += requests;
        traffic.total_ += requests;
      }
    }
  }
  const std::size_t outOfContact =
    aReport.uses_.empty() ? 0 : contacts_.CountOutOfContact(MemberIds(), now);
  for (const WorkspaceUse& use : aReport.uses_) {
    const Workspace* workspace = FindWorkspace(use.workspace_);
    if (workspace == nullptr) {
      continue;
    }
    const double extra = pools_.OnReport(use.workspace_,
                                         from.id_,
                                         from.incarnation_,
                                         use.use_,
                                         AllowanceOf(*workspace),
                                         std::max<std::size_t>(1, members_.size()),
                                         outOfContact,
                                         now);
    reply.grants_.push_back({ use.workspace_, extra });
  }
  return reply;
}

void
FleetService::OnReply(const FleetReply& aReply, std::uint64_t aTerm, TimePoint aSentAt)
{
  lastLeaderReplyAt_ = clock_.Now();
  answeredReportAt_ = std::max(answeredReportAt_, aSentAt);
  session_.OnEpochSeen(aReply.epoch_);
  for (const TableNotice& notice : aReply.tables_) {
    OnTable(notice);
  }
  SendWantedTables(aReply);
  for (const WorkspaceGrant& grant : aReply.grants_) {
    if (const auto budget = budgets_.find(grant.workspace_); budget != budgets_.end()) {
      budget->second.OnGrant(grant.extra_, aSentAt);
      answeredTerms_[grant.workspace_] = aTerm;
    }
  }
  hooks_.configuration_.reported_(aReply.configurationChange_);
  if (aReply.configurationChange_ <= configuration_->change_) {
    ConfirmConfiguration(aSentAt);
  }
  staleReplies_ = aReply.memberRevision_ > session_.NewestChange() ? staleReplies_ + 1 : 0;
  if (staleReplies_ >= kMaxStaleReplies) {
    staleReplies_ = 0;
    session_.Reload();
  }
}

} // namespace redwing
