#pragma once

#include "core/Address.hpp"
#include "ownership/ShardRow.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// What operators see of the fleet; docs/protocols.md gives the JSON form.
namespace redwing {

struct MemberStatus
{
  InstanceRef ref_;
  std::string dataCentre_;
  std::string region_;
  std::string rack_;
  Address peersAddress_;
  std::string service_;
  /// `ready`, `cold`, `draining` or `down`.
  std::string state_;
  /// Configuration revision in force.
  std::uint64_t revision_ = 0;
  bool reachable_ = false;
  bool leaseValid_ = false;
  /// Number of shards owned.
  std::uint32_t shards_ = 0;
  std::uint32_t slots_ = 0;
};

struct DataCentreStatus
{
  std::string id_;
  bool withdrawn_ = false;
  std::uint32_t instances_ = 0;
};

/// Service quality of one workspace over the last minute, as this instance saw it.
struct WorkspaceStatus
{
  std::string id_;
  std::uint64_t requests_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t unknown_ = 0;
  double p99Milliseconds_ = 0;
};

struct ClusterStatus
{
  std::uint64_t revision_ = 0;
  bool configurationCurrent_ = false;
  /// Service, region and rack may be empty.
  MemberStatus instance_;
  std::vector<MemberStatus> members_;
  bool storeReachable_ = false;
  std::vector<DataCentreStatus> dataCentres_;
  /// Empty id: no requests were seen.
  WorkspaceStatus worstWorkspace_;
  /// Services whose backend servers do not check grants.
  std::vector<std::string> servicesWithoutGrants_;
};

struct ShardStatus
{
  ShardRow row_;
  /// `owned`, `moving`, `waiting` (its owner is lost and nobody may act yet) or `unassigned`.
  std::string state_;
};

/// Writes the JSON bodies of /v1/status, /v1/members and /v1/shards.
class ClusterStatusWriter
{
public:
  /// Preconditions: none. Thread safety: callable from any thread.
  static std::string Status(const ClusterStatus& aStatus);

  /// Preconditions: none. Thread safety: callable from any thread.
  static std::string Members(const std::vector<MemberStatus>& aMembers);

  /// Preconditions: all rows belong to aService. Thread safety: callable from any thread.
  static std::string Shards(const std::string& aService, const std::vector<ShardStatus>& aShards);
};

} // namespace redwing
