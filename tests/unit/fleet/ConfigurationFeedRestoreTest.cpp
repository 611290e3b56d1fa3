#include "core/Random.hpp"
#include "core/SteadyClock.hpp"
#include "fleet/ConfigurationFeed.hpp"
#include "support/MemoryStore.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <charconv>
#include <optional>
#include <set>

using namespace redwing;
using redwing::test::MemoryStore;

namespace {

using std::chrono::milliseconds;

const std::vector<std::string> kDataCentres{ "braga", "porto", "viana" };

tl::expected<ConfigurationRevision, Findings>
DecodeNumber(std::string_view aText)
{
  ConfigurationRevision revision;
  std::from_chars(aText.data(), aText.data() + aText.size(), revision.revision_);
  return revision;
}

/// The operator, a store that comes back from copies, and a feed.
struct Fixture
{
  void Start(milliseconds aKeepTime)
  {
    ConfigurationFeedSettings settings;
    for (const std::string& id : kDataCentres) {
      settings.dataCentres_.push_back({ id, "norte", false, {} });
    }
    settings.withdrawalKeepTime_ = aKeepTime;
    feed_.emplace(context_,
                  clock_,
                  store_,
                  ConfigurationFormat{ "op/", "op/config", "op/withdrawn/", DecodeNumber },
                  settings,
                  [this](const auto& aRevision) { OnAdopted(*aRevision); });
    feed_->Start();
    Run();
  }

  void OnAdopted(const ConfigurationRevision& aRevision)
  {
    regressed_ = regressed_ || aRevision.revision_ < adopted_;
    adopted_ = aRevision.revision_;
    withdrawn_.clear();
    for (const DataCentre& dataCentre : aRevision.configuration_.dataCentres_) {
      if (dataCentre.withdrawn_) {
        withdrawn_.insert(dataCentre.id_);
      }
    }
    for (const std::string& id : binding_) {
      broken_ = broken_ || !withdrawn_.contains(id);
    }
  }

  void Put(const std::string& aKey, std::optional<std::string> aValue)
  {
    StoreTransaction transaction;
    transaction.writes_.push_back({ aKey, std::move(aValue), 0 });
    store_.Commit(transaction, [](const StoreResult<StoreTransactionResult>&) {});
  }

  void Configure(std::uint64_t aRevision)
  {
    operator_ = aRevision;
    Put("op/config", std::to_string(aRevision));
  }

  /// Withdraws the data centre aId or takes that back. The platform's store reports no deletion of
  /// a key that it does not have.
  void Withdraw(const std::string& aId, bool aWithdrawn)
  {
    if (aWithdrawn) {
      operatorWithdrawn_.insert(aId);
      Put("op/withdrawn/" + aId, "");
    } else {
      operatorWithdrawn_.erase(aId);
      binding_.erase(aId);
      if (store_.Entries().contains("op/withdrawn/" + aId)) {
        Put("op/withdrawn/" + aId, std::nullopt);
      }
    }
  }

  /// Writes again what the operator wants, as after a restore.
  void WriteAgain()
  {
    Put("op/config", std::to_string(operator_));
    for (const std::string& id : kDataCentres) {
      Withdraw(id, operatorWithdrawn_.contains(id));
    }
  }

  /// Runs the event loop until it rests; timers that have not ended yet are not waited for.
  void Run()
  {
    do {
      context_.restart();
    } while (context_.poll() > 0);
  }

  template<typename Condition>
  void RunUntil(Condition aCondition)
  {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!aCondition()) {
      BOOST_REQUIRE(std::chrono::steady_clock::now() < limit);
      context_.restart();
      context_.run_for(milliseconds(1));
    }
  }

  bool AsTheOperatorWants() const
  {
    return adopted_ == operator_ && withdrawn_ == operatorWithdrawn_;
  }

  boost::asio::io_context context_;
  SteadyClock clock_;
  MemoryStore store_{ context_, clock_ };
  std::optional<ConfigurationFeed> feed_;

