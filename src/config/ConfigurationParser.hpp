#pragma once

#include "config/Configuration.hpp"
#include "core/Finding.hpp"

#include <string_view>
#include <tl/expected.hpp>

namespace redwing {

/// Reads the configuration document; docs/configuration.md describes its format.
class ConfigurationParser
{
public:
  /// Result of reading the members of a document without checking references between them.
  struct Structure
  {
    /// Members with findings have their default value.
    Configuration configuration_;
    Findings findings_;
  };

  /// Returns the validated configuration, or all findings with JSON pointers.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  static tl::expected<Configuration, Findings> Parse(std::string_view aText);

  /// Reads types, ranges and member names only. Documents in several files need this, because
  /// their references cross files.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  static Structure ParseStructure(std::string_view aText);
};

} // namespace redwing
