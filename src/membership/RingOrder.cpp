#include "membership/RingOrder.hpp"

#include "core/Hash.hpp"

#include <algorithm>
#include <bit>
#include <cstddef>
#include <limits>

namespace redwing {

namespace {

// A shared rack weighs more than a shared data centre: racks are lost more often.
constexpr int kSameRack = 100;
constexpr int kSameDataCentre = 10;
constexpr int kMaxPasses = 6;
constexpr std::size_t kSpan = 2;
// Large enough that the data centres are mixed in a segment, small enough that few members move.
constexpr std::size_t kSegment = 24;

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

/// A member with its place in [0, 1) of the ring.
struct Placed
{
  RingMember member_;
  double place_ = 0.0;
};

/// Cost of the pairs that aMember would form when inserted before position aAt.
int
InsertCost(const std::vector<Placed>& aRing, std::size_t aAt, const RingMember& aMember)
{
  const std::size_t size = aRing.size();
  int cost = 0;
  for (std::size_t distance = 0; distance < std::min(kSpan, size); ++distance) {
    cost += PairCost(aMember, aRing[(aAt + distance) % size].member_);
    cost += PairCost(aMember, aRing[(aAt + size - 1 - distance) % size].member_);
  }
  return cost;
}

/// Inserts aMember at the cheapest position, the nearest one to aPlace among equals.
void
Insert(std::vector<Placed>& aRing, const RingMember& aMember, double aPlace)
{
  const std::size_t size = aRing.size();
  if (size == 0) {
    aRing.push_back(Placed{ aMember, aPlace });
    return;
  }
  const auto target = static_cast<std::size_t>(
    std::lower_bound(aRing.begin(),
                     aRing.end(),
                     aPlace,
                     [](const Placed& aLeft, double aRight) { return aLeft.place_ < aRight; }) -
    aRing.begin());
  std::size_t best = target;
  int bestCost = InsertCost(aRing, target, aMember);
  for (std::size_t step = 1; step <= size && bestCost > 0; ++step) {
    for (const std::size_t at : { target + step, target - step }) {
      if (at <= size) {
        const int cost = InsertCost(aRing, at, aMember);
        if (cost < bestCost) {
          bestCost = cost;
          best = at;
        }
      }
    }
  }
  double place = aPlace;
  if (best != target) {
    const double left = best == 0 ? 0.0 : aRing[best - 1].place_;
    const double right = best == size ? 1.0 : aRing[best].place_;
    place = (left + right) / 2.0;
  }
  aRing.insert(aRing.begin() + static_cast<std::ptrdiff_t>(best), Placed{ aMember, place });
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
  std::vector<RingMember> members;
  for (const RingMember& member : aMembers) {
    if (member.region_ == aRegion) {
      members.push_back(member);
    }
  }
  // Members are inserted in the order of one hash at the place of another one, so that a member
  // influences only later ones near it.
  std::sort(members.begin(), members.end(), [](const RingMember& aLeft, const RingMember& aRight) {
    const auto left = HashBytes("order/" + aLeft.ref_.id_);
    const auto right = HashBytes("order/" + aRight.ref_.id_);
    return left != right ? left < right : aLeft.ref_ < aRight.ref_;
  });
  // Each segment of the ring is ordered by itself: a join or loss moves members of one segment, and
  // a few more where the repair below has to reach across.
  const std::size_t segments = std::bit_floor(std::max<std::size_t>(1, members.size() / kSegment));
  std::vector<std::vector<Placed>> placed(segments);
  for (const RingMember& member : members) {
    const double range = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    const double place = static_cast<double>(HashBytes(member.ref_.id_)) / range;
    const auto segment = static_cast<std::size_t>(place * static_cast<double>(segments));
    Insert(placed[std::min(segment, segments - 1)], member, place);
  }
  std::vector<RingMember> ring;
  for (auto& segment : placed) {
    for (Placed& entry : segment) {
      ring.push_back(std::move(entry.member_));
    }
  }
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
