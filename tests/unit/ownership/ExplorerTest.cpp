#include "Simulation.hpp"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <initializer_list>

using redwing::OwnershipSettings;
using redwing::test::FaultRates;
using redwing::test::Simulation;

namespace {

constexpr std::uint64_t kDefaultSteps = 1'000'000;
constexpr std::uint64_t kStepsPerSeed = 50'000;
constexpr std::size_t kMinNodes = 3;
constexpr std::size_t kNodeCounts = 4;
constexpr std::size_t kShards = 5;

std::uint64_t
FromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

FaultRates
RandomRates(redwing::Random& aRandom)
{
  FaultRates rates;
  rates.loss_ = 0.15 * aRandom.Unit() * static_cast<double>(aRandom.Below(3));
  rates.duplicate_ = 0.2 * aRandom.Unit();
  rates.late_ = 0.05 * aRandom.Unit() * static_cast<double>(aRandom.Below(2));
  rates.replyLost_ = 0.3 * aRandom.Unit();
  rates.pause_ = 0.003 * aRandom.Unit() * static_cast<double>(aRandom.Below(2));
  rates.lateEffects_ = 0.003 * aRandom.Unit() * static_cast<double>(aRandom.Below(2));
  return rates;
}

/// Explores one seed under faults that change every simulated second. A calm network lets rings
/// settle between the faults of whole instances.
void
Explore(Simulation& aSimulation, std::uint64_t aSeed, std::uint64_t aSteps, bool aCalm = false)
{
  redwing::Random random(aSeed + 1);
  aSimulation.SetPlannerMoves(true);
  if (!aSimulation.Run(std::chrono::seconds(1))) {
    return;
  }
  aSimulation.SetChurn(true);
  while (aSimulation.Steps() < aSteps) {
    aSimulation.SetRates(aCalm ? FaultRates{} : RandomRates(random));
    aSimulation.SetFaultIntensity(random.Unit() * random.Unit());
    if (!aSimulation.Run(std::chrono::seconds(1))) {
      return;
    }
  }
}

constexpr std::size_t kMinGroupNodes = 4;
constexpr std::size_t kGroupNodeCounts = 7;

/// What the explored seeds have reached together.
struct Tally
{
  /// Ends all faults of an explored seed; each shard must be owned again.
  void Recover(Simulation& aSimulation, std::uint64_t aSeed)
  {
    BOOST_REQUIRE_MESSAGE(aSimulation.Violation().empty(),
                          "seed " << aSeed << ": " << aSimulation.Violation());
    aSimulation.HealAll();
    aSimulation.SetPlannerMoves(false);
    const auto recovered =
      aSimulation.RunUntil([&] { return aSimulation.AllOwned(); }, std::chrono::seconds(30));
    BOOST_REQUIRE_MESSAGE(recovered.has_value(),
                          "seed " << aSeed << " does not recover: " << aSimulation.Violation()
                                  << '\n'
                                  << aSimulation.Describe());
    steps_ += aSimulation.Steps();
    slowest_ = std::max(slowest_, *recovered);
    for (const auto& [name, count] : aSimulation.Counts()) {
      counts_[name] += count;
    }
  }

  /// Requires that the explorer reached each of aNames.
  void Check(std::initializer_list<const char*> aNames)
  {
    for (const auto& [name, count] : counts_) {
      BOOST_TEST_MESSAGE(name << "=" << count);
    }
    BOOST_TEST_MESSAGE(
      "steps=" << steps_ << " slowest recovery="
               << std::chrono::duration_cast<std::chrono::milliseconds>(slowest_).count() << " ms");
    for (const char* name : aNames) {
      BOOST_TEST(counts_[name] > 0U, "the explorer never reached: " << name);
    }
  }

  std::uint64_t steps_ = 0;
  redwing::Duration slowest_{};
  std::map<std::string, std::uint64_t> counts_;
};

/// Explores one seed with faults of several instances at once, in rings of 4 to 10.
void
ExploreGroups(std::uint64_t aSeed, std::uint64_t aSteps, Tally& aTally)
{
  Simulation simulation(
    aSeed, kMinGroupNodes + aSeed % kGroupNodeCounts, kShards, OwnershipSettings{});
  simulation.SetGroupFaults(true);
  Explore(simulation, aSeed, aSteps, aSeed % 2 == 0);
  aTally.Recover(simulation, aSeed);
}

} // namespace

