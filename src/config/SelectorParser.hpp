#pragma once

#include "config/Configuration.hpp"

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace redwing {

/// Parses selector terms separated by commas: `tier = gold`, `tier != gold`, `zone in (a, b)`,
/// `zone notin (a, b)`, `gpu` (label exists), `!gpu` (label does not exist).
class SelectorParser
{
public:
  /// Returns the terms of aText, or a message that names the faulty position.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  static tl::expected<std::vector<SelectorTerm>, std::string> Parse(std::string_view aText);

  /// Returns the text that Parse reads back as aTerms.
  ///
  /// Preconditions: aTerms came from Parse. Thread safety: callable from any thread.
  static std::string ToText(const std::vector<SelectorTerm>& aTerms);
};

} // namespace redwing
