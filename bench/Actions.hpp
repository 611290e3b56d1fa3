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

} // namespace redwing::bench::Actions
