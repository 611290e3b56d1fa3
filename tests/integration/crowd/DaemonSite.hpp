#pragma once

#include "bench/HttpCall.hpp"
#include "bench/Process.hpp"
#include "tests/integration/crowd/CrowdServer.hpp"
#include "tests/integration/crowd/HeldCrowd.hpp"

#include <cstddef>
#include <memory>
#include <stop_token>
#include <string>
#include <thread>
#include <vector>

namespace redwing::test {

/// Two instances of redwingd on the stand-in of its store: one that only forwards, and one beside a
/// backend server. Requests need no API key.
class DaemonSite
{
public:
  /// aProgram runs the instances, aArguments are added to theirs.
  DaemonSite(Machine aMachine,
             const std::string& aProgram,
             const std::vector<std::string>& aArguments = {});
  ~DaemonSite();
  DaemonSite(const DaemonSite&) = delete;
  DaemonSite& operator=(const DaemonSite&) = delete;

  /// Posts a body as an ordinary caller would and returns the status of the response.
  unsigned Post(std::size_t aBytes, int aLimitMs) const;

  /// Holds a crowd at the instance that forwards and checks the bounds; see HoldCrowd.
  void Withstand(std::size_t aCallers, const CallerPlan& aPlan) const;

private:
  static constexpr int kInstances = 2;

  std::string Ip(int aHost) const;
  Address At(int aInstance, int aPort) const;
  std::unique_ptr<bench::Process> StartInstance(int aInstance,
                                                const std::string& aProgram,
                                                const std::vector<std::string>& aArguments) const;
  bool Configure() const;
  bool OrdinaryRequestIsAnswered() const;
  void Announce(const std::stop_token& aStop) const;

  Machine machine_;
  std::string directory_;
  CrowdServer server_;
  std::unique_ptr<bench::Process> store_;
  std::vector<std::unique_ptr<bench::Process>> instances_;
  std::jthread announcer_;
};

} // namespace redwing::test
