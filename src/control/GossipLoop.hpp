#pragma once

#include "control/ConfigurationKeeper.hpp"
#include "control/ControlMessage.hpp"
#include "control/FleetState.hpp"
#include "core/Clock.hpp"
#include "core/Random.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace redwing {

/// Sends gossip rounds, and pulls facts that the rounds did not deliver.
class GossipLoop
{
public:
  using SendRound = std::function<void(const std::string& aInstanceId, const GossipRound& aRound)>;
  using CallDone = std::function<void(const ControlCallReply* aReply)>;
  /// Calls another instance; aReply is null if the call failed.
  using CallHook =
    std::function<void(const std::string& aInstanceId, const ControlCall& aCall, CallDone aDone)>;

  GossipLoop(const Clock& aClock,
             Random& aRandom,
             std::string aSelfId,
             FleetState& aFleet,
             ConfigurationKeeper& aKeeper,
             SendRound aSendRound,
             CallHook aCall);

  /// Sends a round if one is due.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void Tick();

  /// Handles a round received from aFrom. Pulls the configuration from aFrom if its revision is
  /// newer, and facts if the digests differ.
  ///
  /// Preconditions: none. Thread safety: control thread only.
  void OnRound(const InstanceRef& aFrom, const GossipRound& aRound);

private:
  void PullFacts(const std::string& aFrom);
  void PullConfiguration(const std::string& aFrom);

  const Clock& clock_;
  Random& random_;
  std::string selfId_;
  FleetState& fleet_;
  ConfigurationKeeper& keeper_;
  SendRound sendRound_;
  CallHook call_;
  TimePoint nextRound_;
  TimePoint nextPull_;
  bool pullingConfiguration_ = false;
};

} // namespace redwing
