#pragma once

#include "admission/IdempotencyTable.hpp"
#include "backend/HttpConnection.hpp"
#include "exchange/Events.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace redwing {

enum class ServedPhase : std::uint8_t
{
  Queued,
  /// Waits until its idempotency entry is replicated.
  Replicating,
  Running,
  /// Its connection broke; whether the server crashed is being found out.
  Failing,
  Ended,
};

/// State of one request at the instance beside the backend server.
struct ServedExchange
{
  RequestStart start_;
  ServedPhase phase_ = ServedPhase::Queued;
  /// Body parts that arrived before the dispatch.
  std::string pendingBody_;
  bool bodyComplete_ = false;
  bool askedForBody_ = false;
  std::shared_ptr<HttpConnection> connection_;
  TimePoint dispatchedAt_{};
  std::uint64_t token_ = 0;
  /// BeginRequest of the gate was answered with owned.
  bool counted_ = false;
  /// An idempotency entry exists that this exchange must end.
  bool entered_ = false;
  /// Runs as the one trial of a suspected request.
  bool trial_ = false;
  bool resent_ = false;
  /// The server answered that it did not run the request.
  bool reachedServer_ = false;
  bool headSent_ = false;
  /// The caller got its final event; the rest of the response is discarded.
  bool detached_ = false;
  TimePoint detachedAt_{};
  /// The shard was lost while the request ran; its cancellation was sent.
  bool leaseLost_ = false;
  /// Collects the response for the idempotency table.
  std::optional<StoredResponse> kept_;
};

} // namespace redwing
