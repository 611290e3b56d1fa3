#include "Judge.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace redwing::bench {

namespace {

/// A request that takes longer than this counts as not served at once.
constexpr std::int64_t kServedNs = 100'000'000;
/// Time within which a withdrawn data centre stops getting work (guarantee 4).
constexpr std::int64_t kWithdrawLimitNs = 3'000'000'000;

/// After an overload, requests are judged that arrive this much later, and must end within it.
constexpr std::int64_t kRecoveryNs = 1'000'000'000;

double
ToMs(std::int64_t aNs)
{
  return static_cast<double>(aNs) / 1e6;
}

bool
RefusedByRate(const OutcomeRecord& aOutcome)
{
  return aOutcome.status_ == 429;
}

/// Length of the union of intervals; sorts its argument.
std::int64_t
UnionLength(std::vector<std::pair<std::int64_t, std::int64_t>>& aIntervals)
{
  std::sort(aIntervals.begin(), aIntervals.end());
  std::int64_t total = 0;
  std::int64_t until = 0;
  for (const auto& [from, end] : aIntervals) {
    total += std::max<std::int64_t>(0, end - std::max(from, until));
    until = std::max(until, end);
  }
  return total;
}

} // namespace

Judge::Judge(const Deployment& aDeployment,
             const Records& aRecords,
             const std::vector<OutcomeRecord>& aOutcomes,
             const Marks& aMarks)
  : deployment_(aDeployment)
  , records_(aRecords)
  , outcomes_(aOutcomes)
  , marks_(aMarks)
{
  for (const auto& outcome : outcomes_) {
    outcomesByLoadId_[outcome.loadId_] = &outcome;
  }
}

const OutcomeRecord*
Judge::OutcomeOf(const RunRecord& aRun) const
{
  auto found = outcomesByLoadId_.find(aRun.loadId_);
  return found == outcomesByLoadId_.end() ? nullptr : found->second;
}

std::uint64_t
Judge::WrongWorkspaces() const
{
  return std::count_if(records_.runs_.begin(), records_.runs_.end(), [&](const auto& aRun) {
    const auto* outcome = OutcomeOf(aRun);
    return outcome != nullptr && outcome->workspace_ != aRun.workspace_;
  });
}

std::uint64_t
Judge::DoubleRuns() const
{
  return std::count_if(outcomes_.begin(), outcomes_.end(), [&](const auto& aOutcome) {
    auto runs = records_.runsByLoadId_.find(aOutcome.loadId_);
    return !aOutcome.idempotent_ && runs != records_.runsByLoadId_.end() && runs->second.size() > 1;
  });
}

std::uint64_t
Judge::FalseNotRuns() const
{
  // After an earlier attempt with unknown outcome, a run does not contradict the last refusal.
  return std::count_if(outcomes_.begin(), outcomes_.end(), [&](const auto& aOutcome) {
    return aOutcome.outcome_ == "refused_not_run" && aOutcome.unknownBefore_ == 0 &&
           records_.runsByLoadId_.contains(aOutcome.loadId_);
  });
}

double
Judge::DoubleOwnerMs() const
{
  std::map<std::string, std::vector<const GrantInterval*>> byShard;
  for (const auto& grant : records_.grants_) {
    byShard[grant.shard_].push_back(&grant);
  }
  std::int64_t total = 0;
  for (auto& [shard, grants] : byShard) {
    for (std::size_t i = 0; i < grants.size(); ++i) {
      for (std::size_t j = i + 1; j < grants.size(); ++j) {
        if (grants[i]->server_ != grants[j]->server_) {
          total += std::max<std::int64_t>(0,
                                          std::min(grants[i]->untilNs_, grants[j]->untilNs_) -
                                            std::max(grants[i]->fromNs_, grants[j]->fromNs_));
        }
      }
    }
  }
  return ToMs(total);
}

void
Judge::Unavailability(Json& aResult) const
{
  // Ownership is per shard, so keys are judged together with the others of their shard; the runs
  // tell which shard a key belongs to.
  std::map<std::string, std::string> shardOfKey;
  for (const auto& outcome : outcomes_) {
    auto runs = records_.runsByLoadId_.find(outcome.loadId_);
    if (runs != records_.runsByLoadId_.end()) {
      const auto& shard = records_.runs_[runs->second.front()].shard_;
      if (!shard.empty()) {
        shardOfKey[outcome.key_] = shard;
      }
    }
  }
  std::map<std::string, std::vector<std::int64_t>> served;
  std::map<std::string, std::vector<std::int64_t>> unserved;
  for (const auto& outcome : outcomes_) {
    auto shard = shardOfKey.find(outcome.key_);
    bool callersFault = outcome.status_ == 401 || outcome.status_ == 403 || RefusedByRate(outcome);
    if (shard == shardOfKey.end() || callersFault) {
      continue;
    }
    if (outcome.Ok()) {
      served[shard->second].push_back(outcome.doneNs_);
    }
    if (!outcome.Ok() || outcome.doneNs_ - outcome.scheduledNs_ > kServedNs) {
      unserved[shard->second].push_back(outcome.scheduledNs_);
    }
  }
  std::int64_t longest = 0;
  std::int64_t total = 0;
  for (auto& [shard, times] : unserved) {
    auto& answers = served[shard];
    std::sort(answers.begin(), answers.end());
    std::vector<std::pair<std::int64_t, std::int64_t>> windows;
    for (auto from : times) {
      auto next = std::upper_bound(answers.begin(), answers.end(), from);
      auto until = next == answers.end() ? std::max(marks_.endNs_, from) : *next;
      longest = std::max(longest, until - from);
      windows.emplace_back(from, until);
    }
    total += UnionLength(windows);
  }
  aResult["unavailable_ms_max"] = shardOfKey.empty() ? Json() : Json(ToMs(longest));
  aResult["unavailable_ms_total"] = shardOfKey.empty() ? Json() : Json(ToMs(total));
}

