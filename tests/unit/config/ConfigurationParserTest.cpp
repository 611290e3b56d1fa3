#include "config/ConfigurationParser.hpp"

#include "config/ConfigurationValidator.hpp"
#include "config/ConfigurationWriter.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace redwing;

namespace {

const std::string kHash(64, 'a');

std::string
Document()
{
  return R"({"version": 1,
 "workspaces": [{"id": "retail", "rate": 100, "burst": 20.5, "weight": 2}],
 "keys": [{"id": "k1", "workspace": "retail", "hash": ")" +
         kHash + R"("}],
 "services": [{"id": "booking", "mode": "keyed", "shards": 64, "coldStart": {"initial": 2, "rampMs": 100}},
  {"id": "swing", "mode": "pooled"}],
 "routes": [{"id": "book", "pathPrefix": "/bookings", "methods": ["POST"], "service": "booking",
   "key": {"segment": 1}, "timeoutMs": 900, "workspaces": ["retail"]},
  {"id": "status", "pathPrefix": "/status", "service": "swing", "open": true, "openWorkspace": "retail",
   "idempotent": true, "priority": 0, "selectors": [{"match": "tier in (a, b), !old", "weight": 3}]}],
 "dataCentres": [{"id": "braga", "region": "pt-norte", "withdrawn": true, "labels": {"power": "green"}}]})";
}

std::string
Replace(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  const auto position = aText.find(aFrom);
  BOOST_REQUIRE_MESSAGE(position != std::string::npos, aFrom);
  return aText.replace(position, aFrom.size(), aTo);
}

std::vector<std::string>
Places(const std::string& aText)
{
  std::vector<std::string> places;
  const auto parsed = ConfigurationParser::Parse(aText);
  if (!parsed) {
    for (const Finding& finding : parsed.error()) {
      places.push_back(finding.place_);
    }
  }
  return places;
}

} // namespace

// Guards against members that are dropped or changed between the document and its canonical text.
BOOST_AUTO_TEST_CASE(DocumentSurvivesWritingAndParsing)
{
  const auto parsed = ConfigurationParser::Parse(Document());
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed->workspaces_[0].burst_ == 20.5);
  BOOST_TEST(parsed->routes_[1].selectors_[0].terms_.size() == 2U);
  const std::string text = ConfigurationWriter::Write(*parsed);
  const auto again = ConfigurationParser::Parse(text);
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST((*again == *parsed));
  BOOST_TEST(ConfigurationWriter::Write(*again) == text);
}

// Guards against each kind of mistake being accepted or reported at the wrong place.
BOOST_AUTO_TEST_CASE(EachMistakeIsReportedAtItsPlace)
{
  const struct
  {
    const char* from_;
    const char* to_;
    const char* place_;
  } cases[] = {
    { "\"version\": 1", "\"version\": 2", "/version" },
    { "\"rate\": 100", "\"rate\": 0", "/workspaces/0/rate" },
    { "\"rate\": 100", "\"rate\": \"100\"", "/workspaces/0/rate" },
    { "\"rate\": 100", "\"rate\": 1e300", "/workspaces/0/rate" },
    { "\"burst\": 20.5", "\"burst\": 0.5", "/workspaces/0/burst" },
    { "\"weight\": 2", "\"weight\": 2.5", "/workspaces/0/weight" },
    { "\"weight\": 2", "\"weigth\": 2", "/workspaces/0/weigth" },
    { "\"weight\": 2", "\"rate\": 2", "/workspaces/0/rate" },
    { "\"id\": \"retail\"", "\"id\": \"Retail!\"", "/workspaces/0/id" },
    { "\"workspace\": \"retail\"", "\"workspace\": \"nobody\"", "/keys/0/workspace" },
    { "aaaa", "AAAA", "/keys/0/hash" },
    { "\"shards\": 64, ", "", "/services/0/shards" },
    { "\"shards\": 64", "\"shards\": 65537", "/services/0/shards" },
    { "\"mode\": \"pooled\"", "\"mode\": \"pooled\", \"shards\": 4", "/services/1/shards" },
    { "\"id\": \"swing\"", "\"id\": \"booking\"", "/services/1/id" },
    { "\"rampMs\": 100", "\"rampMs\": -1", "/services/0/coldStart/rampMs" },
    { "/bookings", "bookings", "/routes/0/pathPrefix" },
    { "/bookings", "/book/../ings", "/routes/0/pathPrefix" },
    { "/status", "/bookings", "/routes/1/pathPrefix" },
    { "\"POST\"", "\"post\"", "/routes/0/methods/0" },
    { "\"segment\": 1", "\"segment\": 0", "/routes/0/key/segment" },
    { "{\"segment\": 1}", "{\"header\": \"Authorization\"}", "/routes/0/key/header" },
    { "\"segment\": 1", "\"segment\": 1, \"header\": \"X\"", "/routes/0/key" },
    { "\"workspaces\": [\"retail\"]}", "\"workspaces\": [\"x\"]}", "/routes/0/workspaces/0" },
    { "\"openWorkspace\": \"retail\"", "\"openWorkspace\": \"x\"", "/routes/1/openWorkspace" },
    { "\"service\": \"booking\"", "\"service\": \"x\"", "/routes/0/service" },
    { "\"priority\": 0", "\"priority\": 256", "/routes/1/priority" },
    { "tier in (a, b)", "tier in (a b)", "/routes/1/selectors/0/match" },
    { "\"green\"", "1", "/dataCentres/0/labels/power" },
  };
  for (const auto& item : cases) {
    const auto places = Places(Replace(Document(), item.from_, item.to_));
    BOOST_REQUIRE_MESSAGE(!places.empty(), item.place_);
    BOOST_TEST(std::count(places.begin(), places.end(), item.place_) == 1,
               item.place_ << " not found; first is " << places.front());
  }
}

