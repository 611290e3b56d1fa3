#include "config/SelectorMatcher.hpp"
#include "config/SelectorParser.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;

// Guards against a selector that chooses other backend servers than its text says.
BOOST_AUTO_TEST_CASE(SelectorsMatchAsWritten)
{
  const Labels labels{ { "tier", "gold" }, { "gpu", "" }, { "region", "elsewhere" } };
  const DataCentre dataCentre{
    "braga", "pt-norte", false, { { "tier", "base" }, { "hall", "2" } }
  };
  const SelectorSubject subject{ labels, &dataCentre };
  const std::pair<const char*, bool> cases[] = {
    { "tier = gold", true },
    { "tier=base", false },
    { "tier != gold", false },
    { "absent != x", true },
    { "tier in (silver, gold)", true },
    { "tier notin (silver,gold)", false },
    { "absent notin (x)", true },
    { "absent in (x)", false },
    { "gpu", true },
    { "absent", false },
    { "!gpu", false },
    { "!absent", true },
    { "hall = 2", true },
    { "region = pt-norte", true },
    { "data_centre = braga, tier = gold", true },
    { "hall = 2, !gpu", false },
  };
  for (const auto& [text, expected] : cases) {
    const auto terms = SelectorParser::Parse(text);
    BOOST_REQUIRE_MESSAGE(terms.has_value(), text);
    BOOST_TEST(SelectorMatcher::Matches({ *terms, 1 }, subject) == expected, text);
    // Guards against a text form that reads back as another selector.
    BOOST_TEST((SelectorParser::Parse(SelectorParser::ToText(*terms)) == terms), text);
  }
}

// Guards against faulty selectors that silently match everything.
BOOST_AUTO_TEST_CASE(FaultySelectorsAreRefused)
{
  for (const char* text : { "",
                            ",",
                            "a,",
                            "a =",
                            "a in",
                            "a in ()",
                            "a in (b",
                            "a in (b,)",
                            "= b",
                            "a like b",
                            "a b",
                            "!a = b",
                            "a = b c",
                            "a\tb" }) {
    BOOST_TEST(!SelectorParser::Parse(text).has_value(), text);
  }
}
