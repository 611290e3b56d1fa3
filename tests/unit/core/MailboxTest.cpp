#include "core/Mailbox.hpp"

#include <boost/test/unit_test.hpp>
#include <thread>

using redwing::Mailbox;

// Guards against unbounded growth: new work must be refused at the capacity.
BOOST_AUTO_TEST_CASE(TryPushRefusesAtCapacityWhilePushDoesNot)
{
  Mailbox<int> mailbox(2);
  mailbox.SetWake([] {});
  BOOST_TEST(mailbox.TryPush(1));
  BOOST_TEST(mailbox.TryPush(2));
  BOOST_TEST(!mailbox.TryPush(3));
  mailbox.Push(4);
  std::vector<int> seen;
  mailbox.Drain([&](int aItem) { seen.push_back(aItem); });
  BOOST_TEST(seen == (std::vector<int>{ 1, 2, 4 }), boost::test_tools::per_element());
}

// Guards against a lost wake-up: an item pushed while the consumer drains must schedule a new
// drain.
BOOST_AUTO_TEST_CASE(EveryItemIsSeenWithConcurrentProducers)
{
  constexpr int kProducers = 4;
  constexpr int kItems = 20000;
  Mailbox<int> mailbox(64);
  std::atomic<bool> woken{ false };
  mailbox.SetWake([&] { woken = true; });
  std::vector<std::thread> producers;
  for (int p = 0; p < kProducers; ++p) {
    producers.emplace_back([&] {
      for (int i = 0; i < kItems; ++i) {
        mailbox.Push(int(i));
      }
    });
  }
  std::size_t seen = 0;
  while (seen < static_cast<std::size_t>(kProducers) * kItems) {
    if (woken.exchange(false)) {
      seen += mailbox.Drain([](int) {});
    } else {
      std::this_thread::yield();
    }
  }
  for (auto& producer : producers) {
    producer.join();
  }
  BOOST_TEST(seen == static_cast<std::size_t>(kProducers) * kItems);
}
