#pragma once

#include "Scenario.hpp"

/// Faults and operator commands that scenarios are composed of.
namespace redwing::bench::Actions {

/// Kills the instance and the backend server of the keyed victim.
void KillOwner(FaultContext& aContext);
/// Kills only the instance of the keyed victim.
void KillInstance(FaultContext& aContext);
void FreezeOwner(FaultContext& aContext);
void ThawOwner(FaultContext& aContext);
void StoreDown(FaultContext& aContext);
void StoreUp(FaultContext& aContext);
void LoseStoreReply(FaultContext& aContext);
/// The pooled victim is 20 times slower for 2 s.
void SlowServer(FaultContext& aContext);
/// As SlowServer, for the pooled victim and the next pooled server.
void SlowTwoServers(FaultContext& aContext);
void WithdrawDataCentre(FaultContext& aContext);
void RestoreDataCentre(FaultContext& aContext);
void WithdrawKey(FaultContext& aContext);
/// Adds a workspace to the configuration and measures until every instance reports it.
void ChangeConfiguration(FaultContext& aContext);
/// Sends different documents to two instances at the same time.
void ConflictingChanges(FaultContext& aContext);
/// Kills the backend server of the pooled victim, not its instance.
void KillPooledServer(FaultContext& aContext);
void TurnCold(FaultContext& aContext);
void StallConnections(FaultContext& aContext);
/// Sends one poison request six times.
void SendPoison(FaultContext& aContext);
/// Ends the instance of the keyed victim with SIGTERM and then its backend server.
void ShutDownGracefully(FaultContext& aContext);

/// Kills the keyed victim together with the next instance on the ring and its backend server.
void KillNeighbours(FaultContext& aContext);
/// Kills all instances and backend servers of the keyed victim's data centre.
void KillDataCentre(FaultContext& aContext);
/// Ends each instance with SIGTERM and starts it again, one after the other, until the load ends.
/// Starts processes.
void RestartOneByOne(FaultContext& aContext);
/// Kills all instances and starts them again. Starts processes.
void RestartAll(FaultContext& aContext);
/// Pauses the instance that holds the planner role.
void PausePlanner(FaultContext& aContext);
/// Notes whether another instance took the planner role, and resumes the paused one.
void ResumePlanner(FaultContext& aContext);
/// Loses the replies to the store calls that follow a takeover.
void LoseManyStoreReplies(FaultContext& aContext);
/// Cuts the keyed victim's instance off from all others and from the store.
void IsolateOwner(FaultContext& aContext);
void RejoinOwner(FaultContext& aContext);
/// Cuts the keyed victim's data centre off from the other data centres.
void PartitionDataCentre(FaultContext& aContext);
void HealNetwork(FaultContext& aContext);
/// Kills the instance that owns the token bucket of ws0, and its backend server.
void KillBucketOwner(FaultContext& aContext);
/// Starts the store and notes the highest rates of calls during the seconds after it.
void StoreUpAndCount(FaultContext& aContext);
/// Delays messages between instances by different times, and repeats and reorders datagrams.
void Disorder(FaultContext& aContext);

} // namespace redwing::bench::Actions
