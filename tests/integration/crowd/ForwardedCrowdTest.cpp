#include "tests/integration/crowd/CrowdSite.hpp"

#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace redwing::test;
using namespace std::chrono_literals;

namespace {

/// One instance that only forwards, and the instance beside the server.
struct OneFront : CrowdSite
{
  OneFront()
    : CrowdSite(SiteSettings{ {}, 1 })
  {
  }
};

/// Many instances that forward to the one beside the server.
struct ManyFronts : CrowdSite
{
  ManyFronts()
    : CrowdSite(SiteSettings{ {}, 6 })
  {
  }
};

constexpr std::size_t kCallersOfAll = 3 * kCallers;

} // namespace

BOOST_FIXTURE_TEST_SUITE(ForwardedByOne, OneFront)

// Guards against legal bodies that exceed the memory of an instance which only forwards, or of the
// instance beside the server.
BOOST_AUTO_TEST_CASE(BodiesWithAStatedLength)
{
  Withstand(kCallers, { Head("/store/a", Length(kLegalBody)), kLegalBody - 1 });
  Withstand(kCallers, { Head("/store/a", Length(kHeldWhole)), kHeldWhole });
}

// Guards against the same bodies when all of them grow slowly and together.
BOOST_AUTO_TEST_CASE(BodiesPieceByPiece)
{
  Withstand(kCallers, { Head("/store/a", Length(kLegalBody)), kLegalBody, 16 * 1024, 50ms });
}

// Guards against bodies far over the limit, announced and just sent in large and small chunks.
BOOST_AUTO_TEST_CASE(BodiesFarOverTheLimit)
{
  Withstand(kCallers, { Head("/store/a", Length(kMegabyte * 1024)), 16 * kMegabyte });
  Withstand(kCallers, ChunkedBody("/store/a", 16 * kMegabyte, kLargeChunk));
  Withstand(kCallers, ChunkedBody("/store/a", 2 * kMegabyte, kSmallChunk));
}

BOOST_AUTO_TEST_CASE(BodiesInLargeChunks)
{
  Withstand(kCallers, ChunkedBody("/store/a", kLegalBody, kLargeChunk));
  Withstand(kCallers, ChunkedBody("/store/a", kHeldWhole, kLargeChunk));
}

// Guards against chunks of one byte that become a message each on the link.
BOOST_AUTO_TEST_CASE(BodiesInSmallChunks)
{
  Withstand(kCallers, ChunkedBody("/store/a", kLegalBody, kSmallChunk));
}

// Guards against bodies that fill the links and both instances while the server does not read, or
// reads slowly.
BOOST_AUTO_TEST_CASE(BodiesForAServerThatDoesNotRead)
{
  Withstand(kCallers, { Head("/stuck/a", Length(kLegalBody)), kLegalBody - 1 });
  Withstand(kCallers, ChunkedBody("/slow/a", kLegalBody, kLargeChunk));
}

BOOST_AUTO_TEST_CASE(SmallChunksForAServerThatDoesNotRead)
{
  Withstand(kCallers, ChunkedBody("/stuck/a", kLegalBody, kSmallChunk));
}

