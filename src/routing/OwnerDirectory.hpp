#pragma once

#include "routing/RoutingView.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace redwing {

/// Where an attempt for a shard goes.
struct OwnerChoice
{
  /// Empty: no instance is known to serve the shard now.
  std::string instanceId_;
  std::uint64_t token_ = 0;
};

/// Finds the instance to ask for a shard: a hint newer than the view, the owner, or the recorded
/// successor when the owner failed the request.
class OwnerDirectory
{
public:
  /// Returns the instance for the next attempt; aLastFailed is the instance that refused or was
  /// lost in the attempt before, empty on the first.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  OwnerChoice Choose(const RoutingView& aView,
                     const std::string& aService,
                     std::uint32_t aShard,
                     const std::string& aLastFailed) const;

  /// Records the owner named in a refusal. Hints with a lower token than a known one are ignored.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Learn(const std::string& aService,
             std::uint32_t aShard,
             const std::string& aOwner,
             std::uint64_t aToken);

private:
  std::unordered_map<std::uint64_t, OwnerChoice> hints_;
};

} // namespace redwing
