#pragma once

#include "core/Clock.hpp"

namespace redwing {

/// Returns how long an instance that has aOwn processors lets those with up to aLargest go first in
/// the election of a leader. The leader answers all instances, so that one of the small machines of
/// a large fleet is late with each answer. The delay is short, so that small instances elect one of
/// their own if the larger ones cannot reach the store. 0 processors stand for an unknown number,
/// which delays nobody.
///
/// Preconditions: both are at least 0. Thread safety: callable from any thread.
Duration ElectionHandicap(double aOwn, double aLargest);

} // namespace redwing
