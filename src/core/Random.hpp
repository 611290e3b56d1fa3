#pragma once

#include <cstdint>
#include <random>

namespace redwing {

/// Seeded source of random numbers; the same seed gives the same sequence.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : engine_(aSeed)
  {
  }

  /// Returns a number in [0, aBound).
  ///
  /// Preconditions: aBound > 0. Thread safety: not thread-safe; one object per thread.
  std::uint64_t Below(std::uint64_t aBound)
  {
    return std::uniform_int_distribution<std::uint64_t>(0, aBound - 1)(engine_);
  }

  /// Returns a number in [0, 1).
  ///
  /// Preconditions: none. Thread safety: not thread-safe; one object per thread.
  double Unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(engine_); }

  /// Returns 64 random bits.
  ///
  /// Preconditions: none. Thread safety: not thread-safe; one object per thread.
  std::uint64_t Bits() { return engine_(); }

private:
  std::mt19937_64 engine_;
};

} // namespace redwing
