#include "config/ConfigurationWriter.hpp"

#include "config/SelectorParser.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace redwing {

namespace {

using Json = nlohmann::ordered_json;

constexpr int kIndent = 2;

/// Writes whole numbers without a fraction, as users write them.
Json
Number(double aValue)
{
  // Above 2^53 a double no longer holds every integer.
  constexpr double kExactLimit = 9007199254740992.0;
  const auto whole = static_cast<std::int64_t>(aValue);
  if (aValue < kExactLimit && static_cast<double>(whole) == aValue) {
    return whole;
  }
  return aValue;
}

Json
ToJson(const Workspace& aWorkspace)
{
  Json json{ { "id", aWorkspace.id_ },
             { "rate", Number(aWorkspace.rate_) },
             { "burst", Number(aWorkspace.burst_) },
             { "weight", aWorkspace.weight_ } };
  if (aWorkspace.priority_) {
    json["priority"] = *aWorkspace.priority_;
  }
  return json;
}

Json
ToJson(const CallerKey& aKey)
{
  return { { "id", aKey.id_ }, { "workspace", aKey.workspace_ }, { "hash", aKey.hash_ } };
}

Json
ToJson(const Service& aService)
{
  const bool keyed = aService.mode_ == ServiceMode::Keyed;
  Json json{ { "id", aService.id_ }, { "mode", keyed ? "keyed" : "pooled" } };
  if (keyed) {
    json["shards"] = aService.shards_;
  }
  json["coldStart"] = { { "initial", aService.coldStart_.initial_ },
                        { "rampMs", aService.coldStart_.ramp_.count() } };
  if (aService.coldStart_.perSecond_ > 0) {
    json["coldStart"]["perSecond"] = Number(aService.coldStart_.perSecond_);
  }
  if (aService.keyMapping_ == KeyMapping::Numeric) {
    json["keys"] = "numeric";
  }
  if (aService.connections_ > 0) {
    json["connections"] = aService.connections_;
  }
  return json;
}

Json
ToJson(const Route& aRoute)
{
  Json json{ { "id", aRoute.id_ }, { "pathPrefix", aRoute.pathPrefix_ } };
  if (!aRoute.methods_.empty()) {
    json["methods"] = aRoute.methods_;
  }
  if (!aRoute.host_.empty()) {
    json["host"] = aRoute.host_;
  }
  if (!aRoute.service_.empty()) {
    json["service"] = aRoute.service_;
  }
  for (const RouteTarget& target : aRoute.split_) {
    json["split"].push_back({ { "service", target.service_ }, { "weight", target.weight_ } });
  }
  if (aRoute.maxAttempts_ != Route{}.maxAttempts_) {
    json["maxAttempts"] = aRoute.maxAttempts_;
  }
  if (aRoute.targetLatency_.count() > 0) {
    json["targetLatencyMs"] = aRoute.targetLatency_.count();
  }
  if (aRoute.keySource_ == KeySource::PathSegment) {
    json["key"] = { { "segment", aRoute.keySegment_ } };
  } else if (aRoute.keySource_ == KeySource::Header) {
    json["key"] = { { "header", aRoute.keyHeader_ } };
  }
  if (aRoute.open_) {
    json["open"] = true;
    json["openWorkspace"] = aRoute.openWorkspace_;
  }
  json["idempotent"] = aRoute.idempotent_;
  json["priority"] = aRoute.priority_;
  json["timeoutMs"] = aRoute.timeout_.count();
  if (!aRoute.workspaces_.empty()) {
    json["workspaces"] = aRoute.workspaces_;
  }
  for (const Selector& selector : aRoute.selectors_) {
    json["selectors"].push_back(
      { { "match", SelectorParser::ToText(selector.terms_) }, { "weight", selector.weight_ } });
  }
  return json;
}

Json
ToJson(const DataCentre& aDataCentre)
{
  Json json{ { "id", aDataCentre.id_ },
             { "region", aDataCentre.region_ },
             { "withdrawn", aDataCentre.withdrawn_ } };
  for (const auto& [name, value] : aDataCentre.labels_) {
    json["labels"][name] = value;
  }
  return json;
}

template<typename Item>
Json
Section(std::vector<Item> aItems)
{
  std::sort(aItems.begin(), aItems.end(), [](const Item& aLeft, const Item& aRight) {
    return aLeft.id_ < aRight.id_;
  });
  Json array = Json::array();
  for (const Item& item : aItems) {
    array.push_back(ToJson(item));
  }
  return array;
}

} // namespace

std::string
ConfigurationWriter::Write(const Configuration& aConfiguration)
{
  const Json document{ { "version", aConfiguration.version_ },
                       { "workspaces", Section(aConfiguration.workspaces_) },
                       { "keys", Section(aConfiguration.keys_) },
                       { "services", Section(aConfiguration.services_) },
                       { "routes", Section(aConfiguration.routes_) },
                       { "dataCentres", Section(aConfiguration.dataCentres_) } };
  return document.dump(kIndent) + "\n";
}

std::string
ConfigurationWriter::Write(const Workspace& aWorkspace)
{
  return ToJson(aWorkspace).dump();
}

std::string
ConfigurationWriter::Write(const CallerKey& aKey)
{
  return ToJson(aKey).dump();
}

std::string
ConfigurationWriter::Write(const Service& aService)
{
  return ToJson(aService).dump();
}

std::string
ConfigurationWriter::Write(const Route& aRoute)
{
  return ToJson(aRoute).dump();
}

std::string
ConfigurationWriter::Write(const DataCentre& aDataCentre)
{
  return ToJson(aDataCentre).dump();
}

} // namespace redwing
