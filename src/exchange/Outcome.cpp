#include "exchange/Outcome.hpp"

#include <array>
#include <cstddef>

namespace redwing {

namespace {

struct CodeInfo
{
  std::string_view text_;
  unsigned status_;
};

constexpr std::array<CodeInfo, static_cast<std::size_t>(ErrorCode::Count)> kCodes{ {
  { "missing_key", 401 },
  { "invalid_key", 401 },
  { "key_not_allowed", 403 },
  { "no_route", 404 },
  { "bad_request", 400 },
  { "missing_routing_key", 400 },
  { "idempotency_conflict", 409 },
  { "idempotency_in_flight", 409 },
  { "body_too_large", 413 },
  { "rate_limited", 429 },
  { "not_owner", 503 },
  { "no_owner", 503 },
  { "no_backend_server", 503 },
  { "overloaded", 503 },
  { "queue_full", 503 },
  { "draining", 503 },
  { "configuration_stale", 503 },
  { "poison_request", 503 },
  { "peer_unreachable", 503 },
  { "link_lost", 503 },
  { "backend_failed", 503 },
  { "deadline_exceeded", 504 },
  { "outcome_unknown", 503 },
  { "cancelled", 503 },
} };

} // namespace

std::string_view
ToText(ErrorCode aCode)
{
  return kCodes[static_cast<std::size_t>(aCode)].text_;
}

unsigned
HttpStatus(ErrorCode aCode)
{
  return kCodes[static_cast<std::size_t>(aCode)].status_;
}

std::string_view
ToText(Outcome aOutcome)
{
  return aOutcome == Outcome::NotRun ? "not-run" : "unknown";
}

} // namespace redwing
