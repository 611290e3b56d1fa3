#include "common/HttpServer.hpp"
#include "load/Plan.hpp"
#include "load/Schedule.hpp"
#include "load/Summary.hpp"
#include "load/Worker.hpp"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using namespace redwing::standins;

struct Flags
{
  std::string plan_;
  std::string outcomes_;
  std::vector<std::string> targets_;
  std::optional<double> rate_;
  std::optional<double> seconds_;
  std::optional<std::uint64_t> seed_;
  std::optional<std::uint32_t> threads_;
  std::optional<std::uint32_t> connections_;
  std::vector<std::string> workspaces_;
};

/// Flags override the fields of the plan file.
LoadPlan
BuildPlan(const Flags& aFlags)
{
  nlohmann::json document = nlohmann::json::object();
  if (!aFlags.plan_.empty()) {
    std::ifstream input(aFlags.plan_);
    document = nlohmann::json::parse(input);
  }
  if (!aFlags.targets_.empty()) {
    document["targets"] = aFlags.targets_;
  }
  auto plan = ParsePlan(document);
  plan.rate_ = aFlags.rate_.value_or(plan.rate_);
  plan.seconds_ = aFlags.seconds_.value_or(plan.seconds_);
  plan.seed_ = aFlags.seed_.value_or(plan.seed_);
  plan.threads_ = aFlags.threads_.value_or(plan.threads_);
  plan.connections_ = aFlags.connections_.value_or(plan.connections_);
  for (const auto& text : aFlags.workspaces_) {
    auto split = text.find('=');
    auto id = text.substr(0, split);
    auto weight = split == std::string::npos ? 1 : std::stod(text.substr(split + 1));
    plan.workspaces_.push_back({ id, "demo-" + id, weight });
  }
  if (plan.workspaces_.empty()) {
    plan.workspaces_.push_back({ "default", "", 1 });
  }
  if (plan.requests_.empty()) {
    auto& request = plan.requests_.emplace_back();
    request.name_ = "default";
    request.path_ = "/{key}";
  }
  if (plan.targets_.empty()) {
    throw std::invalid_argument("no target is given");
  }
  return plan;
}

int
RunLoad(const Flags& aFlags)
{
  auto plan = BuildPlan(aFlags);
  auto items = DrawSchedule(plan);
  auto start = plan.startNs_ == 0 ? MonotonicNs() + 10'000'000 : plan.startNs_;
  auto count = std::max(plan.threads_, 1U);
  std::vector<std::unique_ptr<Worker>> workers;
  for (std::size_t i = 0; i < count; ++i) {
    workers.push_back(std::make_unique<Worker>(plan, items, i, count, start));
  }
  std::vector<std::jthread> threads;
  threads.reserve(count);
  for (auto& worker : workers) {
    threads.emplace_back([&worker] { worker->Run(); });
  }
  threads.clear();
  if (!aFlags.outcomes_.empty()) {
    WriteOutcomes(plan, items, start, aFlags.outcomes_);
  }
  auto summary = Summarise(plan, items);
  summary["start_ns"] = start;
  std::cout << summary.dump() << "\n";
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Flags flags;
  CLI::App app{ "Open-loop load generator" };
  app.add_option("--plan", flags.plan_, "JSON file with the whole plan");
  app.add_option("--outcomes", flags.outcomes_, "file for one JSON line per request");
  app.add_option("--targets", flags.targets_, "IP:PORT, comma separated")->delimiter(',');
  app.add_option("--rate", flags.rate_, "requests per second");
  app.add_option("--seconds", flags.seconds_);
  app.add_option("--seed", flags.seed_);
  app.add_option("--threads", flags.threads_);
  app.add_option("--connections", flags.connections_, "limit per target and thread");
  app.add_option("--workspaces", flags.workspaces_, "ID=WEIGHT, comma separated")->delimiter(',');
  CLI11_PARSE(app, aCount, aArguments);
  try {
    return RunLoad(flags);
  } catch (const std::exception& error) {
    std::cerr << "redwing-load: " << error.what() << "\n";
    return 1;
  }
}
