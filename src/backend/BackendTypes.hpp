#pragma once

#include "admission/IdempotencyTable.hpp"
#include "admission/QuarantineRegistry.hpp"
#include "config/Configuration.hpp"
#include "core/Address.hpp"
#include "core/MemoryBudget.hpp"
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
  /// Requests that may run at the same time, as currently limited.
  std::uint32_t limit_ = 0;
  std::uint32_t running_ = 0;
  std::uint32_t queued_ = 0;
  /// Average service time of a request; zero if unknown.
  Duration serviceTime_{};
  /// Requests per second that the server takes by its own word; 0 if it states no limit.
  double statedRate_ = 0;
  /// The announced server has definitely crashed: its address refused a connection.
  bool crashed_ = false;
};

struct BackendSettings
{
  InstanceRef self_;
  std::size_t mailboxCapacity_ = 4096;
  /// Maximum number of requests waiting for a slot.
  std::size_t queueCapacity_ = 1024;
  HttpProtocol protocol_;
  /// The backend server reports its state in its announcements and enforces its grants itself, so
  /// it is neither polled nor asked to cancel requests.
  bool serverReportsState_ = false;
  /// A backend server is considered gone after this long without an announcement.
  std::chrono::milliseconds announcementExpiry_{ 3000 };
  /// Maximum number of connections opened in advance. Small, because opening one costs the server
  /// about a millisecond.
  std::uint32_t warmConnections_ = 8;
  /// Time for which a withdrawn data centre still serves its shards while they move elsewhere. New
  /// requests must have stopped 3 s after the withdrawal.
  std::chrono::milliseconds withdrawalGrace_{ 1500 };
  /// The callers' instances send the body of a streamed request only after receiving credit.
  bool bodiesNeedCredit_ = false;
  /// Refuses requests that would wait beyond their target time at once, so that the others meet
  /// theirs. Meant for callers to whom a late response is of little use.
  bool enforcesTargetTimes_ = false;
  /// Time for which a leaving backend server still serves its shards while they move elsewhere.
  std::chrono::milliseconds leaveGrace_{ 0 };
  QuarantineSettings quarantine_{};
  IdempotencyLimits idempotency_{};
  /// A request that is suspected of crashing servers may be tried at any instance, and not only at
  /// the one that all instances choose for it.
  bool trialsAnywhere_ = false;
  /// Bits per second of the machine's link, by which large answers are limited; 0: no limit.
  double linkBitsPerSecond_ = 0;
  /// Most connections to the backend server, and what the system holds for each; 0: no bound.
  std::size_t maxServerConnections_ = 0;
  int socketBufferBytes_ = 0;
};

struct BackendHooks
{
  SendResponseEvent sendResponse_;
  /// Called when the state, the announcement or the limit has changed.
  std::function<void(const BackendStatus&)> onStatus_;
  /// Replicates an entry to the shard's successor, then calls the callback with whether the request
  /// may be dispatched. The callback may be called from any thread. Without this hook nothing is
  /// replicated.
  std::function<void(const IdempotencyEntry&, std::function<void(bool)>)> replicate_;
  /// Called with entries for the other instances: after a crash of the backend server, and when a
  /// request was cleared.
  std::function<void(const std::vector<QuarantineEntry>&)> onQuarantine_{};
  /// Called when the backend server says in an answer that it leaves, with its name.
  std::function<void(const std::string& aServerId)> onServerLeaves_{};
  /// Accounts for the requests of other instances, on the thread of the service; null: no limit.
  MemoryBudget* memory_ = nullptr;
};

} // namespace redwing
