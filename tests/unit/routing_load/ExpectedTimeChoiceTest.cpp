#include "routing/ExpectedTimeChoice.hpp"

#include "support/ManualClock.hpp"

#include <array>
#include <boost/test/unit_test.hpp>

using namespace redwing;
using namespace std::chrono_literals;

// Guards against large responses that go to a server whose link is full, and against small ones
// that avoid it.
BOOST_AUTO_TEST_CASE(LargeResponsesGoWhereBytesAreFree)
{
  test::ManualClock clock;
  std::array<MemberLoad, 2> loads;
  loads[0].OnReport({ 1, 0, 4, 10'000, 900'000, 90'000 }, clock.Now());
  loads[1].OnReport({ 4, 4, 4, 10'000, 0, 90'000 }, clock.Now());
  const std::array<ExpectedTimeChoice::Option, 2> options{ { { loads.data(), 4, true },
                                                             { &loads[1], 4, true } } };
  ExpectedTimeChoice choice;
  Random random(7);
  BOOST_TEST(choice.Choose(options, 1, random, clock.Now(), true) == 1U);
  BOOST_TEST(choice.Choose(options, 1, random, clock.Now(), false) == 0U);
  // Own requests since the last report count as well.
  for (std::uint64_t i = 1; i <= 15; ++i) {
    loads[1].OnStart(i, clock.Now(), true);
  }
  BOOST_TEST(choice.Choose(options, 1, random, clock.Now(), true) == 0U);
}

// Guards against a server that gets nothing more because its last report, of a moment in which it
// took no requests, is the only one and all others have recent news.
BOOST_AUTO_TEST_CASE(AMemberWithAnOldReportOfAFullServerIsTriedAgain)
{
  constexpr std::uint32_t kSlots = 4;
  constexpr std::uint32_t kServiceUs = 10'000;
  test::ManualClock clock;
  std::array<MemberLoad, 4> loads;
  std::vector<ExpectedTimeChoice::Option> options;
  for (MemberLoad& load : loads) {
    options.push_back({ &load, kSlots, true });
  }
  loads[0].OnReport({ 0, 100 * kSlots, kSlots, kServiceUs }, clock.Now());
  ExpectedTimeChoice choice;
  Random random(7);
  const auto report = [&] {
    for (std::size_t i = 1; i < loads.size(); ++i) {
      loads[i].OnReport({ 2, 0, kSlots, kServiceUs }, clock.Now());
    }
  };
  report();
  for (int i = 0; i < 100; ++i) {
    BOOST_TEST(choice.Choose(options, 1, random, clock.Now()) != 0U);
  }
  clock.Advance(1s);
  report();
  int chosen = 0;
  for (int i = 0; i < 100; ++i) {
    chosen += choice.Choose(options, 1, random, clock.Now()) == 0 ? 1 : 0;
  }
  BOOST_TEST(chosen > 10);
}
