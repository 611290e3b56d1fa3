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

/// Sends gossip rounds, and repairs differences that rounds left behind.
class GossipLoop
{
public:
  using SendRound = std::function<void(const std::string& aInstanceId, const GossipRound& aRound)>;
  using CallDone = std::function<void(const ControlCallReply* aReply)>;
  /// Calls another instance; aReply is null when the call failed.
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

  /// Handles a round of aFrom. Pulls facts or the configuration from aFrom if it knows more.
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
