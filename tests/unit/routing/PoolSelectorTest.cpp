#include "routing/PoolSelector.hpp"

#include "support/ManualClock.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <queue>

using namespace redwing;
using namespace std::chrono_literals;

namespace {

struct PoolFixture
{
  struct Running
  {
    TimePoint end_;
    std::uint64_t id_;
    std::string member_;
    bool operator<(const Running& aOther) const { return end_ > aOther.end_; }
  };

  PoolFixture()
  {
    route_.service_ = "s";
    for (const char* id : { "a", "b", "c", "d" }) {
      Member& member = Add(id);
      member.dataCentre_ = "near";
    }
    configuration_->configuration_.dataCentres_ = { { "near", "r", false, {} },
                                                    { "far", "r", false, {} } };
    view_.configuration_ = configuration_;
    view_.selfDataCentre_ = "near";
  }

  Member& Add(const std::string& aId)
  {
    Member& member = view_.members_[aId];
    member.ref_ = { aId, 1 };
    member.service_ = "s";
    member.slots_ = 10;
    member.state_ = BackendState::Ready;
    return member;
  }

  PoolSelector Make(RoutingSettings aSettings = {}, std::uint64_t aSeed = 7)
  {
    PoolSelector selector(clock_, aSeed, aSettings);
    selector.SetView(std::make_shared<const RoutingView>(view_));
    return selector;
  }

  std::map<std::string, int> Count(PoolSelector& aSelector, int aRequests = 1000)
  {
    std::map<std::string, int> counts;
    for (int i = 0; i < aRequests; ++i) {
      if (const Member* member = aSelector.Choose(route_, {})) {
        ++counts[member->ref_.id_];
      }
    }
    return counts;
  }

  /// Sends aRequests at 1 ms intervals; member a takes aSlow, the others 2 ms. Returns how many
  /// went to a in the last tenth.
  int RunWithStraggler(PoolSelector& aSelector, Duration aSlow, int aRequests)
  {
    int late = 0;
    for (int i = 0; i < aRequests; ++i) {
      clock_.Advance(1ms);
      while (!running_.empty() && running_.top().end_ <= clock_.Now()) {
        MemberLoad& load = aSelector.LoadOf(running_.top().member_);
        load.OnResponse(running_.top().id_, running_.top().end_);
        load.OnEnd(running_.top().id_, running_.top().end_, AttemptEnd::Answered);
        running_.pop();
      }
      const std::string id = aSelector.Choose(route_, {})->ref_.id_;
      const std::uint64_t attempt = ++lastAttempt_;
      aSelector.LoadOf(id).OnStart(attempt, clock_.Now());
      running_.push({ clock_.Now() + (id == "a" ? aSlow : Duration(2ms)), attempt, id });
      late += id == "a" && i * 10 >= aRequests * 9 ? 1 : 0;
    }
    return late;
  }

