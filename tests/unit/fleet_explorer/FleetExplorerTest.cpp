#include "World.hpp"

#include <boost/test/unit_test.hpp>
#include <cstdlib>

using namespace redwing;
using namespace redwing::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeeds = 12;
constexpr Duration kRunTime = 14s;
constexpr Duration kCalmTime = 7s;

struct Exploration
{
  std::string violation_;
  std::size_t heldChecks_ = 0;
  std::uint64_t restores_ = 0;
  std::uint32_t heldShards_ = 0;
};

/// Runs fleets of all seeds side by side, in real time.
std::vector<Exploration>
Explore(const ShardHoldSettings& aHolds, ExplorerTroubles aTroubles = {})
{
  boost::asio::io_context context;
  const SteadyClock clock;
  const char* first = std::getenv("REDWING_EXPLORER_SEED");
  const std::uint64_t seed = first == nullptr ? 1 : std::strtoull(first, nullptr, 10);
  std::vector<std::unique_ptr<ExplorerFleet>> fleets;
  for (std::uint64_t i = 0; i < kSeeds; ++i) {
    fleets.push_back(std::make_unique<ExplorerFleet>(context, clock, seed + i, aHolds, aTroubles));
  }
  const auto run = [&](Duration aTime) {
    const TimePoint end = clock.Now() + aTime;
    while (clock.Now() < end) {
      context.restart();
      context.run_for(4ms);
      for (auto& fleet : fleets) {
        fleet->Step();
      }
    }
  };
  run(kRunTime);
  if (aTroubles.restores_) {
    for (auto& fleet : fleets) {
      fleet->Calm();
    }
    run(kCalmTime);
  }
  std::vector<Exploration> outcomes;
  for (auto& fleet : fleets) {
    outcomes.push_back(
      { fleet->Violation(), fleet->HeldChecks(), fleet->Restores(), fleet->HeldShards() });
  }
  return outcomes;
}

} // namespace

// Guards against a shard with two holders, whatever heartbeats and writes are late or lost, servers
// crash, return or leave, clocks run 2 % slow and paths to the store or to the peers are cut.
BOOST_AUTO_TEST_CASE(NoShardHasTwoHolders)
{
  for (const Exploration& outcome : Explore({})) {
    BOOST_TEST(outcome.violation_ == "");
    BOOST_TEST(outcome.heldChecks_ > 100U);
  }
}

// Guards against a shard with two holders, or one that gets a token that another server had, after
// the store came back from older copies, and against shards that are not served any more then.
BOOST_AUTO_TEST_CASE(NoShardHasTwoHoldersOverRestores)
{
  std::uint64_t restores = 0;
  std::size_t served = 0;
  for (const Exploration& outcome : Explore({}, { true })) {
    BOOST_TEST(outcome.violation_ == "");
    BOOST_TEST(outcome.heldChecks_ > 100U);
    BOOST_TEST(outcome.heldShards_ > kExplorerShards / 2);
    restores += outcome.restores_;
    served += outcome.heldShards_;
  }
  BOOST_TEST(restores > kSeeds);
  BOOST_TEST(served > kSeeds * kExplorerShards * 9 / 10);
}

// Guards against an explorer that finds nothing: holds that outlast the lease must be found.
BOOST_AUTO_TEST_CASE(HoldsBeyondTheLeaseAreFound)
{
  ShardHoldSettings broken;
  broken.margin_ = -4s;
  std::size_t found = 0;
  for (const Exploration& outcome : Explore(broken)) {
    found += outcome.violation_.empty() ? 0 : 1;
  }
  BOOST_TEST(found > 0U);
}