  std::uint64_t operator_ = 0;
  std::set<std::string> operatorWithdrawn_;
  std::uint64_t adopted_ = 0;
  std::set<std::string> withdrawn_;
  /// Withdrawals that are in force and were not taken back.
  std::set<std::string> binding_;
  bool regressed_ = false;
  bool broken_ = false;
};

constexpr milliseconds kLong = std::chrono::minutes(10);

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigurationFeedRestore, Fixture)

// Guards against a configuration that waits until the restored store has passed the revision that
// was known before.
BOOST_AUTO_TEST_CASE(AConfigurationStoredAfterARestoreIsAdoptedAtOnce)
{
  Configure(3);
  store_.Copy();
  Start(kLong);
  for (std::uint64_t revision = 4; revision < 20; ++revision) {
    Configure(revision);
  }
  Run();
  BOOST_TEST(adopted_ == 19U);
  store_.Restore();
  Run();
  BOOST_TEST(adopted_ == 19U);
  Configure(23);
  Run();
  BOOST_TEST(adopted_ == 23U);
  BOOST_TEST(!regressed_);
}

BOOST_AUTO_TEST_CASE(AnOlderConfigurationOfTheCopyIsNotAdopted)
{
  Configure(3);
  store_.Copy();
  Start(kLong);
  Configure(7);
  Run();
  store_.Restore();
  Run();
  feed_->Refresh();
  Run();
  Configure(5);
  Run();
  BOOST_TEST(adopted_ == 7U);
  BOOST_TEST(!regressed_);
  Configure(8);
  Run();
  BOOST_TEST(adopted_ == 8U);
}

BOOST_AUTO_TEST_CASE(ARestoreDuringALoadIsFollowed)
{
  Configure(3);
  store_.Copy();
  Configure(7);
  Start(kLong);
  feed_->Refresh();
  store_.Restore();
  Run();
  Configure(9);
  Run();
  BOOST_TEST(adopted_ == 9U);
  Configure(11);
  Run();
  BOOST_TEST(adopted_ == 11U);
  BOOST_TEST(!regressed_);
}

BOOST_AUTO_TEST_CASE(TwoRestoresInSeriesAreFollowed)
{
  Configure(3);
  store_.Copy();
  Start(kLong);
  for (int i = 0; i < 30; ++i) {
    Configure(operator_ + 1);
  }
  Run();
  store_.Restore();
  Configure(operator_ + 1);
  Run();
  BOOST_TEST(adopted_ == operator_);
  store_.Restore();
  store_.Restore();
  Run();
  Configure(operator_ + 1);
  Run();
  BOOST_TEST(adopted_ == operator_);
  BOOST_TEST(!regressed_);
}

// Guards against a data centre that gets work again because its withdrawal was lost with the
// changes since the copy.
BOOST_AUTO_TEST_CASE(AWithdrawalThatTheCopyLacksIsKept)
{
  Configure(3);
  Start(kLong);
  store_.Copy();
  Withdraw("porto", true);
  Run();
  binding_ = { "porto" };
  store_.Restore();
  Run();
  feed_->Refresh();
  Run();
  Configure(4);
  Run();
  BOOST_TEST(!broken_);
  BOOST_TEST(withdrawn_.contains("porto"));
  // Written again, it counts like any other.
  WriteAgain();
  Run();
  BOOST_TEST(withdrawn_.contains("porto"));
  Withdraw("porto", false);
  Run();
  BOOST_TEST(withdrawn_.empty());
}

// Guards against a data centre that stays withdrawn for good because the operator took the lost
// withdrawal back while the store was away.
BOOST_AUTO_TEST_CASE(AWithdrawalThatIsNotWrittenAgainEnds)
{
  Configure(3);
  Start(milliseconds(50));
  store_.Copy();
  Withdraw("porto", true);
  Run();
  store_.Restore();
  Withdraw("porto", false);
  Run();
  BOOST_TEST(withdrawn_.contains("porto"));
  RunUntil([&] { return withdrawn_.empty(); });
}

