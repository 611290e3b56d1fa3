#include "control/ShardRowStore.hpp"

#include "control/ShardRowCodec.hpp"
#include "support/FakeStore.hpp"

#include <boost/test/unit_test.hpp>
#include <memory>

using namespace redwing;
using namespace redwing::test;

namespace {

struct Outcome
{
  CommitOutcome outcome_;
  ShardRow current_;
};

/// A ShardRowStore whose outcomes are recorded by operation.
struct Client
{
  explicit Client(Store& aStore)
    : rows_(aStore, [this](std::uint64_t aOperation, CommitOutcome aOutcome, const ShardRow& aRow) {
      outcomes_[aOperation] = { aOutcome, aRow };
    })
  {
  }

  std::map<std::uint64_t, Outcome> outcomes_;
  ShardRowStore rows_;
};

ShardRow
Row(std::uint32_t aIndex, const std::string& aOwner, std::uint64_t aToken)
{
  return { { "booking", aIndex }, { aOwner, 1 }, aToken, {} };
}

ShardRow
Absent(std::uint32_t aIndex)
{
  return { { "booking", aIndex }, {}, 0, {} };
}

std::map<std::uint32_t, ShardRow>
StoredRows(const FakeStore& aStore)
{
  return *DecodeChunk("booking", aStore.written_.rbegin()->second);
}

} // namespace

// Guards against a write based on a stale cached chunk that reverts another instance's change.
BOOST_AUTO_TEST_CASE(WriteWithStaleCacheKeepsTheOtherRows)
{
  FakeStore store(1, 0);
  Client a(store);
  Client b(store);
  a.rows_.Commit({ 1, Absent(0), Row(0, "a", 1) });
  store.Run();
  b.rows_.Commit({ 1, Absent(1), Row(1, "b", 1) });
  store.Run();
  a.rows_.Commit({ 2, Row(0, "a", 1), Row(0, "c", 2) });
  store.Run();
  BOOST_TEST((a.outcomes_[2].outcome_ == CommitOutcome::Success));
  BOOST_TEST((StoredRows(store).at(0) == Row(0, "c", 2)));
  BOOST_TEST((StoredRows(store).at(1) == Row(1, "b", 1)));
}

// Guards against a conflict that is reported only because the cached chunk is stale.
BOOST_AUTO_TEST_CASE(ExpectedRowIsComparedWithTheStoreAndNotWithTheCache)
{
  FakeStore store(1, 0);
  Client a(store);
  Client b(store);
  a.rows_.Commit({ 1, Absent(0), Row(0, "a", 1) });
  store.Run();
  b.rows_.Commit({ 1, Row(0, "a", 1), Row(0, "b", 2) });
  store.Run();
  a.rows_.Commit({ 2, Row(0, "b", 2), Row(0, "a", 3) });
  store.Run();
  BOOST_TEST((a.outcomes_[2].outcome_ == CommitOutcome::Success));
}

// Guards against two owners with the same fencing token, and against a conflict that does not
// return the stored row, which the loser needs to continue.
BOOST_AUTO_TEST_CASE(OneOfTwoCompetingChangesWins)
{
  FakeStore store(1, 0);
  Client a(store);
  Client b(store);
  a.rows_.Commit({ 1, Absent(0), Row(0, "a", 1) });
  b.rows_.Commit({ 1, Absent(0), Row(0, "b", 1) });
  store.Run();
  const bool aWon = a.outcomes_[1].outcome_ == CommitOutcome::Success;
  const Outcome& loser = aWon ? b.outcomes_[1] : a.outcomes_[1];
  BOOST_TEST((loser.outcome_ == CommitOutcome::Conflict));
  BOOST_TEST((loser.current_ == Row(0, aWon ? "a" : "b", 1)));
}

// Guards against treating a lost reply as a failed write: the repeated change conflicts with the
// row that the first attempt wrote.
BOOST_AUTO_TEST_CASE(RetryAfterLostReplyReportsTheWrittenRow)
{
  FakeStore store(1, 0);
  Client a(store);
  store.loseReplies_ = 1;
  a.rows_.Commit({ 1, Absent(0), Row(0, "a", 1) });
  store.Run();
  BOOST_TEST((a.outcomes_[1].outcome_ == CommitOutcome::Unknown));
  a.rows_.Commit({ 2, Absent(0), Row(0, "a", 1) });
  store.Run();
  BOOST_TEST((a.outcomes_[2].outcome_ == CommitOutcome::Conflict));
  BOOST_TEST((a.outcomes_[2].current_ == Row(0, "a", 1)));
}

// Guards against changes whose outcome is never reported while the store is down.
BOOST_AUTO_TEST_CASE(EveryChangeFailsWhileTheStoreIsDown)
{
  FakeStore store(1, 0);
  Client a(store);
  store.down_ = true;
  for (std::uint32_t i = 0; i < 3; ++i) {
    a.rows_.Commit({ i, Absent(i), Row(i, "a", 1) });
  }
  store.Run();
  BOOST_TEST(a.outcomes_.size() == 3U);
  for (const auto& [operation, outcome] : a.outcomes_) {
    BOOST_TEST((outcome.outcome_ == CommitOutcome::Unavailable));
  }
}

// Guards against a fencing token that two instances obtain or that decreases when store calls are
// lost or delayed.
BOOST_AUTO_TEST_CASE(EachWriteIncrementsTheTokenWithLostAndDelayedCalls)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FakeStore store(seed, 0.2);
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < 3; ++i) {
      clients.push_back(std::make_unique<Client>(store));
    }
    std::map<std::uint64_t, std::string> winners;
    for (std::uint64_t round = 1; round <= 60; ++round) {
      const auto stored =
        store.written_.empty() ? std::map<std::uint32_t, ShardRow>{} : StoredRows(store);
      const ShardRow expected = stored.contains(0) ? stored.at(0) : Absent(0);
      for (std::size_t i = 0; i < clients.size(); ++i) {
        const ShardRow next = Row(0, std::to_string(i), expected.token_ + 1);
        clients[i]->rows_.Commit({ round, expected, next });
      }
      store.Run();
      for (std::size_t i = 0; i < clients.size(); ++i) {
        BOOST_REQUIRE(clients[i]->outcomes_.contains(round));
        if (clients[i]->outcomes_[round].outcome_ == CommitOutcome::Success) {
          BOOST_REQUIRE(winners.emplace(expected.token_ + 1, std::to_string(i)).second);
        }
      }
    }
    std::uint64_t token = 0;
    for (const auto& [revision, text] : store.written_) {
      const auto rows = DecodeChunk("booking", text);
      BOOST_REQUIRE(rows->at(0).token_ == ++token);
    }
    BOOST_TEST(winners.size() > 20U);
  }
}
