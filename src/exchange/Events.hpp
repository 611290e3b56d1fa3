#pragma once

#include "core/Clock.hpp"
#include "exchange/Outcome.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Events of an exchange (one request and its answer). The same events pass between the threads of
/// an instance and, serialised, between instances.
namespace redwing {

/// Largest body part in one event.
constexpr std::size_t kMaxChunkBytes = 64 * 1024;
/// Body bytes that may be outstanding per exchange and direction.
constexpr std::size_t kBodyWindowBytes = 256 * 1024;

/// Link id of exchanges that the local intake started; other ids are inbound peer links.
constexpr std::uint64_t kLocalLink = 0;

/// Identifies an exchange at the instance that serves it.
struct ExchangeKey
{
  std::uint64_t linkId_ = kLocalLink;
  std::uint64_t exchangeId_ = 0;

  bool operator==(const ExchangeKey&) const = default;
};

struct ExchangeKeyHash
{
  std::size_t operator()(const ExchangeKey& aKey) const
  {
    constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15ULL;
    return static_cast<std::size_t>((aKey.linkId_ * kMultiplier) ^ aKey.exchangeId_);
  }
};

struct Header
{
  std::string name_;
  std::string value_;

  bool operator==(const Header&) const = default;
};

using HeaderList = std::vector<Header>;

/// A shard of a keyed service and the ownership token under which the sender routed to it.
struct ShardTarget
{
  std::uint32_t shard_ = 0;
  /// 0 when the sender knows no token.
  std::uint64_t token_ = 0;
};

/// Load of the answering backend server, sent along with answers and refusals.
struct LoadReport
{
  std::uint32_t running_ = 0;
  std::uint32_t queued_ = 0;
  std::uint32_t slots_ = 0;
  /// Expected time that the server works on a request, in microseconds; 0: not known.
  std::uint32_t serviceTimeUs_ = 0;
  /// Time that the link of the instance takes for the large responses that are ahead of a further
  /// one, and for that one, in microseconds; 0: not known or not limited.
  std::uint32_t byteWaitUs_ = 0;
  std::uint32_t byteTimeUs_ = 0;
};

/// First event of a request; small bodies travel inside it.
struct RequestStart
{
  ExchangeKey key_;
  std::string requestId_;
  std::string service_;
  std::string workspace_;
  std::string method_;
  std::string target_;
  /// End-to-end headers without the caller's key and without hop-by-hop headers.
  HeaderList headers_;
  /// Sent between instances as remaining time.
  TimePoint deadline_{};
  /// 0 is served first.
  std::uint8_t priority_ = 0;
  /// Weight of the workspace in the fair queue.
  std::uint32_t weight_ = 1;
  bool idempotent_ = false;
  std::string idempotencyKey_;
  /// Hash of workspace, method, target and (for bodies inside this event) body.
  std::uint64_t fingerprint_ = 0;
  std::optional<ShardTarget> shard_;
  std::optional<std::uint64_t> contentLength_;
  std::string body_;
  /// True when body_ is the whole body.
  bool last_ = true;
  /// Configuration revision that admitted the request.
  std::uint64_t configurationRevision_ = 0;
  /// Identifies the caller's key without revealing it, for withdrawal while queued; empty if open.
  std::string keyId_;
  /// Moment until which the answer is of full use to the caller.
  TimePoint targetTime_{};
  /// Requests of one class take about the same time at a server: the id of the route.
  std::string class_;
  /// Latest time at which the caller's instance, which is about to stop, can pass an answer on. A
  /// request that would be answered later is refused instead of being run; the time that a running
  /// request has is its deadline alone. Sent between instances as remaining time.
  TimePoint answerBy_ = TimePoint::max();
};

struct RequestBody
{
  ExchangeKey key_;
  std::string bytes_;
  bool last_ = false;
};

/// The caller no longer waits, or a hedge lost.
struct RequestCancel
{
  ExchangeKey key_;
};

/// Lets the serving side send aBytes more of the answer's body.
struct ResponseCredit
{
  ExchangeKey key_;
  std::uint32_t bytes_ = 0;
};

/// The caller's instance is about to stop: the request is refused if it was not passed to the
/// backend server yet, and is left alone if it was.
struct RequestRecall
{
  ExchangeKey key_;
};

using RequestEvent =
  std::variant<RequestStart, RequestBody, RequestCancel, ResponseCredit, RequestRecall>;

struct ResponseStart
{
  ExchangeKey key_;
  std::uint16_t status_ = 0;
  HeaderList headers_;
  std::optional<std::uint64_t> contentLength_;
  std::string body_;
  bool last_ = true;
  LoadReport load_;
};

struct ResponseBody
{
  ExchangeKey key_;
  std::string bytes_;
  bool last_ = false;
};

/// The answer broke off after ResponseStart; the caller's connection is closed without the end.
struct ResponseAbort
{
  ExchangeKey key_;
};

/// The request gets no answer from a backend server; final event of the exchange.
struct Refusal
{
  ExchangeKey key_;
  Outcome outcome_ = Outcome::NotRun;
  ErrorCode code_ = ErrorCode::Overloaded;
  std::string detail_;
  std::optional<std::uint32_t> retryAfterMs_;
  /// With NotOwner: the instance that owns the shard as far as the sender knows; may be empty.
  std::string ownerHint_;
  std::uint64_t ownerToken_ = 0;
  LoadReport load_;
  /// The request arrived at a backend server, which turned it away.
  bool reachedServer_ = false;
};

/// Lets the caller's side send aBytes more of the request's body.
struct RequestCredit
{
  ExchangeKey key_;
  std::uint32_t bytes_ = 0;
};

using ResponseEvent =
  std::variant<ResponseStart, ResponseBody, ResponseAbort, Refusal, RequestCredit>;

/// Request event addressed to another instance.
struct OutboundEvent
{
  std::string instanceId_;
  RequestEvent event_;
};

/// Hooks through which a duty passes events on. Callable from any thread; TryStart returns false
/// when the receiver's queue is full, and then the event was not taken.
using TryStartLocal = std::function<bool(RequestStart&&)>;
using SendRequestEvent = std::function<void(RequestEvent&&)>;
using SendResponseEvent = std::function<void(ResponseEvent&&)>;
using TryStartRemote = std::function<bool(const std::string& aInstanceId, RequestStart&&)>;
using SendRemoteEvent = std::function<void(const std::string& aInstanceId, RequestEvent&&)>;

/// Returns the key of any event.
///
/// Preconditions: none. Thread safety: callable from any thread.
ExchangeKey KeyOf(const RequestEvent& aEvent);
ExchangeKey KeyOf(const ResponseEvent& aEvent);

} // namespace redwing
