#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>

/// Runs one input; ends the process when a property does not hold.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize);

namespace redwing::fuzz {

/// Ends the process when a property of the code under test does not hold, also in release builds.
inline void
Require(bool aHolds, const char* aProperty)
{
  if (!aHolds) {
    std::fprintf(stderr, "fuzz: property does not hold: %s\n", aProperty);
    std::abort();
  }
}

inline std::string_view
View(const std::uint8_t* aData, std::size_t aSize)
{
  return { reinterpret_cast<const char*>(aData), aSize };
}

} // namespace redwing::fuzz
