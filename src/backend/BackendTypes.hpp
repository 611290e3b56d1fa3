#pragma once

#include "admission/IdempotencyTable.hpp"
#include "admission/PoisonRegistry.hpp"
#include "config/Configuration.hpp"
#include "core/Address.hpp"
#include "exchange/BackendAnnouncement.hpp"
#include "exchange/Events.hpp"
#include "exchange/HttpProtocol.hpp"
#include "exchange/ShardGrant.hpp"
#include "ownership/ShardRow.hpp"
#include "routing/RoutingView.hpp"

#include <chrono>
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
  /// Average time that the server works on a request; zero: not known.
  Duration serviceTime_{};
  /// The server of this announcement has crashed for certain: nothing listens at its address.
  bool crashed_ = false;
};

struct BackendSettings
{
  InstanceRef self_;
  std::size_t mailboxCapacity_ = 4096;
  /// Requests that may wait for a slot.
  std::size_t queueCapacity_ = 1024;
  HttpProtocol protocol_;
  /// The backend server reports its state with its announcements and checks its grants itself; it
  /// is neither polled nor told to end requests.
  bool announcedState_ = false;
  /// A backend server without announcements for this long is considered gone.
  std::chrono::milliseconds announcementExpiry_{ 3000 };
  /// Opening a connection costs the server about a millisecond, so only a few are opened in
  /// advance.
  std::uint32_t warmConnections_ = 8;
  /// Time in which the shards of a withdrawn data centre move away and are still served. New work
  /// must have stopped 3 s after the withdrawal.
  std::chrono::milliseconds withdrawalGrace_{ 1500 };
  /// Callers' instances keep back bodies until they are asked for.
  bool asksForBodies_ = false;
  /// Requests that would wait beyond their target time are refused at once, so that others are
  /// served within theirs: for callers to whom a late response is worth little.
  bool meetsTargets_ = false;
  /// Time in which the shards of a leaving backend server move away and are still served.
  std::chrono::milliseconds leaveGrace_{ 0 };
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
