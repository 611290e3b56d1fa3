#pragma once

#include "admission/IdempotencyTable.hpp"
#include "admission/PoisonRegistry.hpp"
#include "config/Configuration.hpp"
#include "core/Address.hpp"
#include "exchange/BackendAnnouncement.hpp"
#include "exchange/Events.hpp"
#include "exchange/ShardGrant.hpp"
#include "ownership/ShardRow.hpp"
#include "routing/RoutingView.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// Value types and hooks of the backend thread.
namespace redwing {

struct BackendStatus
{
  BackendState state_ = BackendState::Down;
  BackendAnnouncement announcement_;
  /// Requests that may run now.
  std::uint32_t limit_ = 0;
  std::uint32_t running_ = 0;
  std::uint32_t queued_ = 0;
};

struct BackendSettings
{
  InstanceRef self_;
  std::size_t mailboxCapacity_ = 4096;
  /// Requests that may wait for a slot.
  std::size_t queueCapacity_ = 1024;
};

struct BackendHooks
{
  SendResponseEvent sendResponse_;
  /// State, announcement or limit changed.
  std::function<void(const BackendStatus&)> onStatus_;
  /// Replicates an entry to the shard's successor; the callback says whether the request may be
  /// dispatched. It may be called from any thread. Without this hook nothing is replicated.
  std::function<void(const IdempotencyEntry&, std::function<void(bool)>)> replicate_;
  /// Entries to gossip after a crash of the backend server.
  std::function<void(const std::vector<PoisonEntry>&)> onPoison_;
};

} // namespace redwing
