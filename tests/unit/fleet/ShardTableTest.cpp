#include "fleet/ShardTable.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;

BOOST_AUTO_TEST_SUITE(ShardTables)

// Guards against a token that does not rise with each change of the holder.
BOOST_AUTO_TEST_CASE(EachAssignmentHasAHigherToken)
{
  ShardTable table(100);
  table.Assign(0, 99, { "a", "s1" });
  const std::uint64_t first = table.At(50).token_;
  table.Assign(40, 59, { "b", "s2" }, "h");
  BOOST_TEST(table.At(50).token_ > first);
  BOOST_TEST(table.At(39).token_ == first);
  BOOST_TEST(table.At(60).token_ == first);
  BOOST_TEST(table.At(50).handover_ == "h");
  BOOST_TEST(table.Runs().size() == 3U);
}

// Guards against a table that changes on its way through the store.
BOOST_AUTO_TEST_CASE(SurvivesARoundTrip)
{
  ShardTable table(64);
  table.Assign(0, 31, { "a", "s1@5" });
  table.Assign(32, 63, { "b", "s2@6" }, "token \"x\"");
  table.SetSuccessor(10, 40, "c");
  const auto read = ShardTable::Parse(table.ToText());
  BOOST_REQUIRE(read.has_value());
  BOOST_CHECK(*read == table);
  ShardTable next = *read;
  next.Assign(0, 0, { "d", "s3" });
  BOOST_TEST(next.At(0).token_ > table.At(32).token_);
}

// Guards against a damaged document that leaves shards without a row or in two rows.
BOOST_AUTO_TEST_CASE(RejectsDamagedDocuments)
{
  for (const char* text :
       { "",
         "[]",
         R"({"shards":4,"token":1})",
         R"({"shards":4,"token":1,"runs":[]})",
         R"({"shards":4,"token":1,"runs":[[0,2,"a","l",1,"",""]]})",
         R"({"shards":4,"token":1,"runs":[[0,4,"a","l",1,"",""]]})",
         R"({"shards":4,"token":1,"runs":[[1,3,"a","l",1,"",""]]})",
         R"({"shards":4,"token":1,"runs":[[0,3,"a","l",2,"",""]]})",
         R"({"shards":4,"token":1,"runs":[[0,3,"a","l",1,""]]})",
         R"({"shards":4,"token":1,"runs":[[0,1,"","",0,"",""],[1,3,"","",0,"",""]]})" }) {
    BOOST_TEST(!ShardTable::Parse(text).has_value(), text);
  }
}

// Guards against neighbouring runs that stay apart though nothing tells them apart.
BOOST_AUTO_TEST_CASE(MergesRunsWhoseSuccessorIsTakenBack)
{
  ShardTable table(10);
  table.Assign(0, 9, { "a", "s" });
  table.SetSuccessor(3, 5, "b");
  BOOST_TEST(table.Runs().size() == 3U);
  table.SetSuccessor(3, 5, "");
  BOOST_TEST(table.Runs().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
