#pragma once

#include "config/Configuration.hpp"

#include <string>
#include <string_view>

namespace redwing {

/// Labels that selectors see for one backend server.
struct SelectorSubject
{
  const Labels& backendLabels_;
  /// Null when the data centre is not configured.
  const DataCentre* dataCentre_ = nullptr;
};

/// Decides whether a selector chooses a backend server. A label is looked up among those that the
/// backend server announced, then among those of its data centre; `data_centre` and `region` are
/// always taken from the configuration, so that a backend server cannot announce itself elsewhere.
class SelectorMatcher
{
public:
  /// Returns whether all terms hold. `!=` and `notin` hold for a label that does not exist.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  static bool Matches(const Selector& aSelector, const SelectorSubject& aSubject);
};

} // namespace redwing
