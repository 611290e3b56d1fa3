#include "routing/RouteTable.hpp"

#include "config/SelectorMatcher.hpp"
#include "routing/ShardMap.hpp"

#include <array>
#include <boost/test/unit_test.hpp>

using namespace redwing;

namespace {

std::shared_ptr<const ConfigurationRevision>
Revision()
{
  auto revision = std::make_shared<ConfigurationRevision>();
  revision->configuration_.services_ = { { "s", ServiceMode::Pooled, 0, {} } };
  auto add = [&](const char* aPrefix, std::vector<std::string> aMethods, const char* aService) {
    Route route;
    route.id_ = route.pathPrefix_ = aPrefix;
    route.methods_ = std::move(aMethods);
    route.service_ = aService;
    revision->configuration_.routes_.push_back(route);
  };
  add("/", {}, "s");
  add("/ducts", {}, "s");
  add("/ducts/free", { "GET" }, "s");
  add("/lost", {}, "unknown");
  revision->configuration_.routes_[1].workspaces_ = { "desk" };
  return revision;
}

} // namespace

// Guards against a request that reaches the route of another resource.
BOOST_AUTO_TEST_CASE(LongestPrefixOnSegmentBoundariesWins)
{
  const RouteTable table(Revision());
  const auto match = [&](std::string_view aMethod, std::string_view aPath) {
    const RouteEntry* entry = table.Match(aMethod, aPath);
    return entry == nullptr ? std::string("none") : entry->route_->id_;
  };
  BOOST_TEST(match("GET", "/ducts/free") == "/ducts/free");
  BOOST_TEST(match("GET", "/ducts/free/7") == "/ducts/free");
  BOOST_TEST(match("POST", "/ducts/free/7") == "/ducts");
  BOOST_TEST(match("GET", "/ducts/freely") == "/ducts");
  BOOST_TEST(match("GET", "/ductsx") == "/");
  BOOST_TEST(match("GET", "/lost/1") == "/");
  BOOST_TEST(match("GET", "/") == "/");
  const RouteEntry* ducts = table.Match("GET", "/ducts");
  BOOST_TEST(RouteTable::Allows(*ducts, "desk"));
  BOOST_TEST(!RouteTable::Allows(*ducts, "other"));
}

// Guards against two spellings of a key that reach different owners.
BOOST_AUTO_TEST_CASE(KeySegmentsAreDecoded)
{
  BOOST_TEST(PathSegment("/book/a%2Fb/x", 1).value() == "a/b");
  BOOST_TEST(ShardOf(*PathSegment("/book/%41", 1), 64) == ShardOf("A", 64));
  BOOST_CHECK(!PathSegment("/book", 1));
  BOOST_CHECK(!PathSegment("/book/", 1));
  BOOST_CHECK(!PathSegment("/book/%4", 1));
  BOOST_TEST(HasDotSegment("/a/%2e%2E/b"));
  BOOST_TEST(HasDotSegment("/a/."));
  BOOST_TEST(!HasDotSegment("/a/..b/.c"));
}

// Guards against an uneven shard map, which would overload single owners.
BOOST_AUTO_TEST_CASE(ShardsAreEven)
{
  constexpr std::uint32_t kShards = 16;
  constexpr int kKeys = 16'000;
  std::array<int, kShards> counts{};
  for (int key = 0; key < kKeys; ++key) {
    ++counts[ShardOf("key-" + std::to_string(key), kShards)];
  }
  for (const int count : counts) {
    BOOST_TEST(count > 800);
    BOOST_TEST(count < 1200);
  }
}

// Guards against traffic on servers that a selector excludes.
BOOST_AUTO_TEST_CASE(SelectorTermsMustAllHold)
{
  const Labels own{ { "disk", "ssd" }, { "zone", "own" } };
  const DataCentre dataCentre{
    "porto", "north", false, { { "zone", "shared" }, { "power", "green" } }
  };
  const SelectorSubject subject{ own, &dataCentre };
  const auto selects = [&](SelectorTerm aTerm) {
    return SelectorMatcher::Matches({ { std::move(aTerm) }, 1 }, subject);
  };
  BOOST_TEST(selects({ "disk", SelectorOperator::Equals, { "ssd" } }));
  BOOST_TEST(selects({ "zone", SelectorOperator::Equals, { "own" } }));
  BOOST_TEST(selects({ "power", SelectorOperator::In, { "grey", "green" } }));
  BOOST_TEST(!selects({ "power", SelectorOperator::NotIn, { "grey", "green" } }));
  BOOST_TEST(selects({ "data_centre", SelectorOperator::Equals, { "porto" } }));
  BOOST_TEST(selects({ "absent", SelectorOperator::NotEquals, { "x" } }));
  BOOST_TEST(!selects({ "absent", SelectorOperator::Exists, {} }));
  BOOST_TEST(selects({ "absent", SelectorOperator::NotExists, {} }));
  const Selector both{
    { { "disk", SelectorOperator::Exists, {} }, { "absent", SelectorOperator::Exists, {} } }, 1
  };
  BOOST_TEST(!SelectorMatcher::Matches(both, subject));
}
