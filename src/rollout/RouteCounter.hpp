#pragma once

#include "core/Clock.hpp"
#include "rollout/RolloutTypes.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace redwing {

/// Counts what the local backend server gets and does, by route, since each order of a rollout.
/// Each version of the server has its own counts; they outlast a restart of the server, because the
/// limits of a rollout are those of a version.
class RouteCounter
{
public:
  /// Sets the server that the following requests are sent to.
  ///
  /// Preconditions: none. Thread safety: not thread-safe, like all functions here.
  void SetServer(std::string_view aService, std::string_view aVersion);

  /// Counts since the order of aRevision begin, unless it is known already.
  ///
  /// Preconditions: none.
  void OnOrder(std::uint64_t aRevision);

  /// Counts a request that is passed to a connection to the server; returns the number by which the
  /// events of this request name the server.
  ///
  /// Preconditions: none.
  std::uint64_t OnSent();

  /// Takes back a request of which nothing was written.
  ///
  /// Preconditions: OnSent returned aServer for the request.
  void OnNotSent(std::uint64_t aServer);

  /// Counts an answer that took aTime; the time of a failure is not counted.
  ///
  /// Preconditions: OnSent returned aServer for the request.
  void OnAnswer(std::uint64_t aServer, const std::string& aRoute, Duration aTime, bool aFailed);

  /// Counts a request whose connection broke; aAnswered tells whether OnAnswer has counted it.
  ///
  /// Preconditions: OnSent returned aServer for the request.
  void OnBroken(std::uint64_t aServer, const std::string& aRoute, bool aAnswered);

  /// Returns the counts of the present server since the order; running_ and closed_ are not set.
  ///
  /// Preconditions: none.
  ServerCounts CountsSince(std::uint64_t aRevision);

  /// Returns the requests that were sent to the present version since the order, or all of them if
  /// the order is not known.
  ///
  /// Preconditions: none.
  std::uint64_t ArrivalsSince(std::uint64_t aRevision) const;

  const std::string& Service() const { return service_; }
  const std::string& Version() const { return version_; }

  /// Returns the index of the bucket of RouteCounts::latencies_ that counts aTime.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  static std::size_t BucketOf(Duration aTime);

private:
  using Routes = std::map<std::string, RouteCounts, std::less<>>;
  struct Totals
  {
    std::uint64_t arrivals_ = 0;
    Routes routes_;
  };
  struct Server
  {
    std::uint64_t number_ = 0;
    std::string service_;
    std::string version_;
    Totals totals_;
    /// Totals at the moment at which an order became known, oldest order first.
    std::vector<std::pair<std::uint64_t, Totals>> orders_;
  };

  Server* ServerOf(std::uint64_t aNumber);
  RouteCounts* CountsOf(std::uint64_t aServer, const std::string& aRoute);

  std::string service_;
  std::string version_;
  /// The present server last.
  std::vector<Server> servers_;
  /// Known orders, oldest first.
  std::vector<std::uint64_t> revisions_;
  std::uint64_t lastNumber_ = 0;
};

} // namespace redwing
