#pragma once

#include "Runner.hpp"

namespace redwing::bench {

/// Measures one ingress and one serving instance on loopback at rising rates: requests per second,
/// processor time per request and thread, and the latency added to a direct connection. Returns the
/// figures with bounds and `pass`, as RunScenario does.
Json RunThroughput(const RunOptions& aOptions);

} // namespace redwing::bench
