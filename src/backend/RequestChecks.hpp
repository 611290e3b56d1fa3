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

/// Checks of a request against the configuration in force, at arrival and again when it is taken
/// from the queue. Backend thread only.
class RequestChecks
{
public:
  RequestChecks(const Published<RoutingView>& aView, std::chrono::milliseconds aWithdrawalGrace);

  /// Returns why aStart must not run, or nothing.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  std::optional<ErrorCode> Refuses(const RequestStart& aStart, TimePoint aNow);

  /// Returns whether this instance is the one that may try a suspected request of a pooled service.
  /// All instances with the same member table name the same one.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  bool MayTry(const RequestStart& aStart);

  /// Adopts a changed configuration; returns whether there was one since the last call.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  bool TakeChange(TimePoint aNow);

  /// Returns the configuration of aService, or defaults if it is not known.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  Service ServiceOf(const std::string& aService);

private:
  void Refresh(TimePoint aNow);

  PublishedReader<RoutingView> view_;
  std::chrono::milliseconds withdrawalGrace_;
  std::shared_ptr<const ConfigurationRevision> configuration_;
  bool changed_ = false;
  std::unordered_set<std::string> keys_;
  std::optional<TimePoint> withdrawnSince_;
};

} // namespace redwing
