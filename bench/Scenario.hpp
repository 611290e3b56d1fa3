#pragma once

#include "Fleet.hpp"
#include "Judge.hpp"
#include "core/Random.hpp"

#include <functional>
#include <string>
#include <vector>

namespace redwing::bench {

/// What a fault may use. The victims are drawn from the seed.
struct FaultContext
{
  Fleet& fleet_;
  Marks& marks_;
  Random& random_;
  std::size_t keyedVictim_ = 0;
  std::size_t pooledVictim_ = 0;
};

/// Something done to the fleet at a fraction of the duration; the run's seed shifts all of them.
struct Fault
{
  double at_ = 0;
  std::function<void(FaultContext&)> action_;
  /// For actions that start processes; servers that end meanwhile are not restarted.
  bool startsProcesses_ = false;
};

struct Bound
{
  std::string name_;
  double target_ = 0;
  /// Otherwise the value must not exceed the target.
  bool atLeast_ = false;
};

/// Whether the load has requests for keys, whose unavailable time can be judged.
enum class LoadKind
{
  Keyed,
  PooledOnly
};

/// One scenario of the bench. All members but the name are optional.
struct Scenario
{
  std::string name_;
  std::string about_;
  double seconds_ = 8;
  std::function<void(Deployment&, Marks&)> adjust_{};
  std::function<void(Json& aPlan, double aSeconds)> load_{};
  std::vector<Fault> faults_{};
  std::vector<Bound> bounds_{};
  /// Runs once without faults first and compares the tail latencies.
  bool compare_ = false;
  /// Starts a backend server again when it has ended, as a supervisor does.
  bool restartBackends_ = false;
  LoadKind kind_ = LoadKind::Keyed;
  /// Limit of the time without service in the integration tests.
  double livenessMs_ = 2500;
};

/// Returns all scenarios.
const std::vector<Scenario>& AllScenarios();

/// Bounds that hold in every scenario.
std::vector<Bound> CommonBounds();

/// Bounds of an integration test: the common ones, those of the scenario that no busy computer
/// breaks, and liveness.
std::vector<Bound> CorrectnessBounds(const Scenario& aScenario);

} // namespace redwing::bench
