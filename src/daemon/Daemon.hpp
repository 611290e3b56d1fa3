#pragma once

#include "backend/BackendService.hpp"
#include "config/ConfigurationEditor.hpp"
#include "control/ControlService.hpp"
#include "core/Counters.hpp"
#include "core/Mailbox.hpp"
#include "core/MemoryBudget.hpp"
#include "core/Published.hpp"
#include "core/SteadyClock.hpp"
#include "daemon/DaemonSettings.hpp"
#include "daemon/DutyThread.hpp"
#include "daemon/ProcessLimits.hpp"
#include "intake/IntakeService.hpp"
#include "limits/WorkspaceLimiter.hpp"
#include "operator/LocalServer.hpp"
#include "ownership/OwnershipTable.hpp"
#include "peer/PeerService.hpp"
#include "store/EtcdStore.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

namespace redwing {

/// Assembles the services of an instance and runs them, one thread each.
class Daemon
{
public:
  explicit Daemon(DaemonSettings aSettings);
  ~Daemon();

  /// Runs until a signal or an operator asks the instance to stop and it has left gracefully.
  /// Returns the process's exit code.
  ///
  /// Preconditions: called once, on the main thread. Thread safety: not thread-safe.
  int Run();

private:
  void BuildControl();
  void BuildPeer();
  void BuildBackend();
  void BuildIntake();
  void BuildOperator();
  bool StartServices();
  void TickLimiter();
  void WakeLimiter();
  void WaitForSignal();
  void BeginShutdown();
  void DrainTraffic();
  void FinishPart();
  void Fail(std::string_view aWhat, const std::string& aError);
  void ToIntake(ResponseEvent&& aEvent);

  LocalHandlers Handlers();

  DaemonSettings settings_;
  SteadyClock clock_;
  CounterRegistry counters_;
  ProcessLimits limits_;
  MemoryBudget memory_;
  IntakeSettings intakeSettings_;
  BackendSettings backendSettings_;
  PeerSettings peerSettings_;
  OwnershipTable table_;
  Published<RoutingView> view_;
  std::uint64_t seed_;

  DutyThread intakeThread_;
  DutyThread peerThread_;
  DutyThread backendThread_;
  DutyThread controlThread_;
  DutyThread storeThread_;
  DutyThread operatorThread_;
  boost::asio::io_context mainContext_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer shutdownTimer_;
  boost::asio::steady_timer limiterTimer_;

  Mailbox<ResponseEvent> intakeMailbox_;
  Mailbox<SliceReply> sliceMailbox_;

  std::unique_ptr<EtcdStore> store_;
  std::unique_ptr<ConfigurationEditor> editor_;
  std::unique_ptr<ControlService> control_;
  std::unique_ptr<PeerService> peer_;
  std::unique_ptr<BackendService> backend_;
  std::unique_ptr<WorkspaceLimiter> limiter_;
  /// The timer of the limiter runs at the long interval.
  bool limiterIdle_ = false;
  std::unique_ptr<IntakeService> intake_;
  std::unique_ptr<LocalServer> operator_;
  bool shuttingDown_ = false;
  int openParts_ = 0;
  int exitCode_ = 0;
};

} // namespace redwing
