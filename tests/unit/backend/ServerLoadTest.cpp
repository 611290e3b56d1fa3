#include "backend/ServerLoad.hpp"
#include "BackendBench.hpp"

#include <atomic>

using namespace redwing;
using namespace std::chrono_literals;
using redwing::test::Bench;
using redwing::test::FakeRequest;
using redwing::test::FakeServer;

BOOST_AUTO_TEST_SUITE(ServerLoads)

// Guards against statements that are read wrongly, or that are relied on although they make no
// sense.
BOOST_AUTO_TEST_CASE(StatementsAreRead)
{
  const auto full = ParseServerLoad("8,3,8,250");
  BOOST_REQUIRE(full.has_value());
  BOOST_TEST(!full->HasFreeSlot());
  BOOST_TEST(full->slowdown_.value_or(0) == 2.5);
  const auto free = ParseServerLoad("3,0,8");
  BOOST_REQUIRE(free.has_value());
  BOOST_TEST(free->HasFreeSlot());
  BOOST_TEST(!free->slowdown_.has_value());
  BOOST_TEST(!ParseServerLoad("3,0,8,-5")->slowdown_.has_value());
  for (const char* text :
       { "", "3", "3,0", "a,0,8", "-1,0,8", "3,0,99999999999", "3,0,8.5", "3,0,8x" }) {
    BOOST_TEST(!ParseServerLoad(text).has_value(), text);
  }
}

// Guards against a server that rejects part of its requests at any load, and that gets fewer and
// fewer at a time until it serves one after the other.
BOOST_AUTO_TEST_CASE(AServerThatShedsWithFreeSlotsKeepsItsSlots)
{
  constexpr int kSlots = 4;
  constexpr int kBatches = 4;
  std::atomic<int> arrived{ 0 };
  std::atomic<bool> alone{ false };
  HttpProtocol protocol;
  protocol.loadHeader_ = "X-Load";
  Bench bench(
    [&](const FakeRequest&) {
      const int number = ++arrived;
      const int whole = (number + kSlots - 1) / kSlots * kSlots;
      const auto limit = std::chrono::steady_clock::now() + 3s;
      // Each batch is shed once all of it is at the server.
      while (arrived < whole && !alone) {
        alone = alone || std::chrono::steady_clock::now() > limit;
        std::this_thread::yield();
      }
      return FakeServer::Response{ "HTTP/1.1 503 Busy\r\nRedwing-Shed: not-run\r\n"
                                   "X-Load: 3,0,4\r\nContent-Length: 0\r\n\r\n" };
    },
    kSlots,
    {},
    protocol);
  for (int batch = 1; batch <= kBatches; ++batch) {
    for (int i = 0; i < kSlots; ++i) {
      BOOST_REQUIRE(
        bench.service_.TryStart(bench.Make(static_cast<std::uint64_t>(batch * 10 + i))));
    }
    bench.responses_.Await(static_cast<std::size_t>(batch * kSlots));
    // Sheds within 50 ms of each other count as one.
    std::this_thread::sleep_for(60ms);
  }
  BOOST_TEST(!alone);
}

BOOST_AUTO_TEST_SUITE_END()
