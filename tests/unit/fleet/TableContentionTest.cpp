#include "fleet/TableContention.hpp"

#include "support/ManualClock.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace redwing;
using namespace std::chrono_literals;

namespace {

/// Holders that all have to change their own rows of one table; each write takes 5 ms and succeeds
/// if no other has succeeded since it began. Returns the number of writes until all have succeeded.
int
WritesUntilDone(std::size_t aHolders, test::ManualClock& aClock)
{
  struct Holder
  {
    TableContention contention_;
    bool done_ = false;
  };
  constexpr Duration kStep = 5ms;
  constexpr Duration kLimit = 60s;
  std::vector<Holder> holders;
  for (std::size_t i = 0; i < aHolders; ++i) {
    holders.push_back({ TableContention(aClock, i) });
  }
  const TimePoint end = aClock.Now() + kLimit;
  std::uint64_t revision = 1;
  int writes = 0;
  while (aClock.Now() < end && std::any_of(holders.begin(), holders.end(), [](const Holder& aOne) {
           return !aOne.done_;
         })) {
    const std::uint64_t base = revision;
    for (Holder& holder : holders) {
      if (holder.done_ || !holder.contention_.MayWrite("desk")) {
        continue;
      }
      ++writes;
      if (revision == base) {
        ++revision;
        holder.done_ = true;
        holder.contention_.OnWritten("desk");
      } else {
        holder.contention_.OnConflict("desk", base, aHolders);
      }
    }
    aClock.Advance(kStep);
  }
  BOOST_CHECK(aClock.Now() < end);
  return writes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TableContentions)

// Guards against writes that grow with the square of the number of holders.
BOOST_AUTO_TEST_CASE(WritesGrowInProportionToTheHolders)
{
  constexpr int kWritesOfEach = 5;
  for (const std::size_t holders : { 10U, 40U, 125U, 500U }) {
    test::ManualClock clock;
    const int writes = WritesUntilDone(holders, clock);
    BOOST_TEST_MESSAGE(holders << " holders, writes: " << writes);
    BOOST_TEST(writes <= kWritesOfEach * static_cast<int>(holders));
  }
}

// Guards against shards without an owner for long, in a fleet of any size, because the releases of
// two holders met.
BOOST_AUTO_TEST_CASE(AConflictOfTwoDelaysThemShortly)
{
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    test::ManualClock clock;
    TableContention contention(clock, seed);
    contention.OnConflict("desk", 7, 2);
    clock.Advance(25ms);
    BOOST_TEST(contention.MayWrite("desk"));
  }
}

// Guards against an instance that goes on writing by a table that it does not know to be outdated,
// and against reading the store for each conflict.
BOOST_AUTO_TEST_CASE(TheStoreIsReadWhenTheTableIsUnchangedAfterAConflict)
{
  test::ManualClock clock;
  TableContention contention(clock, 1);
  BOOST_TEST(!contention.OnConflict("desk", 7, 10));
  BOOST_TEST(!contention.OnConflict("desk", 8, 10));
  BOOST_TEST(contention.OnConflict("desk", 8, 10));
  contention.OnWritten("desk");
  BOOST_TEST(contention.MayWrite("desk"));
  BOOST_TEST(!contention.OnConflict("desk", 8, 10));
}

BOOST_AUTO_TEST_SUITE_END()
