#include "fleet/ConfigurationFeed.hpp"

#include "core/SteadyClock.hpp"
#include "support/CutStore.hpp"
#include "support/MemoryStore.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <charconv>
#include <optional>

using namespace redwing;
using redwing::test::CutStore;
using redwing::test::MemoryStore;

namespace {

/// Decodes a number to a configuration with that revision; any other text is invalid.
tl::expected<ConfigurationRevision, Findings>
Decode(std::string_view aText)
{
  ConfigurationRevision revision;
  const auto parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), revision.revision_);
  if (parsed.ec != std::errc{}) {
    return tl::unexpected(Findings{ { "", "is no number" } });
  }
  return revision;
}

struct Fixture
{
  std::unique_ptr<ConfigurationFeed> MakeFeed() { return MakeFeed(store_); }

  std::unique_ptr<ConfigurationFeed> MakeFeed(Store& aStore)
  {
    return std::make_unique<ConfigurationFeed>(
      context_,
      clock_,
      aStore,
      ConfigurationFormat{ "op/",
                           "op/config",
                           "op/withdrawn/",
                           [this](std::string_view aText) {
                             ++decoded_;
                             return Decode(aText);
                           } },
      ConfigurationFeedSettings{
        { { "braga", "norte", false, {} }, { "porto", "norte", false, {} } }, keepTime_ },
      [this](std::shared_ptr<const ConfigurationRevision> aRevision) {
        adopted_.push_back(std::move(aRevision));
      });
  }

  void Write(const std::string& aKey, std::optional<std::string> aValue)
  {
    StoreTransaction transaction;
    transaction.writes_.push_back({ aKey, std::move(aValue), 0 });
    store_.Commit(transaction, [](const StoreResult<StoreTransactionResult>&) {});
    Run();
  }

  void Run()
  {
    context_.restart();
    context_.run_for(std::chrono::milliseconds(5));
    // A starved thread may not have run all that was ready.
    context_.restart();
    while (context_.poll() > 0) {
    }
  }

  /// Returns whether the last adopted configuration withdraws the data centre "porto".
  bool Withdrawn() const { return adopted_.back()->configuration_.dataCentres_[1].withdrawn_; }

  template<typename Condition>
  void RunUntil(Condition aCondition)
  {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!aCondition()) {
      BOOST_REQUIRE(std::chrono::steady_clock::now() < limit);
      Run();
    }
  }

  std::chrono::milliseconds keepTime_ = std::chrono::minutes(10);
  int decoded_ = 0;
  boost::asio::io_context context_;
  SteadyClock clock_;
  MemoryStore store_{ context_, clock_ };
  std::vector<std::shared_ptr<const ConfigurationRevision>> adopted_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigurationFeeds, Fixture)

// Guards against adopting an invalid or an older configuration, and against dropping the current
// one when its entry is removed.
BOOST_AUTO_TEST_CASE(AdoptsOnlyNewerValidConfigurations)
{
  const auto feed = MakeFeed();
  feed->Start();
  Run();
  BOOST_TEST(adopted_.empty());
  Write("op/config", "7");
  BOOST_REQUIRE(adopted_.size() == 1U);
  BOOST_TEST(adopted_.back()->revision_ == 7U);
  Write("op/config", "broken");
  Write("op/config", "6");
  Write("op/config", std::nullopt);
  BOOST_TEST(adopted_.size() == 1U);
  Write("op/config", "8");
  BOOST_REQUIRE(adopted_.size() == 2U);
  BOOST_TEST(adopted_.back()->revision_ == 8U);
}

