#include "Scale.hpp"

#include "Fleet.hpp"
#include "common/HttpServer.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace redwing::bench {

namespace {

constexpr std::chrono::seconds kSettle{ 12 };
constexpr int kLoadGraceMs = 30000;
constexpr std::size_t kPooledShare = 10;

Deployment
ScaleDeployment(const ScaleOptions& aOptions)
{
  Deployment result = MakeDeployment("taco-certo");
  result.name_ = "scale";
  result.shards_ = aOptions.shards_;
  result.checkTokens_ = true;
  result.servers_.clear();
  for (std::size_t i = 0; i < aOptions.instances_; ++i) {
    const bool pooled = i % kPooledShare == 0;
    result.servers_.push_back({ result.dataCentres_[i % result.dataCentres_.size()],
                                pooled ? result.pooledService_ : result.keyedService_ });
  }
  return result;
}

/// Returns the value of a counter without labels in Prometheus text; 0 when it is absent.
double
Metric(const std::string& aText, const std::string& aName)
{
  std::istringstream lines(aText);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(aName + " ")) {
      return std::strtod(line.c_str() + aName.size(), nullptr);
    }
  }
  return 0;
}

/// Totals over all running instances.
struct Sample
{
  std::chrono::steady_clock::time_point at_;
  std::size_t instances_ = 0;
  double control_ = 0;
  double store_ = 0;
  double maxCpu_ = 0;
  double sent_ = 0;
  double received_ = 0;
  double rssMax_ = 0;
  double rss_ = 0;
  std::uint64_t storeCalls_ = 0;
  std::vector<double> cpu_;
};

Sample
Take(Fleet& aFleet)
{
  Sample sample;
  sample.at_ = std::chrono::steady_clock::now();
  sample.storeCalls_ = aFleet.StoreCalls();
  for (const Node& node : aFleet.Nodes()) {
    sample.cpu_.push_back(0);
    if (!node.instanceProcess_ || !node.instanceProcess_->Running()) {
      continue;
    }
    ++sample.instances_;
    const double control = node.instanceProcess_->CpuSeconds("control");
    const double store = node.instanceProcess_->CpuSeconds("store");
    sample.control_ += control;
    sample.store_ += store;
    sample.cpu_.back() = control + store;
    const double rss = node.instanceProcess_->RssMb();
    sample.rss_ += rss;
    sample.rssMax_ = std::max(sample.rssMax_, rss);
    const std::string text = Call(node.local_, "GET", "/metrics").body_;
    sample.sent_ += Metric(text, "redwing_control_bytes_sent_total");
    sample.received_ += Metric(text, "redwing_control_bytes_received_total");
  }
  return sample;
}

Json
Rates(const Sample& aFrom, const Sample& aTo)
{
  const double seconds = std::chrono::duration<double>(aTo.at_ - aFrom.at_).count();
  const double share = 1 / (seconds * static_cast<double>(aTo.instances_));
  double most = 0;
  for (std::size_t i = 0; i < aTo.cpu_.size(); ++i) {
    most = std::max(most, (aTo.cpu_[i] - aFrom.cpu_[i]) / seconds);
  }
  return { { "seconds", seconds },
           { "control_cpu_percent", 100 * (aTo.control_ - aFrom.control_) * share },
           { "store_cpu_percent", 100 * (aTo.store_ - aFrom.store_) * share },
           { "cpu_percent_max", 100 * most },
           { "sent_bytes_per_s", (aTo.sent_ - aFrom.sent_) * share },
           { "received_bytes_per_s", (aTo.received_ - aFrom.received_) * share },
           { "rss_mb", aTo.rss_ / static_cast<double>(aTo.instances_) },
           { "rss_mb_max", aTo.rssMax_ },
           { "store_calls", aTo.storeCalls_ - aFrom.storeCalls_ },
           { "store_calls_per_s",
             static_cast<double>(aTo.storeCalls_ - aFrom.storeCalls_) / seconds } };
}

void
Pause(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

Json
Measure(Fleet& aFleet, double aSeconds)
{
  const Sample before = Take(aFleet);
  Pause(aSeconds);
  return Rates(before, Take(aFleet));
}

Json
MeasureLoaded(Fleet& aFleet, const ScaleOptions& aOptions)
{
  Json plan = BaseLoadPlan(aFleet.Spec());
  plan["targets"] = aFleet.Targets();
  plan["seconds"] = aOptions.seconds_ + 2;
  plan["seed"] = 1;
  plan["rate"] = aOptions.rate_;
  plan["start_ns"] = standins::MonotonicNs() + 500'000'000;
  std::ofstream(aFleet.Directory() / "plan.json") << plan;
  Process load(aFleet.Program("redwing-load"),
               { "--plan",
                 aFleet.Directory() / "plan.json",
                 "--outcomes",
                 aFleet.Directory() / "outcomes.jsonl" },
               aFleet.Directory() / "load.json");
  Pause(1.5);
  Json figures = Measure(aFleet, aOptions.seconds_);
  figures["load_ended"] = load.Wait(kLoadGraceMs) == 0;
  return figures;
}

} // namespace

Json
RunScale(const ScaleOptions& aOptions)
{
  const auto directory = aOptions.work_ / ("scale-" + std::to_string(::getpid()));
  std::filesystem::create_directories(directory);
  FleetOptions options{ aOptions.binaries_, directory };
  options.proxy_ = false;
  Fleet fleet(ScaleDeployment(aOptions), options);
  fleet.Start();
  std::this_thread::sleep_for(kSettle);
  double load[1] = {};
  Json figures{ { "instances", aOptions.instances_ }, { "shards", aOptions.shards_ } };
  figures["idle"] = Measure(fleet, aOptions.seconds_);
  if (aOptions.rate_ > 0) {
    figures["loaded"] = MeasureLoaded(fleet, aOptions);
    figures["loaded"]["rate"] = aOptions.rate_;
  }
  const std::size_t victim = aOptions.instances_ - 1;
  fleet.Nodes()[victim].instanceProcess_->Signal(SIGKILL);
  fleet.Nodes()[victim].instanceProcess_->Wait(kLoadGraceMs);
  figures["loss"] = Measure(fleet, aOptions.seconds_);
  fleet.StartInstance(victim);
  figures["join"] = Measure(fleet, aOptions.seconds_);
  if (::getloadavg(load, 1) == 1) {
    figures["load_average"] = load[0];
  }
  fleet.Stop();
  std::error_code ignored;
  std::filesystem::remove_all(directory, ignored);
  return figures;
}

} // namespace redwing::bench