  test::ManualClock clock_;
  Route route_;
  std::shared_ptr<ConfigurationRevision> configuration_ = std::make_shared<ConfigurationRevision>();
  RoutingView view_;
  std::uint64_t lastAttempt_ = 0;
  std::priority_queue<Running> running_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PoolSelectorSuite, PoolFixture)

// Guards against new work for members that leave, drain, are down or sit in a withdrawn data
// centre.
BOOST_AUTO_TEST_CASE(SkipsMembersThatMayNotServe)
{
  view_.members_["a"].leaving_ = true;
  view_.members_["b"].state_ = BackendState::Draining;
  view_.members_["c"].reachable_ = false;
  Add("e").dataCentre_ = "far";
  Add("f").service_ = "other";
  configuration_->configuration_.dataCentres_[1].withdrawn_ = true;
  PoolSelector selector = Make();
  const auto counts = Count(selector);
  BOOST_TEST(counts.size() == 1U);
  BOOST_TEST(counts.at("d") == 1000);
  const std::vector<std::string> excluded{ "d" };
  BOOST_TEST(selector.Choose(route_, excluded) == nullptr);
}

// Guards against a loaded member that still gets its share, and against imbalance without load.
BOOST_AUTO_TEST_CASE(TwoChoicesAvoidsTheLoadedMember)
{
  PoolSelector selector = Make();
  for (const auto& [id, count] : Count(selector)) {
    BOOST_TEST(count > 180, id);
  }
  selector.LoadOf("a").OnReport({ 5, 0, 10 }, clock_.Now());
  BOOST_TEST(Count(selector).count("a") == 0U);
  // The report loses its weight, so that a lost update cannot starve the member.
  clock_.Advance(1s);
  BOOST_TEST(Count(selector)["a"] > 180);
}

// Guards against a near data centre that is overloaded while a far one idles.
BOOST_AUTO_TEST_CASE(NearPreferenceYieldsUnderLoad)
{
  Add("e").dataCentre_ = "far";
  PoolSelector selector = Make();
  BOOST_TEST(Count(selector).count("e") == 0U);
  for (const char* id : { "a", "b", "c", "d" }) {
    selector.LoadOf(id).OnReport({ 12, 0, 10 }, clock_.Now());
  }
  BOOST_TEST(Count(selector)["e"] == 1000);
}

// Guards against selectors whose weights are ignored, and a selector without members that takes
// traffic with it.
BOOST_AUTO_TEST_CASE(SelectorsShareTrafficByWeight)
{
  view_.members_["a"].labels_ = { { "tier", "new" } };
  route_.selectors_ = { { { { "tier", SelectorOperator::Equals, { "new" } } }, 1 },
                        { { { "tier", SelectorOperator::NotExists, {} } }, 9 },
                        { { { "tier", SelectorOperator::Equals, { "gone" } } }, 90 } };
  PoolSelector selector = Make();
  auto counts = Count(selector, 10'000);
  BOOST_TEST(counts["a"] > 800);
  BOOST_TEST(counts["a"] < 1200);
}

// Guards against a straggler that is noticed only when its slow responses arrive.
BOOST_AUTO_TEST_CASE(StragglerIsEjectedAndReturns)
{
  PoolSelector selector = Make();
  BOOST_TEST(RunWithStraggler(selector, 2ms, 500) > 0);
  const TimePoint begin = clock_.Now();
  const int onStraggler = RunWithStraggler(selector, 400ms, 60);
  BOOST_TEST(onStraggler == 0);
  BOOST_CHECK(clock_.Now() - begin < 61ms);
  RunWithStraggler(selector, 2ms, 1500);
  BOOST_TEST(RunWithStraggler(selector, 2ms, 500) > 5);
}

// Guards against a straggler that stays in use because hedging cancels its attempts early.
BOOST_AUTO_TEST_CASE(MemberWhoseAttemptsAreOvertakenIsEjected)
{
  PoolSelector selector = Make();
  RunWithStraggler(selector, 2ms, 500);
  for (int i = 0; i < 2; ++i) {
    selector.LoadOf("a").OnStart(++lastAttempt_, clock_.Now());
    clock_.Advance(3ms);
    selector.LoadOf("a").OnEnd(lastAttempt_, clock_.Now(), AttemptEnd::Overtaken);
  }
  BOOST_TEST(Count(selector).count("a") == 0U);
}

// Guards against an ejection that ends by the passage of time alone, after which every request goes
// to a member that is still slow.
BOOST_AUTO_TEST_CASE(EjectedMemberReturnsOnlyAfterAFastTrial)
{
  PoolSelector selector = Make();
  RunWithStraggler(selector, 2ms, 500);
  const auto overtake = [&] {
    selector.LoadOf("a").OnStart(++lastAttempt_, clock_.Now());
    clock_.Advance(3ms);
    selector.LoadOf("a").OnEnd(lastAttempt_, clock_.Now(), AttemptEnd::Overtaken);
  };
  overtake();
  overtake();
  Count(selector);
  const std::vector<std::string> others{ "b", "c", "d" };
  for (const Duration ejection : { 101ms, 201ms, 401ms }) {
    clock_.Advance(ejection);
    BOOST_TEST_REQUIRE(selector.Choose(route_, others)->ref_.id_ == "a");
    overtake();
    BOOST_TEST(Count(selector).count("a") == 0U);
  }
  BOOST_TEST(selector.IsEjected("a"));
  clock_.Advance(401ms);
  Count(selector, 1);
  selector.LoadOf("a").OnStart(++lastAttempt_, clock_.Now());
  BOOST_TEST(Count(selector).count("a") == 0U);
  clock_.Advance(2ms);
  selector.LoadOf("a").OnResponse(lastAttempt_, clock_.Now());
  selector.LoadOf("a").OnEnd(lastAttempt_, clock_.Now(), AttemptEnd::Answered);
  clock_.Advance(3ms);
  BOOST_TEST(Count(selector)["a"] > 180);
  BOOST_TEST(!selector.IsEjected("a"));
}

// Guards against trials that cost their caller the whole slow response, and against a member that
// never returns because no request of its service can be hedged.
BOOST_AUTO_TEST_CASE(UnhedgedRequestsAreLateTrials)
{
  PoolSelector selector = Make();
  RunWithStraggler(selector, 2ms, 500);
  for (int i = 0; i < 2; ++i) {
    selector.LoadOf("a").OnStart(++lastAttempt_, clock_.Now());
    clock_.Advance(3ms);
    selector.LoadOf("a").OnEnd(lastAttempt_, clock_.Now(), AttemptEnd::Overtaken);
  }
  Count(selector);
  clock_.Advance(101ms);
  const std::vector<std::string> others{ "b", "c" };
  BOOST_TEST(selector.Choose(route_, others, ChoiceBy::LoadUnhedged)->ref_.id_ == "d");
  clock_.Advance(400ms);
  bool tried = false;
  for (int i = 0; i < 100; ++i) {
    tried = tried || selector.Choose(route_, others, ChoiceBy::LoadUnhedged)->ref_.id_ == "a";
  }
  BOOST_TEST(tried);
}

// Guards against a near straggler that an ingress never ejects, because it knows the far members by
// a few hedges only.
BOOST_AUTO_TEST_CASE(NearStragglerIsEjectedWithoutSamplesOfOthers)
{
  for (const char* id : { "b", "c", "d" }) {
    view_.members_[id].dataCentre_ = "far";
  }
  PoolSelector selector = Make();
  RunWithStraggler(selector, 2ms, 200);
  BOOST_TEST(RunWithStraggler(selector, 400ms, 60) == 0);
}

// Guards against hedges that meet a second straggler although a member that answers is known.
BOOST_AUTO_TEST_CASE(HedgeAvoidsMembersThatKeepAttemptsWaiting)
{
  PoolSelector selector = Make();
  selector.LoadOf("b").OnStart(1, clock_.Now());
  selector.LoadOf("c").OnStart(2, clock_.Now());
  clock_.Advance(5ms);
  const std::vector<std::string> excluded{ "a" };
  for (int i = 0; i < 100; ++i) {
    BOOST_TEST(selector.Choose(route_, excluded, ChoiceBy::Speed)->ref_.id_ == "d");
  }
}

// Guards against the ejection of most of a pool when every member becomes slow.
BOOST_AUTO_TEST_CASE(AtMostHalfAreEjected)
{
  std::vector<MemberLoad> loads(4);
  std::vector<OutlierState> states(4);
  std::vector<OutlierState*> members;
  std::uint64_t attempt = 0;
  for (std::size_t i = 0; i < loads.size(); ++i) {
    states[i].load_ = &loads[i];
    members.push_back(&states[i]);
    for (int sample = 0; sample < 50; ++sample) {
      loads[i].OnStart(++attempt, clock_.Now());
      loads[i].OnResponse(attempt, clock_.Now() + 1ms);
      loads[i].OnEnd(attempt, clock_.Now() + 1ms, AttemptEnd::Answered);
    }
    loads[i].OnStart(++attempt, clock_.Now());
    loads[i].OnStart(++attempt, clock_.Now());
  }
  clock_.Advance(1s);
  OutlierDetector detector;
  detector.Evaluate(members, clock_.Now());
  BOOST_TEST(std::count_if(states.begin(), states.end(), [](const OutlierState& aState) {
               return aState.ejected_;
             }) == 2);
}

// Guards against baselines that are not what they are named.
BOOST_AUTO_TEST_CASE(PlainBalancingVariants)
{
  PoolSelector roundRobin = Make({ Balancing::RoundRobin, false, false });
  for (const auto& [id, count] : Count(roundRobin)) {
    BOOST_TEST(count == 250, id);
  }
  PoolSelector least = Make({ Balancing::LeastOutstanding, false, false });
  least.LoadOf("a").OnStart(1, clock_.Now());
  BOOST_TEST(Count(least).count("a") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
