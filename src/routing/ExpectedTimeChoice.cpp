#include "routing/ExpectedTimeChoice.hpp"

#include <algorithm>
#include <cmath>

namespace redwing {

namespace {

/// Expected times are spread at random by this part, so that instances do not all choose the same
/// member for a small difference.
constexpr double kSpread = 0.2;
/// A member of another data centre is drawn less often by the far factor to this power.
constexpr double kFarPower = 4;

UsualLoad
UsualOf(std::span<const ExpectedTimeChoice::Option> aOptions)
{
  double time = 0;
  double load = 0;
  double slots = 0;
  unsigned reported = 0;
  double byteWait = 0;
  double byteTime = 0;
  unsigned limited = 0;
  for (const auto& option : aOptions) {
    if (option.load_->ServiceTime() > 0) {
      time += option.load_->ServiceTime();
      // Old reports of queues, and of servers that take nothing for a while, say little about now.
      load += std::min(option.load_->Reported(), option.slots_);
      slots += option.slots_;
      ++reported;
    }
    if (option.load_->ByteTime() > 0) {
      byteWait += option.load_->ByteWait();
      byteTime += option.load_->ByteTime();
      ++limited;
    }
  }
  UsualLoad usual;
  if (reported > 0) {
    usual.serviceTimeUs_ = time / reported;
    usual.perSlot_ = load / slots;
  }
  if (limited > 0) {
    usual.byteWaitUs_ = byteWait / limited;
    usual.byteTimeUs_ = byteTime / limited;
  }
  return usual;
}

} // namespace

std::size_t
ExpectedTimeChoice::Choose(std::span<const Option> aOptions,
                           double aFarFactor,
                           Random& aRandom,
                           TimePoint aNow,
                           bool aLarge)
{
  const UsualLoad usual = UsualOf(aOptions);
  std::size_t best = 0;
  double bestTime = 0;
  bool found = false;
  const auto consider = [&](std::size_t aIndex) {
    const Option& option = aOptions[aIndex];
    double time = aLarge ? option.load_->ExpectedLargeTime(option.slots_, usual, aNow)
                         : option.load_->ExpectedTime(option.slots_, usual, aNow);
    time *= option.near_ ? 1 : aFarFactor;
    time *= 1 + kSpread * aRandom.Unit();
    if (!found || time < bestTime) {
      best = aIndex;
      bestTime = time;
      found = true;
    }
  };
  old_.clear();
  for (std::size_t i = 0; i < aOptions.size(); ++i) {
    if (aOptions[i].load_->HasNews(aNow)) {
      consider(i);
    } else {
      old_.emplace_back(0, i);
    }
  }
  if (!old_.empty()) {
    consider(Draw(aOptions, usual, aFarFactor, aRandom));
  }
  return best;
}

std::size_t
ExpectedTimeChoice::Draw(std::span<const Option> aOptions,
                         const UsualLoad& aUsual,
                         double aFarFactor,
                         Random& aRandom)
{
  const double farWeight = std::pow(aFarFactor, -kFarPower);
  double total = 0;
  for (auto& [sum, index] : old_) {
    const Option& option = aOptions[index];
    const double time = option.load_->ServiceTime();
    const double capacity = option.slots_ / (time > 0 ? time : aUsual.serviceTimeUs_);
    // Own requests that are still open are the only news of such a member.
    total += capacity * (option.near_ ? 1 : farWeight) / (1 + option.load_->Outstanding());
    sum = total;
  }
  const double ticket = aRandom.Unit() * total;
  const auto drawn = std::find_if(
    old_.begin(), old_.end() - 1, [&](const auto& aOld) { return ticket < aOld.first; });
  return drawn->second;
}

} // namespace redwing