Json
Judge::Imbalance() const
{
  // Highest number of runs on a pooled server compared with the mean.
  std::map<std::size_t, std::uint64_t> runs;
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < deployment_.servers_.size(); ++i) {
    if (!deployment_.Keyed(i) && !marks_.affected_.contains(i)) {
      runs[i] = 0;
    }
  }
  for (const auto& run : records_.runs_) {
    auto found = runs.find(run.server_);
    if (found != runs.end() && run.startNs_ >= marks_.startNs_) {
      ++found->second;
      ++total;
    }
  }
  if (total == 0) {
    return nullptr;
  }
  auto highest =
    std::max_element(runs.begin(), runs.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  return static_cast<double>(highest->second * runs.size()) / static_cast<double>(total);
}

Json
Judge::ChurnRatio() const
{
  std::map<std::string, std::vector<const GrantInterval*>> byShard;
  for (const auto& grant : records_.grants_) {
    byShard[grant.shard_].push_back(&grant);
  }
  std::uint64_t moves = 0;
  std::uint64_t necessary = 0;
  for (auto& [shard, grants] : byShard) {
    std::sort(grants.begin(), grants.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->fromNs_ < aRight->fromNs_;
    });
    for (std::size_t i = 1; i < grants.size(); ++i) {
      if (grants[i]->fromNs_ >= marks_.startNs_ && grants[i]->server_ != grants[i - 1]->server_) {
        ++moves;
        necessary += marks_.affected_.contains(grants[i - 1]->server_) ? 1 : 0;
      }
    }
  }
  return necessary == 0 ? Json()
                        : Json(static_cast<double>(moves) / static_cast<double>(necessary));
}

std::uint64_t
Judge::OverRate(const WorkspaceSpec& aWorkspace) const
{
  // A request was accepted some time between its scheduled arrival and the start of its run. For
  // every interval, only those are counted that were accepted inside it for certain.
  std::vector<std::pair<std::int64_t, std::int64_t>> accepted;
  std::set<std::string_view> seen;
  for (const auto& run : records_.runs_) {
    const auto* outcome = OutcomeOf(run);
    if (outcome != nullptr && outcome->workspace_ == aWorkspace.id_ &&
        seen.insert(run.loadId_).second) {
      accepted.emplace_back(run.startNs_, outcome->scheduledNs_);
    }
  }
  std::sort(accepted.begin(), accepted.end());
  double worst = 0;
  for (const auto& [ignored, from] : accepted) {
    std::uint64_t count = 0;
    for (const auto& [until, arrival] : accepted) {
      if (arrival >= from && until >= from) {
        ++count;
        double allowed =
          aWorkspace.rate_ * static_cast<double>(until - from) / 1e9 + aWorkspace.burst_;
        worst = std::max(worst, static_cast<double>(count) - allowed);
      }
    }
  }
  return static_cast<std::uint64_t>(std::floor(worst));
}

Json
Judge::RefusedWithinRate() const
{
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  double seconds = ToMs(marks_.endNs_ - marks_.startNs_) / 1000;
  for (const auto& workspace : deployment_.workspaces_) {
    if (!marks_.limited_.contains(workspace.id_)) {
      continue;
    }
    std::uint64_t offered = 0;
    std::uint64_t limited = 0;
    for (const auto& outcome : outcomes_) {
      offered += outcome.workspace_ == workspace.id_ ? 1 : 0;
      limited += outcome.workspace_ == workspace.id_ && RefusedByRate(outcome) ? 1 : 0;
    }
    // 90 % of the rate, with room for the variation of a Poisson process.
    if (static_cast<double>(offered) <= 0.92 * workspace.rate_ * seconds) {
      requests += offered;
      refused += limited;
    }
  }
  return requests == 0 ? Json()
                       : Json(static_cast<double>(refused) / static_cast<double>(requests));
}

