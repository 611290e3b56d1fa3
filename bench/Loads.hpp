#pragma once

#include "Scenario.hpp"

/// Loads, deployments and bounds that several scenarios use.
namespace redwing::bench {

/// A key is served again within 1 s (guarantee 13).
inline const Bound kServedAgain{ "unavailable_ms_max", 1000 };

/// Raises the rate so that each shard is asked often enough to time its return.
void DenseLoad(Json& aPlan, double aSeconds);

/// Only bookings, which must not run twice; the caller resends after an unknown outcome.
void WritesWithResend(Json& aPlan, double aSeconds);

/// Only requests for the pool, so that the tail shows the straggler.
void PooledOnly(Json& aPlan, double aSeconds);

/// ws0 sends several times its rate, ws1 stays at 90 % of its rate.
void LimitTwoWorkspaces(Deployment& aDeployment, Marks& aMarks);

/// Parts of AllScenarios.
std::vector<Scenario> LossesOfSeveral();
std::vector<Scenario> StoreFaults();
std::vector<Scenario> Overloads();

} // namespace redwing::bench
