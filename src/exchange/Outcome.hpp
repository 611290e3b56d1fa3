#pragma once

#include <cstdint>
#include <string_view>

namespace redwing {

/// What is known about a request that got no answer from a backend server.
enum class Outcome : std::uint8_t
{
  /// The request did not run and never will.
  NotRun,
  /// The request may have run.
  Unknown,
};

/// Stable error codes of refusals; the text form is part of the public interface.
enum class ErrorCode : std::uint8_t
{
  MissingKey,          ///< 401 missing_key
  InvalidKey,          ///< 401 invalid_key
  KeyNotAllowed,       ///< 403 key_not_allowed
  NoRoute,             ///< 404 no_route
  BadRequest,          ///< 400 bad_request
  MissingRoutingKey,   ///< 400 missing_routing_key
  IdempotencyConflict, ///< 409 idempotency_conflict
  IdempotencyInFlight, ///< 409 idempotency_in_flight
  BodyTooLarge,        ///< 413 body_too_large
  RateLimited,         ///< 429 rate_limited
  NotOwner,            ///< 503 not_owner
  NoOwner,             ///< 503 no_owner
  NoBackendServer,     ///< 503 no_backend_server
  Overloaded,          ///< 503 overloaded
  QueueFull,           ///< 503 queue_full
  Draining,            ///< 503 draining
  ConfigurationStale,  ///< 503 configuration_stale
  PoisonRequest,       ///< 503 poison_request
  PeerUnreachable,     ///< 503 peer_unreachable
  LinkLost,            ///< 503 link_lost
  BackendFailed,       ///< 503 backend_failed
  DeadlineExceeded,    ///< 504 deadline_exceeded
  OutcomeUnknown,      ///< 503 outcome_unknown: an earlier request with the same idempotency key
  Cancelled,           ///< 503 cancelled
  Count,
};

/// Returns the stable text of aCode, such as `rate_limited`.
///
/// Preconditions: aCode is not Count. Thread safety: callable from any thread.
std::string_view ToText(ErrorCode aCode);

/// Returns the HTTP status that aCode maps to.
///
/// Preconditions: aCode is not Count. Thread safety: callable from any thread.
unsigned HttpStatus(ErrorCode aCode);

/// Returns `not-run` or `unknown`.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::string_view ToText(Outcome aOutcome);

} // namespace redwing
