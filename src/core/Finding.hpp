#pragma once

#include <string>
#include <vector>

namespace redwing {

/// One problem found while checking input, with the place where it was found.
struct Finding
{
  /// A flag or variable name, or a JSON pointer.
  std::string place_;
  std::string message_;

  bool operator==(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

} // namespace redwing
