#include "Runner.hpp"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <fstream>
#include <future>
#include <iostream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace redwing::bench {

namespace {

using standins::MonotonicNs;

constexpr std::int64_t kLeadNs = 500'000'000;
/// Added to the duration for the requests that are still open at its end.
constexpr int kLoadGraceMs = 30000;
/// Faults are moved by up to this fraction of the duration, drawn from the seed.
constexpr double kShift = 0.05;
constexpr std::chrono::milliseconds kSupervision{ 50 };

/// Processor time and memory of the instances between two points in time.
class Usage
{
public:
  explicit Usage(const Fleet& aFleet)
    : fleet_(aFleet)
    , fromNs_(MonotonicNs())
    , from_(ControlSeconds())
  {
  }

  void Add(Json& aResult) const
  {
    double seconds = static_cast<double>(MonotonicNs() - fromNs_) / 1e9;
    double rss = 0;
    std::size_t instances = 0;
    for (const auto& node : fleet_.Nodes()) {
      if (node.instanceProcess_ && node.instanceProcess_->Running()) {
        rss = std::max(rss, node.instanceProcess_->RssMb());
        ++instances;
      }
    }
    double used = ControlSeconds() - from_;
    bool known = instances > 0 && used >= 0;
    aResult["control_cpu_percent"] =
      known ? Json(100 * used / seconds / static_cast<double>(instances)) : Json();
    aResult["control_rss_mb"] = instances > 0 ? Json(rss) : Json();
  }

private:
  /// Threads of the control plane carry their function as name.
  double ControlSeconds() const
  {
    double total = 0;
    for (const auto& node : fleet_.Nodes()) {
      if (node.instanceProcess_ && node.instanceProcess_->Running()) {
        total += node.instanceProcess_->CpuSeconds("control");
        total += node.instanceProcess_->CpuSeconds("store");
      }
    }
    return total;
  }

  const Fleet& fleet_;
  std::int64_t fromNs_;
  double from_;
};

/// Settings of the instances that turn the routing into the baseline that aVariant names.
std::vector<std::string>
InstanceArguments(const std::string& aVariant)
{
  if (aVariant == "round-robin" || aVariant == "least-outstanding") {
    return { "--balancing", aVariant, "--hedging", "off", "--ejection", "off" };
  }
  if (aVariant == "no-hedging") {
    return { "--hedging", "off" };
  }
  return {};
}

/// One pass of a scenario: fleet, load, faults, records.
class Pass
{
public:
  Pass(const Scenario& aScenario,
       const RunOptions& aOptions,
       bool aFaults,
       const std::filesystem::path& aDirectory)
    : scenario_(aScenario)
    , options_(aOptions)
    , faults_(aFaults)
    , seconds_(aOptions.seconds_.value_or(aScenario.seconds_))
    , random_(aOptions.seed_)
    , fleet_(Spec(),
             { aOptions.binaries_,
               aDirectory,
               aOptions.variant_ == "direct",
               InstanceArguments(aOptions.variant_) })
  {
  }

  Json Run()
  {
    std::cerr << scenario_.name_ << (faults_ ? "" : " (without faults)") << ": starting "
              << fleet_.Nodes().size() << " servers in " << fleet_.Directory().string() << "\n";
    fleet_.Start();
    marks_.startNs_ = MonotonicNs() + kLeadNs;
    marks_.endNs_ = marks_.startNs_ + static_cast<std::int64_t>(seconds_ * 1e9);
    WritePlan();
    auto calls = fleet_.StoreCalls();
    auto bytes = fleet_.ControlBytes();
    Usage usage(fleet_);
    Process load(fleet_.Program("redwing-load"),
                 { "--plan",
                   fleet_.Directory() / "plan.json",
                   "--outcomes",
                   fleet_.Directory() / "outcomes.jsonl" },
                 fleet_.Directory() / "load.json");
    InjectFaults();
    WaitUntil(marks_.endNs_);
    Json figures = Json::object();
    usage.Add(figures);
    figures["store_calls"] = fleet_.StoreCalls() - calls;
    figures["control_bytes_per_s"] = fleet_.HasProxy()
                                       ? Json((fleet_.ControlBytes() - bytes) / seconds_ /
                                              static_cast<double>(fleet_.Nodes().size()))
                                       : Json();
    if (load.Wait(kLoadGraceMs) != 0) {
      throw std::runtime_error("the load generator failed or did not end");
    }
    fleet_.Stop();
    Collect(figures);
    return figures;
  }

private:
  Deployment Spec()
  {
    auto spec = MakeDeployment(options_.deployment_);
    if (scenario_.adjust_) {
      scenario_.adjust_(spec, marks_);
    }
    spec.checkTokens_ = spec.checkTokens_ && options_.variant_ != "unchecked";
    return spec;
  }

