#pragma once

#include "core/Clock.hpp"
#include "core/Random.hpp"
#include "routing/MemberLoad.hpp"

#include <cstddef>
#include <span>
#include <utility>
#include <vector>

namespace redwing {

/// Chooses the member of a pool that is expected to answer a request first.
///
/// An instance hears of a server's load only with answers to its own requests. In a large fleet
/// most of what it knows is old, and all instances would prefer the same fast servers without
/// learning in time that these are full. So members with recent news are compared by their expected
/// time; of the others only one takes part, drawn in proportion to capacity and believed to be as
/// busy as the rest of the pool. The load that this answers: many instances, each with few requests
/// for each of many servers of different speeds, at four fifths of their capacity.
class ExpectedTimeChoice
{
public:
  struct Option
  {
    const MemberLoad* load_ = nullptr;
    double slots_ = 1;
    /// In the data centre of this instance.
    bool near_ = false;
  };

  /// Returns the index of the chosen option. A member of another data centre must be expected to
  /// answer sooner by the factor aFarFactor. aLarge: the response is large, so that the link of the
  /// member counts too.
  ///
  /// Preconditions: aOptions is not empty, each has a load and at least one slot; aFarFactor >= 1.
  /// Thread safety: not thread-safe.
  std::size_t Choose(std::span<const Option> aOptions,
                     double aFarFactor,
                     Random& aRandom,
                     TimePoint aNow,
                     bool aLarge = false);

private:
  std::size_t Draw(std::span<const Option> aOptions,
                   const UsualLoad& aUsual,
                   double aFarFactor,
                   Random& aRandom);

  /// Options without recent news and the sum of the weights up to each.
  std::vector<std::pair<double, std::size_t>> old_;
};

} // namespace redwing
