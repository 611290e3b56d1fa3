#include "tests/integration/crowd/CrowdSite.hpp"

#include <string>

using namespace redwing::test;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(ChunkedCrowds, CrowdSite)

// Guards against legal bodies in large chunks, which state no length, when they stop before their
// end: ones that are passed on before it, and ones that are held whole.
BOOST_AUTO_TEST_CASE(ManyBodiesInLargeChunks)
{
  Withstand(kCallers, ChunkedBody("/store/a", kLegalBody, kLargeChunk));
  Withstand(kCallers, ChunkedBody("/store/a", kHeldWhole, kLargeChunk));
}

// Guards against the same bodies in chunks of one byte, whose framing is larger than they are.
BOOST_AUTO_TEST_CASE(ManyBodiesInSmallChunks)
{
  Withstand(kCallers, ChunkedBody("/store/a", kLegalBody, kSmallChunk));
  Withstand(kCallers, ChunkedBody("/store/a", kHeldWhole, kSmallChunk));
}

// Guards against bodies that are held while their backend server does not read them, or reads
// slowly.
BOOST_AUTO_TEST_CASE(BodiesForAServerThatDoesNotRead)
{
  Withstand(kCallers, { Head("/stuck/a", Length(kLegalBody)), kLegalBody - 1 });
  Withstand(kCallers, ChunkedBody("/slow/a", kLegalBody, kLargeChunk));
  Withstand(kCallers, ChunkedBody("/stuck/a", kLegalBody, kSmallChunk));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against as many connections as the smallest machine of the pages has descriptors, whose
// bytes wait unread.
BOOST_AUTO_TEST_CASE(ManyCallersOnTheSmallestMachine)
{
  constexpr std::size_t kManyCallers = 3000;
  const CrowdSite site(SiteSettings{ { 160, 4100, kMegabyte } });
  site.Withstand(kManyCallers, { Head("/store/a", Length(kLegalBody)), kLegalBody - 1 });
  site.Withstand(kManyCallers, ChunkedBody("/store/a", kLegalBody, kSmallChunk));
}
