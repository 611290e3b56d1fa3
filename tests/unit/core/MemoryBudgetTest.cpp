#include "core/MemoryBudget.hpp"
#include "core/DescriptorShares.hpp"

#include <boost/test/unit_test.hpp>
#include <limits>

using namespace redwing;

namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;

} // namespace

BOOST_AUTO_TEST_SUITE(MemoryBudgets)

// Guards against large bodies that take the memory of small requests, and against a budget that
// never asks to close connections.
BOOST_AUTO_TEST_CASE(SharesRiseFromLargeBodiesToClosing)
{
  CounterRegistry counters;
  MemoryBudget budget(64 * kMegabyte, counters);
  int exceeded = 0;
  budget.OnExceeded([&] { ++exceeded; });
  BOOST_TEST(budget.Limit() == 16 * kMegabyte);
  HeldMemory bodies(budget, MemoryHolder::RequestBodies);
  BOOST_TEST(bodies.TrySet(7 * kMegabyte, MemoryUse::LargeBody));
  BOOST_TEST(!bodies.TrySet(9 * kMegabyte, MemoryUse::LargeBody));
  BOOST_TEST(bodies.Bytes() == 7 * kMegabyte);
  BOOST_TEST(bodies.TrySet(11 * kMegabyte, MemoryUse::SmallRequest));
  BOOST_TEST(!bodies.TrySet(13 * kMegabyte, MemoryUse::SmallRequest));
  HeldMemory responses(budget, MemoryHolder::Responses);
  responses.Set(3 * kMegabyte);
  BOOST_TEST(exceeded == 0);
  responses.Set(4 * kMegabyte);
  BOOST_TEST(exceeded == 1);
  BOOST_TEST(budget.Exceeded());
  responses.Set(0);
  BOOST_TEST(exceeded == 1);
}

// Guards against bytes that stay counted after their holder has gone, and against bytes under the
// wrong holder.
BOOST_AUTO_TEST_CASE(BytesAreGivenBack)
{
  CounterRegistry counters;
  MemoryBudget budget(64 * kMegabyte, counters);
  const auto& gauge = counters.GetGauge("redwing_memory_held_bytes", "holder=\"peer_links\"");
  {
    HeldMemory held(budget, MemoryHolder::PeerLinks);
    held.Set(500);
    held.Set(300);
    BOOST_TEST(gauge.Value() == 300);
    BOOST_TEST(budget.Held() == 300U);
  }
  BOOST_TEST(gauge.Value() == 0);
  BOOST_TEST(budget.Held() == 0U);
}

// Guards against a limit where none was stated, and a machine too small for any request.
BOOST_AUTO_TEST_CASE(NoLimitAndTheLeastLimit)
{
  CounterRegistry counters;
  MemoryBudget unlimited(0, counters);
  BOOST_TEST(unlimited.Fits(std::numeric_limits<std::size_t>::max(), MemoryUse::LargeBody));
  BOOST_TEST(!unlimited.Exceeded());
  MemoryBudget least(kMegabyte, counters);
  BOOST_TEST(least.Fits(kMegabyte, MemoryUse::LargeBody));
}

// Guards against shares that together exceed the sockets, or leave none for the store.
BOOST_AUTO_TEST_CASE(DescriptorsLeaveAReserve)
{
  for (const std::uint32_t descriptors : { 300U, 500U, 4100U, 65536U }) {
    const auto shares = DescriptorShares::Of(descriptors);
    const std::size_t taken = shares.callers_ + shares.server_ + shares.peers_;
    BOOST_TEST(taken + 200 + 8 <= descriptors);
    BOOST_TEST(shares.callers_ > shares.server_);
  }
  BOOST_TEST(DescriptorShares::Of(0).callers_ == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
