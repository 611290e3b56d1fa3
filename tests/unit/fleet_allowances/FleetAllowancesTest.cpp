#include "unit/fleet/FleetFixture.hpp"

using namespace redwing;
using namespace redwing::test;

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
    follower.service_.Admit(workspace,
                            [&](bool aAdmitted, std::uint32_t) { admitted += aAdmitted ? 1 : 0; });
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
      follower.service_.Admit(workspace, [&](bool, std::uint32_t) { ++decided; });
    }
    return clock_.Now() >= end;
  }));
  // One call at the beginning and one each 100 ms.
  BOOST_TEST(follower.allowanceCalls_ <= 6);
  BOOST_TEST(RunUntil([&] { return decided == asked; }));
}

BOOST_AUTO_TEST_SUITE_END()