// Guards against two owners of a shard at one moment, and against one token for two owners, under
// loss, delay, duplication, reordering, pauses, kills, restarts, one-way cuts, clock drift, store
// outages and lost store replies. Then all faults end and each shard must be owned again.
BOOST_AUTO_TEST_CASE(NoShardHasTwoOwnersUnderFaults)
{
  const std::uint64_t steps = FromEnvironment("REDWING_EXPLORER_STEPS", kDefaultSteps);
  const std::uint64_t first = FromEnvironment("REDWING_EXPLORER_SEED", 1);
  Tally tally;
  for (std::uint64_t seed = first; tally.steps_ < steps; ++seed) {
    Simulation simulation(seed, kMinNodes + seed % kNodeCounts, kShards, OwnershipSettings{});
    Explore(simulation, seed, kStepsPerSeed);
    tally.Recover(simulation, seed);
  }
  tally.Check({ "gained", "dead", "expired", "kill", "reply lost" });
}

// Guards against two owners when neighbours are lost or paused together and when the ring is cut in
// two, which makes instances bind as orphans far more often than single faults do.
BOOST_AUTO_TEST_CASE(NoShardHasTwoOwnersUnderGroupFaults)
{
  const std::uint64_t steps = FromEnvironment("REDWING_EXPLORER_STEPS", kDefaultSteps);
  const std::uint64_t first = FromEnvironment("REDWING_EXPLORER_SEED", 1);
  Tally tally;
  for (std::uint64_t seed = first; tally.steps_ < steps; ++seed) {
    ExploreGroups(seed, kStepsPerSeed, tally);
  }
  tally.Check({ "partition", "pair loss", "pair pause" });
}

// Guards against faults that the explorer found once, with the seeds that showed them: two owners
// after a superseded grantor returned (300138), released rows that nobody took (100015, 200011),
// three members that never settled (400024, 100088), two owners after two halves of a ring took
// each other's members over (3000225).
BOOST_AUTO_TEST_CASE(SeedsThatShowedFaultsPass)
{
  for (const std::uint64_t seed : { 300138, 100015, 200011, 400024, 100088, 3000225 }) {
    Simulation simulation(seed, kMinNodes + seed % kNodeCounts, kShards, OwnershipSettings{});
    Explore(simulation, seed, kStepsPerSeed);
    BOOST_TEST(simulation.Violation().empty(), "seed " << seed << ": " << simulation.Violation());
    simulation.HealAll();
    simulation.SetPlannerMoves(false);
    BOOST_TEST(simulation.RunUntil([&] { return simulation.AllOwned(); }, std::chrono::seconds(30))
                 .has_value(),
               "seed " << seed << " does not recover");
  }
}

// Guards against two owners when an orphan keeps its dependants (seed 11) and against one token for
// two owners when the dependants of an orphan keep theirs (68). Trials of these rules showed both.
BOOST_AUTO_TEST_CASE(SeedsWithGroupFaultsPass)
{
  Tally tally;
  for (const std::uint64_t seed : { 11, 68 }) {
    ExploreGroups(seed, kStepsPerSeed, tally);
  }
}

// Guards against an explorer that cannot find violations: without the wait for the lease it must
// report two owners.
BOOST_AUTO_TEST_CASE(ExplorerFindsViolationWithoutLeaseWait)
{
  constexpr std::uint64_t kSeeds = 40;
  OwnershipSettings settings;
  settings.waitForLease_ = false;
  bool found = false;
  for (std::uint64_t seed = 1; seed <= kSeeds && !found; ++seed) {
    Simulation simulation(seed, kMinNodes + seed % kNodeCounts, kShards, settings);
    Explore(simulation, seed, kStepsPerSeed);
    found = simulation.Violation().find("owned by") != std::string::npos;
  }
  BOOST_TEST(found);
}
