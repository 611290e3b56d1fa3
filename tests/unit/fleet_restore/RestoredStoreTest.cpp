#include "RestoredFleet.hpp"

using namespace redwing;
using namespace redwing::test;

BOOST_FIXTURE_TEST_SUITE(RestoredStores, RestoredFleet)

// Guards against a server that is granted keys again that it released after the copy was taken.
BOOST_AUTO_TEST_CASE(AReleaseThatTheStoreLostStillBinds)
{
  Begin({ "a", "b" });
  store_.Copy();
  Drain(*nodes_.at("a"));
  const std::uint64_t token = StoredTable().At(0).token_;
  Restore();
  PlayFor(1500ms);
  BOOST_TEST(violation_ == "");
  BOOST_TEST(HeldBy(*nodes_.at("a")) == 0U);
  BOOST_TEST(HeldBy(*nodes_.at("b")) == kShards);
  BOOST_TEST(Holders() == std::set<std::string>{ "b" });
  BOOST_TEST(StoredTable().At(0).token_ >= token);
}

// Guards against keys that are not served while the fleet recovers.
BOOST_AUTO_TEST_CASE(TheKeysAreServedThroughout)
{
  Begin({ "a", "b", "c" });
  store_.Copy();
  Drain(*nodes_.at("a"));
  Restore();
  std::size_t served = kShards;
  Play(
    [&] {
      served = std::min(served, Served());
      return false;
    },
    3000ms);
  BOOST_TEST(served == kShards);
  BOOST_TEST(violation_ == "");
}

// Guards against a fleet that cannot plan any more because the copy does not have its table.
BOOST_AUTO_TEST_CASE(ATableThatTheStoreLostIsWrittenAgain)
{
  store_.Copy();
  Begin({ "a", "b" });
  Restore();
  BOOST_TEST(Play([&] { return Holders() == std::set<std::string>{ "a", "b" } && AllServed(); }));
  Drain(*nodes_.at("a"));
  PlayFor(500ms);
  BOOST_TEST(violation_ == "");
}

// Guards against planning on an old table: keys go on with tokens above all that were given out.
BOOST_AUTO_TEST_CASE(PlanningGoesOnWithHigherTokens)
{
  Begin({ "a", "b" });
  store_.Copy();
  Drain(*nodes_.at("a"));
  draining_.clear();
  nodes_.at("a")->startedAt_ = 2;
  Restore();
  // The new run of the server takes shards, which its record in the copy does not name.
  BOOST_TEST(Play([&] { return HeldBy(*nodes_.at("a")) > 0 && AllServed(); }));
  Drain(*nodes_.at("b"));
  PlayFor(500ms);
  BOOST_TEST(violation_ == "");
}

// Guards against losing a table that is known to one instance only.
BOOST_AUTO_TEST_CASE(ATableKnownToOneInstanceIsNotLost)
{
  Begin({ "a", "b", "c" });
  Node& leader = Leader();
  Node& leaves = Other({ leader.id_ });
  Node& rest = Other({ leader.id_, leaves.id_ });
  store_.Copy();
  // The successor of some shards hears of the release, the others do not.
  draining_.insert(leaves.id_);
  BOOST_REQUIRE(Play([&] {
    const auto runs = StoredTable();
    return std::any_of(runs.Runs().begin(), runs.Runs().end(), [&](const ShardRun& aRun) {
      return aRun.successor_ == rest.id_;
    });
  }));
  leader.called_ = false;
  BOOST_REQUIRE(Play([&] { return HeldBy(leaves) == 0 && !Holders().contains(leaves.id_); }));
  Restore();
  leader.called_ = true;
  BOOST_TEST(Play([&] { return AllServed() && !Holders().contains(leaves.id_); }));
  PlayFor(1000ms);
  BOOST_TEST(HeldBy(leaves) == 0U);
  BOOST_TEST(violation_ == "");
}

// Guards against shards that are taken over from an instance that knows of its assignments but has
// not registered again yet.
BOOST_AUTO_TEST_CASE(AnInstanceThatTheRestoredStoreTurnsAwayKeepsItsHolds)
{
  Begin({ "a", "b", "c" });
  store_.Copy();
  Drain(*nodes_.at("a"));
  Node& cut = Leader().id_ == "b" ? *nodes_.at("c") : *nodes_.at("b");
  Restore(100ms);
  CutOff(cut);
  BOOST_TEST(Play([&] { return !Holders().contains(cut.id_) && AllServed(); }, 8s));
  BOOST_TEST(violation_ == "");
  // It is a member again once it reaches the store.
  cutOff_.erase(cut.id_);
  cut.store_.Cut(false);
  BOOST_TEST(Play([&] { return HeldBy(cut) > 0 && AllServed(); }));
  BOOST_TEST(violation_ == "");
}

