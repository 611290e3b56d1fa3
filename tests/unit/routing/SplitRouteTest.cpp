#include "routing/RouteTable.hpp"
#include "routing/ShardMap.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;

namespace {

Route
MakeRoute(const char* aId, const char* aHost, const char* aPrefix)
{
  Route route;
  route.id_ = aId;
  route.host_ = aHost;
  route.pathPrefix_ = aPrefix;
  route.service_ = "desk";
  return route;
}

RouteTable
MakeTable(std::vector<Route> aRoutes)
{
  auto revision = std::make_shared<ConfigurationRevision>();
  Service desk;
  desk.id_ = "desk";
  Service lab;
  lab.id_ = "lab";
  revision->configuration_.services_ = { desk, lab };
  revision->configuration_.routes_ = std::move(aRoutes);
  return RouteTable(revision);
}

} // namespace

BOOST_AUTO_TEST_SUITE(HostsAndSplits)

// Guards against a route of one host that takes requests of another.
BOOST_AUTO_TEST_CASE(RoutesBelongToTheirHost)
{
  const RouteTable table = MakeTable({ MakeRoute("a", "a.example", "/x/"),
                                       MakeRoute("b", "b.example", "/x/"),
                                       MakeRoute("any", "", "/any") });
  BOOST_TEST(table.Match("GET", "/x/1", "a.example")->route_->id_ == "a");
  BOOST_TEST(table.Match("GET", "/x/1", "b.example")->route_->id_ == "b");
  BOOST_TEST((table.Match("GET", "/x/1", "c.example") == nullptr));
  BOOST_TEST(table.Match("GET", "/any/1", "a.example")->route_->id_ == "any");
}

// Guards against a prefix with a final slash that matches the path without it.
BOOST_AUTO_TEST_CASE(APrefixWithSlashNeedsTheSlash)
{
  const RouteTable table = MakeTable({ MakeRoute("a", "", "/x/"), MakeRoute("b", "", "/x/y/") });
  BOOST_TEST((table.Match("GET", "/x") == nullptr));
  BOOST_TEST(table.Match("GET", "/x/")->route_->id_ == "a");
  BOOST_TEST(table.Match("GET", "/x/y")->route_->id_ == "a");
  BOOST_TEST(table.Match("GET", "/x/y/1")->route_->id_ == "b");
}

// Guards against a split route whose parts lead to the wrong services.
BOOST_AUTO_TEST_CASE(SplitRoutesHaveAPartForEachService)
{
  Route route = MakeRoute("a", "", "/x/");
  route.service_.clear();
  route.split_ = { { "desk", 90 }, { "lab", 10 } };
  const RouteTable table = MakeTable({ route });
  const RouteEntry* entry = table.Match("GET", "/x/1");
  BOOST_REQUIRE((entry != nullptr));
  BOOST_REQUIRE(entry->parts_.size() == 2);
  BOOST_TEST(entry->parts_[0].route_->service_ == "desk");
  BOOST_TEST(entry->parts_[1].service_->id_ == "lab");
}

// Guards against numeric keys that fall into the wrong range, or into none.
BOOST_AUTO_TEST_CASE(NumericKeysMapToRanges)
{
  Service service;
  service.keyMapping_ = KeyMapping::Numeric;
  service.shards_ = 2048;
  BOOST_TEST(*ShardOf("0", service) == 0U);
  BOOST_TEST(*ShardOf("31", service) == 0U);
  BOOST_TEST(*ShardOf("32", service) == 1U);
  BOOST_TEST(*ShardOf("65535", service) == 2047U);
  for (const char* key : { "", "65536", "-1", "1x", " 1", "99999999999" }) {
    BOOST_TEST(!ShardOf(key, service).has_value(), key);
  }
}

BOOST_AUTO_TEST_SUITE_END()
