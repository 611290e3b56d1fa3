#include "daemon/DaemonSettings.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace redwing;

namespace {

RawSettings
Valid()
{
  return { { "instance-id", "i1" },
           { "data-centre", "braga" },
           { "callers-address", "127.0.0.1:7000" },
           { "peers-address", "127.0.0.1:7001" },
           { "local-address", "127.0.0.1:7002" },
           { "store-address", "127.0.0.1:2379" },
           { "fleet-key", "0123456789abcdef" },
           { "operator-token", "fedcba9876543210" } };
}

/// Returns the places of all findings, in order.
std::vector<std::string>
Places(const RawSettings& aRaw)
{
  const auto settings = CheckSettings(aRaw);
  std::vector<std::string> places;
  if (!settings) {
    for (const Finding& finding : settings.error()) {
      places.push_back(finding.place_);
    }
  }
  return places;
}

std::string
Place(const std::string& aFlag)
{
  return "--" + aFlag + " (" + VariableOf(aFlag) + ")";
}

} // namespace

BOOST_TEST_DONT_PRINT_LOG_VALUE(std::vector<std::string>)

// Guards against valid settings that are refused and against defaults that change.
BOOST_AUTO_TEST_CASE(ValidSettingsAreTakenWithDefaults)
{
  const auto settings = CheckSettings(Valid());
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings->region_ == "default");
  BOOST_TEST((settings->advertisedAddress_ == settings->peersAddress_));
  BOOST_TEST((settings->logLevel_ == LogLevel::Info));
  BOOST_TEST(settings->routing_.hedging_);
}

// Guards against limits that are misread or taken for others, and against ones that are no numbers.
BOOST_AUTO_TEST_CASE(LimitsAreCounts)
{
  RawSettings raw = Valid();
  BOOST_TEST(CheckSettings(raw)->limits_.memoryBytes_ == 0U);
  raw["memory-mb"] = "300";
  raw["file-descriptors"] = "4100";
  const auto settings = CheckSettings(raw);
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings->limits_.memoryBytes_ == 300U * 1024 * 1024);
  BOOST_TEST(settings->limits_.descriptors_ == 4100U);
  for (const char* text : { "0", "-1", "1.5", "64M", "4294967296" }) {
    raw["memory-mb"] = text;
    BOOST_TEST(Places(raw) == std::vector<std::string>{ Place("memory-mb") });
  }
}

// Guards against an operator who has to repair settings one by one, and against messages that do
// not name both the flag and its variable.
BOOST_AUTO_TEST_CASE(AllFindingsAreReportedTogetherWithFlagAndVariable)
{
  const std::vector<std::string> required{ Place("instance-id"),     Place("data-centre"),
                                           Place("callers-address"), Place("peers-address"),
                                           Place("local-address"),   Place("store-address"),
                                           Place("fleet-key"),       Place("operator-token") };
  BOOST_TEST((Places({}) == required));
  BOOST_TEST(required[0] == "--instance-id (REDWING_INSTANCE_ID)");
  RawSettings raw = Valid();
  raw["rack"] = "r 1";
  raw["store-address"] = "store:2379";
  raw["fleet-key"] = "short";
  raw["log-level"] = "loud";
  raw["hedging"] = "maybe";
  BOOST_TEST((Places(raw) == std::vector{ Place("rack"),
                                          Place("store-address"),
                                          Place("fleet-key"),
                                          Place("log-level"),
                                          Place("hedging") }));
}

// Guards against settings that contradict each other and are found out only at run time.
BOOST_AUTO_TEST_CASE(ClashesAreFindings)
{
  RawSettings raw = Valid();
  raw["callers-address"] = raw["peers-address"];
  raw["local-address"] = raw["peers-address"];
  raw["operator-token-file"] = "/nonexistent";
  BOOST_TEST(
    (Places(raw) ==
     std::vector{ Place("operator-token"), Place("callers-address"), Place("local-address") }));
  raw = Valid();
  raw.erase("fleet-key");
  raw["fleet-key-file"] = "/nonexistent";
  BOOST_TEST((Places(raw) == std::vector{ Place("fleet-key-file") }));
}

// Guards against secrets in error messages.
BOOST_AUTO_TEST_CASE(FindingsDoNotShowSecrets)
{
  RawSettings raw = Valid();
  raw["fleet-key"] = "s3cret";
  const auto settings = CheckSettings(raw);
  BOOST_REQUIRE(!settings.has_value());
  for (const Finding& finding : settings.error()) {
    BOOST_TEST(finding.message_.find("s3cret") == std::string::npos);
  }
}

// Guards against a misspelt variable that is silently ignored.
BOOST_AUTO_TEST_CASE(UnknownVariablesAreFindings)
{
  const auto findings =
    CheckVariables({ "PATH", "REDWING_STORE_ADDRESS", "REDWING_STORE_ADRESS", "REDWING_" });
  BOOST_REQUIRE(findings.size() == 2);
  BOOST_TEST(findings[0].place_ == "REDWING_STORE_ADRESS");
  BOOST_TEST(findings[1].place_ == "REDWING_");
  BOOST_TEST(CheckVariables({ VariableOf("operator-token-file") }).empty());
}

// Guards against an instance that does not start in a shell that is set up for redwingctl.
BOOST_AUTO_TEST_CASE(VariablesOfOtherProgramsAreNoFindings)
{
  BOOST_TEST(CheckVariables({ "REDWING_INSTANCE", "REDWING_JOBS", "REDWING_TEST_JOBS" }).empty());
  BOOST_TEST(CheckVariables({ "REDWING_INSTANCES" }).size() == 1U);
}