// Guards against a withdrawal that is missed, or that remains in force after its entry was removed.
BOOST_AUTO_TEST_CASE(WithdrawsDataCentresWhileTheirEntryExists)
{
  Write("op/withdrawn/porto", "");
  Write("op/config", "7");
  const auto feed = MakeFeed();
  feed->Start();
  Run();
  BOOST_REQUIRE(adopted_.size() == 1U);
  BOOST_TEST(Withdrawn());
  Write("op/withdrawn/porto", std::nullopt);
  BOOST_REQUIRE(adopted_.size() == 2U);
  BOOST_TEST(!Withdrawn());
  BOOST_TEST(adopted_.back()->revision_ == 7U);
  Write("op/withdrawn/porto", "");
  BOOST_REQUIRE(adopted_.size() == 3U);
  BOOST_TEST(Withdrawn());
}

// Guards against a withdrawal that remains in force because the watch missed the removal of its
// entry: the next read of all entries must end it.
BOOST_AUTO_TEST_CASE(AReadEndsWithdrawalsWithoutEntry)
{
  Write("op/withdrawn/porto", "");
  Write("op/config", "7");
  const auto feed = MakeFeed();
  feed->Start();
  Run();
  BOOST_REQUIRE(adopted_.size() == 1U);
  store_.MuteWatches();
  Write("op/withdrawn/porto", std::nullopt);
  BOOST_TEST(adopted_.size() == 1U);
  feed->Refresh();
  Run();
  BOOST_REQUIRE(adopted_.size() == 2U);
  BOOST_TEST(!Withdrawn());
}

// Guards against reads that decode an unchanged document again, which takes long if it is large.
BOOST_AUTO_TEST_CASE(AnUnchangedDocumentIsDecodedOnce)
{
  Write("op/config", "7");
  const auto feed = MakeFeed();
  feed->Start();
  Run();
  decoded_ = 0;
  feed->Refresh();
  Write("op/withdrawn/porto", "");
  feed->Refresh();
  Run();
  BOOST_TEST(decoded_ == 0);
  BOOST_TEST(Withdrawn());
  Write("op/config", "8");
  BOOST_TEST(decoded_ == 1);
  BOOST_TEST(adopted_.back()->revision_ == 8U);
}

// Guards against all but the first change of a transaction being taken for known.
BOOST_AUTO_TEST_CASE(AllChangesOfATransactionAreAdopted)
{
  Write("op/config", "7");
  const auto feed = MakeFeed();
  feed->Start();
  Run();
  StoreTransaction transaction;
  transaction.writes_ = { { "op/config", "8", 0 }, { "op/withdrawn/porto", "", 0 } };
  store_.Commit(transaction, [](const StoreResult<StoreTransactionResult>&) {});
  Run();
  BOOST_TEST(adopted_.back()->revision_ == 8U);
  BOOST_TEST(Withdrawn());
}

// Guards against a store reply that arrives after the feed was destroyed.
BOOST_AUTO_TEST_CASE(NothingIsAdoptedAfterTheEnd)
{
  Write("op/config", "7");
  auto feed = MakeFeed();
  feed->Start();
  feed.reset();
  Run();
  BOOST_TEST(adopted_.empty());
}

// Guards against a withdrawal, or its end, that an instance does not apply because its watch has
// lost it: other instances know of it.
BOOST_AUTO_TEST_CASE(ReadsWithdrawalsThatOthersReport)
{
  CutStore cut(store_);
  Write("op/config", "7");
  const auto feed = MakeFeed(cut);
  feed->Start();
  Run();
  const auto other = MakeFeed();
  other->Start();
  Run();
  for (const bool withdrawn : { true, false }) {
    cut.Cut(true);
    Write("op/withdrawn/porto", withdrawn ? std::optional<std::string>("") : std::nullopt);
    cut.Cut(false);
    BOOST_REQUIRE(Withdrawn() == withdrawn);
    const std::uint64_t change = adopted_.back()->change_;
    const std::size_t before = adopted_.size();
    feed->OnReported(change);
    RunUntil([&] {
      feed->OnReported(change);
      return adopted_.size() > before;
    });
    BOOST_TEST(Withdrawn() == withdrawn);
    const int calls = cut.Calls();
    feed->OnReported(change);
    BOOST_TEST(cut.Calls() == calls);
  }
}

BOOST_AUTO_TEST_SUITE_END()
