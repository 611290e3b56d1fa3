#include "membership/RingOrder.hpp"

#include "core/Hash.hpp"

#include <algorithm>
#include <cstddef>

namespace redwing {

namespace {

// A shared rack weighs more than a shared data centre: racks are lost more often.
constexpr int kSameRack = 100;
constexpr int kSameDataCentre = 10;
constexpr int kMaxPasses = 6;
constexpr std::size_t kSpan = 2;

int
PairCost(const RingMember& aLeft, const RingMember& aRight)
{
  if (aLeft.dataCentre_ != aRight.dataCentre_) {
    return 0;
  }
  return kSameDataCentre + (aLeft.rack_ == aRight.rack_ ? kSameRack : 0);
}

/// Cost of all pairs at distance 1 and 2 that the positions around aAt take part in.
int
CostAround(const std::vector<RingMember>& aRing, std::size_t aAt)
{
  const std::size_t size = aRing.size();
  int cost = 0;
  for (std::size_t back = 0; back <= kSpan; ++back) {
    const RingMember& left = aRing[(aAt + size - back) % size];
    for (std::size_t distance = 1; distance <= kSpan; ++distance) {
      cost += PairCost(left, aRing[(aAt + size - back + distance) % size]);
    }
  }
  return cost;
}

int
CostOf(const std::vector<RingMember>& aRing, std::size_t aAt)
{
  const std::size_t size = aRing.size();
  int cost = 0;
  for (std::size_t distance = 1; distance <= kSpan; ++distance) {
    cost += PairCost(aRing[aAt], aRing[(aAt + distance) % size]);
    cost += PairCost(aRing[aAt], aRing[(aAt + size - distance) % size]);
  }
  return cost;
}

/// Exchanges the member at aAt with the nearest one that lowers the cost most; searches at most
/// aReach positions, so that a repair stays local.
bool
Repair(std::vector<RingMember>& aRing, std::size_t aAt, std::size_t aReach)
{
  const std::size_t size = aRing.size();
  int bestGain = 0;
  std::size_t best = aAt;
  for (std::size_t step = 1; step <= std::min(aReach, size - 1); ++step) {
    const std::size_t other = (aAt + step) % size;
    const int before = CostAround(aRing, aAt) + CostAround(aRing, other);
    std::swap(aRing[aAt], aRing[other]);
    const int gain = before - CostAround(aRing, aAt) - CostAround(aRing, other);
    std::swap(aRing[aAt], aRing[other]);
    if (gain > bestGain) {
      bestGain = gain;
      best = other;
    }
    if (bestGain > 0 && step >= kSpan * 4) {
      break;
    }
  }
  if (best == aAt) {
    return false;
  }
  std::swap(aRing[aAt], aRing[best]);
  return true;
}

} // namespace

std::vector<RingMember>
OrderRing(std::span<const RingMember> aMembers, const std::string& aRegion)
{
  std::vector<RingMember> ring;
  for (const RingMember& member : aMembers) {
    if (member.region_ == aRegion) {
      ring.push_back(member);
    }
  }
  // The hash of the id alone gives each member a place that other members do not influence.
  std::sort(ring.begin(), ring.end(), [](const RingMember& aLeft, const RingMember& aRight) {
    const auto left = HashBytes(aLeft.ref_.id_);
    const auto right = HashBytes(aRight.ref_.id_);
    return left != right ? left < right : aLeft.ref_ < aRight.ref_;
  });
  if (ring.size() <= kSpan + 1) {
    return ring;
  }
  for (int pass = 0; pass < kMaxPasses; ++pass) {
    bool changed = false;
    for (std::size_t i = 0; i < ring.size(); ++i) {
      if (CostOf(ring, i) > 0) {
        changed = Repair(ring, i, ring.size()) || changed;
      }
    }
    if (!changed) {
      break;
    }
  }
  return ring;
}

} // namespace redwing
