#include "fleet/RolloutRecordText.hpp"

#include "fleet/JsonInteger.hpp"

#include <chrono>
#include <nlohmann/json.hpp>
#include <vector>

namespace redwing {

namespace {

using Json = nlohmann::json;

} // namespace

tl::expected<RolloutRecord, std::string>
ParseRolloutRecord(std::string_view aText)
{
  constexpr std::size_t kLongestMessage = 200;
  try {
    const Json json = Json::parse(aText);
    RolloutRecord record;
    record.order_.service_ = json.at("service").get<std::string>();
    record.order_.targetVersion_ = json.at("targetVersion").get<std::string>();
    const auto revision = IntegerOf<std::uint64_t>(json.at("revision"));
    const auto latest = IntegerOf<std::uint64_t>(json.at("latestRevision"));
    const auto duration = IntegerOf<std::uint32_t>(json.at("durationMs"));
    const auto orderedAt = IntegerOf<std::uint64_t>(json.at("orderedAt"));
    const auto phase = PhaseOf(json.at("phase").get<std::string>());
    if (!revision || !latest || !duration || !orderedAt || !phase) {
      return tl::unexpected(std::string("a number is not in its range, or phase is unknown"));
    }
    record.order_.revision_ = *revision;
    record.order_.duration_ = std::chrono::milliseconds(*duration);
    record.orderedAt_ = static_cast<std::int64_t>(*orderedAt);
    record.phase_ = *phase;
    record.reason_ = json.value("reason", std::string());
    record.latestRevision_ = *latest;
    record.closedVersions_ = json.value("closedVersions", std::vector<std::string>());
    return record;
  } catch (const Json::exception& error) {
    return tl::unexpected(std::string(error.what()).substr(0, kLongestMessage));
  }
}

std::string
ToText(const RolloutRecord& aRecord)
{
  const Json json{ { "service", aRecord.order_.service_ },
                   { "targetVersion", aRecord.order_.targetVersion_ },
                   { "revision", aRecord.order_.revision_ },
                   { "latestRevision", aRecord.latestRevision_ },
                   { "durationMs", aRecord.order_.duration_.count() },
                   { "orderedAt", aRecord.orderedAt_ },
                   { "phase", std::string(NameOf(aRecord.phase_)) },
                   { "reason", aRecord.reason_ },
                   { "closedVersions", aRecord.closedVersions_ } };
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace redwing
