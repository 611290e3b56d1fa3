#pragma once

#include "Scenario.hpp"

#include <filesystem>
#include <optional>
#include <string>

namespace redwing::bench {

struct RunOptions
{
  std::string deployment_ = "taco-certo";
  std::uint64_t seed_ = 1;
  std::optional<double> seconds_;
  /// `direct`: without instances, to test the harness; `store-down`: the store is down during the
  /// load; `unchecked`: servers don't check grants; `half-load`: half the rate;
  /// `round-robin`, `least-outstanding`: that balancing without hedging and ejection; `no-hedging`.
  std::string variant_;
  std::filesystem::path binaries_;
  /// Where the directory of the run is created; removed after a run that passes unless keep_.
  std::filesystem::path work_;
  bool keep_ = false;
  /// Asserts only what must hold on a busy computer too: correctness, and liveness with generous
  /// limits. Used by the integration tests.
  bool correctness_ = false;
};

/// Runs one scenario against real processes and returns its figures with bounds and `pass`.
Json RunScenario(const Scenario& aScenario, const RunOptions& aOptions);

} // namespace redwing::bench