Json
Judge::WithdrawnKeyMs() const
{
  if (marks_.keyWithdrawnNs_ == 0) {
    return nullptr;
  }
  std::int64_t latest = marks_.keyWithdrawnNs_;
  for (const auto& run : records_.runs_) {
    const auto* outcome = OutcomeOf(run);
    if (outcome != nullptr && outcome->workspace_ == marks_.withdrawnWorkspace_) {
      latest = std::max(latest, run.startNs_);
    }
  }
  return ToMs(latest - marks_.keyWithdrawnNs_);
}

Json
Judge::AfterWithdrawRequests() const
{
  if (marks_.dataCentreWithdrawnNs_ == 0) {
    return nullptr;
  }
  auto from = marks_.dataCentreWithdrawnNs_ + kWithdrawLimitNs;
  auto until = marks_.dataCentreRestoredNs_ == 0 ? marks_.endNs_ : marks_.dataCentreRestoredNs_;
  return std::count_if(records_.runs_.begin(), records_.runs_.end(), [&](const auto& aRun) {
    return deployment_.servers_[aRun.server_].dataCentre_ == marks_.withdrawnDataCentre_ &&
           aRun.startNs_ > from && aRun.startNs_ < until;
  });
}

void
Judge::WorstWorkspace(Json& aResult) const
{
  struct Counts
  {
    std::uint64_t requests_ = 0;
    std::vector<double> latencies_;
  };
  std::map<std::string, Counts> workspaces;
  for (const auto& outcome : outcomes_) {
    if (marks_.exempt_.contains(outcome.workspace_)) {
      continue;
    }
    auto& counts = workspaces[outcome.workspace_];
    ++counts.requests_;
    if (outcome.Ok()) {
      counts.latencies_.push_back(ToMs(outcome.doneNs_ - outcome.scheduledNs_));
    }
  }
  double worstOk = 1;
  double worstP99 = 0;
  for (auto& [id, counts] : workspaces) {
    auto& latencies = counts.latencies_;
    worstOk = std::min(
      worstOk, static_cast<double>(latencies.size()) / static_cast<double>(counts.requests_));
    if (!latencies.empty()) {
      std::sort(latencies.begin(), latencies.end());
      worstP99 = std::max(worstP99, latencies[latencies.size() * 99 / 100]);
    }
  }
  aResult["worst_workspace_ok"] = workspaces.empty() ? Json() : Json(worstOk);
  aResult["worst_workspace_p99_ms"] = workspaces.empty() ? Json() : Json(worstP99);
}

void
Judge::Overload(Json& aResult) const
{
  if (marks_.capacity_ <= 0) {
    return;
  }
  std::uint64_t served = 0;
  std::uint64_t after = 0;
  std::uint64_t servedAfter = 0;
  for (const auto& outcome : outcomes_) {
    bool inside =
      outcome.doneNs_ >= marks_.overloadFromNs_ && outcome.doneNs_ < marks_.overloadUntilNs_;
    served += outcome.Ok() && inside ? 1 : 0;
    if (outcome.scheduledNs_ >= marks_.overloadUntilNs_ + kRecoveryNs) {
      ++after;
      servedAfter += outcome.Ok() && outcome.doneNs_ - outcome.scheduledNs_ < kRecoveryNs ? 1 : 0;
    }
  }
  double seconds = ToMs(marks_.overloadUntilNs_ - marks_.overloadFromNs_) / 1000;
  aResult["goodput_share"] = static_cast<double>(served) / (marks_.capacity_ * seconds);
  aResult["ok_after_overload"] =
    after == 0 ? Json() : Json(static_cast<double>(servedAfter) / static_cast<double>(after));
}

Json
Judge::Figures() const
{
  Json result;
  result["double_run"] = DoubleRuns();
  result["false_not_run"] = FalseNotRuns();
  result["double_owner_ms"] = DoubleOwnerMs();
  result["wrong_workspace"] = WrongWorkspaces();
  Unavailability(result);
  result["imbalance"] = Imbalance();
  result["churn_ratio"] = ChurnRatio();
  WorstWorkspace(result);
  result["over_rate"] = nullptr;
  for (const auto& workspace : deployment_.workspaces_) {
    if (marks_.limited_.contains(workspace.id_)) {
      auto over = OverRate(workspace);
      result["over_rate"] = std::max(
        over, result["over_rate"].is_null() ? 0 : result["over_rate"].get<std::uint64_t>());
    }
  }
  result["refused_within_rate"] = RefusedWithinRate();
  result["config_spread_ms_max"] = marks_.configSpreadMs_ ? Json(*marks_.configSpreadMs_) : Json();
  result["withdrawn_key_ms_max"] = WithdrawnKeyMs();
  result["after_withdraw_requests"] = AfterWithdrawRequests();
  Overload(result);
  for (const auto& [name, value] : marks_.observed_) {
    result[name] = value;
  }
  result["collapses"] = records_.collapses_;
  result["crashes"] = records_.crashes_;
  result["caller_keys_seen"] = records_.callerKeysSeen_;
  return result;
}

} // namespace redwing::bench
