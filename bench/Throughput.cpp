#include "Throughput.hpp"

#include "Fleet.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <stdexcept>
#include <unistd.h>

namespace redwing::bench {

namespace {

constexpr std::size_t kIngress = 0;
constexpr std::size_t kServing = 1;
/// Rate per instance at the design scale, and the half of it at which the added latency counts.
constexpr double kFullRate = 13500;
constexpr double kHalfRate = 6750;
constexpr double kStepSeconds = 3;
constexpr int kLoadGraceMs = 30000;
constexpr std::int64_t kLeadNs = 200'000'000;
constexpr std::uint32_t kSlots = 400;
constexpr std::uint32_t kConnections = 256;

Deployment
TwoInstances()
{
  Deployment result = MakeDeployment("taco-certo");
  result.name_ = "throughput";
  // The keyed server only makes the ingress a member; the load is for the pooled one.
  result.servers_ = { { "braga", result.keyedService_ }, { "braga", result.pooledService_ } };
  result.workspaces_ = { { "ws0", 1, 10'000'000, 10'000'000 } };
  result.slots_ = kSlots;
  // The server is warm: what is measured is the path, not the ramp after the first announcement.
  result.coldInitial_ = kSlots;
  result.connections_ = 4 * kConnections;
  result.serviceTimeUs_ = 0;
  return result;
}

/// Processor time of a process by thread name.
std::map<std::string, double>
CpuByThread(const Process& aProcess)
{
  std::map<std::string, double> result{ { "process", aProcess.CpuSeconds() } };
  for (const char* thread : { "intake", "peer", "backend", "control", "store" }) {
    result[thread] = aProcess.CpuSeconds(thread);
  }
  return result;
}

Json
Cores(const std::map<std::string, double>& aBefore, const Process& aProcess)
{
  Json result;
  for (const auto& [thread, seconds] : CpuByThread(aProcess)) {
    result[thread] = (seconds - aBefore.at(thread)) / kStepSeconds;
  }
  return result;
}

/// Sends the load of one step; aTarget is an instance or the backend server itself.
Json
RunStep(const Fleet& aFleet, const RunOptions& aOptions, const Address& aTarget, double aRate)
{
  auto plan = BaseLoadPlan(aFleet.Spec());
  plan["targets"] = { aTarget.ToString() };
  plan["rate"] = aRate;
  plan["seconds"] = kStepSeconds;
  plan["seed"] = aOptions.seed_;
  plan["connections"] = kConnections;
  plan["start_ns"] = standins::MonotonicNs() + kLeadNs;
  Json request = plan["requests"][2];
  request["bytes"] = 200;
  plan["requests"] = Json::array({ request });
  const auto& directory = aFleet.Directory();
  std::ofstream(directory / "plan.json") << plan;
  std::filesystem::remove(directory / "load.json");
  const Process& ingress = *aFleet.Nodes()[kIngress].instanceProcess_;
  const Process& serving = *aFleet.Nodes()[kServing].instanceProcess_;
  const Process& backend = *aFleet.Nodes()[kServing].backendProcess_;
  const auto ingressBefore = CpuByThread(ingress);
  const auto servingBefore = CpuByThread(serving);
  const double backendBefore = backend.CpuSeconds();
  Process load(aFleet.Program("redwing-load"),
               { "--plan", directory / "plan.json", "--outcomes", directory / "outcomes.jsonl" },
               directory / "load.json");
  if (load.Wait(static_cast<int>(kStepSeconds * 1000) + kLoadGraceMs) != 0) {
    throw std::runtime_error("the load generator failed or did not end");
  }
  std::ifstream input(directory / "load.json");
  const auto figures = Json::parse(input);
  Json step{ { "rate", aRate },
             { "ingress_cores", Cores(ingressBefore, ingress) },
             { "serving_cores", Cores(servingBefore, serving) },
             { "backend_cores", (backend.CpuSeconds() - backendBefore) / kStepSeconds } };
  for (const char* name : { "requests", "ok", "p50_ms", "p99_ms", "p999_ms" }) {
    step[name] = figures.at(name);
  }
  step["ok_per_s"] = figures.at("ok").get<double>() / kStepSeconds;
  const double requests = std::max(1.0, figures.at("requests").get<double>());
  for (const char* side : { "ingress", "serving" }) {
    const double cores = step[std::string(side) + "_cores"]["process"];
    step[std::string(side) + "_us_per_request"] = cores * kStepSeconds * 1e6 / requests;
  }
  return step;
}

void
AddBound(Json& aFigures, const char* aName, double aTarget, bool aAtLeast)
{
  const double value = aFigures.at(aName);
  const bool holds = aAtLeast ? value >= aTarget : value <= aTarget;
  aFigures["bounds"].push_back(
    { { "name", aName }, { "target", aTarget }, { "value", value }, { "holds", holds } });
  aFigures["pass"] = aFigures["pass"].get<bool>() && holds;
}

void
Measure(const Fleet& aFleet, const RunOptions& aOptions, Json& aFigures)
{
  const Address& ingress = aFleet.Nodes()[kIngress].callers_;
  const Address& backend = aFleet.Nodes()[kServing].backend_;
  aFigures["direct"] = RunStep(aFleet, aOptions, backend, kHalfRate);
  for (const double rate : { kHalfRate, kFullRate, 1.5 * kFullRate }) {
    Json step = RunStep(aFleet, aOptions, ingress, rate);
    aFigures["steps"].push_back(step);
    if (rate == kHalfRate) {
      for (const char* name : { "p50_ms", "p99_ms" }) {
        aFigures[std::string("added_") + name] =
          step[name].get<double>() - aFigures["direct"][name].get<double>();
      }
    } else if (rate == kFullRate) {
      aFigures["ok_share"] = step["ok"].get<double>() / (kFullRate * kStepSeconds);
      aFigures["ingress_cores"] = step["ingress_cores"]["process"];
      aFigures["serving_cores"] = step["serving_cores"]["process"];
    }
  }
  aFigures["pass"] = true;
  AddBound(aFigures, "added_p99_ms", 0.5, false);
  AddBound(aFigures, "ingress_cores", 1, false);
  AddBound(aFigures, "serving_cores", 1, false);
  // Arrivals are drawn from the seed, so their number varies by a few per cent.
  AddBound(aFigures, "ok_share", 0.97, true);
}

} // namespace

Json
RunThroughput(const RunOptions& aOptions)
{
  const auto directory = aOptions.work_ / ("throughput-" + std::to_string(::getpid()));
  std::filesystem::create_directories(directory);
  Json figures{ { "scenario", "throughput" }, { "seed", aOptions.seed_ }, { "pass", false } };
  figures["bounds"] = Json::array();
  try {
    FleetOptions options{ aOptions.binaries_, directory };
    options.instanceArguments_ = { "--log-level", "warning" };
    options.proxy_ = false;
    options.record_ = false;
    Fleet fleet(TwoInstances(), options);
    fleet.Start();
    Measure(fleet, aOptions, figures);
    fleet.Stop();
  } catch (const std::exception& error) {
    std::cerr << "throughput: " << error.what() << "\n";
    figures["error"] = error.what();
    figures["pass"] = false;
  }
  if (figures["pass"] && !aOptions.keep_) {
    std::filesystem::remove_all(directory);
  }
  return figures;
}

} // namespace redwing::bench
