#include "config/ConfigurationMerge.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;

// Guards against references between files being refused, and findings that name the wrong file.
BOOST_AUTO_TEST_CASE(FilesAreJoinedAndFindingsNameTheirFile)
{
  const std::string workspaces =
    R"({"version":1,"workspaces":[{"id":"a","rate":1,"burst":1},{"id":"b","rate":1,"burst":1}]})";
  const std::string hash(64, '0');
  const auto keys = [&](const std::string& aWorkspace) {
    return R"({"version":1,"keys":[{"id":"k","workspace":")" + aWorkspace + R"(","hash":")" + hash +
           R"("}]})";
  };
  const auto merged = ConfigurationMerge::Merge({ { "w", workspaces }, { "k", keys("b") } });
  BOOST_REQUIRE(merged.has_value());
  BOOST_TEST(merged->keys_.size() == 1U);
  const auto refused = ConfigurationMerge::Merge(
    { { "w", workspaces }, { "k", keys("c") }, { "w2", workspaces }, { "x", "{" } });
  BOOST_REQUIRE(!refused.has_value());
  std::vector<std::string> places;
  for (const Finding& finding : refused.error()) {
    places.push_back(finding.place_);
  }
  BOOST_TEST(
    (places == std::vector<std::string>{
                 "x#", "w2#/workspaces/0/id", "w2#/workspaces/1/id", "k#/keys/0/workspace" }));
  BOOST_TEST(refused.error()[1].message_ == "duplicate of w#/workspaces/0/id");
}
