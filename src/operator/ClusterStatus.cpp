#include "operator/ClusterStatus.hpp"

#include <nlohmann/json.hpp>

namespace redwing {

namespace {

using Json = nlohmann::ordered_json;

Json
ToJson(const MemberStatus& aMember)
{
  return { { "id", aMember.ref_.id_ },
           { "incarnation", aMember.ref_.incarnation_ },
           { "data_centre", aMember.dataCentre_ },
           { "region", aMember.region_ },
           { "rack", aMember.rack_ },
           { "peers_address", aMember.peersAddress_.ToString() },
           { "service", aMember.service_ },
           { "state", aMember.state_ },
           { "revision", aMember.revision_ },
           { "reachable", aMember.reachable_ },
           { "lease_valid", aMember.leaseValid_ },
           { "shards", aMember.shards_ },
           { "slots", aMember.slots_ } };
}

Json
ToJson(const InstanceRef& aRef)
{
  if (aRef.Empty()) {
    return nullptr;
  }
  return { { "id", aRef.id_ }, { "incarnation", aRef.incarnation_ } };
}

Json
ToJson(const std::vector<MemberStatus>& aMembers)
{
  Json array = Json::array();
  for (const MemberStatus& member : aMembers) {
    array.push_back(ToJson(member));
  }
  return array;
}

std::string
Text(const Json& aJson)
{
  // Labels and ids of members come from other processes and need not be valid UTF-8.
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

std::string
ClusterStatusWriter::Status(const ClusterStatus& aStatus)
{
  Json json{ { "revision", aStatus.revision_ },
             { "configuration_current", aStatus.configurationCurrent_ },
             { "instance", ToJson(aStatus.instance_) },
             { "members", ToJson(aStatus.members_) },
             { "store", { { "reachable", aStatus.storeReachable_ } } },
             { "data_centres", Json::array() },
             { "worst_workspace", nullptr },
             { "services_without_grants", aStatus.servicesWithoutGrants_ } };
  for (const DataCentreStatus& dataCentre : aStatus.dataCentres_) {
    json["data_centres"].push_back({ { "id", dataCentre.id_ },
                                     { "withdrawn", dataCentre.withdrawn_ },
                                     { "instances", dataCentre.instances_ } });
  }
  const WorkspaceStatus& worst = aStatus.worstWorkspace_;
  if (!worst.id_.empty()) {
    json["worst_workspace"] = { { "id", worst.id_ },
                                { "requests", worst.requests_ },
                                { "refused", worst.refused_ },
                                { "unknown", worst.unknown_ },
                                { "p99_ms", worst.p99Milliseconds_ } };
  }
  return Text(json);
}

std::string
ClusterStatusWriter::Members(const std::vector<MemberStatus>& aMembers)
{
  return Text({ { "members", ToJson(aMembers) } });
}

std::string
ClusterStatusWriter::Shards(const std::string& aService, const std::vector<ShardStatus>& aShards)
{
  Json json{ { "service", aService }, { "shards", Json::array() } };
  for (const ShardStatus& shard : aShards) {
    json["shards"].push_back({ { "shard", shard.row_.shard_.index_ },
                               { "state", shard.state_ },
                               { "owner", ToJson(shard.row_.owner_) },
                               { "token", shard.row_.token_ },
                               { "successor", ToJson(shard.row_.successor_) } });
  }
  return Text(json);
}

} // namespace redwing
