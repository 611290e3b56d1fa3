#include "Actions.hpp"
#include "control/OwnershipDriver.hpp"
#include "control/PlannerRole.hpp"
#include "core/Hash.hpp"
#include "membership/RingOrder.hpp"

#include <algorithm>
#include <csignal>
#include <deque>
#include <iostream>
#include <thread>

/// Faults of several processes, of the network and of the store.
namespace redwing::bench::Actions {

namespace {

using standins::MonotonicNs;

constexpr std::chrono::milliseconds kPoll{ 50 };
constexpr std::int64_t kRestartLimitNs = 10'000'000'000;
constexpr int kStopLimitMs = 10000;
/// How long the calls are counted after the store is back.
constexpr std::int64_t kCountingNs = 3'000'000'000;
constexpr std::int64_t kSecondNs = 1'000'000'000;

void
Kill(FaultContext& aContext, std::size_t aNode)
{
  auto& node = aContext.fleet_.Nodes()[aNode];
  aContext.marks_.affected_.insert(aNode);
  if (node.instanceProcess_) {
    node.instanceProcess_->Signal(SIGKILL);
  }
  node.backendProcess_->Signal(SIGKILL);
}

std::size_t
IndexOf(const std::string& aInstanceId)
{
  return std::stoul(aInstanceId.substr(1));
}

bool
AwaitHealthy(const Node& aNode)
{
  auto from = MonotonicNs();
  while (!Call(aNode.local_, "GET", "/healthz").Ok()) {
    if (MonotonicNs() - from > kRestartLimitNs) {
      std::cerr << "instance " << aNode.index_ << " was not healthy within 10 s of its restart\n";
      return false;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

std::size_t
NextOnRing(const Fleet& aFleet, std::size_t aNode)
{
  std::vector<RingMember> members;
  for (const auto& node : aFleet.Nodes()) {
    members.push_back({ { "i" + std::to_string(node.index_), 1 },
                        node.spec_.dataCentre_,
                        "r" + std::to_string(node.index_),
                        aFleet.Spec().region_ });
  }
  auto ring = OrderRing(members, aFleet.Spec().region_);
  auto found = std::find_if(ring.begin(), ring.end(), [&](const auto& aMember) {
    return IndexOf(aMember.ref_.id_) == aNode;
  });
  return IndexOf((found + 1 == ring.end() ? ring.front() : *(found + 1)).ref_.id_);
}

std::string
VictimName(const FaultContext& aContext)
{
  return Fleet::ProxyName(aContext.fleet_.Nodes()[aContext.keyedVictim_]);
}

/// Calls that the store counted up to a point in time.
struct CallSample
{
  std::int64_t atNs_ = 0;
  double reads_ = 0;
  double writes_ = 0;
};

CallSample
Sample(const Fleet& aFleet)
{
  CallSample sample{ MonotonicNs() };
  // items() refers to the object, which must outlive the loop.
  const auto counts = aFleet.StoreCounts();
  for (const auto& [path, count] : counts.items()) {
    if (path == "/v3/kv/range" || path == "/v3/watch") {
      sample.reads_ += count.get<double>();
    } else if (path.starts_with("/v3/")) {
      sample.writes_ += count.get<double>();
    }
  }
  return sample;
}

} // namespace

void
KillNeighbours(FaultContext& aContext)
{
  auto next = NextOnRing(aContext.fleet_, aContext.keyedVictim_);
  Kill(aContext, aContext.keyedVictim_);
  Kill(aContext, next);
}

void
KillDataCentre(FaultContext& aContext)
{
  const auto lost = aContext.fleet_.Nodes()[aContext.keyedVictim_].spec_.dataCentre_;
  for (const auto& node : aContext.fleet_.Nodes()) {
    if (node.spec_.dataCentre_ == lost) {
      Kill(aContext, node.index_);
    }
  }
}

void
RestartOneByOne(FaultContext& aContext)
{
  auto& restarted = aContext.marks_.observed_["instances_restarted"];
  for (auto& node : aContext.fleet_.Nodes()) {
    if (!node.instanceProcess_ || MonotonicNs() > aContext.marks_.endNs_) {
      return;
    }
    aContext.marks_.affected_.insert(node.index_);
    node.instanceProcess_->Signal(SIGTERM);
    if (node.instanceProcess_->Wait(kStopLimitMs) == -1) {
      std::cerr << "instance " << node.index_ << " did not end within 10 s of SIGTERM\n";
    }
    aContext.fleet_.StartInstance(node.index_);
    restarted += AwaitHealthy(node) ? 1 : 0;
  }
}

void
RestartAll(FaultContext& aContext)
{
  auto& nodes = aContext.fleet_.Nodes();
  for (auto& node : nodes) {
    aContext.marks_.affected_.insert(node.index_);
    if (node.instanceProcess_) {
      node.instanceProcess_->Signal(SIGKILL);
    }
  }
  for (auto& node : nodes) {
    if (node.instanceProcess_) {
      node.instanceProcess_->Wait(kStopLimitMs);
      aContext.fleet_.StartInstance(node.index_);
    }
  }
}

void
PausePlanner(FaultContext& aContext)
{
  auto holder = aContext.fleet_.StoreValue(std::string(kPlannerKey));
  aContext.marks_.observed_["planner_changes"] = 0;
  if (holder.empty()) {
    std::cerr << "no instance holds the planner role\n";
    return;
  }
  aContext.keyedVictim_ = IndexOf(holder);
  aContext.marks_.affected_.insert(aContext.keyedVictim_);
  aContext.fleet_.Nodes()[aContext.keyedVictim_].instanceProcess_->Signal(SIGSTOP);
}

void
ResumePlanner(FaultContext& aContext)
{
  auto holder = aContext.fleet_.StoreValue(std::string(kPlannerKey));
  bool changed = !holder.empty() && IndexOf(holder) != aContext.keyedVictim_;
  aContext.marks_.observed_["planner_changes"] = changed ? 1 : 0;
  aContext.fleet_.Nodes()[aContext.keyedVictim_].instanceProcess_->Signal(SIGCONT);
}

void
LoseManyStoreReplies(FaultContext& aContext)
{
  aContext.fleet_.StoreCommand("/lose-replies?count=40");
}

void
IsolateOwner(FaultContext& aContext)
{
  aContext.marks_.affected_.insert(aContext.keyedVictim_);
  aContext.fleet_.ProxyCommand("/rule",
                               { { "from", VictimName(aContext) }, { "to", "" }, { "cut", true } });
}

void
RejoinOwner(FaultContext& aContext)
{
  aContext.fleet_.ProxyCommand("/restore", { { "from", VictimName(aContext) }, { "to", "" } });
}

void
PartitionDataCentre(FaultContext& aContext)
{
  const auto& nodes = aContext.fleet_.Nodes();
  const auto lost = nodes[aContext.keyedVictim_].spec_.dataCentre_;
  for (const auto& node : nodes) {
    if (node.spec_.dataCentre_ == lost) {
      aContext.marks_.affected_.insert(node.index_);
    }
  }
  for (const auto& other : aContext.fleet_.Spec().dataCentres_) {
    if (other != lost) {
      aContext.fleet_.ProxyCommand("/rule", { { "from", lost }, { "to", other }, { "cut", true } });
    }
  }
}

void
HealNetwork(FaultContext& aContext)
{
  aContext.fleet_.ProxyCommand("/restore", Json::object());
}

void
KillBucketOwner(FaultContext& aContext)
{
  auto& fleet = aContext.fleet_;
  const auto shard = HashBytes("ws0") % kShareShards;
  auto& killed = aContext.marks_.observed_["bucket_owner_killed"];
  for (const auto& node : fleet.Nodes()) {
    auto result =
      fleet.OperateOn(node.index_, "GET", "/v1/shards?service=" + std::string(kShareService));
    auto shards = Json::parse(result.body_, nullptr, false);
    if (!result.Ok() || !shards.is_object()) {
      continue;
    }
    for (const auto& entry : shards["shards"]) {
      if (entry["shard"] == shard && entry["owner"].is_object()) {
        Kill(aContext, IndexOf(entry["owner"]["id"].get<std::string>()));
        killed = 1;
        return;
      }
    }
  }
  std::cerr << "the owner of the token bucket is not known\n";
}

void
StoreUpAndCount(FaultContext& aContext)
{
  auto& fleet = aContext.fleet_;
  std::deque<CallSample> window{ Sample(fleet) };
  fleet.StoreCommand("/up");
  const auto until = MonotonicNs() + kCountingNs;
  auto& reads = aContext.marks_.observed_["store_reads_per_s_max"];
  auto& writes = aContext.marks_.observed_["store_writes_per_s_max"];
  while (MonotonicNs() < until) {
    std::this_thread::sleep_for(kPoll);
    window.push_back(Sample(fleet));
    reads = std::max(reads, window.back().reads_ - window.front().reads_);
    writes = std::max(writes, window.back().writes_ - window.front().writes_);
    while (window.back().atNs_ - window.front().atNs_ > kSecondNs) {
      window.pop_front();
    }
  }
}

void
Disorder(FaultContext& aContext)
{
  aContext.fleet_.ProxyCommand("/rule",
                               { { "from", "" },
                                 { "to", "" },
                                 { "jitter_ms", 4 },
                                 { "duplicate_percent", 10 },
                                 { "reorder_percent", 30 } });
}

} // namespace redwing::bench::Actions
