#include "core/Address.hpp"

#include <boost/test/unit_test.hpp>

using redwing::Address;

// Guards against settings that name no usable endpoint being accepted.
BOOST_AUTO_TEST_CASE(ParseAcceptsOnlyIpAndPort)
{
  BOOST_TEST(Address::Parse("127.0.0.1:80")->ToString() == "127.0.0.1:80");
  for (const char* text :
       { "", "127.0.0.1", "localhost:80", "127.0.0.1:0", "127.0.0.1:70000", "1:2:3" }) {
    BOOST_TEST(!Address::Parse(text).has_value(), text);
  }
}
