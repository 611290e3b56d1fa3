#include "TestMessages.hpp"
#include "ownership/ShardClaims.hpp"

#include <boost/test/unit_test.hpp>

using redwing::ClaimPromise;
using redwing::CommitOutcome;
using redwing::CommitRow;
using redwing::Effects;
using redwing::GoneMembers;
using redwing::InstanceRef;
using redwing::OwnershipSettings;
using redwing::SendMessage;
using redwing::ShardClaims;
using redwing::ShardId;
using redwing::ShardRow;
using redwing::TimePoint;
using redwing::TokenLedger;

namespace {

const InstanceRef kSelf{ "a", 2 };
const InstanceRef kSuccessor{ "s", 1 };
const ShardRow kRow{ ShardId{ "booking", 0 }, InstanceRef{ "a", 1 }, 7, kSuccessor };
const TimePoint kNow{ std::chrono::seconds(100) };

struct Fixture
{
  OwnershipSettings settings_;
  GoneMembers gone_{ std::chrono::milliseconds(600) };
  TokenLedger ledger_;
  std::uint64_t lastOperation_ = 0;
  ShardClaims claims_{ kSelf, settings_, gone_, ledger_, lastOperation_ };
  Effects effects_;

  const CommitRow* Commit() const { return redwing::test::FindEffect<CommitRow>(effects_); }
};

} // namespace

// Guards against a claim without the promise of a successor that may still take the shard over.
BOOST_FIXTURE_TEST_CASE(ClaimWaitsForThePromiseOfTheSuccessor, Fixture)
{
  claims_.Start(kRow, kSelf, false);
  claims_.Tick(kNow, effects_);
  BOOST_TEST(Commit() == nullptr);
  BOOST_REQUIRE(redwing::test::FindEffect<SendMessage>(effects_) != nullptr);
  claims_.OnPromise(InstanceRef{ "s", 2 }, ClaimPromise{ kRow, true });
  claims_.Tick(kNow, effects_);
  BOOST_TEST(Commit() == nullptr, "a promise of another incarnation counts for nothing");
  claims_.OnPromise(kSuccessor, ClaimPromise{ kRow, true });
  claims_.Tick(kNow, effects_);
  BOOST_REQUIRE(Commit() != nullptr);
}

// Guards against a token that a lost successor may have used before its write-back.
BOOST_FIXTURE_TEST_CASE(ClaimOfRowWithGoneSuccessorLeavesOutItsToken, Fixture)
{
  gone_.MarkDead(kSuccessor);
  claims_.Start(kRow, kSelf, false);
  claims_.Tick(kNow, effects_);
  BOOST_REQUIRE(Commit() != nullptr);
  BOOST_TEST(Commit()->next_.token_ == kRow.token_ + 2);
}

// Guards against a claim that goes on although the successor has taken the shard over.
BOOST_FIXTURE_TEST_CASE(RefusedClaimEnds, Fixture)
{
  claims_.Start(kRow, kSelf, false);
  claims_.OnPromise(kSuccessor, ClaimPromise{ kRow, false });
  claims_.Tick(kNow, effects_);
  BOOST_TEST(effects_.empty());
}

// Guards against a promise given after the shard was taken, and against taking it after a promise.
BOOST_AUTO_TEST_CASE(PromiseAndTakeOverExcludeEachOther)
{
  TokenLedger taken;
  taken.Take(kRow.shard_, kRow.token_ + 1);
  BOOST_TEST(!taken.Promise(kRow));
  TokenLedger promised;
  BOOST_TEST(promised.Promise(kRow));
  BOOST_TEST(!promised.MayTake(kRow.shard_, kRow.token_ + 1));
  BOOST_TEST(promised.MayTake(kRow.shard_, kRow.token_ + 2));
}
