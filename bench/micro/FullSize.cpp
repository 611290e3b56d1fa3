#include "FullSize.hpp"

#include <nlohmann/json.hpp>

namespace redwing::micro {

namespace {

constexpr std::size_t kMembersPerRack = 16;
constexpr std::size_t kDocumentWorkspaces = 1900;
constexpr std::size_t kDocumentKeysPerWorkspace = 3;

std::string
InstanceId(std::size_t aIndex)
{
  return "instance-" + std::to_string(aIndex);
}

} // namespace

Member
MakeMember(std::size_t aIndex, std::uint64_t aIncarnation)
{
  const std::size_t centre = aIndex % kDataCentres;
  Member member;
  member.ref_ = { InstanceId(aIndex), aIncarnation };
  member.dataCentre_ = "data-centre-" + std::to_string(centre);
  member.region_ = "region-" + std::to_string(centre % kRegions);
  member.rack_ =
    member.dataCentre_ + "-rack-" + std::to_string(aIndex / kDataCentres / kMembersPerRack);
  member.peersAddress_ = { "10." + std::to_string(centre) + "." + std::to_string(aIndex / 250) +
                             "." + std::to_string(aIndex % 250),
                           7000 };
  member.service_ = kService;
  member.slots_ = 16;
  member.labels_ = { { "generation", "b" } };
  member.state_ = BackendState::Ready;
  return member;
}

ShardRow
MakeRow(std::uint32_t aShard, std::uint64_t aToken)
{
  ShardRow row;
  row.shard_ = { kService, aShard };
  row.owner_ = { InstanceId(aShard % kInstances), 1048576 };
  row.token_ = aToken;
  // A whole round of regions and one data centre more: the same region, another data centre.
  row.successor_ = { InstanceId((aShard + kRegions) % kInstances), 1048576 };
  return row;
}

GossipItem
NewerRow(std::uint32_t aShard, std::uint64_t aToken)
{
  return { "s/" + std::string(kService) + "/" + std::to_string(aShard),
           { aToken, 1 },
           EncodeRow(MakeRow(aShard, aToken)) };
}

std::vector<GossipItem>
AllItems()
{
  std::vector<GossipItem> items;
  for (std::size_t i = 0; i < kInstances; ++i) {
    const Member member = MakeMember(i);
    items.push_back({ "m/" + member.ref_.id_,
                      { member.ref_.incarnation_, 1 },
                      MemberFact{ member, false }.Encode() });
  }
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    items.push_back(NewerRow(shard, 1));
  }
  return items;
}

std::string
LargeDocument()
{
  using nlohmann::json;
  json document{ { "version", 1 },
                 { "workspaces", json::array() },
                 { "keys", json::array() },
                 { "services",
                   { { { "id", kService }, { "mode", "keyed" }, { "shards", kShards } } } },
                 { "routes", json::array() },
                 { "dataCentres", json::array() } };
  for (std::size_t i = 0; i < kDocumentWorkspaces; ++i) {
    const std::string id = "workspace-" + std::to_string(i);
    document["workspaces"].push_back(
      { { "id", id }, { "rate", 1000 }, { "burst", 2000 }, { "weight", 1 } });
    for (std::size_t key = 0; key < kDocumentKeysPerWorkspace; ++key) {
      std::string hash(64, '0');
      const std::string digits = std::to_string(1000000 + i * 10 + key);
      hash.replace(0, digits.size(), digits);
      hash[10] = 'f';
      document["keys"].push_back({ { "id", "key-" + std::to_string(i) + "-" + std::to_string(key) },
                                   { "workspace", id },
                                   { "hash", hash } });
    }
  }
  for (int i = 0; i < 100; ++i) {
    const std::string id = "route-" + std::to_string(i);
    document["routes"].push_back({ { "id", id },
                                   { "pathPrefix", "/" + id },
                                   { "service", kService },
                                   { "key", { { "segment", 1 } } },
                                   { "idempotent", true },
                                   { "priority", 1 },
                                   { "timeoutMs", 5000 } });
  }
  for (std::size_t i = 0; i < kDataCentres; ++i) {
    document["dataCentres"].push_back({ { "id", "data-centre-" + std::to_string(i) },
                                        { "region", "region-" + std::to_string(i % kRegions) },
                                        { "withdrawn", false } });
  }
  return document.dump();
}

} // namespace redwing::micro
