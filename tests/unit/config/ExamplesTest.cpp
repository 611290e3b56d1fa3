#include "config/ConfigurationParser.hpp"
#include "core/Hash.hpp"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

using namespace redwing;

namespace {

std::string
ReadFile(const std::string& aName)
{
  std::ifstream file(std::string(REDWING_SOURCE_DIR) + "/" + aName);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

tl::expected<Configuration, Findings>
ParseAndReport(const std::string& aText)
{
  auto parsed = ConfigurationParser::Parse(aText);
  if (!parsed) {
    for (const Finding& finding : parsed.error()) {
      BOOST_ERROR(finding.place_ + ": " + finding.message_);
    }
  }
  return parsed;
}

} // namespace

// Guards against examples and documentation that the parser refuses, and against demo keys whose
// documented plain text is wrong.
BOOST_AUTO_TEST_CASE(ExamplesAreValid)
{
  for (const char* name : { "examples/taco-certo.json", "examples/halvorsen.json" }) {
    const auto parsed = ParseAndReport(ReadFile(name));
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed->keys_.size() == 8U);
    for (const CallerKey& key : parsed->keys_) {
      BOOST_TEST(key.hash_ == ToHex(Sha256("demo-" + key.workspace_)));
    }
  }
  const std::string page = ReadFile("docs/configuration.md");
  const std::size_t begin = page.find("```json\n") + 8;
  BOOST_TEST(ParseAndReport(page.substr(begin, page.find("```", begin) - begin)).has_value());
}
