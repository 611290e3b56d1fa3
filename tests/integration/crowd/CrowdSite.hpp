#pragma once

#include "tests/integration/PlatformFleet.hpp"
#include "tests/integration/crowd/CrowdServer.hpp"
#include "tests/integration/crowd/HeldCrowd.hpp"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

/// Crowds of callers that respect no limit, against instances on machines with little memory. The
/// bounds are the limits of the machine: memory, and descriptors without those reserved for files.
namespace redwing::test {

struct SiteSettings
{
  Machine machine_{};
  /// Instances without a backend server, which take the crowd and forward. Without them the
  /// instance beside the server takes it.
  int fronts_ = 0;
  /// The settings of the instances state the limits of the machine.
  bool statesLimits_ = true;
  std::string program_ = REDWINGD_PLATFORM;
};

/// A fleet of instances around one backend server.
class CrowdSite
{
public:
  explicit CrowdSite(SiteSettings aSettings = {});

  const Machine& Limits() const { return settings_.machine_; }

  /// Posts a body as an ordinary caller would; aLimitMs is the time for the response.
  bench::CallResult Post(const std::string& aPath, const std::string& aBody, int aLimitMs) const;

  /// Sends aText as one request on a connection of its own and returns the status of the response;
  /// 0 if there is none within a generous time.
  unsigned Send(const std::string& aText) const;

  /// Returns whether the backend server got a request to its end.
  bool Ran(const std::string& aRequestId) const;

  /// Returns the most memory that one of the processes has used.
  std::size_t PeakMemory() const;

  /// Holds a crowd and checks the bounds; see HoldCrowd.
  void Withstand(std::size_t aCallers,
                 const CallerPlan& aPlan,
                 std::chrono::seconds aTime = kCrowdTime) const;

  /// Returns whether an ordinary caller, who repeats its request while it is refused, is answered.
  bool OrdinaryRequestIsAnswered() const;

  /// Returns the addresses that take the requests of callers.
  std::vector<Address> CallersOf() const;

  const std::vector<WatchedProcess>& Processes() const { return processes_; }

  void Signal(int aInstance, int aSignal);

  /// Ends an instance by aSignal and starts it again once it is gone.
  void Restart(int aInstance, int aSignal);

  /// Samples what the processes use for aTime, for CheckBounds.
  void WatchFor(std::chrono::milliseconds aTime) { test::WatchFor(processes_, aTime); }
  void CheckBounds() const { test::CheckBounds(processes_, settings_.machine_); }

private:
  SiteSettings settings_;
  CrowdServer server_;
  std::optional<PlatformFleet> fleet_;
  std::vector<WatchedProcess> processes_;
};

} // namespace redwing::test
