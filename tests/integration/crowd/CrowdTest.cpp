#include "tests/integration/crowd/CrowdSite.hpp"

#include <string>

using namespace redwing::test;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(Crowds, CrowdSite)

// Guards against legal bodies that together exceed the memory of the machine.
BOOST_AUTO_TEST_CASE(ManyLegalBodiesAtOnce)
{
  Withstand(kCallers, { Head("/store/a", Length(kLegalBody)), kLegalBody });
}

// Guards against the same bodies when all of them grow slowly and together.
BOOST_AUTO_TEST_CASE(ManyLegalBodiesPieceByPiece)
{
  Withstand(kCallers, { Head("/store/a", Length(kLegalBody)), kLegalBody, 16 * 1024, 50ms });
}

// Guards against bodies that are held because their last byte never comes: large ones, which are
// passed on before their end, and ones that are held whole.
BOOST_AUTO_TEST_CASE(ManyBodiesThatStopShort)
{
  Withstand(kCallers, { Head("/store/a", Length(kLegalBody)), kLegalBody - 1 });
  Withstand(kCallers, { Head("/store/a", Length(kHeldWhole)), kHeldWhole - 1 });
}

// Guards against bodies over the limit whose head states their length.
BOOST_AUTO_TEST_CASE(BodiesFarOverTheLimitAnnounced)
{
  Withstand(kCallers, { Head("/store/a", Length(kMegabyte * 1024)), 16 * kMegabyte });
  const auto result = Post("/store/a", std::string(2 * kMegabyte, 'x'), 5000);
  BOOST_TEST((result.status_ == 413 || result.status_ == 0));
}

// Guards against bodies over the limit that are sent without a stated length.
BOOST_AUTO_TEST_CASE(BodiesFarOverTheLimitJustSent)
{
  CallerPlan plan{ Head("/store/a", "Transfer-Encoding: chunked"), 16 * kMegabyte };
  plan.filler_ = "8000\r\n" + std::string(32 * 1024, 'x') + "\r\n";
  plan.pieceBytes_ = plan.filler_.size();
  Withstand(kCallers, plan);
}

// Guards against large responses that are held for callers that do not read them and ask for more.
BOOST_AUTO_TEST_CASE(SlowReadersOfLargeResponses)
{
  Withstand(kCallers, SlowReader("/large/a"));
}

// Guards against connections that take all descriptors and never send a byte.
BOOST_AUTO_TEST_CASE(ConnectionsWithoutAByte)
{
  Withstand(Limits().descriptors_, {});
}

// Guards against heads that never end and keep their connections by one more line each moment.
BOOST_AUTO_TEST_CASE(HeadersWithoutEnd)
{
  CallerPlan plan{ "GET /small/a HTTP/1.1\r\nHost: desk.example\r\n", kMegabyte, 64, 100ms };
  plan.filler_ = "X-More: " + std::string(54, 'x') + "\r\n";
  Withstand(Limits().descriptors_, plan);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against limits that refuse a request that is legal: one body of the largest size, without
// any other load, on the smallest machine.
BOOST_AUTO_TEST_CASE(ASingleLegalRequestOnTheSmallestMachine)
{
  constexpr std::size_t kLargestBody = 67'108'864;
  const CrowdSite site(SiteSettings{ { 160, 4100, kLargestBody } });
  BOOST_TEST(site.Post("/store/a", std::string(kLargestBody, 'x'), 20000).status_ == 200U);
  BOOST_TEST(site.PeakMemory() < site.Limits().memoryMb_ * kMegabyte);
}
