#pragma once

#include "ctl/Session.hpp"

#include <cstdint>
#include <string>

namespace redwing::ctl {

/// Commands on keys, data centres, instances and shards. Not thread-safe; no preconditions beyond
/// the session.
class ClusterCommands
{
public:
  explicit ClusterCommands(Session& aSession)
    : session_(aSession)
  {
  }

  Exit IssueKey(const std::string& aId, const std::string& aWorkspace);
  Exit WithdrawKey(const std::string& aId);
  Exit SetDataCentre(const std::string& aId, bool aWithdrawn);

  /// Lists the instances.
  Exit Instances();

  /// Drains the one instance that is addressed.
  Exit Drain();
  Exit Shards(const std::string& aService);
  Exit ForceShard(const std::string& aService, std::uint32_t aShard);
  Exit Status();

  /// Shows what the server of the one instance that is addressed is granted and may hold, from the
  /// metrics of the instance.
  Exit Holds();

  /// Shows the rollouts as the one instance that is addressed knows them: all figures if it leads,
  /// otherwise what it was told, with the name of the leader.
  Exit Rollouts();

  /// Shows the load of the server beside the one instance that is addressed, and what was refused,
  /// from the metrics of the instance.
  Exit Load();

  /// Shows the bytes that the one instance that is addressed holds for others, and how often it
  /// refused or closed something to bound them, from its metrics.
  Exit Memory();

private:
  Session& session_;
};

} // namespace redwing::ctl
