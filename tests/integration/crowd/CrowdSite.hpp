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

  /// Returns the most memory that one of the processes has used.
  std::size_t PeakMemory() const;

  /// Holds a crowd and checks the bounds; see HoldCrowd.
  void Withstand(std::size_t aCallers,
                 const CallerPlan& aPlan,
                 std::chrono::seconds aTime = kCrowdTime) const;

private:
  bool OrdinaryRequestIsAnswered() const;

  SiteSettings settings_;
  CrowdServer server_;
  std::optional<PlatformFleet> fleet_;
};

} // namespace redwing::test
