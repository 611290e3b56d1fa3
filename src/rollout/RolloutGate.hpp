#pragma once

#include "core/Clock.hpp"
#include "rollout/RolloutTypes.hpp"
#include "rollout/RouteCounter.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace redwing {

/// Whether the local server may get one more request.
enum class RolloutAnswer : std::uint8_t
{
  Open,
  /// The server runs the target version, and no permission of the leader holds now.
  NoPermission,
  /// The server got as many requests as the permission allows.
  LimitReached,
  /// The leader has closed the side of the server.
  Closed,
};

/// Returns the name of aAnswer in refusals, logs and metrics.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::string_view NameOf(RolloutAnswer aAnswer);

/// Enforces the leader's directives on a rollout at the instance that sends to the server: its
/// bounds hold whatever the instances that route requests know. Not thread-safe.
class RolloutGate
{
public:
  /// Preconditions: aCounter outlives this object; it counts what the server gets.
  explicit RolloutGate(RouteCounter& aCounter);

  /// Applies a directive. aSentAt is when the report that it answers was sent, or the start of time
  /// for a notice, which carries no permission.
  ///
  /// Preconditions: none.
  void OnDirective(const RolloutDirective& aDirective, TimePoint aSentAt);

  /// Returns whether the server may get one request more than the aWaiting that it will get anyway.
  /// aRouting is what the routing follows for the service of the server, null if there is no
  /// rollout; it counts only while no directive is known.
  ///
  /// Preconditions: none.
  RolloutAnswer Check(const RolloutRouting* aRouting, std::size_t aWaiting, TimePoint aNow) const;

  /// Returns whether the leader has closed the side of the server. This is no lease.
  ///
  /// Preconditions: none.
  bool Closed() const;

  /// Returns the time from which a request must not be written any more if no further directive
  /// comes; the end of time if the server needs no permission.
  ///
  /// Preconditions: none.
  TimePoint PermittedUntil() const;

  /// Returns the last directive on the service of the server, or null.
  ///
  /// Preconditions: none.
  const RolloutDirective* Directive() const;

private:
  struct State
  {
    RolloutDirective directive_;
    TimePoint sentAt_{};
    TimePoint permittedUntil_{};
    /// Versions that were rolled back or replaced; a later order for another version does not open
    /// them again.
    std::set<std::string> closedVersions_;
  };

  void Apply(State& aState, const RolloutDirective& aDirective, bool aSameOrder) const;
  const State* Present() const;
  bool NeedsPermission(const State& aState) const;
  bool IsClosed(const State& aState) const;

  RouteCounter& counter_;
  std::map<std::string, State, std::less<>> states_;
};

} // namespace redwing
