#include "Actions.hpp"
#include "Runner.hpp"
#include "Scale.hpp"
#include "Throughput.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>

namespace {

using namespace redwing::bench;

/// The demonstration: usual load, a data centre is withdrawn and restored, an instance is killed.
Scenario
Demo()
{
  using namespace Actions;
  Scenario demo{ "demo", "a small fleet under load with two faults", 12 };
  demo.load_ = [](Json& aPlan, double) { aPlan["rate"] = 300; };
  demo.faults_ = { { 0.2, WithdrawDataCentre },
                   { 0.5, RestoreDataCentre },
                   { 0.75, KillInstance } };
  demo.bounds_ = { { "after_withdraw_requests", 0 }, { "unavailable_ms_max", 2000 } };
  return demo;
}

void
PrintTable(const Json& aFigures)
{
  for (const auto& [name, value] : aFigures.items()) {
    if (!value.is_null() && name != "bounds") {
      std::cout << name << ": " << value.dump() << "\n";
    }
  }
  for (const auto& bound : aFigures.value("bounds", Json::array())) {
    std::cout << (bound["holds"].get<bool>() ? "holds  " : "BROKEN ")
              << bound["name"].get<std::string>() << " (target " << bound["target"] << ", value "
              << bound["value"] << ")\n";
  }
}

int
RunDemo(const RunOptions& aOptions, bool aOnce)
{
  auto figures = RunScenario(Demo(), aOptions);
  if (!aOnce) {
    PrintTable(figures);
  }
  Json line;
  for (const char* name : { "requests",
                            "ok",
                            "refused_not_run",
                            "unknown",
                            "wrong_answer",
                            "p50_ms",
                            "p99_ms",
                            "pass" }) {
    line[name] = figures.contains(name) ? figures[name] : Json();
  }
  std::cout << line.dump() << "\n";
  return figures["pass"] ? 0 : 1;
}

int
RunThroughputMode(const RunOptions& aOptions, bool aJson)
{
  auto figures = RunThroughput(aOptions);
  if (aJson) {
    std::cout << figures.dump() << std::endl;
  } else {
    PrintTable(figures);
  }
  return figures["pass"] ? 0 : 1;
}

int
RunNamed(const std::string& aName, const RunOptions& aOptions, bool aJson)
{
  bool found = false;
  bool pass = true;
  for (const auto& scenario : AllScenarios()) {
    if (aName != "all" && aName != scenario.name_) {
      continue;
    }
    found = true;
    auto figures = RunScenario(scenario, aOptions);
    pass = pass && figures["pass"].get<bool>();
    if (aJson) {
      std::cout << figures.dump() << std::endl;
    } else {
      PrintTable(figures);
    }
  }
  if (!found) {
    std::cerr << "unknown scenario " << aName << "; see bench/list\n";
    return 2;
  }
  return pass ? 0 : 1;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  RunOptions options;
  ScaleOptions scale;
  std::string name;
  bool json = false;
  bool once = false;
  CLI::App app{ "Runs scenarios against real processes" };
  app.add_option("scenario", name, "name of a scenario, all, list, demo or scale")->required();
  app.add_option("--deployment", options.deployment_)
    ->check(CLI::IsMember({ "taco-certo", "halvorsen" }));
  app.add_option("--seed", options.seed_);
  app.add_option("--seconds", options.seconds_)->check(CLI::Range(1.0, 3600.0));
  app.add_option("--variant", options.variant_)
    ->check(CLI::IsMember({ "direct",
                            "store-down",
                            "unchecked",
                            "half-load",
                            "round-robin",
                            "least-outstanding",
                            "no-hedging" }));
  app.add_option("--build-directory", options.binaries_)->required();
  app.add_option("--work-directory", options.work_)->required();
  app.add_flag("--keep", options.keep_, "keep logs and records of a run that passes");
  app.add_flag("--correctness",
               options.correctness_,
               "assert correctness and, with generous limits, liveness, but no other bound");
  app.add_flag("--json", json, "one JSON object per scenario");
  app.add_flag("--once", once, "demo: print only the line of JSON");
  app.add_option("--instances", scale.instances_, "scale: number of instances")
    ->check(CLI::Range(2, 120));
  app.add_option("--shards", scale.shards_, "scale: shards of the keyed service")
    ->check(CLI::Range(1, 65536));
  app.add_option("--rate", scale.rate_, "scale: requests per second over all instances");
  CLI11_PARSE(app, aCount, aArguments);
  if (name == "list") {
    for (const auto& scenario : AllScenarios()) {
      std::cout << scenario.name_ << ": " << scenario.about_ << "\n";
    }
    std::cout << "throughput: one ingress and one serving instance at rising rates\n";
    return 0;
  }
  try {
    if (name == "throughput") {
      return RunThroughputMode(options, json);
    }
    if (name == "scale") {
      scale.seconds_ = options.seconds_.value_or(scale.seconds_);
      scale.binaries_ = options.binaries_;
      scale.work_ = options.work_;
      std::cout << RunScale(scale).dump(2) << "\n";
      return 0;
    }
    return name == "demo" ? RunDemo(options, once) : RunNamed(name, options, json);
  } catch (const std::exception& error) {
    std::cerr << "redwing-bench: " << error.what() << "\n";
    return 1;
  }
}
