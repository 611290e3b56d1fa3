#include "fleet/MemberRecord.hpp"
#include "fleet/ShardTable.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;

BOOST_AUTO_TEST_SUITE(EpochDocuments)

// Guards against tables and records of an older build that a newer one rejects.
BOOST_AUTO_TEST_CASE(DocumentsWithoutAnEpochAreOfEpochZero)
{
  const auto table =
    ShardTable::Parse(R"({"shards":4,"token":2,"runs":[[0,3,"a","s@1",2,"",""]]})");
  BOOST_REQUIRE(table.has_value());
  BOOST_TEST(table->Epoch() == 0U);
  BOOST_TEST(table->Settled());
  const auto record = MemberRecord::Parse(
    R"({"id":"a","incarnation":1,"peers":"127.0.0.1:1","dataCentre":"d","region":"r",)"
    R"("service":"desk","slots":1,"state":"ready","leaving":false,"life":"s@1"})");
  BOOST_REQUIRE(record.has_value());
  BOOST_TEST(record->epoch_ == 0U);
  BOOST_TEST(!record->carried_);
}

// Guards against losing the epoch when documents are stored.
BOOST_AUTO_TEST_CASE(TheEpochSurvivesARoundTrip)
{
  ShardTable table(4);
  table.SetEpoch(7);
  BOOST_TEST(ShardTable::Parse(table.ToText())->Epoch() == 7U);
  table.SetSettled(false);
  BOOST_TEST(!ShardTable::Parse(table.ToText())->Settled());
  MemberRecord record;
  record.member_.peersAddress_ = { "127.0.0.1", 1 };
  record.epoch_ = 7;
  record.carried_ = true;
  BOOST_TEST(MemberRecord::Parse(record.ToText())->epoch_ == 7U);
  BOOST_TEST(MemberRecord::Parse(record.ToText())->carried_);
}

// Guards against a table whose epoch is no number and would be taken for an old one.
BOOST_AUTO_TEST_CASE(AnInvalidEpochIsRejected)
{
  BOOST_TEST(
    !ShardTable::Parse(R"({"shards":1,"token":0,"epoch":"1","runs":[[0,0,"","",0,"",""]]})"));
}

// Guards against a fencing token that a lost write may have given out before.
BOOST_AUTO_TEST_CASE(SkippedTokensAreNotGivenOut)
{
  ShardTable table(4);
  table.Assign(0, 1, { "a", "s" });
  ShardTable kept = table;
  kept.SkipTokens(100, false);
  BOOST_TEST(kept.At(0).token_ == 1U);
  kept.Assign(2, 3, { "b", "s" });
  BOOST_TEST(kept.At(2).token_ == 102U);
  table.SkipTokens(100, true);
  BOOST_TEST(table.At(0).token_ == 101U);
  BOOST_TEST(table.At(2).token_ == 0U);
  BOOST_CHECK(ShardTable::Parse(table.ToText()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