// Guards against a renewal by a peer that extends holds from before the restore: the lease may be
// in the copy although the table in it is another one.
BOOST_AUTO_TEST_CASE(ARenewalByAPeerDoesNotReachIntoALaterEpoch)
{
  Begin({ "a", "b", "c" });
  store_.Copy();
  Node& cut = Other({ Leader().id_ });
  CutOff(cut);
  PlayFor(600ms);
  Restore(100ms);
  const TimePoint restored = clock_.Now();
  PlayFor(4s);
  BOOST_TEST((cut.grantedUntil_ <= restored + Node::Settings("a").session_.leaseTime_));
  BOOST_TEST(AllServed());
  BOOST_TEST(violation_ == "");
}

// Guards against shards of a lost machine that are assigned to others while its server holds them.
BOOST_AUTO_TEST_CASE(ShardsOfALostMachineAreTakenOverOnceItsHoldsHaveEnded)
{
  store_.Copy();
  Begin({ "a", "b", "c" });
  Node& lost = Other({ Leader().id_ });
  Restore(100ms);
  Lose(lost);
  BOOST_TEST(Play(
    [&] { return Holders().size() == 2 && !Holders().contains(lost.id_) && AllServed(); }, 8s));
  BOOST_TEST(violation_ == "");
}

// Guards against keys that are not served because a machine is missing that does not hold them.
BOOST_AUTO_TEST_CASE(KeysOfOthersAreServedWhileAMachineIsMissing)
{
  Begin({ "a", "b", "c" });
  store_.Copy();
  Node& lost = Other({ Leader().id_ });
  const std::size_t others = kShards - HeldBy(lost);
  Restore(100ms);
  Lose(lost);
  std::size_t served = kShards;
  BOOST_TEST(Play(
    [&] {
      std::size_t now = 0;
      for (const auto& [id, node] : nodes_) {
        now += node.get() == &lost ? 0 : HeldBy(*node);
      }
      served = std::min(served, now);
      return StoredTable().Settled() && StoredTable().Epoch() == 1 && now == kShards;
    },
    8s));
  BOOST_TEST(served == others);
  BOOST_TEST(violation_ == "");
}

// Guards against keys of a lost machine that are not assigned for another lease time because the
// store comes back from a copy a second time.
BOOST_AUTO_TEST_CASE(ASecondRestoreDoesNotProlongTheWait)
{
  Begin({ "a", "b", "c" });
  store_.Copy();
  Node& lost = Other({ Leader().id_ });
  Restore(100ms);
  const TimePoint restored = clock_.Now();
  Lose(lost);
  BOOST_REQUIRE(Play([&] { return StoredTable().Epoch() == 1 && !StoredTable().Settled(); }));
  store_.Copy();
  // The store is away again when the leases of the first epoch have run out.
  Play([&] { return clock_.Now() - restored >= 2s; });
  Restore(800ms);
  BOOST_TEST(Play([&] { return StoredTable().Epoch() == 2 && StoredTable().Settled(); }, 1500ms));
  BOOST_TEST(Play([&] { return AllServed(); }, 1500ms));
  BOOST_TEST(violation_ == "");
}

// Guards against a fleet that waits for a leader that was lost while it collected the tables.
BOOST_AUTO_TEST_CASE(ALeaderThatIsLostAfterTheRestoreIsSucceeded)
{
  Begin({ "a", "b", "c" });
  store_.Copy();
  Node& leader = Leader();
  Drain(Other({ leader.id_ }));
  Restore();
  Lose(leader);
  BOOST_TEST(Play(
    [&] { return StoredTable().Epoch() == 1 && !Holders().contains(leader.id_) && AllServed(); },
    10s));
  BOOST_TEST(violation_ == "");
}

// Guards against two leaders, or none, after the store names an earlier one again.
BOOST_AUTO_TEST_CASE(AnEarlierLeaderThatTheCopyNamesLeadsAgain)
{
  Begin({ "a", "b", "c" });
  store_.Copy();
  Node& first = Leader();
  first.store_.Cut(true);
  BOOST_REQUIRE(Play([&] { return !LeaderInStore().empty() && LeaderInStore() != first.id_; }));
  first.store_.Cut(false);
  Drain(Other({ first.id_, LeaderInStore() }));
  Restore();
  BOOST_TEST(Play([&] { return StoredTable().Epoch() == 1 && AllServed(); }));
  PlayFor(2500ms);
  BOOST_TEST(AllServed());
  BOOST_TEST(violation_ == "");
}

