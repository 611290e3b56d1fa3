#include "fleet/ShardTable.hpp"

#include "core/Random.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;

BOOST_AUTO_TEST_SUITE(ShardTables)

// Guards against a fencing token that does not increase with each change of the holder.
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

// Guards against losing state when a table is serialised to and parsed from its stored form.
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

// Guards against a copy of the table that diverges from the stored one when only the changes are
// sent, so that a fencing token could be issued twice.
BOOST_AUTO_TEST_CASE(ChangesTurnOneTableIntoTheNext)
{
  constexpr std::uint32_t kShards = 64;
  Random random(3);
  ShardTable stored(kShards);
  ShardTable replica(kShards);
  for (int step = 0; step < 2000; ++step) {
    ShardTable next = stored;
    const std::size_t edits = 1 + random.Below(4);
    for (std::size_t edit = 0; edit < edits; ++edit) {
      const auto first = static_cast<std::uint32_t>(random.Below(kShards));
      const auto last = first + static_cast<std::uint32_t>(random.Below(kShards - first));
      const std::string name(1, static_cast<char>('a' + random.Below(5)));
      if (random.Below(2) == 0) {
        next.Assign(first, last, { name, "s" }, random.Below(2) == 0 ? "h" : "");
      } else {
        next.SetSuccessor(first, last, random.Below(3) == 0 ? std::string() : name);
      }
    }
    BOOST_REQUIRE(replica.Apply(stored.ChangesTo(next)));
    stored = next;
    for (std::uint32_t shard = 0; shard < kShards; ++shard) {
      BOOST_REQUIRE(replica.At(shard).SameState(stored.At(shard)));
    }
    // Both tables also issue the same next token.
    ShardTable left = replica;
    ShardTable right = stored;
    left.Assign(0, 0, { "z", "s" });
    right.Assign(0, 0, { "z", "s" });
    BOOST_REQUIRE(left.At(0).token_ == right.At(0).token_);
  }
}

// Guards against changes from another instance that exceed the range of shards.
BOOST_AUTO_TEST_CASE(RejectsChangesOutsideTheTable)
{
  ShardTable table(8);
  table.Assign(0, 7, { "a", "s1" });
  const ShardTable before = table;
  const std::vector<ShardRun> beyond{ { 0, 1, { "b", "s2" }, 2, {}, {} },
                                      { 4, 8, { "b", "s2" }, 3, {}, {} } };
  BOOST_TEST(!table.Apply(beyond));
  BOOST_CHECK(table == before);
  const std::vector<ShardRun> reversed{ { 5, 4, { "b", "s2" }, 2, {}, {} } };
  BOOST_TEST(!table.Apply(reversed));
}

// Guards against a corrupt document in which a shard is in no run or in two runs.
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

// Guards against adjacent runs with the same state that are not merged.
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
