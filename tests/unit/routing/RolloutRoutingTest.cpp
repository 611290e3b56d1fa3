#include "routing/PoolSelector.hpp"
#include "support/ManualClock.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace redwing;
using redwing::test::ManualClock;

namespace {

struct RolloutFixture
{
  RolloutFixture()
  {
    route_.id_ = "r";
    route_.service_ = "s";
    for (const char* id : { "a", "b", "c" }) {
      Add(id, "v1");
    }
    Add("x", "v2");
    Add("y", "v2");
    view_.configuration_ = std::make_shared<ConfigurationRevision>();
    Follow(RolloutPhase::Canary, 0.25);
  }
  void Add(const std::string& aId, const std::string& aVersion)
  {
    Member& member = view_.members_[aId];
    member.ref_ = { aId, 1 };
    member.service_ = "s";
    member.version_ = aVersion;
    member.slots_ = 10;
    member.state_ = BackendState::Ready;
  }
  void Follow(RolloutPhase aPhase, double aShare, std::vector<std::string> aTargets = { "x" })
  {
    view_.rollouts_["s"] = { "v2", aPhase, aShare, std::move(aTargets) };
  }
  PoolSelector Make(std::uint64_t aSeed = 7)
  {
    PoolSelector selector(clock_, aSeed, {});
    selector.SetView(std::make_shared<const RoutingView>(view_));
    return selector;
  }
  /// Returns how many of aRequests go to servers of the target version.
  int Targets(PoolSelector& aSelector, int aRequests, std::vector<std::string> aExcluded = {})
  {
    int count = 0;
    for (int i = 0; i < aRequests; ++i) {
      const Member* member = aSelector.Choose(route_, aExcluded);
      BOOST_REQUIRE(member != nullptr);
      BOOST_TEST(member->ref_.id_ != "y");
      count += member->version_ == "v2" ? 1 : 0;
    }
    return count;
  }

  ManualClock clock_;
  RoutingView view_;
  Route route_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RolloutRouting, RolloutFixture)

// Guards against a share that small numbers miss, and against a server that no directive names.
BOOST_AUTO_TEST_CASE(TheShareIsKeptWithFewRequests)
{
  PoolSelector selector = Make();
  for (int i = 0; i < 50; ++i) {
    BOOST_TEST(Targets(selector, 4) == 1);
    // A new view does not begin the share anew.
    selector.SetView(std::make_shared<const RoutingView>(view_));
  }
}

// Guards against instances with a request each that all send it to the same version.
BOOST_AUTO_TEST_CASE(ManyInstancesAddUpToTheShare)
{
  int targets = 0;
  for (std::uint64_t seed = 0; seed < 400; ++seed) {
    PoolSelector selector = Make(seed);
    targets += Targets(selector, 1);
  }
  BOOST_TEST(targets > 60);
  BOOST_TEST(targets < 140);
}

// Guards against a second attempt at a version that is perhaps bad.
BOOST_AUTO_TEST_CASE(ALaterAttemptGoesToTheOldVersion)
{
  PoolSelector selector = Make();
  BOOST_TEST(Targets(selector, 100, { "a" }) == 0);
  BOOST_TEST(Targets(selector, 100, { "a", "b", "c" }) == 100);
}

// Guards against requests at the target version before and after it may have them.
BOOST_AUTO_TEST_CASE(ThePhaseDecidesWhoMayServe)
{
  for (const RolloutPhase phase : { RolloutPhase::Waiting, RolloutPhase::RolledBack }) {
    Follow(phase, 0.5);
    PoolSelector selector = Make();
    BOOST_TEST(Targets(selector, 20) == 0);
    BOOST_CHECK(selector.Choose(route_, std::vector<std::string>{ "a", "b", "c" }) == nullptr);
  }
  // No valid directive.
  Follow(RolloutPhase::Ramp, 0);
  PoolSelector stale = Make();
  BOOST_TEST(Targets(stale, 20) == 0);
  Follow(RolloutPhase::Closing, 0);
  PoolSelector closing = Make();
  BOOST_TEST(Targets(closing, 20) == 20);
  Follow(RolloutPhase::Completed, 1, {});
  PoolSelector completed = Make();
  BOOST_CHECK(completed.Choose(route_, std::vector<std::string>{ "x", "y" }) == nullptr);
}

// Guards against a change of the routing of services that are not rolled out.
BOOST_AUTO_TEST_CASE(OtherServicesAreRoutedAsBefore)
{
  PoolSelector selector = Make();
  view_.rollouts_.clear();
  view_.rollouts_["other"] = { "v2", RolloutPhase::Completed, 1, {} };
  PoolSelector unaware = Make();
  PoolSelector without = Make();
  view_.rollouts_.clear();
  without.SetView(std::make_shared<const RoutingView>(view_));
  for (int i = 0; i < 200; ++i) {
    BOOST_TEST(unaware.Choose(route_, {})->ref_.id_ == without.Choose(route_, {})->ref_.id_);
  }
}

BOOST_AUTO_TEST_SUITE_END()