// Guards against a table of the first epoch that is forgotten in the second.
BOOST_AUTO_TEST_CASE(TwoRestoresInSeriesLoseNothing)
{
  Begin({ "a", "b", "c" });
  store_.Copy();
  Drain(*nodes_.at("a"));
  Restore();
  PlayFor(300ms);
  Restore();
  PlayFor(1500ms);
  BOOST_TEST(HeldBy(*nodes_.at("a")) == 0U);
  BOOST_TEST(AllServed());
  Drain(*nodes_.at("b"));
  Restore();
  PlayFor(2500ms);
  BOOST_TEST(HeldBy(*nodes_.at("c")) == kShards);
  BOOST_TEST(violation_ == "");
}

// Guards against a handover that ends with two holders or none.
BOOST_AUTO_TEST_CASE(AHandoverThatIsHalfWayIsFinished)
{
  Begin({ "a", "b" });
  store_.Copy();
  draining_.insert("a");
  BOOST_REQUIRE(Play([&] {
    return !StoredTable().Runs().front().successor_.empty() ||
           !StoredTable().Runs().back().successor_.empty();
  }));
  Restore();
  BOOST_TEST(Play([&] { return Holders() == std::set<std::string>{ "b" } && AllServed(); }));
  BOOST_TEST(violation_ == "");
}

// Guards against shards for a machine that left before the store came back with its record.
BOOST_AUTO_TEST_CASE(AMemberThatLeftGetsNoShards)
{
  Begin({ "a", "b", "c" });
  store_.Copy();
  Node& left = Other({ Leader().id_ });
  Drain(left);
  Lose(left);
  const std::string record = "redwing/members/record/" + left.id_;
  BOOST_REQUIRE(Play([&] { return !store_.Entries().contains(record); }));
  PlayFor(100ms);
  Restore();
  Play(
    [&] {
      BOOST_REQUIRE(!Holders().contains(left.id_) || StoredTable().Epoch() == 0);
      return false;
    },
    4s);
  BOOST_TEST(AllServed());
  BOOST_TEST(violation_ == "");
}

// Guards against members that vanish from the routing view until they have registered again.
BOOST_AUTO_TEST_CASE(MembersThatTheCopyLacksStayInTheView)
{
  store_.Copy();
  Begin({ "a", "b" });
  Restore();
  std::size_t members = 2;
  Play(
    [&] {
      for (const auto& [id, node] : nodes_) {
        members = std::min(members, node->view_.Get()->members_.size());
      }
      return false;
    },
    3s);
  BOOST_TEST(members == 2U);
}

// Guards against refusing requests within the allowance of a workspace, and against admitting more
// than it, after the leader's ledger went back.
BOOST_AUTO_TEST_CASE(AllowancesGoOnAndAreNotLentTwice)
{
  Begin({ "a", "b" });
  store_.Copy();
  PlayFor(500ms);
  const Workspace workspace = Node::Configured()->configuration_.workspaces_.front();
  std::vector<TimePoint> admitted;
  std::size_t refusedAfter = 0;
  TimePoint next = clock_.Now();
  const auto ask = [&](std::chrono::milliseconds aInterval, std::size_t& aRefused) {
    return [&, aInterval] {
      while (clock_.Now() >= next) {
        next += aInterval;
        Node& node = *nodes_.at(admitted.size() % 2 == 0 ? "a" : "b");
        node.service_.Admit(workspace, [&](const RateAnswer& aAnswer) {
          if (aAnswer.admitted_) {
            admitted.push_back(clock_.Now());
          } else {
            ++aRefused;
          }
          return true;
        });
      }
      return false;
    };
  };
  std::size_t refused = 0;
  Play(ask(5ms, refused), 4s);
  Restore();
  Play(ask(5ms, refused), 4s);
  const auto window = Node::Settings("a").budget_.window_;
  const double seconds = std::chrono::duration<double>(window).count();
  const double allowance = workspace.rate_ * seconds + workspace.burst_;
  std::size_t most = 0;
  for (std::size_t first = 0, last = 0; last < admitted.size(); ++last) {
    while (admitted[last] - admitted[first] >= window) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  BOOST_TEST(static_cast<double>(most) <= allowance);
  PlayFor(5s);
  next = clock_.Now();
  Play(ask(20ms, refusedAfter), 2s);
  BOOST_TEST(refusedAfter == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
