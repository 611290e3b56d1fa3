#pragma once

#include "core/Published.hpp"
#include "exchange/Events.hpp"
#include "routing/RoutingView.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

namespace redwing {

/// Checks requests against the current configuration, on arrival and again when they leave the
/// queue. Backend thread only.
class RequestChecks
{
public:
  RequestChecks(const Published<RoutingView>& aView, std::chrono::milliseconds aWithdrawalGrace);

  /// Returns the error code with which aStart must be refused, or nothing if it may run.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  std::optional<ErrorCode> CheckRequest(const RequestStart& aStart, TimePoint aNow);

  /// Returns whether this instance may run aStart as the single trial of a suspected request. For a
  /// pooled service, instances with equal member tables choose the same instance. A sharded request
  /// only reaches the shard's owner, which may always run it.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  bool MayRunTrial(const RequestStart& aStart);

  /// Applies the current configuration; returns whether it has changed since the last call.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  bool ConsumeChange();

  /// Returns whether the configuration has workspaces.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  bool HasWorkspaces();

  /// Returns whether the answers of the route with the id aRoute are large.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  bool HasLargeAnswers(const std::string& aRoute);

  /// Returns the configuration of aService, or the defaults if the service is unknown.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  Service ServiceOf(const std::string& aService);

  /// Returns what the routing follows during a rollout of aService, or null if there is none; valid
  /// until the next call.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  const RolloutRouting* RolloutOf(const std::string& aService);

private:
  void Refresh();

  PublishedReader<RoutingView> view_;
  std::chrono::milliseconds withdrawalGrace_;
  std::shared_ptr<const ConfigurationRevision> configuration_;
  bool changed_ = false;
  std::unordered_set<std::string> keys_;
  /// Ids of the routes with large answers.
  std::unordered_set<std::string> large_;
};

} // namespace redwing
