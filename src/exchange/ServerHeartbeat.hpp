#pragma once

#include "core/Address.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace redwing {

/// Consecutive routing keys that a backend server holds, with their fencing token.
struct HeldKeys
{
  std::uint32_t first_ = 0;
  std::uint32_t last_ = 0;
  std::uint64_t token_ = 0;

  bool operator==(const HeldKeys&) const = default;
};

/// Consecutive routing keys that a backend server released, with its token for their next holder.
struct ReleasedKeys
{
  std::uint32_t first_ = 0;
  std::uint32_t last_ = 0;
  std::string handover_;

  bool operator==(const ReleasedKeys&) const = default;
};

/// Consecutive routing keys that a backend server is to hold.
struct GrantedKeys
{
  std::uint32_t first_ = 0;
  std::uint32_t last_ = 0;
  std::uint64_t token_ = 0;
  /// From the last holder; empty if there is none.
  std::string handover_;

  bool operator==(const GrantedKeys&) const = default;
};

/// What a backend server reports of itself at intervals.
struct ServerHeartbeat
{
  std::string serverId_;
  /// Tells the runs of a server apart; a later run has a higher number.
  std::uint64_t startedAt_ = 0;
  /// Rises with each heartbeat of a run.
  std::uint64_t sequence_ = 0;
  std::string service_;
  /// Version of the server's software.
  std::string version_;
  Address address_;
  std::uint32_t slots_ = 0;
  bool draining_ = false;
  std::chrono::milliseconds coldFor_{ 0 };
  /// The lists below are the server's. Without them nothing is known of what it holds.
  bool reportsHolds_ = true;
  /// Keys that the server holds or still works on.
  std::vector<HeldKeys> holds_;
  /// Keys released since the last acknowledged heartbeat.
  std::vector<ReleasedKeys> released_;
};

/// Reply to a heartbeat.
struct HeartbeatReply
{
  /// All keys that the server is to hold; without a value nothing changes and nothing is renewed.
  std::optional<std::vector<GrantedKeys>> grants_;
  /// Time from the sending of the heartbeat for which the server holds them.
  std::chrono::milliseconds holdFor_{ 0 };
  /// False if the heartbeat was ignored and its server must not rely on it.
  bool accepted_ = true;
};

} // namespace redwing
