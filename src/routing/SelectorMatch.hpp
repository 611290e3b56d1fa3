#pragma once

#include "config/Configuration.hpp"

namespace redwing {

/// Returns whether every term of aSelector holds for a backend server with aOwn labels in a data
/// centre with aDataCentre labels; a server's own label hides the data centre's.
///
/// Preconditions: none. Thread safety: callable from any thread.
bool Selects(const Selector& aSelector, const Labels& aOwn, const Labels& aDataCentre);

} // namespace redwing
