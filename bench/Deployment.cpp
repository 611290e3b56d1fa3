#include "Deployment.hpp"

#include "core/Hash.hpp"

#include <stdexcept>

namespace redwing::bench {

namespace {

void
AddServers(Deployment& aDeployment, const std::string& aService, std::size_t aCount)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    const auto& dataCentre = aDeployment.dataCentres_[i % aDeployment.dataCentres_.size()];
    aDeployment.servers_.push_back({ dataCentre, aService });
  }
}

Deployment
TacoCerto()
{
  Deployment result;
  result.name_ = "taco-certo";
  result.region_ = "pt-norte";
  result.dataCentres_ = { "braga", "porto", "guimaraes", "viana" };
  result.delayMs_ = 0.5;
  result.keyedService_ = "booking";
  result.pooledService_ = "swing";
  result.keyedPath_ = "/bookings";
  result.pooledPath_ = "/swings";
  result.slots_ = 9;
  result.connections_ = 130;
  AddServers(result, "booking", 7);
  AddServers(result, "swing", 4);
  return result;
}

Deployment
Halvorsen()
{
  Deployment result;
  result.name_ = "halvorsen";
  result.region_ = "bc-lower";
  result.dataCentres_ = { "burnaby", "surrey", "abbotsford" };
  result.delayMs_ = 1.5;
  result.keyedService_ = "leasing";
  result.pooledService_ = "plant";
  result.keyedPath_ = "/leases";
  result.pooledPath_ = "/plant";
  result.slots_ = 12;
  result.connections_ = 80;
  AddServers(result, "leasing", 5);
  AddServers(result, "plant", 4);
  return result;
}

} // namespace

Deployment
MakeDeployment(const std::string& aName)
{
  if (aName != "taco-certo" && aName != "halvorsen") {
    throw std::invalid_argument("unknown deployment " + aName);
  }
  auto result = aName == "taco-certo" ? TacoCerto() : Halvorsen();
  // Eight workspaces, a few large.
  const double weights[] = { 30, 20, 10, 5, 3, 2, 1, 1 };
  for (double weight : weights) {
    result.workspaces_.push_back({ "ws" + std::to_string(result.workspaces_.size()), weight });
  }
  return result;
}

std::string
WorkspaceKey(const std::string& aWorkspace)
{
  return "demo-" + aWorkspace;
}

Json
ConfigurationDocument(const Deployment& aDeployment)
{
  Json document{ { "version", 1 },
                 { "workspaces", Json::array() },
                 { "keys", Json::array() },
                 { "services", Json::array() },
                 { "routes", Json::array() },
                 { "dataCentres", Json::array() } };
  for (const auto& workspace : aDeployment.workspaces_) {
    document["workspaces"].push_back({ { "id", workspace.id_ },
                                       { "rate", workspace.rate_ },
                                       { "burst", workspace.burst_ },
                                       { "weight", 1 } });
    document["keys"].push_back({ { "id", "key-" + workspace.id_ },
                                 { "workspace", workspace.id_ },
                                 { "hash", ToHex(Sha256(WorkspaceKey(workspace.id_))) } });
  }
  Json cold{ { "initial", aDeployment.coldInitial_ }, { "rampMs", 3000 } };
  document["services"] = {
    { { "id", aDeployment.keyedService_ },
      { "mode", "keyed" },
      { "shards", aDeployment.shards_ },
      { "coldStart", cold } },
    { { "id", aDeployment.pooledService_ }, { "mode", "pooled" }, { "coldStart", cold } }
  };
  auto route = [&](const std::string& aId, bool aKeyed, bool aWrite) {
    Json result{ { "id", aId },
                 { "pathPrefix", aKeyed ? aDeployment.keyedPath_ : aDeployment.pooledPath_ },
                 { "methods", { aWrite ? "POST" : "GET" } },
                 { "service", aKeyed ? aDeployment.keyedService_ : aDeployment.pooledService_ },
                 { "idempotent", !aWrite },
                 { "priority", 1 },
                 { "timeoutMs", 5000 } };
    if (aKeyed) {
      result["key"] = { { "segment", 1 } };
    }
    document["routes"].push_back(std::move(result));
  };
  route("keyed-read", true, false);
  route("keyed-write", true, true);
  route("pooled-read", false, false);
  route("pooled-write", false, true);
  for (const auto& dataCentre : aDeployment.dataCentres_) {
    document["dataCentres"].push_back(
      { { "id", dataCentre }, { "region", aDeployment.region_ }, { "withdrawn", false } });
  }
  return document;
}

Json
BaseLoadPlan(const Deployment& aDeployment)
{
  Json plan{ { "rate", aDeployment.rate_ },
             { "threads", 2 },
             { "timeout_ms", 8000 },
             { "workspaces", Json::array() } };
  for (const auto& workspace : aDeployment.workspaces_) {
    plan["workspaces"].push_back({ { "id", workspace.id_ },
                                   { "key", WorkspaceKey(workspace.id_) },
                                   { "weight", workspace.weight_ } });
  }
  plan["requests"] = { { { "name", "keyed-read" },
                         { "weight", 4 },
                         { "path", aDeployment.keyedPath_ + "/{key}" },
                         { "keys", 200 } },
                       { { "name", "keyed-write" },
                         { "weight", 2 },
                         { "method", "POST" },
                         { "path", aDeployment.keyedPath_ + "/{key}" },
                         { "keys", 200 },
                         { "request_bytes", 200 },
                         { "idempotent", false },
                         { "idempotency_key", true } },
                       { { "name", "pooled-read" },
                         { "weight", 4 },
                         { "path", aDeployment.pooledPath_ + "/{key}" },
                         { "bytes", 4000 },
                         { "binary", true } } };
  return plan;
}

} // namespace redwing::bench
