#pragma once

#include "config/Configuration.hpp"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace redwing {

/// A route with the service it leads to.
struct RouteEntry
{
  const Route* route_ = nullptr;
  const Service* service_ = nullptr;
  /// Workspace charged on an open route; null otherwise.
  const Workspace* openWorkspace_ = nullptr;
  /// Entries of a split route, one for each of its services; empty otherwise.
  std::vector<RouteEntry> parts_;
};

/// Routes of one configuration revision, compiled for lookup by path.
class RouteTable
{
public:
  /// Keeps aRevision alive for its own lifetime. Routes that name an unknown service are left out.
  explicit RouteTable(std::shared_ptr<const ConfigurationRevision> aRevision);

  /// Returns the route with the longest prefix of aPath, on segment boundaries, that allows
  /// aMethod; null if there is none. Routes of aHost go before routes of any host.
  ///
  /// Preconditions: aPath is without query; aHost is without port and in lower case. Thread safety:
  /// callable from any thread.
  const RouteEntry* Match(std::string_view aMethod,
                          std::string_view aPath,
                          std::string_view aHost = {}) const;

  /// Returns whether aWorkspace may use aEntry.
  ///
  /// Preconditions: aEntry is from this table. Thread safety: callable from any thread.
  static bool Allows(const RouteEntry& aEntry, std::string_view aWorkspace);

  /// Returns the workspace aId, or null.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  const Workspace* FindWorkspace(std::string_view aId) const;

  /// Returns the revision that the table was compiled from.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  const ConfigurationRevision& Revision() const { return *revision_; }

private:
  struct HostRoutes
  {
    std::unordered_map<std::string_view, std::vector<RouteEntry>> byPrefix_;
  };

  void Add(const Route& aRoute);
  RouteEntry MakeEntry(const Route& aRoute) const;
  static const RouteEntry* Match(const HostRoutes& aRoutes,
                                 std::string_view aMethod,
                                 std::string_view aPath);

  std::shared_ptr<const ConfigurationRevision> revision_;
  std::unordered_map<std::string_view, HostRoutes> byHost_;
  /// Copies of split routes with the service of one part.
  std::deque<Route> parts_;
  std::unordered_map<std::string_view, const Workspace*> workspaces_;
};

/// Returns segment aIndex of aPath, percent-decoded, or nothing if it is absent, empty or badly
/// encoded. Decoding makes every spelling of a key reach the same shard.
///
/// Preconditions: aPath is without query. Thread safety: callable from any thread.
std::optional<std::string> PathSegment(std::string_view aPath, std::uint32_t aIndex);

/// Returns whether aPath has a `.` or `..` segment, also percent-encoded. Such a path could match
/// one route here and another resource at the backend server.
///
/// Preconditions: none. Thread safety: callable from any thread.
bool HasDotSegment(std::string_view aPath);

} // namespace redwing
