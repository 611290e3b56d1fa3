#pragma once

#include "ExposureLog.hpp"
#include "ServedVersion.hpp"
#include "tests/integration/PlatformFleet.hpp"
#include "tests/integration/owner/KeyedServer.hpp"

#include <array>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace redwing::test {

/// What fails in the system while a rollout runs.
enum class Failure
{
  None,
  /// The leader is killed and started again.
  LeaderKilled,
  /// The instance beside a target server is stopped (SIGSTOP) for 3 s.
  TargetStopped,
  /// The store resets connections for 9 s.
  StoreDown,
  /// All instances are killed and started again.
  AllKilled,
};

struct RolloutPlan
{
  std::string name_;
  FaultPlan fault_;
  bool keyed_ = false;
  std::chrono::milliseconds duration_{ 12'000 };
  std::uint64_t seed_ = 1;
  Failure failure_ = Failure::None;
  /// Time from the order until the failure begins, and its length.
  std::chrono::milliseconds failureAt_{ 0 };
  std::chrono::milliseconds failureFor_{ 0 };

  bool Bad() const { return fault_.fault_ != Fault::None; }
};

/// Returns the rollout of a seed: all kinds come in turn, their figures are drawn. Each kind comes
/// without a failure first and then with each of them.
RolloutPlan DrawRollout(std::uint64_t aSeed);

/// A fleet of instances beside servers of an old and of a target version, under the load of callers
/// who send at a bounded rate.
class RolloutFleet
{
public:
  explicit RolloutFleet(RolloutPlan aPlan);
  ~RolloutFleet();
  RolloutFleet(const RolloutFleet&) = delete;
  RolloutFleet& operator=(const RolloutFleet&) = delete;

  /// Writes the order and returns when its duration has passed; ends servers as the platform does.
  void Run();

  /// Returns whether requests are answered at present.
  bool Serves();

  const ExposureLog& Log() const { return log_; }
  PlatformFleet& Instances() { return *fleet_; }
  /// Returns what broke the rule that a key has one holder, a line each.
  std::vector<std::string> OwnerViolations() const { return judge_.Violations(); }

private:
  static constexpr int kOld = 3;
  static constexpr int kTarget = 3;

  bool IsTarget(int aInstance) const { return aInstance >= kOld; }
  PlatformFleetSettings Settings();
  std::optional<ServerState> StateOf(int aInstance);
  /// Starts the servers of one version.
  void StartServers(bool aTarget);
  void StartPooled(int aInstance);
  void StartKeyed(int aInstance);
  /// Ends the servers of one version as the end of their processes does.
  void EndServers(bool aTarget);
  void DrainTargets();
  void WatchStatus();
  /// Returns the instance that leads; -1 if none says so.
  int Leader() const;
  void BeginFailure();
  void EndFailure();
  /// Waits until aEnd or the end of the rollout, and injects the failure.
  void RunUntil(LogTime aOrdered, LogTime aEnd);
  void SendRequests(int aCaller);
  bool SendRequest(int aCaller, int aNumber);

  RolloutPlan plan_;
  ExposureLog log_;
  OwnerJudge judge_{ {} };
  std::array<std::atomic<bool>, kOld + kTarget> up_{};
  std::array<std::atomic<LogTime>, kOld + kTarget> startedAt_{};
  std::atomic<bool> draining_{ false };
  /// Instances that failed.
  std::vector<int> affected_;
  std::unique_ptr<PlatformFleet> fleet_;
  std::vector<std::unique_ptr<ServedVersion>> versions_;
  std::vector<std::unique_ptr<standins::HttpServer>> pooled_;
  std::vector<std::unique_ptr<KeyedServer>> keyed_;
  /// Used on the thread of the store only, like the timer.
  standins::PlatformStore* store_ = nullptr;
  std::unique_ptr<boost::asio::steady_timer> watch_;
  std::atomic<bool> stopped_{ false };
  std::atomic<int> served_{ 0 };
  std::atomic<int> failed_{ 0 };
  std::vector<std::thread> callers_;
};

} // namespace redwing::test
