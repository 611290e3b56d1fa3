#include "admission/FairQueue.hpp"

#include "core/Random.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 100s };

QueueItem
MakeItem(std::uint64_t aId, std::string aWorkspace, std::uint8_t aPriority, std::uint32_t aWeight)
{
  return { { 0, aId }, std::move(aWorkspace), aWeight, aPriority, kNow + 1h };
}

} // namespace

// Guards against a workspace that starves the others by sending many times its share.
BOOST_AUTO_TEST_CASE(WorkspacesGetSharesByWeight)
{
  FairQueue queue(1000);
  for (std::uint64_t id = 0; id < 300; ++id) {
    (void)queue.Push(MakeItem(id, "flood", 1, 1), {}, kNow);
  }
  for (std::uint64_t id = 300; id < 330; ++id) {
    (void)queue.Push(MakeItem(id, "small", 1, 2), {}, kNow);
  }
  std::size_t small = 0;
  for (int i = 0; i < 45; ++i) {
    small += queue.Pop()->workspace_ == "small" ? 1 : 0;
  }
  BOOST_TEST(small >= 29U);
}

// Guards against estimating the wait behind short requests with the service time of long ones.
// Calls of 22 ms were refused because the running requests took 500 ms, and a third of the lookups
// that depended on those calls failed for 10 s.
BOOST_AUTO_TEST_CASE(WaitIsEstimatedFromTheServiceTimesOfQueuedRequests)
{
  FairQueue queue(1000);
  const ServiceRate rate{ 500ms, 12, 12, 0 };
  const auto push = [&](std::uint64_t aId, std::uint8_t aPriority, Duration aServiceTime) {
    QueueItem item = MakeItem(aId, "w", aPriority, 1);
    item.deadline_ = kNow + 250ms;
    item.serviceTime_ = aServiceTime;
    return queue.Push(std::move(item), rate, kNow);
  };
  std::uint64_t accepted = 0;
  while (accepted < 1000 && push(accepted, 0, 22ms) == QueueVerdict::Queued) {
    ++accepted;
  }
  // The first slot becomes free after about 42 ms. The latest start is 228 ms from now; the 12
  // slots serve 101 requests until then.
  BOOST_TEST(accepted >= 90U);
  BOOST_TEST(accepted <= 110U);
  // Requests of lower priority wait for all of them.
  BOOST_CHECK(push(2000, 1, 22ms) == QueueVerdict::TooLate);
  for (std::uint64_t i = 0; i < accepted; ++i) {
    BOOST_REQUIRE(queue.Pop().has_value());
  }
  BOOST_CHECK(push(2001, 1, 22ms) == QueueVerdict::Queued);
}

// Guards against serving a request while one of higher priority waits, and against reordering
// within a workspace.
BOOST_AUTO_TEST_CASE(PriorityIsStrictAndOrderWithinAWorkspaceIsKept)
{
  FairQueue queue(1000);
  Random random(3);
  for (std::uint64_t id = 0; id < 500; ++id) {
    (void)queue.Push(MakeItem(id, "w", static_cast<std::uint8_t>(random.Below(3)), 1), {}, kNow);
  }
  std::uint8_t priority = 0;
  std::uint64_t last = 0;
  for (int i = 0; i < 500; ++i) {
    const auto item = *queue.Pop();
    BOOST_REQUIRE(item.priority_ >= priority);
    if (item.priority_ == priority && last != 0) {
      BOOST_TEST(item.key_.exchangeId_ > last);
    }
    priority = item.priority_;
    last = item.key_.exchangeId_;
  }
  BOOST_TEST(queue.Empty());
}

// Guards against queueing requests that can't meet their deadline, and against refusing a request
// for an idle server because of an outdated estimate.
BOOST_AUTO_TEST_CASE(RequestsThatWouldMissTheirDeadlineAreRefused)
{
  FairQueue queue(10);
  const ServiceRate busy{ 100ms, 1, 1 };
  auto item = MakeItem(1, "w", 1, 1);
  item.deadline_ = kNow + 150ms;
  BOOST_TEST((queue.Push(item, busy, kNow) == QueueVerdict::TooLate));
  BOOST_TEST((queue.Push(item, { 10s, 0, 1 }, kNow) == QueueVerdict::Queued));
  BOOST_TEST(queue.TakeExpired(0ns, kNow + 151ms).size() == 1U);
  BOOST_TEST(queue.Empty());
}

// Guards against wrong sizes and lost or duplicated items under random pushes, pops and removals.
BOOST_AUTO_TEST_CASE(EveryItemLeavesExactlyOnce)
{
  FairQueue queue(64);
  Random random(11);
  std::uint64_t next = 1;
  std::set<std::uint64_t> inside;
  for (int step = 0; step < 20000; ++step) {
    const auto action = random.Below(4);
    if (action < 2) {
      const auto workspace = std::string(1, static_cast<char>('a' + random.Below(5)));
      const auto priority = static_cast<std::uint8_t>(random.Below(2));
      const auto verdict = queue.Push(MakeItem(next, workspace, priority, 1), {}, kNow);
      BOOST_REQUIRE((verdict == QueueVerdict::Full) == (inside.size() == 64));
      if (verdict == QueueVerdict::Queued) {
        inside.insert(next);
      }
      ++next;
    } else if (action == 2) {
      const auto item = queue.Pop();
      BOOST_REQUIRE(item.has_value() == !inside.empty());
      BOOST_REQUIRE((!item || inside.erase(item->key_.exchangeId_) == 1));
    } else {
      const auto id = 1 + random.Below(next);
      BOOST_REQUIRE(queue.Remove({ 0, id }) == (inside.erase(id) == 1));
    }
    BOOST_REQUIRE(queue.Size() == inside.size());
  }
}
