#include "limits/ShareOwner.hpp"

#include "support/ManualClock.hpp"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace redwing;
using namespace redwing::test;
using namespace std::chrono_literals;

namespace {

/// A ShareOwner whose limits and owned workspaces a test can change.
struct Fixture
{
  SliceReply Ask(std::uint32_t aTokens, const std::string& aWorkspace = "w")
  {
    return owner_.OnRequest("i1", { aWorkspace, ++requestId_, aTokens }, clock_.Now());
  }

  /// Requests tokens every 10 ms for aTime; returns the number of tokens granted.
  double Collect(Duration aTime)
  {
    double granted = 0;
    for (Duration passed{}; passed < aTime; passed += 10ms) {
      clock_.Advance(10ms);
      granted += Ask(1000).tokens_;
    }
    return granted;
  }

  ManualClock clock_;
  std::uint64_t requestId_ = 0;
  std::map<std::string, WorkspaceLimit, std::less<>> limits_{ { "w", { 100, 10 } } };
  std::set<std::string, std::less<>> owned_{ "w", "unknown" };
  ShareOwner owner_{ [this](std::string_view aWorkspace) -> std::optional<ShareOwner::Limit> {
                      const auto found = limits_.find(aWorkspace);
                      return found == limits_.end()
                               ? std::nullopt
                               : std::optional(ShareOwner::Limit{ found->second });
                    },
                     [this](std::string_view aWorkspace) { return owned_.contains(aWorkspace); } };
};

} // namespace

// Guards against two owners of one bucket: an instance that does not own the shard must not grant
// tokens.
BOOST_FIXTURE_TEST_CASE(WorkspacesOfOthersAndUnknownOnesAreRefused, Fixture)
{
  limits_["other"] = { 100, 10 };
  BOOST_TEST(!Ask(1, "other").owner_);
  BOOST_TEST(!Ask(1, "unknown").owner_);
  BOOST_TEST(Ask(1).owner_);
}

// Guards against a new owner that grants tokens while slices of the earlier owner are still
// outstanding.
BOOST_FIXTURE_TEST_CASE(NewOwnerStartsEmptyUntilEarlierSlicesHaveExpired, Fixture)
{
  owner_.Prepare("w", clock_.Now());
  BOOST_TEST(Collect(kMaxSliceTimeToLive - 20ms) == 0);
  BOOST_TEST(Collect(500ms) > 0);
}

// Guards against reusing a bucket after another instance may have owned the shard and granted its
// tokens.
BOOST_FIXTURE_TEST_CASE(BucketIsDiscardedWhenTheShardIsLost, Fixture)
{
  owner_.Prepare("w", clock_.Now());
  BOOST_TEST(Collect(2s) > 0);
  owned_.erase("w");
  owner_.OnOwnershipChanged();
  BOOST_TEST(!Ask(1).owner_);
  owned_.insert("w");
  BOOST_TEST(Collect(kMaxSliceTimeToLive - 20ms) == 0);
}

// Guards against a bucket that ignores a changed limit, and against granting more than
// rate x time + burst before or after the change.
BOOST_FIXTURE_TEST_CASE(ChangedLimitIsInForceAtOnce, Fixture)
{
  owner_.Prepare("w", clock_.Now());
  Collect(3s);
  const double before = Collect(5s);
  BOOST_TEST(before <= 100 * 5 + 10);
  BOOST_TEST(before >= 400);
  limits_["w"] = { 10, 10 };
  Collect(3s);
  const double after = Collect(5s);
  BOOST_TEST(after <= 10 * 5 + 10);
  BOOST_TEST(after >= 30);
  limits_.clear();
  BOOST_TEST(!Ask(1).owner_);
}