  void WritePlan()
  {
    auto plan = BaseLoadPlan(fleet_.Spec());
    plan["targets"] = fleet_.Targets();
    plan["seconds"] = seconds_;
    plan["seed"] = options_.seed_;
    plan["start_ns"] = marks_.startNs_;
    if (scenario_.load_) {
      scenario_.load_(plan, seconds_);
    }
    if (options_.variant_ == "half-load") {
      plan["rate"] = plan["rate"].get<double>() / 2;
    }
    if (marks_.capacity_ > 0) {
      auto at = [&](const char* aName) {
        auto second = plan.at("bursts").at(0).at(aName).get<double>();
        return marks_.startNs_ + static_cast<std::int64_t>(second * 1e9);
      };
      marks_.overloadFromNs_ = at("from_s");
      marks_.overloadUntilNs_ = at("until_s");
    }
    std::ofstream(fleet_.Directory() / "plan.json") << plan;
  }

  void InjectFaults()
  {
    FaultContext context{ fleet_, marks_, random_ };
    auto draw = [&](bool aKeyed) {
      auto servers = fleet_.Servers(aKeyed);
      return servers[random_.Below(servers.size())];
    };
    context.keyedVictim_ = draw(true);
    context.pooledVictim_ = draw(false);
    double shift = kShift * (2 * random_.Unit() - 1);
    if (options_.variant_ == "store-down") {
      fleet_.StoreCommand("/down");
    }
    if (!faults_) {
      return;
    }
    for (const auto& fault : scenario_.faults_) {
      auto at = std::max(0.0, fault.at_ + shift) * seconds_;
      WaitUntil(marks_.startNs_ + static_cast<std::int64_t>(at * 1e9));
      std::cerr << scenario_.name_ << ": fault at " << at << " s\n";
      if (fault.startsProcesses_) {
        fault.action_(context);
        continue;
      }
      // Processes are started on this thread only: the kernel ends them with the thread that
      // started them.
      auto action = std::async(std::launch::async, [&] { fault.action_(context); });
      while (action.wait_for(kSupervision) != std::future_status::ready) {
        RestartBackends();
      }
      action.get();
    }
  }

  void WaitUntil(std::int64_t aNs)
  {
    for (auto wait = aNs - MonotonicNs(); wait > 0; wait = aNs - MonotonicNs()) {
      RestartBackends();
      std::this_thread::sleep_for(
        std::min<std::chrono::nanoseconds>(kSupervision, std::chrono::nanoseconds(wait)));
    }
  }

  void RestartBackends()
  {
    if (!scenario_.restartBackends_) {
      return;
    }
    for (auto& node : fleet_.Nodes()) {
      if (!node.backendProcess_->Running()) {
        std::cerr << scenario_.name_ << ": restarting backend server " << node.index_ << "\n";
        fleet_.StartBackend(node.index_);
      }
    }
  }

  void Collect(Json& aFigures)
  {
    Records records;
    for (const auto& node : fleet_.Nodes()) {
      ReadRecords(node.records_, node.index_, records);
    }
    auto outcomes = ReadOutcomes(fleet_.Directory() / "outcomes.jsonl");
    std::ifstream input(fleet_.Directory() / "load.json");
    auto load = Json::parse(input);
    for (const char* name : { "requests",
                              "ok",
                              "refused_not_run",
                              "unknown",
                              "wrong_answer",
                              "connect_error",
                              "p50_ms",
                              "p99_ms",
                              "p999_ms",
                              "max_ms",
                              "codes" }) {
      aFigures[name] = load.at(name);
    }
    aFigures["ok_share"] =
      load.at("ok").get<double>() / std::max(1.0, load.at("requests").get<double>());
    std::uint64_t executed = 0;
    for (const auto& run : records.runs_) {
      executed += run.startNs_ >= marks_.startNs_ ? 1 : 0;
    }
    aFigures["extra_work"] =
      static_cast<double>(executed) / std::max(1.0, load.at("requests").get<double>()) - 1;
    aFigures.update(Judge(fleet_.Spec(), records, outcomes, marks_).Figures());
    aFigures["proxy"] = fleet_.HasProxy();
  }

