#pragma once

#include "Deployment.hpp"
#include "Records.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace redwing::bench {

/// What the faults of a run noted for the judge. Times are CLOCK_MONOTONIC; 0 means not done.
struct Marks
{
  std::int64_t startNs_ = 0;
  std::int64_t endNs_ = 0;
  std::string withdrawnDataCentre_;
  std::int64_t dataCentreWithdrawnNs_ = 0;
  std::int64_t dataCentreRestoredNs_ = 0;
  std::string withdrawnWorkspace_;
  std::int64_t keyWithdrawnNs_ = 0;
  std::optional<double> configSpreadMs_;
  /// Backend servers whose shards had to move.
  std::set<std::size_t> affected_;
  /// Workspaces with a rate limit that matters.
  std::set<std::string> limited_;
  /// Workspaces that are not counted for the worst-served workspace.
  std::set<std::string> exempt_;
  /// Requests per second that the pool can serve; 0 when no overload is judged.
  double capacity_ = 0;
  std::int64_t overloadFromNs_ = 0;
  std::int64_t overloadUntilNs_ = 0;
  /// Further figures of the run, as observed by its faults.
  std::map<std::string, double> observed_;
};

/// Computes the figures of a run from the records; fields that don't apply are null.
class Judge
{
public:
  Judge(const Deployment& aDeployment,
        const Records& aRecords,
        const std::vector<OutcomeRecord>& aOutcomes,
        const Marks& aMarks);

  /// Returns the figures that come from the records.
  Json Figures() const;

private:
  /// Returns nullptr for runs that the load did not send, such as probes.
  const OutcomeRecord* OutcomeOf(const RunRecord& aRun) const;
  /// Runs for another workspace than that of the caller's key.
  std::uint64_t WrongWorkspaces() const;
  std::uint64_t DoubleRuns() const;
  std::uint64_t FalseNotRuns() const;
  double DoubleOwnerMs() const;
  void Unavailability(Json& aResult) const;
  Json Imbalance() const;
  Json ChurnRatio() const;
  std::uint64_t OverRate(const WorkspaceSpec& aWorkspace) const;
  Json RefusedWithinRate() const;
  Json WithdrawnKeyMs() const;
  Json AfterWithdrawRequests() const;
  void WorstWorkspace(Json& aResult) const;
  /// Share of the capacity that was served during the overload, and share served after it.
  void Overload(Json& aResult) const;

  const Deployment& deployment_;
  const Records& records_;
  const std::vector<OutcomeRecord>& outcomes_;
  const Marks& marks_;
  std::unordered_map<std::string_view, const OutcomeRecord*> outcomesByLoadId_;
};

} // namespace redwing::bench
