#include "membership/RingOrder.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using redwing::InstanceRef;
using redwing::OrderRing;
using redwing::RingMember;

namespace {

constexpr std::size_t kRacks = 4;

std::vector<RingMember>
Fleet(std::size_t aCount, std::size_t aDataCentres)
{
  std::vector<RingMember> members;
  for (std::size_t i = 0; i < aCount; ++i) {
    members.push_back(RingMember{ InstanceRef{ "instance-" + std::to_string(i), 1 },
                                  "dc-" + std::to_string(i % aDataCentres),
                                  "rack-" + std::to_string((i / aDataCentres) % kRacks),
                                  "north" });
  }
  return members;
}

/// Counts positions at which two of three consecutive members share a data centre.
std::size_t
SharedDataCentres(const std::vector<RingMember>& aRing)
{
  std::size_t shared = 0;
  for (std::size_t i = 0; i < aRing.size(); ++i) {
    const std::set<std::string> centres{ aRing[i].dataCentre_,
                                         aRing[(i + 1) % aRing.size()].dataCentre_,
                                         aRing[(i + 2) % aRing.size()].dataCentre_ };
    shared += centres.size() < 3 ? 1U : 0U;
  }
  return shared;
}

std::map<std::string, std::string>
Predecessors(const std::vector<RingMember>& aRing)
{
  std::map<std::string, std::string> predecessors;
  for (std::size_t i = 0; i < aRing.size(); ++i) {
    predecessors[aRing[i].ref_.id_] = aRing[(i + aRing.size() - 1) % aRing.size()].ref_.id_;
  }
  return predecessors;
}

} // namespace

// Guards against an owner, its grantor and its backup grantor that share a data centre.
BOOST_AUTO_TEST_CASE(ThreeConsecutiveMembersLieInDifferentDataCentres)
{
  for (const std::size_t count : { 7, 12, 60, 240 }) {
    const auto ring = OrderRing(Fleet(count, 4), "north");
    BOOST_TEST(ring.size() == count);
    BOOST_TEST(SharedDataCentres(ring) == 0U, "with " << count << " members");
  }
}

// Guards against a ring that depends on the order of the member list or contains other regions.
BOOST_AUTO_TEST_CASE(OrderDependsOnlyOnTheMembersOfTheRegion)
{
  auto members = Fleet(30, 4);
  const auto ring = OrderRing(members, "north");
  std::reverse(members.begin(), members.end());
  members.push_back(RingMember{ InstanceRef{ "far", 1 }, "dc-9", "rack", "south" });
  BOOST_TEST((Predecessors(OrderRing(members, "north")) == Predecessors(ring)));
}

// Guards against a join or loss that moves many bindings, in a small and in a large region.
BOOST_AUTO_TEST_CASE(LossOfOneMemberMovesFewNeighbours)
{
  constexpr std::size_t kSamples = 120;
  const std::map<std::size_t, double> limits{ { 120, 12.0 }, { 1300, 30.0 } };
  for (const auto& [count, limit] : limits) {
    const auto members = Fleet(count, 4);
    const auto before = Predecessors(OrderRing(members, "north"));
    std::size_t moved = 0;
    for (std::size_t sample = 0; sample < kSamples; ++sample) {
      auto rest = members;
      rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(sample * (count / kSamples)));
      for (const auto& [id, predecessor] : Predecessors(OrderRing(rest, "north"))) {
        moved += predecessor != before.at(id) ? 1U : 0U;
      }
    }
    const double average = static_cast<double>(moved) / kSamples;
    BOOST_TEST_MESSAGE(count << " members: " << average << " predecessors change on average");
    BOOST_TEST(average <= limit);
  }
}
