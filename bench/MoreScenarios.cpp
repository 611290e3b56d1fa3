#include "Actions.hpp"
#include "Loads.hpp"

namespace redwing::bench {

namespace {

/// Requests per second that four servers finish at the service time below.
constexpr std::int64_t kOverloadServiceUs = 20000;

void
StoreBehindProxy(Deployment& aDeployment, Marks&)
{
  aDeployment.storeThroughProxy_ = true;
}

/// Slow servers, so that three times their capacity is well within what the load generator sends.
void
SlowPool(Deployment& aDeployment, Marks& aMarks)
{
  aDeployment.serviceTimeUs_ = kOverloadServiceUs;
  double servers = 0;
  for (std::size_t i = 0; i < aDeployment.servers_.size(); ++i) {
    servers += aDeployment.Keyed(i) ? 0 : 1;
  }
  aMarks.capacity_ = servers * aDeployment.slots_ * 1e6 / kOverloadServiceUs;
  aDeployment.rate_ = aMarks.capacity_ / 2;
}

/// Half the capacity, and six times as much from 2 s to 4 s before the end.
void
ThreeTimesCapacity(Json& aPlan, double aSeconds)
{
  aPlan["requests"] = Json::array({ aPlan["requests"][2] });
  for (const auto& workspace : aPlan["workspaces"]) {
    aPlan["bursts"].push_back({ { "workspace", workspace["id"] },
                                { "from_s", 2 },
                                { "until_s", aSeconds - 4 },
                                { "factor", 6 } });
  }
}

/// A few keys get most requests.
void
FewKeys(Json& aPlan, double)
{
  aPlan["rate"] = 3000;
  for (auto& request : aPlan["requests"]) {
    request["keys"] = 400;
    request["zipf"] = 1.4;
  }
}

void
LimitBehindProxy(Deployment& aDeployment, Marks& aMarks)
{
  LimitTwoWorkspaces(aDeployment, aMarks);
  StoreBehindProxy(aDeployment, aMarks);
}

} // namespace

std::vector<Scenario>
LossesOfSeveral()
{
  using namespace Actions;
  std::vector<Scenario> all{
    { "neighbours-lost",
      "an owner and the next instance on the ring are killed together",
      10,
      {},
      DenseLoad,
      { { 0.4, KillNeighbours } },
      { kServedAgain } },
    { "data-centre-lost",
      "all instances and servers of a data centre are killed",
      10,
      {},
      DenseLoad,
      { { 0.4, KillDataCentre } },
      { kServedAgain } },
    { "rolling-restart",
      "all instances are restarted one after the other",
      30,
      {},
      DenseLoad,
      { { 0.05, RestartOneByOne, true } },
      { { "unknown", 0 }, { "unavailable_ms_max", 100 }, { "instances_restarted", 9, true } } },
    { "total-restart",
      "all instances are killed and started again",
      14,
      {},
      DenseLoad,
      { { 0.2, RestartAll, true } },
      // Restarted owners may reclaim their rows after two lease times of 600 ms; the rest is the
      // start, the join, and announcements once a second.
      { { "unavailable_ms_max", 5000 } } },
    { "isolated-instance",
      "an instance is cut off from all others and from the store for 8 s",
      16,
      StoreBehindProxy,
      DenseLoad,
      { { 0.2, IsolateOwner }, { 0.7, RejoinOwner } },
      { kServedAgain } },
    { "crossed-answers",
      "messages are delayed by different times, repeated and reordered",
      10,
      {},
      DenseLoad,
      { { 0.1, Disorder }, { 0.7, HealNetwork } },
      { { "unknown", 0 }, { "ok_share", 1, true } } },
  };
  // Until the instances are back there is no one to serve a key.
  all[3].livenessMs_ = 5000;
  return all;
}

std::vector<Scenario>
StoreFaults()
{
  using namespace Actions;
  return {
    { "planner-race",
      "the planner is paused past its store lease while another takes over",
      14,
      {},
      DenseLoad,
      { { 0.05, PausePlanner }, { 0.8, ResumePlanner } },
      { kServedAgain, { "planner_changes", 1, true } } },
    { "store-lost-reply",
      "the store loses replies while shards are taken over and written back",
      10,
      {},
      DenseLoad,
      { { 0.4, LoseManyStoreReplies }, { 0.4, KillOwner } },
      { kServedAgain } },
    { "config-spread",
      "the configuration changes four times",
      8,
      {},
      {},
      { { 0.2, ChangeConfiguration },
        { 0.4, ChangeConfiguration },
        { 0.6, ChangeConfiguration },
        { 0.8, ChangeConfiguration } },
      { { "config_spread_ms_max", 5000 }, { "ok_share", 1, true } } },
    { "key-withdrawn-store-down",
      "an API key is withdrawn, and the store goes down at once",
      8,
      {},
      {},
      { { 0.3, WithdrawKey }, { 0.3, StoreDown }, { 0.8, StoreUp } },
      { { "withdrawn_key_ms_max", 3000 }, { "worst_workspace_ok", 1, true } } },
    { "store-outage-recovery",
      "the store is down for a while and comes back after an owner was lost",
      14,
      {},
      DenseLoad,
      { { 0.15, StoreDown }, { 0.4, KillOwner }, { 0.6, StoreUpAndCount } },
      { kServedAgain, { "store_writes_per_s_max", 300 }, { "store_reads_per_s_max", 2000 } } },
  };
}

std::vector<Scenario>
Overloads()
{
  using namespace Actions;
  return {
    { "overload",
      "three times the capacity of the pool for 20 s",
      26,
      SlowPool,
      ThreeTimesCapacity,
      {},
      { { "goodput_share", 0.9, true }, { "ok_after_overload", 0.99, true } },
      false,
      false,
      LoadKind::PooledOnly },
    { "rate-limit-owner-lost",
      "the owner of a token bucket is killed while its workspace sends three times its rate",
      10,
      LimitTwoWorkspaces,
      {},
      { { 0.4, KillBucketOwner } },
      { { "over_rate", 0 }, { "bucket_owner_killed", 1, true } } },
    { "rate-limit-partition",
      "a data centre is cut off from the others while a workspace sends three times its rate",
      12,
      LimitBehindProxy,
      {},
      { { 0.3, PartitionDataCentre }, { 0.7, HealNetwork } },
      { { "over_rate", 0 } } },
    { "hot-keys",
      "a few keys get most requests, and their owner is lost",
      10,
      {},
      FewKeys,
      { { 0.5, KillOwner } },
      { kServedAgain } },
  };
}

} // namespace redwing::bench
