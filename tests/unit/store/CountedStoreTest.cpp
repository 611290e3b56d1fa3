#include "store/CountedStore.hpp"

#include "core/SteadyClock.hpp"
#include "support/MemoryStore.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;
using namespace std::chrono_literals;

// Guards against calls that no metric shows, or that show as another operation or another user.
BOOST_AUTO_TEST_CASE(CallsAreCountedByUserAndOperation)
{
  boost::asio::io_context context;
  const SteadyClock clock;
  test::MemoryStore memory(context, clock);
  CounterRegistry counters;
  CountedStore fleet(memory, counters, "fleet");
  CountedStore configuration(memory, counters, "configuration");
  int answers = 0;
  fleet.Watch("a", 1, [&](const auto&) { ++answers; });
  fleet.Range("a", false, [&](const auto&) { ++answers; });
  fleet.GrantLease(2s, [&](const auto&) { ++answers; });
  fleet.KeepAlive(1, [&](const auto&) { ++answers; });
  for (int i = 0; i < 2; ++i) {
    StoreTransaction transaction;
    transaction.writes_.push_back({ "a", "text", 0 });
    fleet.Commit(std::move(transaction), [&](const auto&) { ++answers; });
  }
  configuration.Range("b", true, [&](const auto&) { ++answers; });
  context.run();
  BOOST_TEST(answers == 8);
  const std::string text = counters.RenderText();
  for (const char* line : {
         "redwing_store_calls_total{user=\"fleet\",operation=\"read\"} 1",
         "redwing_store_calls_total{user=\"fleet\",operation=\"lease\"} 1",
         "redwing_store_calls_total{user=\"fleet\",operation=\"renewal\"} 1",
         "redwing_store_calls_total{user=\"fleet\",operation=\"write\"} 2",
         "redwing_store_calls_total{user=\"fleet\",operation=\"watch\"} 3",
         "redwing_store_calls_total{user=\"configuration\",operation=\"read\"} 1",
       }) {
    BOOST_TEST((text.find(line) != std::string::npos), line);
  }
  BOOST_TEST(fleet.Calls() == 8U);
  BOOST_TEST(configuration.Calls() == 1U);
}
