#include "tests/integration/crowd/CrowdSite.hpp"
#include "tests/integration/crowd/ProcessUse.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

using namespace redwing::test;
using namespace std::chrono_literals;

/// Drawn crowds that overlap, while instances get signals and are restarted. Callers keep using
/// their connections until the process at the other end is gone.
namespace {

using Draws = std::mt19937_64;

std::size_t
Below(Draws& aDraws, std::size_t aEnd)
{
  return std::uniform_int_distribution<std::size_t>(0, aEnd - 1)(aDraws);
}

/// Returns a variable of the environment as a number.
std::uint64_t
Number(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::stoull(text);
}

CallerPlan
DrawPlan(Draws& aDraws)
{
  constexpr std::array<const char*, 3> kPaths{ "/store/a", "/slow/a", "/stuck/a" };
  const std::string path = kPaths.at(Below(aDraws, kPaths.size()));
  const std::size_t payload = 1 + Below(aDraws, kMegabyte);
  CallerPlan plan;
  switch (Below(aDraws, 6)) {
    case 0:
      plan = { Head(path, Length(payload)), payload - 1 };
      break;
    case 1:
      plan = { Head(path, Length(payload)), payload };
      break;
    case 2:
      plan = ChunkedBody(path, payload, 1 + Below(aDraws, 4));
      break;
    case 3:
      plan = ChunkedBody(path, payload, 1 + Below(aDraws, 64 * 1024));
      break;
    case 4:
      return SlowReader("/large/a");
    default:
      return KeyedRequests("/kept/a", 1 + Below(aDraws, 20));
  }
  plan.pause_ = std::chrono::milliseconds(Below(aDraws, 2) * Below(aDraws, 50));
  return plan;
}

SiteSettings
DrawSite(Draws& aDraws)
{
  const bool small = Below(aDraws, 2) == 0;
  const Machine machine{ small ? 64U : 160U, small ? 500U : 4100U, kMegabyte };
  constexpr std::array kFronts{ 0, 1, 3 };
  return { machine, kFronts.at(Below(aDraws, kFronts.size())) };
}

void
Soak(std::uint64_t aSeed)
{
  constexpr std::size_t kCrowds = 4;
  constexpr auto kBetweenCrowds = 1200ms;
  Draws draws(aSeed);
  CrowdSite site(DrawSite(draws));
  std::vector<std::unique_ptr<Crowd>> crowds;
  for (std::size_t i = 0; i < kCrowds; ++i) {
    const std::size_t callers = 20 + Below(draws, 200);
    crowds.push_back(std::make_unique<Crowd>(site.CallersOf(), callers, DrawPlan(draws)));
    const int instance = static_cast<int>(Below(draws, site.Processes().size()));
    switch (Below(draws, 4)) {
      case 0:
        site.Restart(instance, SIGTERM);
        break;
      case 1:
        site.Restart(instance, SIGKILL);
        break;
      case 2:
        site.Signal(instance, SIGHUP);
        break;
      default:
        break;
    }
    site.WatchFor(kBetweenCrowds);
    if (Below(draws, 3) == 0) {
      crowds.erase(crowds.begin());
    }
  }
  BOOST_TEST(site.OrdinaryRequestIsAnswered());
  crowds.clear();
  BOOST_TEST(site.OrdinaryRequestIsAnswered());
  site.CheckBounds();
}

} // namespace

// Guards against an order of crowds, restarts and signals that exceeds the memory or descriptors of
// a machine, or after which ordinary callers get no answer.
BOOST_AUTO_TEST_CASE(CrowdSoak)
{
  const std::uint64_t first = Number("REDWING_CROWD_SEED", 1);
  const std::uint64_t count = Number("REDWING_CROWD_SEEDS", 5);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      BOOST_TEST_MESSAGE("seed " << seed);
      Soak(seed);
    }
  }
}
