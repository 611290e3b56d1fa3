#pragma once

#include "core/WireArchive.hpp"
#include "fleet/ShardTable.hpp"
#include "limits/WindowBudget.hpp"
#include "ownership/ShardRow.hpp"
#include "rollout/RolloutTypes.hpp"

#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Messages that instances exchange with the leader and with each other over peer links.
namespace redwing {

/// Use of one workspace's allowance by the sender of a report.
struct WorkspaceUse
{
  std::string workspace_;
  BudgetUse use_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(workspace_, use_.committed_, use_.wanted_, use_.held_, use_.admitted_, use_.history_);
  }
};

/// Sent to the leader periodically, and whenever requests wait for a larger grant of an allowance.
struct FleetReport
{
  InstanceRef from_;
  /// Increases with each report of a process; reports that arrive out of order are ignored.
  std::uint64_t sequence_ = 0;
  /// The leader replied to the sender recently, so the sender uses nothing of an allowance beyond
  /// what it reports.
  bool inContactWithLeader_ = false;
  /// Uptime of the sender's process in milliseconds.
  std::uint32_t runningMs_ = 0;
  /// Revisions of the newest changes of the configuration and of the member records that the sender
  /// knows.
  std::uint64_t configurationChange_ = 0;
  std::uint64_t memberRevision_ = 0;
  /// Revision of the sender's copy of each shard table, by service.
  std::vector<std::pair<std::string, std::uint64_t>> tables_;
  std::vector<WorkspaceUse> uses_;
  /// Keyed service of the local server, empty if the report only asks for an allowance, and the
  /// requests that arrived for each of its shards since the last report.
  std::string service_;
  std::vector<std::pair<std::uint32_t, std::uint32_t>> shardLoad_;
  /// Requests per second that the local server can process; 0 if unknown.
  double serviceRate_ = 0;
  /// Newest epoch of the store that the sender knows of.
  std::uint64_t epoch_ = 0;
  /// The sender's process was a member in an earlier epoch.
  bool carried_ = false;
  /// The sender's grants were valid when it saw the epoch, so nobody had taken over its shards.
  bool holds_ = false;
  /// Members of earlier epochs that the sender has not seen registered in this one.
  std::vector<InstanceRef> missing_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(from_,
             sequence_,
             inContactWithLeader_,
             runningMs_,
             configurationChange_,
             memberRevision_,
             tables_,
             uses_,
             service_,
             shardLoad_,
             serviceRate_,
             epoch_,
             carried_,
             holds_,
             missing_);
  }
};

/// Requests that an instance may admit beyond its reported use of a workspace's allowance.
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

template<typename Archive>
void
serialize(Archive& aArchive, ShardRun& aRun)
{
  aArchive(aRun.first_,
           aRun.last_,
           aRun.holder_.instanceId_,
           aRun.holder_.serverIncarnation_,
           aRun.token_,
           aRun.successor_,
           aRun.handover_);
}

/// A new revision of a shard table. Tables are not watched in the store: the instance that changes
/// one sends the difference to all others, and the leader sends the whole table to instances that
/// keep reporting an older revision. Sending the whole table for each change would saturate the
/// links of a large fleet.
struct TableNotice
{
  std::string service_;
  std::uint64_t revision_ = 0;
  /// The whole table; if empty, changes_ are to be applied to the table of revision base_.
  std::string text_;
  std::uint64_t base_ = 0;
  std::vector<ShardRun> changes_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(service_, revision_, text_, base_, changes_);
  }
};

/// Sent by an instance that cannot reach the store: asks a peer that can to renew its lease.
struct LeaseRenewal
{
  std::int64_t lease_ = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(lease_);
  }
};

struct LeaseRenewalReply
{
  /// The store renewed the lease for the whole lease time; read by builds that do not know the last
  /// field.
  bool renewed_ = false;
  /// Newest epoch of the store that the peer knew after the renewal.
  std::uint64_t epoch_ = 0;
  /// Time to live that the store has granted; 0 if it did not renew the lease.
  std::uint32_t timeToLiveMs_ = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(renewed_, epoch_, timeToLiveMs_);
  }
};

/// A request that was running when backend servers crashed, or that was cleared of it.
struct SuspectRequest
{
  std::string service_;
  std::uint64_t fingerprint_ = 0;
  bool cleared_ = false;
  /// Time for which the request remains suspect.
  std::uint32_t remainingMs_ = 0;
  /// Ids of the crashes, and how long ago they were noticed in milliseconds.
  std::vector<std::pair<std::string, std::uint32_t>> crashes_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(service_, fingerprint_, cleared_, remainingMs_, crashes_);
  }
};

/// Sent by an instance whose backend server crashed or cleared a request, and to instances that
/// have joined.
struct QuarantineNotice
{
  std::vector<SuspectRequest> requests_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(requests_);
  }
};

/// Any request that one instance sends to another.
using FleetRequest = std::
  variant<FleetReport, TableNotice, LeaseRenewal, QuarantineNotice, RolloutReport, RolloutNotice>;

/// The leader's reply to a FleetReport.
struct FleetReply
{
  /// False if the replying instance is not the leader, or if it ignored an outdated report.
  bool leads_ = false;
  std::uint64_t configurationChange_ = 0;
  std::uint64_t memberRevision_ = 0;
  std::vector<WorkspaceGrant> grants_;
  std::vector<TableNotice> tables_;
  /// Newest epoch of the store that the leader knows of.
  std::uint64_t epoch_ = 0;
  /// Services whose table the leader asks for, because the reporting instance knows a newer one.
  std::vector<std::string> wanted_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(leads_, configurationChange_, memberRevision_, grants_, tables_, epoch_, wanted_);
  }
};

} // namespace redwing
