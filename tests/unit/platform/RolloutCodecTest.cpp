#include "platform/RolloutCodec.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;
using namespace redwing::platform;

BOOST_AUTO_TEST_SUITE(RolloutCodec)

// Guards against orders that are misread, and against invalid ones that begin a rollout.
BOOST_AUTO_TEST_CASE(OrdersAreReadWhole)
{
  const auto order =
    DecodeRolloutOrder(R"({"service":"huvo11a","targetVersion":"v2","durationS":12})");
  BOOST_REQUIRE(order.has_value());
  BOOST_TEST(order->service_ == "huvo11a");
  BOOST_TEST(order->targetVersion_ == "v2");
  BOOST_TEST((order->duration_ == std::chrono::seconds(12)));
  for (const char* invalid : { "",
                               "[]",
                               R"({"service":"a","targetVersion":"v2"})",
                               R"({"service":"a","targetVersion":"v2","durationS":0})",
                               R"({"service":"a","targetVersion":"","durationS":1})",
                               R"({"targetVersion":"v2","durationS":1})" }) {
    BOOST_TEST(!DecodeRolloutOrder(invalid).has_value());
  }
}

// Guards against states that the operator does not know.
BOOST_AUTO_TEST_CASE(StatusNamesOneOfThreeStates)
{
  RolloutRecord record;
  record.order_.targetVersion_ = "v2";
  record.phase_ = RolloutPhase::Closing;
  BOOST_TEST(EncodeRolloutStatus(record) == R"({"state":"running","targetVersion":"v2"})");
  record.phase_ = RolloutPhase::RolledBack;
  BOOST_TEST(EncodeRolloutStatus(record) == R"({"state":"rolled_back","targetVersion":"v2"})");
  record.phase_ = RolloutPhase::Completed;
  BOOST_TEST(EncodeRolloutStatus(record) == R"({"state":"completed","targetVersion":"v2"})");
}

BOOST_AUTO_TEST_SUITE_END()
