#include "control/ShardRowCodec.hpp"

#include <nlohmann/json.hpp>

namespace redwing {

using nlohmann::json;

std::string
ChunkKey(const ShardId& aShard)
{
  return std::string(kShardPrefix) + aShard.service_ + "/" +
         std::to_string(aShard.index_ / kShardsPerChunk);
}

std::optional<std::string>
ServiceOfChunk(std::string_view aKey)
{
  if (!aKey.starts_with(kShardPrefix)) {
    return std::nullopt;
  }
  const std::string_view rest = aKey.substr(kShardPrefix.size());
  const std::size_t slash = rest.rfind('/');
  if (slash == std::string_view::npos || slash == 0) {
    return std::nullopt;
  }
  return std::string(rest.substr(0, slash));
}

std::string
EncodeChunk(const std::map<std::uint32_t, ShardRow>& aRows)
{
  json rows = json::array();
  for (const auto& [index, row] : aRows) {
    json entry{ { "shard", index },
                { "owner", row.owner_.id_ },
                { "owner_incarnation", row.owner_.incarnation_ },
                { "token", row.token_ } };
    if (!row.successor_.Empty()) {
      entry["successor"] = row.successor_.id_;
      entry["successor_incarnation"] = row.successor_.incarnation_;
    }
    rows.push_back(std::move(entry));
  }
  return json{ { "rows", std::move(rows) } }.dump();
}

std::optional<std::map<std::uint32_t, ShardRow>>
DecodeChunk(const std::string& aService, std::string_view aText)
{
  try {
    std::map<std::uint32_t, ShardRow> rows;
    const json document = json::parse(aText);
    for (const json& entry : document.at("rows")) {
      ShardRow row;
      row.shard_ = { aService, entry.at("shard").get<std::uint32_t>() };
      row.owner_ = { entry.at("owner").get<std::string>(),
                     entry.at("owner_incarnation").get<std::uint64_t>() };
      row.token_ = entry.at("token").get<std::uint64_t>();
      if (entry.contains("successor")) {
        row.successor_ = { entry.at("successor").get<std::string>(),
                           entry.at("successor_incarnation").get<std::uint64_t>() };
      }
      rows.emplace(row.shard_.index_, std::move(row));
    }
    return rows;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

} // namespace redwing
