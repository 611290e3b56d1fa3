#include "membership/RingOrder.hpp"

#include "core/Hash.hpp"

#include <algorithm>
#include <bit>
#include <cstddef>
#include <limits>
#include <map>

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

/// A member and the cell of the ring that it was given.
struct Placed
{
  RingMember member_;
  std::size_t cell_ = 0;
};

/// Returns the number of cells for data centres of at most aLargest members: a quarter more than
/// members, rounded to a quarter of a power of two, so that it changes rarely with the fleet.
std::size_t
CellCount(std::size_t aLargest)
{
  const std::size_t step = std::max<std::size_t>(1, std::bit_floor(aLargest) / 4);
  return ((aLargest * 5 / 4) / step + 1) * step;
}

/// Gives the members of each data centre cells by their hash, at most one member of a data centre
/// in a cell; a member whose cell is taken moves to the next free one. A join or loss shifts at
/// most the run of occupied cells behind it. In cell order, with a fixed order of data centres
/// inside a cell, the data centres alternate except where a cell is empty.
std::vector<Placed>
PlaceInCells(std::span<const RingMember> aMembers, const std::string& aRegion)
{
  std::map<std::string, std::map<std::pair<std::uint64_t, std::string>, RingMember>> centres;
  std::size_t largest = 0;
  for (const RingMember& member : aMembers) {
    if (member.region_ == aRegion) {
      auto& centre = centres[member.dataCentre_];
      centre.emplace(std::pair(HashBytes(member.ref_.id_), member.ref_.id_), member);
      largest = std::max(largest, centre.size());
    }
  }
  const std::size_t cells = CellCount(largest);
  const auto range = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  std::vector<Placed> placed;
  for (const auto& [name, centre] : centres) {
    std::size_t next = 0;
    for (const auto& [key, member] : centre) {
      const double place = static_cast<double>(key.first) / range * static_cast<double>(cells);
      next = std::max(next, static_cast<std::size_t>(place));
      placed.push_back(Placed{ member, next });
      ++next;
    }
  }
  std::stable_sort(placed.begin(), placed.end(), [](const Placed& aLeft, const Placed& aRight) {
    return aLeft.cell_ < aRight.cell_;
  });
  return placed;
}

/// Brings forward the next member that differs from the two before it wherever one does not. The
/// order of the others is kept, so that the effect of a join or loss ends soon.
void
SeparateNeighbours(std::vector<RingMember>& aRing)
{
  const auto fits = [&](std::size_t aAt, const RingMember& aMember) {
    return (aAt < 1 || PairCost(aRing[aAt - 1], aMember) == 0) &&
           (aAt < 2 || PairCost(aRing[aAt - 2], aMember) == 0);
  };
  for (std::size_t i = 0; i < aRing.size(); ++i) {
    std::size_t next = i;
    while (next < aRing.size() && !fits(i, aRing[next])) {
      ++next;
    }
    if (next < aRing.size() && next != i) {
      const auto begin = aRing.begin() + static_cast<std::ptrdiff_t>(i);
      const auto end = aRing.begin() + static_cast<std::ptrdiff_t>(next) + 1;
      std::rotate(begin, end - 1, end);
    }
  }
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
  for (Placed& entry : PlaceInCells(aMembers, aRegion)) {
    ring.push_back(std::move(entry.member_));
  }
  if (ring.size() <= kSpan + 1) {
    return ring;
  }
  SeparateNeighbours(ring);
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
