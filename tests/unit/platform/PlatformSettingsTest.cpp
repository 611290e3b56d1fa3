#include "platform/PlatformSettings.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace redwing;
using namespace redwing::platform;
using Json = nlohmann::json;

namespace {

Json
Settings()
{
  return Json::parse(R"({
    "nodeName":"sidecar-a-1","ipAddress":"10.1.0.11","zone":"a","region":"north",
    "zones":{"a":"north","b":"north"},
    "listenAddresses":{"outbound":"10.1.0.11:8365","ready":"10.1.0.11:8369",
                       "controlPlane":"10.1.0.11:8367"},
    "internalPortRange":[7780,7795],"heartbeatIntervalMs":870,
    "bounds":{"holdMaxMs":10000,"drainTimeoutMs":2000,"evacuationMs":5000,"gracePeriodS":6,
              "quotaWindowS":5,"quotaOvershoot":0.1,"quotaSlack":20,"retryBudgetRatio":0.2},
    "applicationAddress":"10.1.0.11:8363","service":"desk",
    "platformConfig":{"address":"10.200.1.7:8362"}})");
}

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsFile)

// Guards against bounds that are read in the wrong unit.
BOOST_AUTO_TEST_CASE(IsDecoded)
{
  const auto settings = DecodeSettings(Settings().dump());
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings->callersAddress_.ToString() == "10.1.0.11:8365");
  BOOST_TEST(settings->storeAddress_.ToString() == "10.200.1.7:8362");
  BOOST_TEST(settings->gracePeriod_.count() == 6000);
  BOOST_TEST(settings->allowanceWindow_.count() == 5000);
  BOOST_TEST(settings->longestHold_.count() == 10000);
  BOOST_TEST(settings->dataCentres_.size() == 2U);
  BOOST_TEST(settings->firstPort_ == 7780U);
  BOOST_TEST(settings->processors_ == 0);
  Json limited = Settings();
  limited["limits"] = { { "cpuShare", 0.5 }, { "cpuCores", 3 } };
  BOOST_TEST(DecodeSettings(limited.dump())->processors_ == 1.5);
  limited["limits"] = { { "cpuShare", -0.5 } };
  BOOST_TEST(!DecodeSettings(limited.dump()).has_value());
}

// Guards against deployments that cannot start because bounds are required that belong to contracts
// which they do not have, and against missing bounds that go unnoticed where the contract is there.
BOOST_AUTO_TEST_CASE(BoundsFollowTheContracts)
{
  const Json allowances{ { "quotaWindowS", 4 }, { "quotaOvershoot", 0.1 }, { "quotaSlack", 20 } };
  const Json rollouts{ { "exposureShare", 0.1 }, { "exposureSlack", 50 }, { "rollbackMs", 5000 } };
  for (const bool hasAllowances : { false, true }) {
    for (const bool hasRollouts : { false, true }) {
      Json settings = Settings();
      settings["contracts"] = { "base", "drain", "own", "pressure", "platform" };
      for (const char* name : { "quotaWindowS", "quotaOvershoot", "quotaSlack" }) {
        settings["bounds"].erase(name);
      }
      if (hasAllowances) {
        settings["contracts"].push_back("quota");
        BOOST_TEST(!DecodeSettings(settings.dump()).has_value());
        settings["bounds"].update(allowances);
      }
      if (hasRollouts) {
        settings["contracts"].push_back("rollout");
        BOOST_TEST(!DecodeSettings(settings.dump()).has_value());
        settings["bounds"].update(rollouts);
      }
      const auto decoded = DecodeSettings(settings.dump());
      BOOST_REQUIRE(decoded.has_value());
      BOOST_TEST(decoded->allowanceWindow_.count() == (hasAllowances ? 4000 : 5000));
      BOOST_TEST(decoded->rollouts_.enabled_ == hasRollouts);
      BOOST_TEST(decoded->rollouts_.exposureSlack_ == (hasRollouts ? 50 : 0));
      BOOST_TEST(decoded->rollouts_.rollbackTime_.count() == (hasRollouts ? 5000 : 0));
    }
  }
}

// Guards against limits of the machine that are read in the wrong unit.
BOOST_AUTO_TEST_CASE(LimitsOfTheMachine)
{
  Json settings = Settings();
  settings["limits"] = { { "memoryMb", 160 }, { "fileDescriptors", 4100 }, { "linkMbps", 12.5 } };
  const auto decoded = DecodeSettings(settings.dump());
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->memoryBytes_ == 160U * 1024 * 1024);
  BOOST_TEST(decoded->descriptors_ == 4100U);
  BOOST_TEST(decoded->linkBitsPerSecond_ == 12.5e6);
}

// Guards against settings of which only the first fault is reported.
BOOST_AUTO_TEST_CASE(ReportsAllFindingsTogether)
{
  Json broken = Settings();
  broken.erase("service");
  broken["listenAddresses"]["ready"] = "nowhere";
  broken["bounds"]["gracePeriodS"] = "six";
  broken["internalPortRange"] = { 7795, 7780 };
  const auto settings = DecodeSettings(broken.dump());
  BOOST_REQUIRE(!settings.has_value());
  for (const char* place :
       { "/service", "/listenAddresses/ready", "/bounds/gracePeriodS", "/internalPortRange" }) {
    const bool found =
      std::any_of(settings.error().begin(), settings.error().end(), [&](const Finding& aFinding) {
        return aFinding.place_ == place;
      });
    BOOST_TEST(found, place);
  }
  BOOST_TEST(!DecodeSettings("{").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
