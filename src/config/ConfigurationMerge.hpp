#pragma once

#include "config/Configuration.hpp"
#include "core/Finding.hpp"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace redwing {

struct ConfigurationFile
{
  std::string name_;
  std::string text_;
};

/// Joins the sections of several files into one configuration.
class ConfigurationMerge
{
public:
  /// Returns the validated whole, or all findings; their place is `file#pointer`.
  ///
  /// Preconditions: aFiles is not empty. Thread safety: callable from any thread.
  static tl::expected<Configuration, Findings> Merge(const std::vector<ConfigurationFile>& aFiles);
};

} // namespace redwing
