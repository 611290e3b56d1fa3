#include "routing/ExpectedTimeChoice.hpp"

#include "support/ManualClock.hpp"

#include <array>
#include <boost/test/unit_test.hpp>

using namespace redwing;
using namespace std::chrono_literals;

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
