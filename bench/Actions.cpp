#include "Actions.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <iostream>
#include <set>
#include <thread>

namespace redwing::bench::Actions {

namespace {

using standins::MonotonicNs;

constexpr std::chrono::milliseconds kPoll{ 10 };
constexpr std::int64_t kSpreadLimitNs = 10'000'000'000;
constexpr int kPoisonSends = 6;

Node&
Owner(FaultContext& aContext)
{
  return aContext.fleet_.Nodes()[aContext.keyedVictim_];
}

void
SignalInstance(const Node& aNode, int aSignal)
{
  if (aNode.instanceProcess_) {
    aNode.instanceProcess_->Signal(aSignal);
  }
}

bool
Reports(Fleet& aFleet, std::size_t aNode, const std::string& aText)
{
  auto result = aFleet.OperateOn(aNode, "GET", "/v1/configuration");
  return result.Ok() && result.body_.find(aText) != std::string::npos;
}

Json
WithWorkspace(Json aDocument, const std::string& aId)
{
  aDocument["workspaces"].push_back(
    { { "id", aId }, { "rate", 1 }, { "burst", 1 }, { "weight", 1 } });
  return aDocument;
}

} // namespace

void
KillOwner(FaultContext& aContext)
{
  auto& node = Owner(aContext);
  aContext.marks_.affected_.insert(node.index_);
  SignalInstance(node, SIGKILL);
  node.backendProcess_->Signal(SIGKILL);
}

void
KillInstance(FaultContext& aContext)
{
  aContext.marks_.affected_.insert(aContext.keyedVictim_);
  SignalInstance(Owner(aContext), SIGKILL);
}

void
FreezeOwner(FaultContext& aContext)
{
  auto& node = Owner(aContext);
  aContext.marks_.affected_.insert(node.index_);
  SignalInstance(node, SIGSTOP);
  node.backendProcess_->Signal(SIGSTOP);
}

void
ThawOwner(FaultContext& aContext)
{
  auto& node = Owner(aContext);
  // The backend server first: late requests in its buffers must be fenced by the grant deadline.
  node.backendProcess_->Signal(SIGCONT);
  SignalInstance(node, SIGCONT);
}

void
StoreDown(FaultContext& aContext)
{
  aContext.fleet_.StoreCommand("/down");
}

void
StoreUp(FaultContext& aContext)
{
  aContext.fleet_.StoreCommand("/up");
}

void
LoseStoreReply(FaultContext& aContext)
{
  aContext.fleet_.StoreCommand("/lose-replies?count=2");
}

void
SlowServer(FaultContext& aContext)
{
  aContext.fleet_.BackendCommand(aContext.pooledVictim_, "/control/slow?factor=20&ms=2000");
}

void
SlowTwoServers(FaultContext& aContext)
{
  const auto servers = aContext.fleet_.Servers(false);
  const auto victim = std::find(servers.begin(), servers.end(), aContext.pooledVictim_);
  const auto next = std::next(victim) == servers.end() ? servers.begin() : std::next(victim);
  SlowServer(aContext);
  aContext.fleet_.BackendCommand(*next, "/control/slow?factor=20&ms=2000");
}

void
WithdrawDataCentre(FaultContext& aContext)
{
  auto& marks = aContext.marks_;
  const auto& fleet = aContext.fleet_;
  marks.withdrawnDataCentre_ = Owner(aContext).spec_.dataCentre_;
  for (const auto& node : fleet.Nodes()) {
    if (node.spec_.dataCentre_ == marks.withdrawnDataCentre_) {
      marks.affected_.insert(node.index_);
    }
  }
  if (aContext.fleet_.Operate("POST",
                              "/v1/data-centres/" + marks.withdrawnDataCentre_ + "/withdraw")) {
    marks.dataCentreWithdrawnNs_ = MonotonicNs();
  }
}

void
RestoreDataCentre(FaultContext& aContext)
{
  aContext.marks_.dataCentreRestoredNs_ = MonotonicNs();
  aContext.fleet_.Operate("POST",
                          "/v1/data-centres/" + aContext.marks_.withdrawnDataCentre_ + "/restore");
}

void
WithdrawKey(FaultContext& aContext)
{
  auto& marks = aContext.marks_;
  marks.withdrawnWorkspace_ = "ws2";
  marks.exempt_.insert("ws2");
  if (aContext.fleet_.Operate("DELETE", "/v1/keys/key-ws2")) {
    marks.keyWithdrawnNs_ = MonotonicNs();
  }
}

void
ChangeConfiguration(FaultContext& aContext)
{
  auto& fleet = aContext.fleet_;
  const std::string marker = "marker-" + std::to_string(aContext.random_.Below(1'000'000));
  bool accepted = fleet.Apply(WithWorkspace(fleet.ConfigurationInForce(), marker));
  auto from = MonotonicNs();
  std::set<std::size_t> waiting;
  for (const auto& node : fleet.Nodes()) {
    if (node.instanceProcess_ && node.instanceProcess_->Running()) {
      waiting.insert(node.index_);
    }
  }
  while (accepted && !waiting.empty() && MonotonicNs() - from < kSpreadLimitNs) {
    std::erase_if(waiting, [&](auto aNode) { return Reports(fleet, aNode, marker); });
    std::this_thread::sleep_for(kPoll);
  }
  // A change that was refused or did not arrive counts with the limit.
  auto taken = accepted && waiting.empty() ? MonotonicNs() - from : kSpreadLimitNs;
  auto& spread = aContext.marks_.configSpreadMs_;
  spread = std::max(spread.value_or(0), static_cast<double>(taken) / 1e6);
}

void
ConflictingChanges(FaultContext& aContext)
{
  auto& fleet = aContext.fleet_;
  const auto base = fleet.ConfigurationInForce();
  const auto left = WithWorkspace(base, "left").dump();
  const auto right = WithWorkspace(base, "right").dump();
  auto put = [&fleet](std::size_t aNode, const std::string& aName, const std::string& aText) {
    return [&fleet, aNode, aName, aText] {
      const auto& node = fleet.Nodes()[aNode];
      Call(
        node.local_, "PUT", "/v1/configuration?operation=race-" + aName, aText, fleet.Operator());
    };
  };
  {
    std::jthread first(put(0, "left", left));
    std::jthread second(put(1, "right", right));
  }
  // Whichever came last must win everywhere, and a later change must win over both.
  ChangeConfiguration(aContext);
}

void
KillPooledServer(FaultContext& aContext)
{
  aContext.marks_.affected_.insert(aContext.pooledVictim_);
  const auto& process = aContext.fleet_.Nodes()[aContext.pooledVictim_].backendProcess_;
  process->Signal(SIGKILL);
}

void
TurnCold(FaultContext& aContext)
{
  aContext.fleet_.BackendCommand(aContext.pooledVictim_, "/control/cold?ms=3000");
}

void
StallConnections(FaultContext& aContext)
{
  aContext.fleet_.BackendCommand(aContext.keyedVictim_, "/control/stall-connections");
  aContext.fleet_.BackendCommand(aContext.pooledVictim_, "/control/stall-connections");
  aContext.fleet_.ProxyCommand("/silence-old", { { "from", Owner(aContext).spec_.dataCentre_ } });
}

void
SendPoison(FaultContext& aContext)
{
  auto& fleet = aContext.fleet_;
  std::vector<HttpHeader> headers{ { "Authorization", "Bearer " + WorkspaceKey("ws0") },
                                   { "Load-Id", "poison" },
                                   { "Poison", "1" } };
  for (int i = 0; i < kPoisonSends; ++i) {
    const auto& node = fleet.Nodes()[i % fleet.Nodes().size()];
    Call(fleet.Direct() ? node.backend_ : node.callers_,
         "GET",
         fleet.Spec().pooledPath_ + "/poison",
         {},
         headers);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
  }
}

void
ShutDownGracefully(FaultContext& aContext)
{
  auto& node = Owner(aContext);
  aContext.marks_.affected_.insert(node.index_);
  if (node.instanceProcess_) {
    node.instanceProcess_->Signal(SIGTERM);
    if (node.instanceProcess_->Wait(10000) == -1) {
      std::cerr << "instance " << node.index_ << " did not end within 10 s of SIGTERM\n";
    }
  }
  node.backendProcess_->Stop();
}

} // namespace redwing::bench::Actions