// Guards against responses that are held for callers that do not read, on either instance.
BOOST_AUTO_TEST_CASE(SlowReadersOfLargeResponses)
{
  Withstand(kCallers, SlowReader("/large/a"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ForwardedByMany, ManyFronts)

// Guards against bodies that each instance could forward, and that together exceed the memory of
// the instance beside the server.
BOOST_AUTO_TEST_CASE(BodiesWithAStatedLength)
{
  Withstand(kCallersOfAll, { Head("/store/a", Length(kLegalBody)), kLegalBody - 1 });
}

BOOST_AUTO_TEST_CASE(BodiesInChunks)
{
  Withstand(kCallersOfAll, ChunkedBody("/store/a", kLegalBody, kLargeChunk));
  Withstand(kCallersOfAll, ChunkedBody("/store/a", kLegalBody, kSmallChunk));
}

BOOST_AUTO_TEST_CASE(BodiesForAServerThatDoesNotRead)
{
  Withstand(kCallersOfAll, { Head("/stuck/a", Length(kLegalBody)), kLegalBody - 1 });
  Withstand(kCallersOfAll, ChunkedBody("/stuck/a", kLegalBody, kSmallChunk));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against chunks of one byte on the smallest machine that the pages name, at one instance
// that forwards and at six.
BOOST_AUTO_TEST_CASE(SmallChunksOnTheSmallestMachine)
{
  constexpr std::size_t kManyCallers = 1000;
  for (const int fronts : { 1, 6 }) {
    const CrowdSite site(SiteSettings{ { 160, 4100, kMegabyte }, fronts });
    site.Withstand(kManyCallers, ChunkedBody("/store/a", kLegalBody, kSmallChunk));
  }
}

// Guards against limits that refuse a legal request at an instance that forwards.
BOOST_AUTO_TEST_CASE(ASingleLegalRequestIsForwarded)
{
  constexpr std::size_t kLargestBody = 67'108'864;
  const CrowdSite site(SiteSettings{ { 160, 4100, kLargestBody }, 1 });
  BOOST_TEST(site.Post("/store/a", std::string(kLargestBody, 'x'), 20000).status_ == 200U);
  BOOST_TEST(site.PeakMemory() < site.Limits().memoryMb_ * kMegabyte);
}

// Guards against a whole body in chunks that is not served while nothing else goes on: one that is
// held whole and one that is passed on before its end.
BOOST_AUTO_TEST_CASE(SingleChunkedRequestsAreForwarded)
{
  const CrowdSite site(SiteSettings{ {}, 1 });
  for (const std::size_t payload : { kHeldWhole, kLegalBody }) {
    for (const std::size_t chunk : { kSmallChunk, kLargeChunk }) {
      const CallerPlan plan = ChunkedBody("/store/a", payload, chunk);
      std::string text = plan.head_;
      text.reserve(text.size() + plan.bodyBytes_);
      for (std::size_t sent = 0; sent < plan.bodyBytes_; sent += plan.filler_.size()) {
        text += plan.filler_;
      }
      BOOST_TEST(site.Send(text + "0\r\n\r\n") == 200U);
    }
  }
}

// Guards against a refusal for lack of memory whose request runs all the same. Legal requests are
// sent while a crowd holds the memory; those that are refused must never reach the server.
BOOST_AUTO_TEST_CASE(RefusedRequestsDoNotRun)
{
  // Few enough that further connections are accepted, and enough to hold the memory of bodies.
  constexpr std::size_t kFewCallers = 30;
  constexpr int kRequests = 40;
  constexpr unsigned kServiceUnavailable = 503;
  const CrowdSite site(SiteSettings{ {}, 1 });
  std::vector<std::future<unsigned>> statuses;
  const auto id = [](int aNumber) { return "legal-" + std::to_string(aNumber); };
  {
    const Crowd crowd(
      site.CallersOf(), kFewCallers, { Head("/stuck/a", Length(kLegalBody)), kLegalBody - 1 });
    std::this_thread::sleep_for(1s);
    for (int i = 0; i < kRequests; ++i) {
      statuses.push_back(std::async(std::launch::async, [&site, text = id(i)] {
        return site.Send(Head("/store/a", Length(kHeldWhole) + "\r\nX-Request-Id: " + text) +
                         std::string(kHeldWhole, 'x'));
      }));
    }
    for (const auto& status : statuses) {
      status.wait();
    }
  }
  int refused = 0;
  int answered = 0;
  for (int i = 0; i < kRequests; ++i) {
    const unsigned status = statuses[i].get();
    answered += status == 200U ? 1 : 0;
    // A request without a response may have run.
    if (status == kServiceUnavailable) {
      ++refused;
      BOOST_TEST(!site.Ran(id(i)), "request " << i << " was refused and ran");
    } else if (status == 200U) {
      BOOST_TEST(site.Ran(id(i)), "request " << i << " was answered and did not run");
    }
  }
  BOOST_TEST_MESSAGE(answered << " answered, " << refused << " refused");
  BOOST_TEST(refused > 0);
}
