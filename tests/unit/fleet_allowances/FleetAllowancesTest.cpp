#include "unit/fleet/FleetFixture.hpp"

using namespace redwing;
using namespace redwing::test;

namespace {

/// Sends a request of a workspace with a small allowance right after the leader of four instances
/// has begun to stop; returns whether it is admitted.
bool
AdmitsWhileLeaderChanges(Fleet& aFleet, bool aKnowsVacancy)
{
  using Node = Fleet::Node;
  for (const char* id : { "a", "b", "c", "d" }) {
    Node& node = aFleet.Add(id);
    node.Beat();
    node.Status(BackendState::Ready, false);
  }
  BOOST_REQUIRE(aFleet.RunUntil([&] { return aFleet.Holders().size() == aFleet.nodes_.size(); }));
  auto revision = std::make_shared<ConfigurationRevision>(*Node::Configured());
  revision->revision_ = 2;
  // No instance has a minimum of its own.
  Workspace& small = revision->configuration_.workspaces_.front();
  small.rate_ = 1;
  small.burst_ = 1;
  for (auto& [id, node] : aFleet.nodes_) {
    node->service_.OnConfiguration(revision);
  }
  aFleet.RunUntil([] { return false; }, Node::Settings("a").budget_.window_);
  const std::string before = aFleet.LeaderInStore();
  const auto follower = std::find_if(aFleet.nodes_.begin(),
                                     aFleet.nodes_.end(),
                                     [&](const auto& aNode) { return aNode.first != before; });
  aFleet.nodes_.at(before)->service_.BeginLeave();
  if (aKnowsVacancy) {
    BOOST_REQUIRE(aFleet.RunUntil([&] { return aFleet.LeaderInStore().empty(); }));
    aFleet.RunUntil([] { return false; }, 3ms);
  }
  std::optional<bool> admitted;
  follower->second->service_.Admit(small, [&](const RateAnswer& aAnswer) {
    admitted = aAnswer.admitted_;
    return true;
  });
  BOOST_TEST(aFleet.RunUntil([&] { return admitted.has_value(); }, 800ms));
  return admitted.value_or(false);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(FleetAllowances, Fleet)

// Guards against a leader that gets a call for each workspace that runs out at an instance.
BOOST_AUTO_TEST_CASE(ExhaustedWorkspacesShareCallsToTheLeader)
{
  Node& one = Add("a");
  Node& other = Add("b");
  Settle(one, other);
  Node& follower = LeaderInStore() == "a" ? other : one;
  const auto revision = Node::Configured();
  follower.mostOpenCalls_ = 0;
  int admitted = 0;
  for (const Workspace& workspace : revision->configuration_.workspaces_) {
    follower.service_.Admit(workspace, [&](const RateAnswer& aAnswer) {
      admitted += aAnswer.admitted_ ? 1 : 0;
      return true;
    });
  }
  BOOST_TEST(RunUntil([&] { return admitted == kWorkspaces; }));
  BOOST_TEST(follower.mostOpenCalls_ == 1);
}

// Guards against a leader that cannot catch up because it is asked the more the less it answers.
BOOST_AUTO_TEST_CASE(ALeaderThatDoesNotAnswerIsAskedAtIntervals)
{
  Node& one = Add("a");
  Node& other = Add("b");
  Settle(one, other);
  Node& follower = LeaderInStore() == "a" ? other : one;
  follower.answered_ = false;
  follower.allowanceCalls_ = 0;
  int decided = 0;
  int asked = 0;
  const auto revision = Node::Configured();
  const TimePoint end = clock_.Now() + 500ms;
  BOOST_REQUIRE(RunUntil([&] {
    for (const Workspace& workspace : revision->configuration_.workspaces_) {
      ++asked;
      follower.service_.Admit(workspace, [&](const RateAnswer&) {
        ++decided;
        return true;
      });
    }
    return clock_.Now() >= end;
  }));
  // One call at the beginning and one each 100 ms.
  BOOST_TEST(follower.allowanceCalls_ <= 6);
  BOOST_TEST(RunUntil([&] { return decided == asked; }));
}

// Guards against refusing requests within the allowance of a workspace while a leader that stops is
// succeeded: in a large fleet an instance has to ask for each request.
BOOST_AUTO_TEST_CASE(RequestsWaitForTheSuccessorOfALeader)
{
  BOOST_TEST(AdmitsWhileLeaderChanges(*this, false));
}

// Guards against the same by an instance that knows already that there is no leader.
BOOST_AUTO_TEST_CASE(RequestsWaitForTheFirstLeaderAfterAVacancy)
{
  BOOST_TEST(AdmitsWhileLeaderChanges(*this, true));
}

// Guards against requests that wait although the leader has told that nothing is left, or although
// no leader has answered for long.
BOOST_AUTO_TEST_CASE(RequestsThatNoLeaderWillAdmitAreRefusedAtOnce)
{
  Node& one = Add("a");
  Node& other = Add("b");
  Settle(one, other);
  auto revision = std::make_shared<ConfigurationRevision>(*Node::Configured());
  revision->revision_ = 2;
  Workspace& small = revision->configuration_.workspaces_.front();
  small.rate_ = 0.2;
  small.burst_ = 0;
  for (Node* node : { &one, &other }) {
    node->service_.OnConfiguration(revision);
  }
  RunUntil([] { return false; }, Node::Settings("a").budget_.window_);
  Node& follower = LeaderInStore() == "a" ? other : one;
  const auto decide = [&] {
    std::optional<bool> admitted;
    follower.service_.Admit(small, [&](const RateAnswer& aAnswer) {
      admitted = aAnswer.admitted_;
      return true;
    });
    RunUntil([&] { return admitted.has_value(); }, 150ms);
    return admitted;
  };
  BOOST_TEST(decide().value_or(false));
  BOOST_TEST(!decide().value_or(true));
  follower.answered_ = false;
  RunUntil([] { return false; }, 2500ms);
  BOOST_TEST(!decide().value_or(true));
}

// Guards against an instance that keeps the share of an allowance that was lowered since its last
// request: the others could use none of what is left.
BOOST_AUTO_TEST_CASE(ALowerAllowanceBindsInstancesWithoutRequests)
{
  Node& one = Add("a");
  Node& other = Add("b");
  Settle(one, other);
  RunUntil([] { return false; }, Node::Settings("a").budget_.window_);
  Node& leader = LeaderInStore() == "a" ? one : other;
  Node& follower = LeaderInStore() == "a" ? other : one;
  const auto admit = [](Node& aNode, const Workspace& aWorkspace, int& aAdmitted) {
    aNode.service_.Admit(aWorkspace, [&](const RateAnswer& aAnswer) {
      aAdmitted += aAnswer.admitted_ ? 1 : 0;
      return true;
    });
  };
  auto revision = std::make_shared<ConfigurationRevision>(*Node::Configured());
  Workspace& workspace = revision->configuration_.workspaces_.front();
  int admitted = 0;
  admit(follower, workspace, admitted);
  RunUntil([] { return false; }, 600ms);
  BOOST_REQUIRE(admitted == 1);
  revision->revision_ = 2;
  // 20 requests in a window.
  workspace.rate_ = 4;
  workspace.burst_ = 0;
  leader.service_.OnConfiguration(revision);
  follower.service_.OnConfiguration(revision);
  RunUntil([] { return false; }, 1100ms);
  // The leader has 4 of its own, and 4 are the minimum of the other instance.
  constexpr int kHalf = 10;
  admitted = 0;
  TimePoint next = clock_.Now();
  BOOST_TEST(RunUntil(
    [&] {
      if (clock_.Now() >= next) {
        next += 20ms;
        admit(leader, workspace, admitted);
      }
      return admitted >= kHalf;
    },
    2s));
}

// Guards against tokens that are lost with requests that ended before they were admitted.
BOOST_AUTO_TEST_CASE(ATokenThatIsNotTakenIsFree)
{
  Node& one = Add("a");
  RunUntil([] { return false; }, Node::Settings("a").budget_.window_);
  auto revision = std::make_shared<ConfigurationRevision>(*Node::Configured());
  revision->revision_ = 2;
  Workspace& small = revision->configuration_.workspaces_.front();
  small.rate_ = 1;
  small.burst_ = 0;
  one.service_.OnConfiguration(revision);
  for (int i = 0; i < 50; ++i) {
    std::optional<bool> admitted;
    one.service_.Admit(small, [&](const RateAnswer& aAnswer) {
      admitted = aAnswer.admitted_;
      return false;
    });
    BOOST_REQUIRE(RunUntil([&] { return admitted.has_value(); }, 800ms));
    BOOST_REQUIRE(*admitted);
  }
}

BOOST_AUTO_TEST_SUITE_END()