// Guards against a keyed route without routing key, whose requests would have no owner.
BOOST_AUTO_TEST_CASE(RoutingKeyFitsTheServiceMode)
{
  BOOST_TEST((Places(Replace(Document(), "\"key\": {\"segment\": 1}, ", "")) ==
              std::vector<std::string>{ "/routes/0/key" }));
}

// Guards against operators correcting one mistake at a time.
BOOST_AUTO_TEST_CASE(AllFindingsAreReportedTogether)
{
  auto text = Replace(Document(), "\"rate\": 100", "\"rate\": -1");
  text = Replace(text, "\"service\": \"booking\"", "\"service\": \"x\"");
  text = Replace(text, "\"braga\"", "3");
  BOOST_TEST((Places(text) == std::vector<std::string>{
                                "/workspaces/0/rate", "/dataCentres/0/id", "/routes/0/service" }));
}

// Guards against text that is not a usable document: syntax, depth and size.
BOOST_AUTO_TEST_CASE(UnusableTextIsRefused)
{
  BOOST_TEST(Places("").size() == 1U);
  BOOST_TEST(Places("[]").size() == 1U);
  BOOST_TEST(Places("{\"version\": 1, ").size() == 1U);
  BOOST_TEST(Places("{\"version\": 1, \"x\": \"\xFF\"}").size() == 1U);
  BOOST_TEST(!Places(std::string(900000, '[')).empty());
  BOOST_TEST(!Places("{\"version\":1,\"routes\":" + std::string(9, '[') + std::string(9, ']') + "}")
                .empty());
  const auto large = ConfigurationParser::Parse(Document() + std::string(1000000, ' '));
  BOOST_REQUIRE(!large.has_value());
  BOOST_TEST(large.error()[0].message_.find("bytes") != std::string::npos);
}

// Guards against keys that move to other shards because a service's shard count changed.
BOOST_AUTO_TEST_CASE(ShardsAndModeAreFixedForTheLifetimeOfAService)
{
  const auto previous = ConfigurationParser::Parse(Document());
  const auto next =
    ConfigurationParser::Parse(Replace(Document(), "\"shards\": 64", "\"shards\": 65"));
  BOOST_REQUIRE(next.has_value());
  const Findings findings = ConfigurationValidator::Validate(*next, *previous);
  BOOST_REQUIRE(findings.size() == 1U);
  BOOST_TEST(findings[0].place_ == "/services/0/shards");
}

// Guards against one key hash being valid for two workspaces.
BOOST_AUTO_TEST_CASE(KeyHashesAreUnique)
{
  const std::string second =
    "\"}, {\"id\": \"k2\", \"workspace\": \"retail\", \"hash\": \"" + kHash + "\"}],";
  BOOST_TEST((Places(Replace(Document(), "\"}],\n \"services\"", second + "\n \"services\"")) ==
              std::vector<std::string>{ "/keys/1/hash" }));
}
