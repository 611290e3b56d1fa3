#include "load/Summary.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace redwing::standins {

using Json = nlohmann::json;

namespace {

constexpr std::int64_t kIntervalNs = 100'000'000;
constexpr std::array kOutcomeNames{ "pending", "ok",           "refused_not_run",
                                    "unknown", "wrong_answer", "connect_error" };

class Group
{
public:
  void Add(const LoadItem& aItem)
  {
    ++outcomes_[static_cast<std::size_t>(aItem.outcome_)];
    if (aItem.outcome_ == LoadOutcome::Ok) {
      latencies_.push_back(static_cast<double>(aItem.doneNs_ - aItem.scheduledNs_) / 1e6);
    }
  }

  Json Result()
  {
    std::sort(latencies_.begin(), latencies_.end());
    std::uint64_t total = 0;
    Json result = Json::object();
    for (std::size_t i = 1; i < outcomes_.size(); ++i) {
      result[kOutcomeNames[i]] = outcomes_[i];
      total += outcomes_[i];
    }
    result["requests"] = total;
    result["p50_ms"] = Quantile(0.5);
    result["p99_ms"] = Quantile(0.99);
    result["p999_ms"] = Quantile(0.999);
    result["max_ms"] = Quantile(1);
    return result;
  }

private:
  Json Quantile(double aQuantile) const
  {
    if (latencies_.empty()) {
      return nullptr;
    }
    auto at = static_cast<std::size_t>(aQuantile * static_cast<double>(latencies_.size()));
    return latencies_[std::min(at, latencies_.size() - 1)];
  }

  std::array<std::uint64_t, kOutcomeNames.size()> outcomes_{};
  std::vector<double> latencies_;
};

} // namespace

Json
Summarise(const LoadPlan& aPlan, std::span<const LoadItem> aItems)
{
  Group all;
  std::vector<Group> workspaces(aPlan.workspaces_.size());
  std::map<std::string, Group> kinds;
  std::map<std::string, std::uint64_t> codes;
  std::vector<Group> series(static_cast<std::size_t>(aPlan.seconds_ * 1e9 / kIntervalNs) + 1);
  for (const auto& item : aItems) {
    all.Add(item);
    workspaces[item.workspace_].Add(item);
    kinds[aPlan.requests_[item.request_].name_].Add(item);
    series[item.scheduledNs_ / kIntervalNs].Add(item);
    if (!item.code_.empty()) {
      ++codes[item.code_];
    }
  }
  Json result = all.Result();
  result["seconds"] = aPlan.seconds_;
  result["codes"] = codes;
  for (std::size_t i = 0; i < workspaces.size(); ++i) {
    result["workspaces"][aPlan.workspaces_[i].id_] = workspaces[i].Result();
  }
  for (auto& [name, group] : kinds) {
    result["kinds"][name] = group.Result();
  }
  for (auto& group : series) {
    result["per_100_ms"].push_back(group.Result());
  }
  return result;
}

void
WriteOutcomes(const LoadPlan& aPlan,
              std::span<const LoadItem> aItems,
              std::int64_t aStartNs,
              const std::string& aPath)
{
  std::ofstream output(aPath);
  for (const auto& item : aItems) {
    const auto& request = aPlan.requests_[item.request_];
    const auto& workspace = aPlan.workspaces_[item.workspace_].id_;
    Json line{ { "load_id", LoadId(aPlan, item) },
               { "workspace", workspace },
               { "kind", request.name_ },
               { "key", workspace + "-" + std::to_string(item.key_) },
               { "idempotent", request.idempotent_ },
               { "outcome", kOutcomeNames[static_cast<std::size_t>(item.outcome_)] },
               { "status", item.status_ },
               { "code", item.code_ },
               { "attempts", item.attempts_ },
               { "unknown_before", item.unknownBefore_ },
               { "target", aPlan.targets_[item.target_].ToString() },
               { "scheduled", aStartNs + item.scheduledNs_ },
               { "done", aStartNs + item.doneNs_ } };
    output << line.dump(-1, ' ', false, Json::error_handler_t::replace) << '\n';
  }
  if (!output.flush()) {
    throw std::runtime_error("cannot write " + aPath);
  }
}

} // namespace redwing::standins
