#pragma once

#include "config/Configuration.hpp"

#include <string>

namespace redwing {

/// Writes configurations as canonical JSON: sections sorted by id, members in the order of
/// docs/configuration.md, optional members left out when they are empty.
class ConfigurationWriter
{
public:
  /// Returns an indented document that ends with a line feed. ConfigurationParser reads it back.
  ///
  /// Preconditions: aConfiguration is valid. Thread safety: callable from any thread.
  static std::string Write(const Configuration& aConfiguration);

  /// Returns one entry of a section as JSON on one line.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  static std::string Write(const Workspace& aWorkspace);
  static std::string Write(const CallerKey& aKey);
  static std::string Write(const Service& aService);
  static std::string Write(const Route& aRoute);
  static std::string Write(const DataCentre& aDataCentre);
};

} // namespace redwing
