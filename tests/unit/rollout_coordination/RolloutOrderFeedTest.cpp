#include "fleet/RolloutOrderFeed.hpp"
#include "store/StoreRevision.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;

namespace {

struct OrderFixture
{
  OrderFixture()
    : feed_({ "op/rollout/",
              [](std::string_view aText) -> tl::expected<RolloutOrder, Findings> {
                if (aText.empty()) {
                  return tl::unexpected(Findings{ { "", "empty" } });
                }
                return RolloutOrder{ "desk", std::string(aText), std::chrono::seconds(10) };
              },
              [this](std::vector<RolloutOrder> aOrders) {
                orders_ = std::move(aOrders);
                ++changes_;
              } })
  {
  }

  void Entry(const char* aVersion, std::uint64_t aRevision)
  {
    feed_.OnEntry(kKey, std::string(aVersion), aRevision);
    feed_.OnRead({ kKey });
    feed_.Publish();
  }

  static constexpr const char* kKey = "op/rollout/desk";
  std::vector<RolloutOrder> orders_;
  int changes_ = 0;
  RolloutOrderFeed feed_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RolloutOrders, OrderFixture)

// Guards against an unreadable order that takes the place of one in force.
BOOST_AUTO_TEST_CASE(InvalidOrdersChangeNothing)
{
  Entry("v2", 5);
  Entry("", 6);
  BOOST_TEST(changes_ == 1);
  feed_.OnEntry("op/rollout/other", std::string("v2"), 7);
  feed_.Publish();
  BOOST_TEST(changes_ == 1);
  BOOST_TEST(!feed_.Owns("op/config"));
}

// Guards against deletions that a watch or a read shows and that are missed.
BOOST_AUTO_TEST_CASE(DeletedOrdersEnd)
{
  Entry("v2", 5);
  feed_.OnEntry(kKey, std::nullopt, 6);
  feed_.Publish();
  BOOST_TEST(orders_.empty());
  Entry("v2", 7);
  feed_.OnRead({});
  feed_.Publish();
  BOOST_TEST(orders_.empty());
}

// Guards against a rollback because a store from an older copy lacks an order, or has an earlier
// one.
BOOST_AUTO_TEST_CASE(OrdersAreKeptAfterARestore)
{
  Entry("v3", MakeRevision(0, 20));
  feed_.Keep();
  feed_.OnRead({});
  feed_.Publish();
  BOOST_TEST(orders_.size() == 1U);
  Entry("v2", MakeRevision(1, 10));
  BOOST_TEST(orders_.at(0).targetVersion_ == "v3");
  BOOST_TEST(feed_.EndKeep());
  Entry("v2", MakeRevision(1, 10));
  BOOST_TEST(orders_.at(0).targetVersion_ == "v2");
}

BOOST_AUTO_TEST_SUITE_END()
