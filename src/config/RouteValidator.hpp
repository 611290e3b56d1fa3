#pragma once

#include "config/Configuration.hpp"
#include "core/Finding.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace redwing::Detail {

/// Position of each id in its section.
using IdIndex = std::map<std::string, std::size_t, std::less<>>;

/// Checks the routes of a configuration against its other sections and against each other.
class RouteValidator
{
public:
  /// Preconditions: the arguments outlive this object.
  RouteValidator(const Configuration& aConfiguration,
                 const IdIndex& aWorkspaces,
                 const IdIndex& aServices,
                 Findings& aFindings);

  /// Appends the findings.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Run();

private:
  void CheckPath(std::size_t aIndex);
  void CheckMethods(std::size_t aIndex);
  void CheckRoutingKey(std::size_t aIndex);
  void CheckTarget(std::size_t aIndex, std::string_view aMember, const std::string& aService);
  void CheckWorkspaces(std::size_t aIndex);
  void CheckConflicts(std::size_t aIndex);
  void Report(std::size_t aIndex, std::string_view aMember, std::string aMessage);

  const Configuration& configuration_;
  const IdIndex& workspaces_;
  const IdIndex& services_;
  Findings& findings_;
  /// Routes checked so far, by path prefix.
  std::multimap<std::string, std::size_t> byPath_;
};

} // namespace redwing::Detail
