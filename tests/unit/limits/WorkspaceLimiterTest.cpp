#include "limits/WorkspaceLimiter.hpp"

#include "support/ManualClock.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;
using namespace redwing::test;
using namespace std::chrono_literals;

namespace {

/// A limiter whose messages are recorded and whose decisions are counted.
struct Fixture
{
  void Admit(Duration aTime = 1s, const std::string& aWorkspace = "w")
  {
    limiter_.Admit(aWorkspace, clock_.Now() + aTime, [this](bool aAdmitted, std::uint32_t) {
      (aAdmitted ? admitted_ : refused_) += 1;
    });
  }

  void Grant(std::uint32_t aTokens, std::uint32_t aTimeToLiveMs = 1000)
  {
    const SliceRequest request = requests_.back();
    limiter_.OnReply({ request.workspace_, request.requestId_, true, aTokens, aTimeToLiveMs, 0 });
  }

  ManualClock clock_;
  std::vector<SliceRequest> requests_;
  std::vector<SliceReport> reports_;
  int admitted_ = 0;
  int refused_ = 0;
  WorkspaceLimiter limiter_{ clock_,
                             [this](const SliceRequest& aRequest) {
                               requests_.push_back(aRequest);
                             },
                             [this](const SliceReport& aReport) { reports_.push_back(aReport); } };
};

} // namespace

// Guards against requests that are admitted without a token, or decided twice or never.
BOOST_FIXTURE_TEST_CASE(RequestsWaitForTokensAndEachIsDecidedOnce, Fixture)
{
  for (int i = 0; i < 5; ++i) {
    Admit();
  }
  BOOST_TEST(admitted_ + refused_ == 0);
  BOOST_REQUIRE(!requests_.empty());
  Grant(3);
  BOOST_TEST(admitted_ == 3);
  for (int i = 0; i < 200; ++i) {
    clock_.Advance(10ms);
    limiter_.Tick();
  }
  BOOST_TEST(admitted_ == 3);
  BOOST_TEST(refused_ == 2);
}

// Guards against using tokens of an expired slice.
BOOST_FIXTURE_TEST_CASE(ExpiredTokensAreNotUsed, Fixture)
{
  Admit();
  Grant(10, 50);
  BOOST_TEST(admitted_ == 1);
  clock_.Advance(60ms);
  Admit();
  BOOST_TEST(admitted_ == 1);
}

// Guards against using the tokens of one workspace for another, and against accepting unsolicited
// replies.
BOOST_FIXTURE_TEST_CASE(WorkspacesAreSeparate, Fixture)
{
  Admit(1s, "a");
  const SliceRequest forA = requests_.back();
  Admit(1s, "b");
  limiter_.OnReply({ "a", forA.requestId_, true, 10, 1000, 0 });
  limiter_.OnReply({ "c", 1, true, 10, 1000, 0 });
  limiter_.OnReply({ "b", 999, true, 10, 1000, 0 });
  BOOST_TEST(admitted_ == 1);
}

// Guards against a request that waits beyond its deadline when the owner never replies.
BOOST_FIXTURE_TEST_CASE(RequestIsRefusedAtItsDeadlineWithoutReply, Fixture)
{
  Admit(100ms);
  for (int i = 0; i < 12; ++i) {
    clock_.Advance(10ms);
    limiter_.Tick();
  }
  BOOST_TEST(refused_ == 1);
  // The request for tokens is repeated, because datagrams can be lost.
  BOOST_TEST(requests_.size() > 1U);
}