  const Scenario& scenario_;
  const RunOptions& options_;
  bool faults_;
  double seconds_;
  Random random_;
  Marks marks_;
  Fleet fleet_;
};

void
AddRatio(Json& aFigures, const Json& aBaseline, const std::string& aName)
{
  const auto& value = aFigures[aName + "_ms"];
  const auto& base = aBaseline[aName + "_ms"];
  bool known = value.is_number() && base.is_number() && base.get<double>() > 0;
  aFigures["baseline_" + aName + "_ms"] = base;
  aFigures[aName + "_ratio"] = known ? Json(value.get<double>() / base.get<double>()) : Json();
}

void
ApplyBounds(const Scenario& aScenario, bool aCorrectness, Json& aFigures)
{
  auto bounds = CorrectnessBounds(aScenario);
  if (!aCorrectness) {
    bounds = CommonBounds();
    bounds.insert(bounds.end(), aScenario.bounds_.begin(), aScenario.bounds_.end());
  }
  bool pass = true;
  for (const auto& bound : bounds) {
    Json value = aFigures.contains(bound.name_) ? aFigures[bound.name_] : Json();
    // A figure that could not be determined does not hold.
    bool holds = value.is_number() && (bound.atLeast_ ? value.get<double>() >= bound.target_
                                                      : value.get<double>() <= bound.target_);
    aFigures["bounds"].push_back({ { "name", bound.name_ },
                                   { "target", bound.target_ },
                                   { "value", value },
                                   { "holds", holds } });
    pass = pass && holds;
  }
  aFigures["pass"] = pass;
}

/// All fields of the result, so that those which don't apply are null.
Json
EmptyFigures()
{
  Json result = Json::object();
  for (const char* name : { "requests",
                            "ok",
                            "refused_not_run",
                            "unknown",
                            "wrong_answer",
                            "false_not_run",
                            "double_run",
                            "double_owner_ms",
                            "unavailable_ms_max",
                            "unavailable_ms_total",
                            "imbalance",
                            "churn_ratio",
                            "p50_ms",
                            "p99_ms",
                            "p999_ms",
                            "max_ms",
                            "worst_workspace_ok",
                            "worst_workspace_p99_ms",
                            "over_rate",
                            "refused_within_rate",
                            "config_spread_ms_max",
                            "withdrawn_key_ms_max",
                            "after_withdraw_requests",
                            "store_calls",
                            "control_cpu_percent",
                            "control_rss_mb",
                            "control_bytes_per_s" }) {
    result[name] = nullptr;
  }
  result["bounds"] = Json::array();
  return result;
}

Json
RunOnce(const Scenario& aScenario,
        const RunOptions& aOptions,
        bool aFaults,
        const std::filesystem::path& aDirectory)
{
  std::filesystem::create_directories(aDirectory);
  return Pass(aScenario, aOptions, aFaults, aDirectory).Run();
}

} // namespace

Json
RunScenario(const Scenario& aScenario, const RunOptions& aOptions)
{
  auto directory = aOptions.work_ / (aScenario.name_ + "-" + std::to_string(::getpid()));
  Json figures = EmptyFigures();
  try {
    Json baseline;
    bool compare = aScenario.compare_ && !aOptions.correctness_;
    if (compare) {
      baseline = RunOnce(aScenario, aOptions, false, directory / "baseline");
    }
    figures.update(RunOnce(aScenario, aOptions, true, directory));
    if (compare) {
      AddRatio(figures, baseline, "p99");
      AddRatio(figures, baseline, "p999");
    }
    ApplyBounds(aScenario, aOptions.correctness_, figures);
  } catch (const std::exception& error) {
    std::cerr << aScenario.name_ << ": " << error.what() << "\n";
    figures["error"] = error.what();
    figures["pass"] = false;
  }
  figures["scenario"] = aScenario.name_;
  figures["deployment"] = aOptions.deployment_;
  figures["seed"] = aOptions.seed_;
  figures["variant"] = aOptions.variant_.empty() ? Json() : Json(aOptions.variant_);
  if (figures["pass"] && !aOptions.keep_) {
    std::filesystem::remove_all(directory);
  } else {
    std::cerr << aScenario.name_ << ": logs and records are in " << directory.string() << "\n";
  }
  return figures;
}

} // namespace redwing::bench
