#include "platform/ManifestDecoder.hpp"

#include "core/Hash.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace redwing;
using namespace redwing::platform;
using Json = nlohmann::json;

namespace {

Json
Manifest()
{
  return Json::parse(R"({
    "version": "r7",
    "routes": [
      {"name":"book","host":"Desk.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":800,
       "targetLatencyMs":400,"priority":1,"service":"desk","maxAttempts":1,"allowAnonymous":false},
      {"name":"look","host":"desk.example","pathPrefix":"/look/","kind":"safe","timeoutMs":1000,
       "targetLatencyMs":300,"priority":2,"maxAttempts":3,"allowAnonymous":true,"unknown":[1],
       "trafficSplit":[{"service":"desk","weight":90},{"service":"records","weight":10}]}],
    "services": [
      {"name":"desk","healthCheckPath":"/health","maxConnections":130,"protocol":"h1","tls":false,
       "coldStartS":3.0,"coldPerS":14.0,"sharded":true,"warmupS":2.0,"grants":"heartbeat"},
      {"name":"records","healthCheckPath":"/health","maxConnections":80}],
    "limits": {"maxHeaderBytes":16384},
    "tenants": [{"name":"w","apiKeys":["key-1","key-2"],"priority":0,"ratePerS":94,"burstSize":90}]
  })");
}

/// Returns a list of objects as a table: the names once, and a row for each object.
Json
ToTable(const Json& aList)
{
  Json columns = Json::array();
  for (const Json& item : aList) {
    for (const auto& member : item.items()) {
      if (std::find(columns.begin(), columns.end(), member.key()) == columns.end()) {
        columns.push_back(member.key());
      }
    }
  }
  Json rows = Json::array();
  for (const Json& item : aList) {
    Json row = Json::array();
    for (const Json& column : columns) {
      row.push_back(item.value(column.get<std::string>(), Json()));
    }
    rows.push_back(std::move(row));
  }
  return { { "columns", std::move(columns) }, { "rows", std::move(rows) } };
}

Findings
Decode(const Json& aManifest)
{
  const auto decoded = DecodeManifest(aManifest.dump());
  return decoded ? Findings{} : decoded.error();
}

} // namespace

BOOST_AUTO_TEST_SUITE(Manifests)

// Guards against a manifest without tenants that is rejected, and against routes with large answers
// that are taken for ones that must not be repeated.
BOOST_AUTO_TEST_CASE(DownloadsWithoutTenants)
{
  Json manifest = Manifest();
  manifest.erase("tenants");
  manifest["routes"][0]["kind"] = "download";
  manifest["limits"] = { { "maxHeaderBytes", 16384 },
                         { "maxBodyBytes", 67108864 },
                         { "headerTimeoutMs", 3000 },
                         { "idleTimeoutMs", 15000 } };
  const auto decoded = DecodeManifest(manifest.dump());
  BOOST_REQUIRE(decoded.has_value());
  const Configuration& configuration = decoded->configuration_;
  BOOST_TEST(configuration.routes_[0].largeAnswers_);
  BOOST_TEST(configuration.routes_[0].idempotent_);
  BOOST_TEST(configuration.routes_[0].open_);
  BOOST_TEST(!configuration.routes_[1].largeAnswers_);
  BOOST_TEST(configuration.callerLimits_.headerBytes_ == 16384U);
  BOOST_TEST(configuration.callerLimits_.bodyBytes_ == 67108864U);
  BOOST_TEST(configuration.callerLimits_.headerTimeout_.count() == 3000);
  BOOST_TEST(configuration.callerLimits_.idleTimeout_.count() == 15000);
}

