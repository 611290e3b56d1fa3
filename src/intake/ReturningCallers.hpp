#pragma once

#include "core/Clock.hpp"

#include <string>
#include <unordered_map>

namespace redwing {

/// Tells requests that were refused before from first attempts, by how much less than usual their
/// callers are still willing to wait.
///
/// Answers the load of a fleet that has to refuse a part of its requests: a caller that returns has
/// lost the time in which an answer is worth most, and would take the place of one that has not.
class ReturningCallers
{
public:
  /// Returns whether a request of aRoute whose caller waits aPatience from now was probably refused
  /// before.
  ///
  /// Preconditions: aNow never decreases. Thread safety: not thread-safe.
  bool Returns(const std::string& aRoute, Duration aPatience, TimePoint aNow);

private:
  /// The longest patience seen in the present period and in the one before.
  struct Patience
  {
    Duration previous_{};
    Duration present_{};
    TimePoint periodStart_{};
  };

  std::unordered_map<std::string, Patience> routes_;
};

} // namespace redwing
