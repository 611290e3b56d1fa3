#pragma once

#include "backend/BackendService.hpp"
#include "core/Counters.hpp"
#include "core/MemoryBudget.hpp"
#include "core/Published.hpp"
#include "daemon/ProcessLimits.hpp"
#include "fleet/FleetService.hpp"
#include "intake/IntakeService.hpp"
#include "operator/LocalServer.hpp"
#include "peer/PeerService.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace redwing {

struct FleetDaemonSettings
{
  FleetSettings fleet_;
  IntakeSettings intake_;
  BackendSettings backend_;
  PeerSettings peer_;
  /// Address that serves the counters.
  Address metricsAddress_;
  /// Time after the signal to stop from which requests of other instances are refused.
  std::chrono::milliseconds drainDelay_{ 2800 };
  /// Time after the signal to stop by which requests that do not run yet must be answered.
  std::chrono::milliseconds answerTimeout_{ 4500 };
  /// Time after the signal to stop at which the process ends whatever still runs.
  std::chrono::milliseconds stopTimeout_{ 5200 };
  std::uint64_t seed_ = 0;
  /// Limits that the settings of the process state; see ProcessLimits::Of.
  ProcessLimits limits_{};

  /// Derives time limits and budgets from the bounds that a fleet must keep.
  ///
  /// Preconditions: all times are above 0. Thread safety: not thread-safe.
  void SetBounds(std::chrono::milliseconds aHeartbeatInterval,
                 std::chrono::milliseconds aDrainTimeout,
                 std::chrono::milliseconds aEvacuationTimeout,
                 std::chrono::milliseconds aGracePeriod,
                 double aRetryRatio);
};

/// Assembles an instance whose fleet keeps its state in the store by leases. All its parts share
/// one thread: on a machine with a fraction of a core, threads only add wake-ups.
class FleetDaemon
{
public:
  /// Preconditions: aContext, aClock and aStore outlive this object.
  FleetDaemon(boost::asio::io_context& aContext,
              const Clock& aClock,
              Store& aStore,
              FleetDaemonSettings aSettings,
              ConfigurationHooks aConfiguration);
  ~FleetDaemon();

  /// Binds all addresses and starts; returns the reason if that fails.
  ///
  /// Preconditions: called once. Thread safety: not thread-safe.
  std::string Start();

  /// Runs the context until a signal stops the instance; returns the process's exit code.
  ///
  /// Preconditions: Start succeeded. Thread safety: not thread-safe.
  int Run();

  FleetService& Fleet() { return *fleet_; }

  /// Returns the metrics of the process.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  CounterRegistry& Counters() { return counters_; }

  /// Sets what a SIGHUP does besides a log line.
  ///
  /// Preconditions: before Run. Thread safety: not thread-safe.
  void SetReload(std::function<void()> aReload) { reload_ = std::move(aReload); }

private:
  void BuildFleet(Store& aStore, ConfigurationHooks aConfiguration);
  void BuildPeer();
  void BuildBackend();
  void BuildIntake();
  void ServeMetrics();
  void WaitForSignal();
  void BeginShutdown();
  void FinishPart();
  void Stop(const char* aReason);

  boost::asio::io_context& context_;
  const Clock& clock_;
  FleetDaemonSettings settings_;
  CounterRegistry counters_;
  ProcessLimits limits_;
  MemoryBudget memory_;
  Published<RoutingView> view_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer drainTimer_;
  boost::asio::steady_timer stopTimer_;
  std::unique_ptr<FleetService> fleet_;
  std::unique_ptr<PeerService> peer_;
  std::unique_ptr<BackendService> backend_;
  std::unique_ptr<IntakeService> intake_;
  std::unique_ptr<LocalServer> metrics_;
  std::function<void()> reload_;
  bool shuttingDown_ = false;
  bool stopped_ = false;
  int openParts_ = 0;
};

} // namespace redwing