// Guards against a manifest whose meaning changes on its way into the product's configuration.
BOOST_AUTO_TEST_CASE(BecomesAConfiguration)
{
  const auto decoded = DecodeManifest(Manifest().dump());
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->revision_ == 7U);
  const Configuration& configuration = decoded->configuration_;
  BOOST_REQUIRE(configuration.routes_.size() == 2);
  const Route& book = configuration.routes_[0];
  BOOST_TEST(book.host_ == "desk.example");
  BOOST_TEST(!book.idempotent_);
  BOOST_TEST(book.maxAttempts_ == 1U);
  BOOST_TEST(book.timeout_.count() == 800);
  BOOST_TEST(book.targetLatency_.count() == 400);
  BOOST_CHECK(book.keySource_ == KeySource::Header);
  const Route& look = configuration.routes_[1];
  BOOST_TEST(look.open_);
  BOOST_TEST(look.idempotent_);
  BOOST_REQUIRE(look.split_.size() == 2);
  BOOST_TEST(look.split_[0].weight_ == 90U);
  BOOST_REQUIRE(configuration.services_.size() == 2);
  BOOST_CHECK(configuration.services_[0].mode_ == ServiceMode::Keyed);
  BOOST_CHECK(configuration.services_[0].keyMapping_ == KeyMapping::Numeric);
  BOOST_TEST(configuration.services_[0].coldStart_.perSecond_ == 14.0);
  BOOST_TEST(configuration.services_[0].connections_ == 130U);
  BOOST_CHECK(configuration.services_[1].mode_ == ServiceMode::Pooled);
  BOOST_REQUIRE(configuration.keys_.size() == 2);
  BOOST_TEST(configuration.keys_[0].hash_ == ToHex(Sha256("key-1")));
  BOOST_TEST(configuration.workspaces_[0].rate_ == 94.0);
  BOOST_TEST(int{ *configuration.workspaces_[0].priority_ } == 0);
}

// Guards against a damaged manifest that is taken for a valid one, and against findings without
// their place.
BOOST_AUTO_TEST_CASE(ReportsWhatIsInvalid)
{
  const std::vector<std::pair<std::string, std::string>> cases{
    { R"({"op":"replace","path":"/version","value":"7"})", "/version" },
    { R"({"op":"replace","path":"/routes/0/kind","value":"odd"})", "/routes/0/kind" },
    { R"({"op":"remove","path":"/routes/0/timeoutMs"})", "/routes/0/timeoutMs" },
    { R"({"op":"replace","path":"/routes/0/timeoutMs","value":-1})", "/routes/0/timeoutMs" },
    { R"({"op":"remove","path":"/routes/0/host"})", "/routes/0/host" },
    { R"({"op":"replace","path":"/routes/0/service","value":"none"})", "/routes/0/service" },
    { R"({"op":"replace","path":"/routes/0/pathPrefix","value":"/book"})", "/routes/0/pathPrefix" },
    { R"({"op":"replace","path":"/routes/1/trafficSplit/1/weight","value":"x"})",
      "/routes/1/trafficSplit/1/weight" },
    { R"({"op":"replace","path":"/tenants/0/apiKeys","value":["key-1","key-1"]})",
      "/tenants/0/apiKeys" },
    { R"({"op":"replace","path":"/services","value":{}})", "/services" },
  };
  for (const auto& [patch, place] : cases) {
    Json manifest = Manifest();
    manifest = manifest.patch(Json::array({ Json::parse(patch) }));
    const Findings findings = Decode(manifest);
    BOOST_REQUIRE_MESSAGE(!findings.empty(), patch);
    BOOST_TEST(findings.front().place_ == place, patch << " gave " << findings.front().place_);
  }
}

// Guards against a manifest that is cut short.
BOOST_AUTO_TEST_CASE(RejectsEveryPrefix)
{
  const std::string text = Manifest().dump();
  for (std::size_t length = 0; length < text.size(); ++length) {
    BOOST_REQUIRE(!DecodeManifest(std::string_view(text).substr(0, length)).has_value());
  }
}

// Guards against a manifest whose meaning depends on whether its entries are objects or rows.
BOOST_AUTO_TEST_CASE(TablesMeanTheSameAsLists)
{
  Json manifest = Manifest();
  const auto lists = DecodeManifest(manifest.dump());
  for (const char* name : { "routes", "services", "tenants" }) {
    manifest[name] = ToTable(manifest[name]);
  }
  const auto tables = DecodeManifest(manifest.dump());
  BOOST_REQUIRE(lists.has_value());
  BOOST_REQUIRE(tables.has_value());
  BOOST_TEST((tables->configuration_ == lists->configuration_));
}

// Guards against reading beyond a short row, and against a table that is taken for an empty list.
BOOST_AUTO_TEST_CASE(MalformedTablesAreFindings)
{
  const Json whole = ToTable(Manifest()["routes"]);
  std::vector<Json> tables(7, whole);
  tables[0].erase("columns");
  tables[1].erase("rows");
  tables[2]["columns"][0] = 7;
  tables[3]["rows"][0].erase(0);
  tables[4]["rows"][1] = Json::object();
  tables[5]["rows"] = "none";
  tables[6]["columns"].push_back("more");
  for (const Json& table : tables) {
    Json manifest = Manifest();
    manifest["routes"] = table;
    BOOST_TEST(!Decode(manifest).empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()
