#pragma once

#include "config/Configuration.hpp"
#include "core/Address.hpp"
#include "core/Clock.hpp"
#include "ownership/ShardRow.hpp"
#include "rollout/RolloutTypes.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Immutable view that the control thread publishes to the intake, peer and backend threads.
namespace redwing {

enum class BackendState : std::uint8_t
{
  Ready,
  Cold,
  Draining,
  Down,
};

/// An instance and the backend server beside it.
struct Member
{
  InstanceRef ref_;
  std::string dataCentre_;
  std::string region_;
  std::string rack_;
  Address peersAddress_;
  /// Service of the backend server; empty when none is announced.
  std::string service_;
  /// Version of the backend server's software; empty where roll-outs are off.
  std::string version_;
  std::uint32_t slots_ = 0;
  Labels labels_;
  BackendState state_ = BackendState::Down;
  /// False while heartbeats or links to the instance fail.
  bool reachable_ = true;
  /// The instance leaves and takes no new work.
  bool leaving_ = false;
};

/// Rows of one keyed service, indexed by shard.
struct ServiceShards
{
  std::vector<ShardRow> rows_;
};

struct RoutingView
{
  std::shared_ptr<const ConfigurationRevision> configuration_;
  /// True while the configuration revision is confirmed to be current.
  bool configurationCurrent_ = false;
  std::map<std::string, Member, std::less<>> members_;
  std::map<std::string, ServiceShards, std::less<>> shards_;
  /// Shards that this instance owns now, with their lease deadline checked by LeaseView.
  InstanceRef self_;
  std::string selfDataCentre_;
  /// Earliest time at which the withdrawal of selfDataCentre_ may have begun; no value while it is
  /// not withdrawn.
  std::optional<TimePoint> selfWithdrawnSince_{};
  /// Roll-outs by service.
  std::map<std::string, RolloutRouting, std::less<>> rollouts_{};
};

} // namespace redwing
