#pragma once

#include "admission/IdempotencyTable.hpp"
#include "backend/HttpConnection.hpp"
#include "core/MemoryBudget.hpp"
#include "exchange/Events.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace redwing {

enum class ServedPhase : std::uint8_t
{
  Queued,
  /// Waits for the replication of its idempotency entry.
  Replicating,
  Running,
  /// The connection broke; a probe is checking whether the server crashed.
  Failing,
  Ended,
};

/// Returns the name of aPhase for log lines.
///
/// Preconditions: none. Thread safety: callable from any thread.
constexpr std::string_view
ToText(ServedPhase aPhase)
{
  switch (aPhase) {
    case ServedPhase::Queued:
      return "queued";
    case ServedPhase::Replicating:
      return "replicating";
    case ServedPhase::Running:
      return "running";
    case ServedPhase::Failing:
      return "failing";
    case ServedPhase::Ended:
      break;
  }
  return "ended";
}

/// State of one request at the instance that dispatches it to the backend server.
struct ServedExchange
{
  RequestStart start_;
  ServedPhase phase_ = ServedPhase::Queued;
  /// Body parts received before the request was dispatched.
  std::string pendingBody_;
  bool bodyComplete_ = false;
  bool bodyCreditSent_ = false;
  std::shared_ptr<HttpConnection> connection_;
  /// Memory of the body; null for requests of this instance's callers, who account for it.
  std::unique_ptr<HeldMemory> held_;
  TimePoint arrivedAt_{};
  TimePoint dispatchedAt_{};
  std::uint64_t token_ = 0;
  /// OwnershipGate::BeginRequest granted the request, so EndRequest must follow.
  bool countedByGate_ = false;
  /// This exchange created an idempotency entry and must complete or abandon it.
  bool ownsEntry_ = false;
  /// Runs as the single trial of a request suspected of crashing servers.
  bool trial_ = false;
  /// The server received the request and reported that it did not run it.
  bool reachedServer_ = false;
  /// The response is large and was admitted to the link.
  bool large_ = false;
  bool headSent_ = false;
  /// The caller has received its final event; the rest of the response is discarded.
  bool detached_ = false;
  TimePoint detachedAt_{};
  /// The shard's lease was lost while the request ran; the request is being cancelled.
  bool leaseLost_ = false;
  /// Response collected for the idempotency table.
  std::optional<StoredResponse> storedResponse_;
  /// Number of the server at RouteCounter, once the request was passed to a connection.
  std::optional<std::uint64_t> countedServer_;
  /// What the request did at the server is not counted, or was counted by an answer or a deadline.
  bool uncounted_ = false;
  bool answerCounted_ = false;
};

} // namespace redwing
