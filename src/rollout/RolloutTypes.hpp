#pragma once

#include "core/Clock.hpp"

#include <array>
#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Value types of roll-outs: moves of a service's traffic to servers of another version.
namespace redwing {

/// Limits that every roll-out of the fleet must keep.
struct RolloutBounds
{
  /// Roll-outs are off unless the deployment asks for them.
  bool enabled_ = false;
  /// Part of a service's requests, and a number of them, that a bad version may get between the
  /// order and the end of its duration.
  double exposureShare_ = 0;
  double exposureSlack_ = 0;
  /// Time after its 50th bad answer from which a bad version must get no request.
  std::chrono::milliseconds rollbackTime_{ 0 };
};

/// An operator's order to move a service to a version.
struct RolloutOrder
{
  std::string service_;
  std::string targetVersion_;
  /// Time from the order within which the roll-out must have ended.
  std::chrono::milliseconds duration_{ 0 };
  /// Revision of the order in the store.
  std::uint64_t revision_ = 0;

  bool operator==(const RolloutOrder&) const = default;
};

enum class RolloutPhase : std::uint8_t
{
  /// No server of the target version takes requests yet.
  Waiting,
  /// A small share of the requests goes to a few servers of the target version.
  Canary,
  /// The share grows in steps.
  Ramp,
  /// The servers of the old version finish their requests and get no others.
  Closing,
  Completed,
  RolledBack,
};

/// Returns the name of a phase in records, logs and status texts.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::string_view NameOf(RolloutPhase aPhase);

/// Returns the phase that NameOf names aName; nothing if there is none.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::optional<RolloutPhase> PhaseOf(std::string_view aName);

/// Which of the two versions that a roll-out compares a server runs.
enum class RolloutSide : std::uint8_t
{
  Old,
  Target,
};

/// Upper bound of the first latency bucket; each bucket is wider than the one before by the square
/// root of two, and the last one has no upper bound.
constexpr std::chrono::milliseconds kFirstLatencyBucket{ 2 };
constexpr std::size_t kLatencyBuckets = 24;

/// What a server did with the requests of one route.
struct RouteCounts
{
  std::string route_;
  /// Requests that the server ran to an answer or failed.
  std::uint64_t requests_ = 0;
  /// Those that failed: an answer of 500 or above, or a connection that broke.
  std::uint64_t failures_ = 0;
  /// Answers by the time that they took.
  std::array<std::uint32_t, kLatencyBuckets> latencies_{};

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(route_, requests_, failures_, latencies_);
  }
};

/// What an instance reports about its server while its service is rolled out: totals since the
/// order, of this process.
struct ServerCounts
{
  std::string service_;
  /// Revision of the order that the totals count from.
  std::uint64_t orderRevision_ = 0;
  std::string version_;
  /// Requests that were sent to the server, whether it ran them or not.
  std::uint64_t arrivals_ = 0;
  /// Requests that the server works on or that are being sent to it.
  std::uint32_t running_ = 0;
  /// The instance admits no further requests for its server, as the leader has told it.
  bool closed_ = false;
  std::vector<RouteCounts> routes_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(service_, orderRevision_, version_, arrivals_, running_, closed_, routes_);
  }
};

/// What the leader tells an instance about the roll-out of one service.
struct RolloutDirective
{
  std::string service_;
  std::string targetVersion_;
  std::uint64_t orderRevision_ = 0;
  RolloutPhase phase_ = RolloutPhase::Waiting;
  /// Part of the service's requests that goes to the target version.
  double share_ = 0;
  /// Instances whose servers of the target version may get requests.
  std::vector<std::string> targets_;
  /// Number of requests that the server of the receiving instance may have got since the order, if
  /// it runs the target version.
  std::uint64_t arrivalLimit_ = 0;
  /// Time from the sending of the report for which the limit holds; afterwards the server gets
  /// nothing.
  std::uint32_t validForMs_ = 0;
  /// Other versions whose servers get no requests: those that were rolled back before.
  std::vector<std::string> closedVersions_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(service_,
             targetVersion_,
             orderRevision_,
             phase_,
             share_,
             targets_,
             arrivalLimit_,
             validForMs_,
             closedVersions_);
  }
};

/// What the routing of requests follows during a roll-out.
struct RolloutRouting
{
  std::string targetVersion_;
  RolloutPhase phase_ = RolloutPhase::Waiting;
  /// Part of the service's requests that goes to the target version; 0 without a valid directive.
  double share_ = 0;
  /// Instances whose servers of the target version may get requests.
  std::vector<std::string> targets_;

  bool operator==(const RolloutRouting&) const = default;
};

/// What an instance beside a server of a service that is rolled out sends to the leader at
/// intervals.
struct RolloutReport
{
  std::string instanceId_;
  std::uint64_t incarnation_ = 0;
  ServerCounts counts_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(instanceId_, incarnation_, counts_);
  }
};

/// The leader's reply to a RolloutReport.
struct RolloutReply
{
  /// False if the replying instance is not the leader.
  bool leads_ = false;
  std::vector<RolloutDirective> directives_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(leads_, directives_);
  }
};

/// Sent by the leader to all instances when a roll-out changes, and at intervals while one runs. It
/// directs the routing of requests; permissions to send to servers of the target version come with
/// replies to reports only.
struct RolloutNotice
{
  /// Revision of the leader's entry in the store; a notice of an earlier leader is ignored.
  std::uint64_t term_ = 0;
  std::vector<RolloutDirective> directives_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(term_, directives_);
  }
};

/// The lasting state of a service's roll-out.
struct RolloutRecord
{
  RolloutOrder order_;
  /// Time of day at which the order was first seen, in Unix milliseconds.
  std::int64_t orderedAt_ = 0;
  RolloutPhase phase_ = RolloutPhase::Waiting;
  /// Why the roll-out ended or waits.
  std::string reason_;
  /// Revision of the latest order that the roll-out follows. That of order_ stays when the version
  /// is ordered again, because counts refer to it.
  std::uint64_t latestRevision_ = 0;
  /// Versions that were rolled back before and still have servers.
  std::vector<std::string> closedVersions_;

  bool operator==(const RolloutRecord&) const = default;
};

} // namespace redwing
