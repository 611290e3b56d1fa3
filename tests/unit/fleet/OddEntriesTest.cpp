#include "FleetFixture.hpp"
#include "fleet/MemberRecord.hpp"
#include "support/LogSink.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

using namespace redwing;
using namespace redwing::test;
using Json = nlohmann::json;

/// Entries among those of the instances that another writer has left.
namespace {

Json
Record(const std::string& aId)
{
  return { { "id", aId },
           { "incarnation", 7 },
           { "peers", "127.0.0.1:1" },
           { "dataCentre", "here" },
           { "region", "" },
           { "service", "desk" },
           { "slots", 4 },
           { "state", "ready" },
           { "leaving", false },
           { "life", "s@1" },
           { "epoch", 0 },
           { "carried", false } };
}

std::string
Nested(char aOpen, char aClose)
{
  constexpr std::size_t kDepth = 100'000;
  std::string text = aOpen == '{' ? std::string() : std::string(kDepth, aOpen);
  for (std::size_t i = 0; aOpen == '{' && i < kDepth; ++i) {
    text.append("{\"a\":");
  }
  return text.append("0").append(kDepth, aClose);
}

/// Returns records that are not those of an instance.
std::vector<std::string>
OddRecords()
{
  std::vector<std::string> texts{ "",
                                  "null",
                                  "\xff\xfe",
                                  "[1,2",
                                  Nested('[', ']'),
                                  Nested('{', '}'),
                                  std::string(1'000'000, '7'),
                                  "\"" + std::string(1'000'000, 'x') };
  const std::vector<std::pair<const char*, Json>> odd{
    { "slots", 4294967296ULL }, { "slots", -1 },
    { "slots", 1e300 },         { "slots", 1.5 },
    { "incarnation", -1 },      { "incarnation", 1e300 },
    { "incarnation", "7" },     { "epoch", -1 },
    { "epoch", 1e300 },         { "peers", "10.0.0.1:70000" },
    { "peers", "10.0.0.1:0" },  { "peers", "10.0.0.1:-1" },
    { "peers", "nowhere:1" },   { "peers", 7 },
    { "state", "odd" },         { "id", Json::object() }
  };
  for (const auto& [name, value] : odd) {
    Json record = Record("z");
    record[name] = value;
    texts.push_back(record.dump());
  }
  Json nested = Record("z");
  texts.push_back(nested.dump().replace(1, 0, "\"more\":1e999,"));
  return texts;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(OddEntries, Fleet)

// Guards against records with numbers that are cut to fit, and against records that end the
// process.
BOOST_AUTO_TEST_CASE(OddRecordsAreErrors)
{
  BOOST_TEST(MemberRecord::Parse(Record("z").dump()).has_value());
  for (const std::string& text : OddRecords()) {
    const auto record = MemberRecord::Parse(text);
    BOOST_TEST(!record.has_value(), text.substr(0, 200));
    if (!record) {
      BOOST_TEST(record.error().size() < 500U);
    }
  }
  // What it does not name is ignored, however deep.
  std::string deep = Record("z").dump();
  BOOST_TEST(
    MemberRecord::Parse(deep.replace(1, 0, "\"more\":" + Nested('[', ']') + ",")).has_value());
}

// Guards against tables that ask for more memory than there is, and numbers that are cut to fit.
BOOST_AUTO_TEST_CASE(OddTablesAreErrors)
{
  const auto table = [](const Json& aShards, const Json& aLast, const Json& aToken) {
    return Json{
      { "shards", aShards },
      { "token", aToken },
      { "runs", Json::array({ Json::array({ 0, aLast, "", "", 0, "", "" }) }) }
    }.dump();
  };
  BOOST_TEST(ShardTable::Parse(table(64, 63, 1)).has_value());
  for (const std::string& text : { table(4294967295U, 4294967294U, 1),
                                   table(4294967360ULL, 63, 1),
                                   table(64, 4294967359ULL, 1),
                                   table(65537, 65536, 1),
                                   table(0, 0, 1),
                                   table(64, 63, 1e300),
                                   table(64, 63, -1),
                                   Nested('[', ']'),
                                   Nested('{', '}') }) {
    BOOST_TEST(!ShardTable::Parse(text).has_value(), text.substr(0, 200));
  }
}

// Guards against an odd entry that hides the good ones, stops the watch, or fills the log.
BOOST_AUTO_TEST_CASE(GoodEntriesAreFollowedBesideOddOnes)
{
  const LogSink sink;
  Node& one = Add("a");
  const auto write = [&](const std::string& aKey, const std::string& aValue) {
    StoreTransaction transaction;
    transaction.writes_.push_back({ aKey, aValue, 0 });
    store_.Commit(transaction, [](const StoreResult<StoreTransactionResult>&) {});
  };
  int count = 0;
  for (const std::string& text : OddRecords()) {
    write("redwing/members/record/odd" + std::to_string(++count), text);
    write("redwing/members/odd" + std::to_string(count), text);
  }
  write("redwing/members/record/", Record("").dump());
  // The record of another instance, under a key of its own.
  write("redwing/members/record/other", Record("a").dump());
  write("redwing/shards/odd", Nested('[', ']'));
  Node& other = Add("b");
  Settle(one, other);
  for (int round = 0; round < 5; ++round) {
    write("redwing/members/record/last", Record("last").dump().append(round, ' '));
    BOOST_REQUIRE(RunUntil([&] { return one.view_.Get()->members_.contains("last"); }));
  }
  const auto& members = one.view_.Get()->members_;
  BOOST_TEST(members.contains("b"));
  BOOST_TEST(!members.contains(""));
  BOOST_TEST(!members.contains("z"));
  BOOST_TEST(members.at("a").ref_.incarnation_ == 1U);
  const auto logged = std::count_if(sink.lines_.begin(), sink.lines_.end(), [](const auto& aLine) {
    return aLine.find("_invalid") != std::string::npos;
  });
  // Both instances log each odd record, and the odd table, once.
  BOOST_TEST(logged <= 2 * (count + 3));
  BOOST_TEST(logged >= count);
}

BOOST_AUTO_TEST_SUITE_END()
