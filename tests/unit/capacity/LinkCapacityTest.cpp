#include "capacity/LinkCapacity.hpp"
#include "capacity/LargeResponses.hpp"
#include "capacity/LinkRate.hpp"
#include "capacity/ResponsePacer.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 100s };
/// Large responses may use 1 MB/s.
constexpr double kLink = 1.25e6;

ExchangeKey
Key(std::uint64_t aId)
{
  return { kLocalLink, aId };
}

ResponseEvent
Response(std::uint64_t aId, std::size_t aBytes)
{
  ResponseStart start;
  start.key_ = Key(aId);
  start.body_.assign(aBytes, 'x');
  return start;
}

} // namespace

// Guards against a response that no server can ever send in time and that is refused for ever, and
// against refused ones that are told to come back together.
BOOST_AUTO_TEST_CASE(OneIsAlwaysAdmittedAndOthersGetTheirRoomInTurn)
{
  LinkCapacity link(kLink);
  const ResponseSize size{ 1'000'000, 1'000'000 };
  BOOST_TEST(!link.Admit(Key(1), size, 10ms, kStart + 100ms, kStart).has_value());
  const auto first = link.Admit(Key(2), size, 10ms, kStart + 1500ms, kStart);
  const auto second = link.Admit(Key(3), size, 10ms, kStart + 1500ms, kStart);
  BOOST_REQUIRE(first.has_value());
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST((*second - *first == 1s));
  BOOST_TEST(link.Ahead() == 1'000'000U);
  BOOST_TEST(!link.Admit(Key(4), size, 10ms, kStart + 2100ms, kStart).has_value());
}

// Guards against room that is not given back, and against the stated size of a response that is
// added to the expected one.
BOOST_AUTO_TEST_CASE(BytesCountUntilTheyWereSent)
{
  LinkCapacity link(kLink);
  BOOST_TEST(!link.Admit(Key(1), { 50'000, 50'000 }, 0ms, kStart + 1s, kStart).has_value());
  link.SetSize(Key(1), 300'000);
  BOOST_TEST(link.Ahead() == 300'000U);
  link.OnTaken(Key(1), 100'000);
  BOOST_TEST(link.Ahead() == 300'000U);
  BOOST_TEST(link.Held() == 100'000U);
  link.OnSent(Key(1), 60'000, kStart);
  BOOST_TEST(link.Ahead() == 240'000U);
  // A reader that takes nothing for seconds is not ahead of others until it goes on.
  link.Update(kStart + 2s);
  BOOST_TEST(link.Ahead() == 0U);
  link.OnArrived(Key(1), 60'000, kStart + 3s);
  BOOST_TEST(link.Ahead() == 240'000U);
  link.Remove(Key(1));
  BOOST_TEST(link.Ahead() == 0U);
  BOOST_TEST(link.Held() == 0U);
}

// Guards against a caller that does not read and holds up the others, and against more bytes for it
// than its instance may keep.
BOOST_AUTO_TEST_CASE(AFullWindowLetsTheNextResponseGo)
{
  ResponsePacer pacer;
  pacer.Push(Response(1, 2 * kBodyWindowBytes));
  pacer.Push(Response(2, 20'000));
  std::size_t first = 0;
  std::size_t second = 0;
  TimePoint now = kStart;
  while (const auto next = pacer.NextAt(now)) {
    now = *next;
    while (const auto event = pacer.Take(1e6, now)) {
      (KeyOf(*event) == Key(1) ? first : second) += BodyBytes(*event);
    }
  }
  BOOST_TEST(first == kBodyWindowBytes);
  BOOST_TEST(second == 20'000U);
  // 0.28 MB at 1 MB/s.
  BOOST_TEST((now - kStart > 250ms && now - kStart < 300ms));
  BOOST_TEST(!pacer.Empty());
  pacer.OnCredit(Key(1), kBodyWindowBytes);
  BOOST_TEST(pacer.NextAt(now).has_value());
  BOOST_TEST(pacer.Drop(Key(1)));
  BOOST_TEST(pacer.Empty());
}

// Guards against a link that counts as slow because one caller reads slowly, or because one part of
// a response was late, and whose other responses are refused for many seconds.
BOOST_AUTO_TEST_CASE(OneSlowReaderIsNoSlowLink)
{
  LinkRate rate(kLink);
  TimePoint now = kStart;
  const auto arrive = [&](std::uint64_t aResponse, Duration aTime) {
    now += 50ms;
    rate.OnArrived(aResponse, 16'384, aTime, now);
  };
  for (std::uint64_t i = 0; i < 40; ++i) {
    arrive(i % 5, 10ms);
  }
  for (int i = 0; i < 40; ++i) {
    arrive(7, 400ms);
  }
  BOOST_TEST(rate.BytesPerSecond() == kLink);
  now += 1s;
  arrive(8, 400ms);
  now += 300ms;
  rate.Update(now);
  BOOST_TEST(rate.BytesPerSecond() == kLink);
}

// Guards against a slow link that is never found, or that is taken for far slower than it is.
BOOST_AUTO_TEST_CASE(ASlowLinkIsFound)
{
  LinkRate rate(kLink);
  TimePoint now = kStart;
  for (std::uint64_t i = 0; i < 200; ++i) {
    now += 13ms;
    rate.OnArrived(i % 5, 16'384, 10ms, now);
  }
  // Half of the stated rate, with a queue of 200 ms.
  for (std::uint64_t i = 0; i < 100; ++i) {
    now += 26ms;
    rate.OnArrived(i % 5, 16'384, 200ms, now);
  }
  BOOST_TEST(rate.BytesPerSecond() < 0.6 * kLink);
  BOOST_TEST(rate.BytesPerSecond() > 0.35 * kLink);
}

// Guards against many responses that are read ahead at once into the same room.
BOOST_AUTO_TEST_CASE(ReadAheadCountsFromItsGrant)
{
  CounterRegistry counters;
  LargeResponses large(1e9, counters);
  std::uint64_t granted = 0;
  for (std::uint64_t id = 1; id <= 200; ++id) {
    RequestStart start;
    start.key_ = Key(id);
    start.class_ = "download";
    if (!large.Admit(start, kStart + 60s, 10ms, kStart)) {
      granted += large.ReadAhead(Key(id), 1'000'000);
    }
  }
  BOOST_TEST(granted > 0U);
  BOOST_TEST(granted <= 17U * 1024 * 1024);
  for (std::uint64_t id = 1; id <= 200; ++id) {
    large.Drop(Key(id));
  }
  RequestStart start;
  start.key_ = Key(300);
  BOOST_REQUIRE(!large.Admit(start, kStart + 60s, 10ms, kStart).has_value());
  BOOST_TEST(large.ReadAhead(Key(300), 1'000'000) > 0U);
}
