#include "control/ConfigurationKeeper.hpp"

#include "config/ConfigurationRecord.hpp"
#include "support/FakeStore.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;
using namespace redwing::test;
using namespace std::chrono_literals;

namespace {

std::string
RecordText(const std::string& aWorkspace)
{
  ConfigurationRecord record;
  record.operations_ = { { "op-" + aWorkspace, 0 } };
  record.configuration_.workspaces_ = { { aWorkspace, 10, 10, 1 } };
  return record.ToText();
}

struct Fixture
{
  /// Writes a value to the configuration key and returns its revision.
  std::uint64_t Put(const std::string& aText)
  {
    StoreTransaction transaction;
    transaction.compares_.push_back({ kConfigurationKey, lastRevision_ });
    transaction.writes_.push_back({ kConfigurationKey, aText, 0 });
    store_.Commit(transaction, [this](const StoreResult<StoreTransactionResult>& aResult) {
      BOOST_REQUIRE(aResult.has_value() && aResult->succeeded_);
      lastRevision_ = aResult->revision_;
    });
    store_.Run();
    return lastRevision_;
  }

  void Read()
  {
    keeper_.Read([](bool) {});
    store_.Run();
  }

  FakeStore store_{ 1, 0 };
  std::uint64_t lastRevision_ = 0;
  std::vector<std::uint64_t> adopted_;
  ConfigurationKeeper keeper_{ store_.clock_,
                               store_,
                               "braga",
                               [this](const std::shared_ptr<const ConfigurationRevision>& aNew) {
                                 adopted_.push_back(aNew->revision_);
                               } };
};

} // namespace

// Guards against a delayed message that reverts the configuration to an older revision.
BOOST_FIXTURE_TEST_CASE(OnlyHigherRevisionsAreAdopted, Fixture)
{
  keeper_.Adopt(8, RecordText("b"));
  keeper_.Adopt(7, RecordText("a"));
  keeper_.Adopt(8, RecordText("c"));
  BOOST_TEST((adopted_ == std::vector<std::uint64_t>{ 8 }));
  BOOST_TEST(keeper_.Current()->configuration_.workspaces_.front().id_ == "b");
  BOOST_TEST(keeper_.Current()->operationId_ == "op-b");
}

// Guards against a malformed stored value that replaces the current configuration, and against
// reporting the configuration as current although the newest revision could not be adopted.
BOOST_FIXTURE_TEST_CASE(MalformedValueKeepsTheCurrentConfiguration, Fixture)
{
  const std::uint64_t good = Put(RecordText("a"));
  Read();
  BOOST_TEST(keeper_.IsCurrent(1));
  Put("{\"operations\":[],\"document\":");
  Read();
  BOOST_TEST(keeper_.Current()->revision_ == good);
  // The confirmation of the valid revision is not renewed, so it expires after the maximum age
  // although the store still answers.
  store_.clock_.Advance(3s);
  Read();
  BOOST_TEST(keeper_.StoreReachable());
  BOOST_TEST(!keeper_.IsCurrent(1));
}

// Guards against a withdrawn API key that keeps working on an isolated instance.
BOOST_FIXTURE_TEST_CASE(ConfirmationExpires, Fixture)
{
  Put(RecordText("a"));
  BOOST_TEST(!keeper_.IsCurrent(1));
  Read();
  BOOST_TEST(keeper_.IsCurrent(1));
  store_.clock_.Advance(3s);
  BOOST_TEST(!keeper_.IsCurrent(1));
}

// Guards against a partitioned watcher that mistakes its partition for an outage of the store.
BOOST_FIXTURE_TEST_CASE(OutageNeedsReportsOfMoreThanHalfOfTheDataCentres, Fixture)
{
  Put(RecordText("a"));
  Read();
  store_.clock_.Advance(3s);
  store_.down_ = true;
  Read();
  BOOST_TEST(!keeper_.StoreReachable());
  BOOST_TEST(keeper_.IsCurrent(1));
  BOOST_TEST(!keeper_.IsCurrent(2));
  WatcherReport other;
  other.dataCentre_ = "porto";
  keeper_.Merge(std::span(&other, 1));
  BOOST_TEST(keeper_.IsCurrent(2));
}

// Guards against store reads by instances that are not watchers, and against concurrent reads by
// one watcher.
BOOST_FIXTURE_TEST_CASE(OnlyWatchersReadAndOneReadAtATime, Fixture)
{
  Put(RecordText("a"));
  keeper_.Tick(false);
  store_.Run();
  BOOST_TEST(adopted_.empty());
  keeper_.Tick(true);
  store_.clock_.Advance(1s);
  keeper_.Tick(true);
  store_.Run();
  BOOST_TEST(adopted_.size() == 1U);
}
