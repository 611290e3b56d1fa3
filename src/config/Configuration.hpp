#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Value types of the operators' configuration document.
namespace redwing {

using Labels = std::map<std::string, std::string, std::less<>>;

struct Workspace
{
  std::string id_;
  /// Requests per second over all instances together.
  double rate_ = 0;
  /// Requests that may come at once on top of the rate.
  double burst_ = 0;
  /// Weight in the fair queues.
  std::uint32_t weight_ = 1;
  /// Replaces the priority of the route if set; 0 is served first.
  std::optional<std::uint8_t> priority_;

  bool operator==(const Workspace&) const = default;
};

/// A caller key; only its SHA-256 hash (lower-case hexadecimal) is kept.
struct CallerKey
{
  std::string id_;
  std::string workspace_;
  std::string hash_;

  bool operator==(const CallerKey&) const = default;
};

enum class ServiceMode : std::uint8_t
{
  /// Each key is served by the one owner of its shard.
  Keyed,
  /// Any backend server may serve any request.
  Pooled,
};

/// Initial concurrency that never limits a backend server.
constexpr std::uint32_t kUnlimitedConcurrency = 10'000;

struct ColdStart
{
  /// Concurrency given to a cold backend server at first.
  std::uint32_t initial_ = 1;
  /// Time within which a healthy backend server reaches its full slots.
  std::chrono::milliseconds ramp_{ 5000 };
  /// Requests per second that a cold backend server bears; 0: no limit.
  double perSecond_ = 0;

  bool operator==(const ColdStart&) const = default;
};

/// How a routing key becomes a shard.
enum class KeyMapping : std::uint8_t
{
  /// By its hash.
  Hashed,
  /// The key is a number from 0 to 65535; each shard is a range of keys of equal length.
  Numeric,
};

/// Number of keys under KeyMapping::Numeric.
constexpr std::uint32_t kNumericKeys = 65536;
/// Usual number of shards under KeyMapping::Numeric: ranges of 32 keys are small enough to spread
/// busy neighbouring keys over several servers.
constexpr std::uint32_t kNumericShards = 2048;

struct Service
{
  std::string id_;
  ServiceMode mode_ = ServiceMode::Pooled;
  /// Number of shards of a keyed service; fixed for its lifetime.
  std::uint32_t shards_ = 0;
  ColdStart coldStart_;
  KeyMapping keyMapping_ = KeyMapping::Hashed;
  /// Connections that each backend server accepts; 0: as it announces.
  std::uint32_t connections_ = 0;

  bool operator==(const Service&) const = default;
};

enum class SelectorOperator : std::uint8_t
{
  Equals,
  NotEquals,
  In,
  NotIn,
  Exists,
  NotExists,
};

/// One condition on the labels of a backend server or its data centre.
struct SelectorTerm
{
  std::string label_;
  SelectorOperator operator_ = SelectorOperator::Exists;
  std::vector<std::string> values_;

  bool operator==(const SelectorTerm&) const = default;
};

/// Terms that must all hold, and the share of traffic for what they select.
struct Selector
{
  std::vector<SelectorTerm> terms_;
  std::uint32_t weight_ = 1;

  bool operator==(const Selector&) const = default;
};

enum class KeySource : std::uint8_t
{
  None,
  PathSegment,
  Header,
};

/// A service that gets a share of a route's requests.
struct RouteTarget
{
  std::string service_;
  std::uint32_t weight_ = 1;

  bool operator==(const RouteTarget&) const = default;
};

struct Route
{
  std::string id_;
  std::string pathPrefix_;
  /// Empty: all methods.
  std::vector<std::string> methods_;
  std::string service_;
  KeySource keySource_ = KeySource::None;
  /// Segment of the path that holds the key, counted from 0.
  std::uint32_t keySegment_ = 0;
  std::string keyHeader_;
  /// Open routes need no caller key.
  bool open_ = false;
  /// Workspace that open requests are charged to.
  std::string openWorkspace_;
  bool idempotent_ = false;
  /// 0 is served first.
  std::uint8_t priority_ = 1;
  std::chrono::milliseconds timeout_{ 5000 };
  /// Workspaces that may use the route; empty: all.
  std::vector<std::string> workspaces_;
  /// Tried in order of weight; empty: all backend servers of the service.
  std::vector<Selector> selectors_;
  /// Host header that the route is for; empty: any.
  std::string host_;
  /// Services that share the requests by weight; empty: all go to service_.
  std::vector<RouteTarget> split_;
  /// Backend servers that may run one request; at least 1.
  std::uint32_t maxAttempts_ = 2;
  /// Time within which a response is of full use to the caller; 0: the whole timeout.
  std::chrono::milliseconds targetLatency_{ 0 };
  /// The answers are large, so that the link of a backend server's machine may be short of room.
  bool largeAnswers_ = false;

  bool operator==(const Route&) const = default;
};

struct DataCentre
{
  std::string id_;
  std::string region_;
  bool withdrawn_ = false;
  Labels labels_;

  bool operator==(const DataCentre&) const = default;
};

/// What callers may send, and how long they may take; 0 if the operator states no limit.
struct CallerLimits
{
  std::uint64_t headerBytes_ = 0;
  std::uint64_t bodyBytes_ = 0;
  std::chrono::milliseconds headerTimeout_{ 0 };
  std::chrono::milliseconds idleTimeout_{ 0 };

  bool operator==(const CallerLimits&) const = default;
};

/// The whole configuration document.
struct Configuration
{
  std::uint32_t version_ = 1;
  std::vector<Workspace> workspaces_;
  std::vector<CallerKey> keys_;
  std::vector<Service> services_;
  std::vector<Route> routes_;
  std::vector<DataCentre> dataCentres_;
  CallerLimits callerLimits_;

  bool operator==(const Configuration&) const = default;
};

/// A configuration with the store revision under which it was accepted.
struct ConfigurationRevision
{
  /// 0 when none has been received yet.
  std::uint64_t revision_ = 0;
  std::string operationId_;
  Configuration configuration_;
  /// Revision of the newest change in the store that this includes, data centres too; 0 if unknown.
  std::uint64_t change_ = 0;
};

} // namespace redwing
