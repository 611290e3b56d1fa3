#pragma once

#include "core/WireArchive.hpp"
#include "limits/WindowBudget.hpp"
#include "ownership/ShardRow.hpp"

#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

/// Messages that instances exchange with the leader over peer links.
namespace redwing {

struct WorkspaceUse
{
  std::string workspace_;
  BudgetUse use_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(workspace_, use_.committed_, use_.wanted_);
  }
};

/// Sent to the leader at intervals.
struct FleetReport
{
  InstanceRef from_;
  /// Newest configuration and store revision that the sender knows.
  std::uint64_t configurationRevision_ = 0;
  std::uint64_t storeRevision_ = 0;
  std::vector<WorkspaceUse> uses_;
  /// Requests begun for shards of the local server since the last report.
  std::string service_;
  std::vector<std::pair<std::uint32_t, std::uint32_t>> shardLoad_;
  /// Requests per second that the local server can take; 0: not known.
  double serviceRate_ = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(from_,
             configurationRevision_,
             storeRevision_,
             uses_,
             service_,
             shardLoad_,
             serviceRate_);
  }
};

struct WorkspaceGrant
{
  std::string workspace_;
  double extra_ = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(workspace_, extra_);
  }
};

struct FleetReply
{
  /// False if the receiver is not the leader.
  bool leads_ = false;
  std::uint64_t configurationRevision_ = 0;
  std::uint64_t storeRevision_ = 0;
  std::vector<WorkspaceGrant> grants_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(leads_, configurationRevision_, storeRevision_, grants_);
  }
};

} // namespace redwing
