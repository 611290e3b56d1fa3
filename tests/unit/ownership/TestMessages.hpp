#pragma once

#include "ownership/Effects.hpp"

#include <variant>

namespace redwing::test {

/// Returns the first effect of type T, or nothing.
template<typename T>
const T*
FindEffect(const Effects& aEffects)
{
  for (const Effect& effect : aEffects) {
    if (const T* found = std::get_if<T>(&effect)) {
      return found;
    }
  }
  return nullptr;
}

} // namespace redwing::test