// Guards against a kept withdrawal that a read of the restored store ends early.
BOOST_AUTO_TEST_CASE(ASecondRestoreKeepsTheWithdrawalOn)
{
  Configure(3);
  Start(kLong);
  store_.Copy();
  Withdraw("porto", true);
  Run();
  binding_ = { "porto" };
  store_.Restore();
  Run();
  store_.Restore();
  Run();
  feed_->Refresh();
  Run();
  Configure(4);
  Run();
  BOOST_TEST(!broken_);
  BOOST_TEST(withdrawn_.contains("porto"));
}

// Guards against a withdrawal that was stored since the restore and has to wait.
BOOST_AUTO_TEST_CASE(AWithdrawalInTheRestoredStoreCountsAtOnce)
{
  Configure(3);
  Start(kLong);
  Withdraw("porto", true);
  Run();
  store_.Copy();
  Withdraw("porto", false);
  Run();
  BOOST_TEST(withdrawn_.empty());
  store_.Restore();
  Withdraw("viana", true);
  Run();
  BOOST_TEST(withdrawn_.contains("viana"));
  BOOST_TEST(withdrawn_.contains("porto"));
  Withdraw("porto", false);
  Run();
  BOOST_TEST(AsTheOperatorWants());
}

namespace {

/// Draws what the operator, the store or the feed does next.
void
DrawStep(Fixture& aFixture, Random& aRandom)
{
  constexpr std::uint64_t kSteps = 9;
  const std::string& id = kDataCentres[aRandom.Below(kDataCentres.size())];
  switch (aRandom.Below(kSteps)) {
    case 0:
    case 1:
      aFixture.Configure(aFixture.operator_ + 1 + aRandom.Below(3));
      break;
    case 2:
      aFixture.Withdraw(id, true);
      break;
    case 3:
      aFixture.Withdraw(id, false);
      break;
    case 4:
      aFixture.feed_->Refresh();
      break;
    case 5:
      aFixture.store_.Copy();
      break;
    case 6:
      aFixture.store_.Restore();
      break;
    case 7:
      aFixture.WriteAgain();
      break;
    default:
      aFixture.Run();
      // What is in force by now and still wanted may not be lost any more.
      for (const std::string& other : aFixture.operatorWithdrawn_) {
        if (aFixture.withdrawn_.contains(other)) {
          aFixture.binding_.insert(other);
        }
      }
      break;
  }
}

} // namespace

// Plays random orders of writes, copies, restores and reads: what is in force never goes back, and
// in the end it is what the operator wants.
BOOST_AUTO_TEST_CASE(RandomRestoresNeverTakeBackWhatIsInForce)
{
  constexpr std::uint64_t kRuns = 300;
  constexpr int kSteps = 60;
  for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      Fixture fixture;
      Random random(seed);
      fixture.Configure(1);
      fixture.store_.Copy();
      fixture.Start(kLong);
      for (int step = 0; step < kSteps; ++step) {
        DrawStep(fixture, random);
      }
      fixture.WriteAgain();
      fixture.Run();
      BOOST_TEST(!fixture.regressed_);
      BOOST_TEST(!fixture.broken_);
      BOOST_TEST(fixture.adopted_ == fixture.operator_);
      for (const std::string& id : fixture.operatorWithdrawn_) {
        BOOST_TEST(fixture.withdrawn_.contains(id));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(AfterRandomRestoresTheOperatorsStateIsInForce)
{
  constexpr std::uint64_t kRuns = 100;
  constexpr int kSteps = 60;
  for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      Fixture fixture;
      Random random(seed);
      fixture.Configure(1);
      fixture.store_.Copy();
      fixture.Start(milliseconds(5));
      for (int step = 0; step < kSteps; ++step) {
        DrawStep(fixture, random);
      }
      fixture.WriteAgain();
      fixture.RunUntil([&] { return fixture.AsTheOperatorWants(); });
      BOOST_TEST(!fixture.regressed_);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
