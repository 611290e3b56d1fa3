#pragma once

#include "config/Configuration.hpp"
#include "core/Address.hpp"
#include "core/Clock.hpp"
#include "core/Counters.hpp"
#include "core/MemoryBudget.hpp"
#include "core/Published.hpp"
#include "exchange/Events.hpp"
#include "exchange/HttpProtocol.hpp"
#include "routing/OverloadRetries.hpp"
#include "routing/RetryBudget.hpp"
#include "routing/RoutingSettings.hpp"
#include "routing/RoutingView.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace redwing {

struct IntakeSettings
{
  /// Port 0 takes any free port; see IntakeService::Port.
  Address callersAddress_;
  std::size_t maxHeaderBytes_ = 16 * 1024;
  std::size_t maxConnections_ = 20'000;
  std::size_t maxExchanges_ = 20'000;
  /// A connection without a request is closed when another one finds no room.
  bool closesIdleForNew_ = false;
  std::chrono::milliseconds idleTimeout_{ 75'000 };
  /// Time for a request head to arrive, and for a caller to take response bytes.
  std::chrono::milliseconds progressTimeout_{ 30'000 };
  /// Time for which idle kept-alive connections are still served during a shutdown, so that a
  /// request already on its way to us is answered.
  std::chrono::milliseconds shutdownGrace_{ 500 };
  /// Time for which a shard without a serving owner is retried.
  std::chrono::milliseconds ownerWait_{ 2'000 };
  std::uint32_t routeLogLinesPerSecond_ = 200;
  RoutingSettings routing_;
  HttpProtocol protocol_;
  RetryBudgetSettings retryBudget_;
  OverloadRetrySettings overloadRetries_;
  /// Service of the backend server beside this instance; sent along as the origin of requests.
  std::string originService_;
  /// Larger bodies are sent on before they are complete and cannot be sent again.
  std::size_t bufferedBodyBytes_ = kMaxChunkBytes;
  /// Larger buffered bodies are sent once the serving instance asks for them, so that a refused
  /// attempt costs no transfer; 0: all are sent at once.
  std::size_t eagerBodyBytes_ = 0;
  /// Larger bodies are refused; 0: no limit.
  std::size_t maxBodyBytes_ = 0;
  /// Idempotent requests of one connection that are served at the same time.
  std::size_t maxPipelined_ = 1;
  /// Time for which new connections are still accepted during a shutdown.
  std::chrono::milliseconds acceptGrace_{ 0 };
  /// Pauses between attempts at a shard without a serving owner: the first, and the longest.
  std::chrono::milliseconds firstOwnerRetry_{ 2 };
  std::chrono::milliseconds lastOwnerRetry_{ 16 };
  /// Requests without workspace are calls of backend servers; they go before all others, because
  /// the requests that wait for them hold slots meanwhile.
  bool callsFirst_ = false;
  /// Requests whose callers were probably refused before come after all others.
  bool returningLast_ = false;
  /// Workspaces share a server's queue in proportion to their rates instead of their weights.
  bool weighsByRate_ = false;
  /// Part of a caller's time that is kept for the way of the response.
  std::chrono::milliseconds replyMargin_{ 0 };
  /// When a refused caller may come back, unless a better estimate is known.
  std::chrono::milliseconds defaultRetryAfter_{ 1000 };
};

/// Answer to a request for a token of a workspace.
struct RateAnswer
{
  bool admitted_ = false;
  /// Time after which a token is expected; only if the request is not admitted.
  std::uint32_t retryAfterMs_ = 0;
  /// Names the token of an admitted request among those of its workspace.
  std::uint64_t token_ = 0;
};

/// Called on the intake thread. Returns false if the request has ended meanwhile, so that it does
/// not use the token.
using RateDecision = std::function<bool(const RateAnswer& aAnswer)>;
/// Asks for one token of a workspace. The decision arrives on the intake thread, possibly before
/// the call returns.
using RateLimiter =
  std::function<void(const Workspace& aWorkspace, TimePoint aDeadline, RateDecision aDecide)>;

/// What IntakeService needs from its surroundings; references outlive the service.
struct IntakeDependencies
{
  boost::asio::io_context& io_;
  const Clock& clock_;
  const Published<RoutingView>& view_;
  CounterRegistry& counters_;
  std::uint64_t seed_;
  std::string instanceId_;
  IntakeSettings settings_;
  TryStartLocal tryStartLocal_;
  SendRequestEvent sendLocal_;
  TryStartRemote tryStartRemote_;
  SendRemoteEvent sendRemote_;
  RateLimiter rateLimiter_;
  /// Takes back the token of a request that was admitted and did not run; may be empty.
  std::function<void(const Workspace& aWorkspace, std::uint64_t aToken)> returnToken_;
  /// Accounts for the bytes that are held for callers, on the thread of io_; null: no limit.
  MemoryBudget* memory_ = nullptr;
};

} // namespace redwing
