#include "core/SteadyClock.hpp"
#include "platform/KvStore.hpp"
#include "platform/PlatformStore.hpp"
#include "store/StoreRevision.hpp"
#include "support/LogSink.hpp"
#include "support/ScriptedHttpServer.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>

using namespace redwing;
using namespace redwing::platform;
using redwing::standins::PlatformStore;
using redwing::test::LogSink;
using redwing::test::ScriptedHttpServer;

namespace {

constexpr std::uint16_t kPort = 23979;

using Events = std::vector<StoreWatchEvent>;

/// Calls of one KvStore on the test's thread.
struct Caller
{
  void Connect(const Address& aAddress)
  {
    KvStoreSettings settings;
    settings.client_.address_ = aAddress;
    settings.client_.timeout_ = std::chrono::milliseconds(2000);
    settings.client_.budget_.callsPerSecond_ = 10000;
    settings.client_.budget_.burst_ = 10000;
    settings.client_.budget_.maximumBackOff_ = std::chrono::milliseconds(0);
    settings.client_.budget_.minimumBackOff_ = std::chrono::milliseconds(0);
    settings.watchPause_ = std::chrono::milliseconds(1);
    store_.emplace(context_, clock_, 1, settings);
  }

  template<typename Condition>
  void RunUntil(Condition aCondition)
  {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!aCondition()) {
      BOOST_REQUIRE(std::chrono::steady_clock::now() < limit);
      context_.restart();
      context_.run_for(std::chrono::milliseconds(1));
    }
  }

  template<typename T, typename Call>
  StoreResult<T> Await(Call aCall)
  {
    std::optional<StoreResult<T>> result;
    aCall([&](StoreResult<T> aResult) { result = std::move(aResult); });
    RunUntil([&] { return result.has_value(); });
    return std::move(*result);
  }

  static StoreTransaction Transaction(const std::string& aKey, std::uint64_t aRevision)
  {
    StoreTransaction transaction;
    transaction.compares_ = { { aKey, aRevision } };
    transaction.writes_ = { { aKey, "v", 0 } };
    return transaction;
  }

  StoreResult<StoreTransactionResult> Write(const std::string& aKey, std::uint64_t aRevision)
  {
    return Await<StoreTransactionResult>(
      [&](auto aDone) { store_->Commit(Transaction(aKey, aRevision), std::move(aDone)); });
  }

  StoreResult<StoreRange> Read(const std::string& aPrefix, bool aExact = false)
  {
    return Await<StoreRange>([&](auto aDone) { store_->Range(aPrefix, aExact, std::move(aDone)); });
  }

  boost::asio::io_context context_;
  SteadyClock clock_;
  std::optional<KvStore> store_;
};

/// A store that comes back from copies.
struct Restored : Caller
{
  Restored() { Connect({ "127.0.0.1", kPort }); }

  PlatformStore standin_{ context_, { "127.0.0.1", kPort } };
};

/// A store whose replies are written out by the test.
struct Scripted : Caller
{
  Scripted()
    : server_(context_, [this](const auto& aRequest) { return script_(aRequest); })
  {
    Connect(server_.Where());
  }

  /// Returns a reply with aEra in its header; none if it is empty.
  static ScriptedHttpServer::Reply Reply(const std::string& aEra,
                                         const std::string& aBody,
                                         const std::string& aStatus = "200 OK")
  {
    const std::string era = aEra.empty() ? "" : "Store-Era: " + aEra + "\r\n";
    return { "HTTP/1.1 " + aStatus + "\r\n" + era +
               "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody,
             false };
  }

  /// Reads an empty range that the store answers in aEra with the revision aNumber.
  StoreResult<StoreRange> ReadIn(const std::string& aEra, std::uint64_t aNumber)
  {
    script_ = [=](const auto&) {
      return Reply(aEra, R"({"items":[],"hasMore":false,"at":)" + std::to_string(aNumber) + "}");
    };
    return Read("t/");
  }

  std::function<ScriptedHttpServer::Reply(const ScriptedHttpServer::Request&)> script_;
  ScriptedHttpServer server_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformKvStoreEpoch)

BOOST_FIXTURE_TEST_CASE(RevisionsNeverGoBackWhenTheStoreDoes, Restored)
{
  standin_.Put("t/a", "1");
  standin_.Copy();
  standin_.Put("t/a", "2");
  standin_.Put("t/b", "1");
  const auto before = Read("t/");
  BOOST_REQUIRE(before.has_value());
  const std::uint64_t epoch = store_->Epoch();
  standin_.Restore();
  const auto after = Read("t/");
  BOOST_REQUIRE(after.has_value());
  BOOST_TEST(store_->Epoch() == epoch + 1);
  BOOST_TEST(after->revision_ > before->revision_);
  BOOST_TEST(NumberOf(after->revision_) < NumberOf(before->revision_));
  BOOST_REQUIRE(after->entries_.size() == 1U);
  BOOST_TEST(after->entries_[0].modRevision_ > before->entries_[0].modRevision_);
  const auto exact = Read("t/a", true);
  BOOST_REQUIRE(exact.has_value());
  BOOST_REQUIRE(exact->entries_.size() == 1U);
  BOOST_TEST(exact->entries_[0].modRevision_ == after->entries_[0].modRevision_);
  BOOST_TEST(exact->revision_ == after->revision_);
  const auto written = Write("t/c", 0);
  BOOST_REQUIRE(written.has_value());
  BOOST_TEST(written->succeeded_);
  BOOST_TEST(written->revision_ > after->revision_);
  BOOST_TEST(Write("t/c", written->revision_)->succeeded_);
}

// Guards against a watch that hears nothing until the numbers of the restored store have passed
// those known before.
BOOST_FIXTURE_TEST_CASE(AWaitingWatchEndsWhenTheEpochRises, Restored)
{
  standin_.Copy();
  for (int i = 0; i < 20; ++i) {
    standin_.Put("t/a", std::to_string(i));
  }
  const auto before = Read("t/");
  int ends = 0;
  std::optional<std::uint64_t> epochAtEnd;
  Events seen;
  const auto watch = [&](std::uint64_t aFrom) {
    store_->Watch("t/", aFrom, [&](const StoreResult<Events>& aEvents) {
      if (aEvents) {
        seen.insert(seen.end(), aEvents->begin(), aEvents->end());
      } else {
        ++ends;
        epochAtEnd = store_->Epoch();
      }
    });
  };
  watch(before->revision_ + 1);
  watch(before->revision_ + 1);
  context_.restart();
  context_.run_for(std::chrono::milliseconds(50));
  standin_.Restore();
  standin_.Put("t/a", "new");
  const auto after = Read("t/");
  RunUntil([&] { return ends == 2; });
  BOOST_TEST(*epochAtEnd == EpochOf(after->revision_));
  watch(after->revision_ + 1);
  for (int i = 0; i < 25; ++i) {
    standin_.Put("t/b", std::to_string(i));
  }
  RunUntil([&] { return seen.size() >= 25; });
  context_.restart();
  context_.run_for(std::chrono::milliseconds(50));
  BOOST_TEST(ends == 2);
  BOOST_TEST(seen.size() == 25U);
  BOOST_TEST(seen.front().modRevision_ > after->revision_);
}

BOOST_FIXTURE_TEST_CASE(AWatchFromAnEarlierEpochEndsAtOnce, Restored)
{
  standin_.Copy();
  const auto before = Read("t/");
  standin_.Restore();
  BOOST_REQUIRE(Read("t/").has_value());
  bool ended = false;
  store_->Watch("t/", before->revision_ + 1, [&](const StoreResult<Events>& aEvents) {
    ended = !aEvents.has_value();
  });
  RunUntil([&] { return ended; });
}

// Guards against a watch of a number that the restored store does not have, by an instance that no
// other answer has told of the restore.
BOOST_FIXTURE_TEST_CASE(AWatchThatLearnsOfTheRestoreEndsOnce, Restored)
{
  standin_.Copy();
  standin_.Put("t/a", "1");
  const auto before = Read("t/");
  standin_.Restore();
  int ends = 0;
  store_->Watch("t/", before->revision_ + 1, [&](const StoreResult<Events>& aEvents) {
    ends += aEvents ? 0 : 1;
  });
  RunUntil([&] { return ends > 0; });
  BOOST_TEST(store_->Epoch() == EpochOf(before->revision_) + 1);
  context_.restart();
  context_.run_for(std::chrono::milliseconds(50));
  BOOST_TEST(ends == 1);
}

// Guards against a condition that holds by chance because its number was given out again.
BOOST_FIXTURE_TEST_CASE(ConditionsOfAnEarlierEpochDoNotHold, Restored)
{
  standin_.Copy();
  standin_.Put("t/a", "lost");
  const std::uint64_t known = Read("t/a", true)->entries_[0].modRevision_;
  standin_.Restore();
  standin_.Put("t/a", "other");
  BOOST_REQUIRE(Read("t/a", true).has_value());
  const auto written = Write("t/a", known);
  BOOST_REQUIRE(written.has_value());
  BOOST_TEST(!written->succeeded_);
  BOOST_TEST(Read("t/a", true)->entries_[0].value_ == "other");
}

BOOST_FIXTURE_TEST_CASE(AWriteThatMetTheNextEpochIsOfUnknownOutcome, Restored)
{
  standin_.Copy();
  standin_.Put("t/a", "lost");
  const std::uint64_t known = Read("t/a", true)->entries_[0].modRevision_;
  standin_.Restore();
  standin_.Put("t/a", "other");
  const auto written = Write("t/a", known);
  BOOST_REQUIRE(!written.has_value());
  BOOST_CHECK(written.error().kind_ == StoreErrorKind::OutcomeUnknown);
}

// Guards against an unknown outcome where the store says that it wrote nothing, or where no
// condition depends on the epoch.
BOOST_FIXTURE_TEST_CASE(OutcomesThatDoNotDependOnTheEpochAreKnown, Restored)
{
  standin_.Copy();
  standin_.Put("t/a", "lost");
  const std::uint64_t known = Read("t/a", true)->entries_[0].modRevision_;
  standin_.Restore();
  const auto refused = Write("t/a", known);
  BOOST_REQUIRE(refused.has_value());
  BOOST_TEST(!refused->succeeded_);
  standin_.Restore();
  const auto created = Write("t/a", 0);
  BOOST_REQUIRE(created.has_value());
  BOOST_TEST(created->succeeded_);
  BOOST_TEST(EpochOf(created->revision_) == store_->Epoch());
}

BOOST_FIXTURE_TEST_CASE(TwoRestoresRaiseTheEpochTwice, Restored)
{
  const LogSink log;
  standin_.Copy();
  std::uint64_t last = Read("t/")->revision_;
  const std::uint64_t first = store_->Epoch();
  for (std::uint64_t i = 1; i <= 2; ++i) {
    standin_.Put("t/a", std::to_string(i));
    BOOST_REQUIRE(Read("t/").has_value());
    standin_.Restore();
    const auto read = Read("t/");
    BOOST_REQUIRE(read.has_value());
    BOOST_REQUIRE(Read("t/").has_value());
    BOOST_TEST(store_->Epoch() == first + i);
    BOOST_TEST(read->entries_.empty());
    BOOST_TEST(read->revision_ > last);
    last = read->revision_;
  }
  const auto lines = std::count_if(log.lines_.begin(), log.lines_.end(), [](const auto& aLine) {
    return aLine.find("event=store_epoch") != std::string::npos;
  });
  BOOST_TEST(lines == 3);
}

// Guards against a range of which a part was read before the store came back from a copy.
BOOST_FIXTURE_TEST_CASE(PagesOfTwoEpochsAreNoRange, Scripted)
{
  int calls = 0;
  script_ = [&](const auto&) {
    ++calls;
    const std::string item =
      R"({"key":"t/)" + std::to_string(calls) + R"(","value":"","revision":3})";
    return Reply(calls == 1 ? "1" : "2",
                 R"({"items":[)" + item + R"(],"hasMore":)" + (calls == 1 ? "true" : "false") +
                   R"(,"at":9})");
  };
  const auto range = Read("t/");
  BOOST_REQUIRE(!range.has_value());
  BOOST_CHECK(range.error().kind_ == StoreErrorKind::Unavailable);
  BOOST_TEST(store_->Epoch() == 2U);
}

BOOST_FIXTURE_TEST_CASE(RepliesOfAnEarlierEpochAreErrors, Scripted)
{
  BOOST_REQUIRE(ReadIn("2", 9).has_value());
  const auto late = ReadIn("1", 12);
  BOOST_REQUIRE(!late.has_value());
  BOOST_CHECK(late.error().kind_ == StoreErrorKind::Unavailable);
  script_ = [](const auto&) { return Reply("1", R"({"revision":13})"); };
  const auto written = Write("t/a", 0);
  BOOST_REQUIRE(!written.has_value());
  BOOST_CHECK(written.error().kind_ == StoreErrorKind::OutcomeUnknown);
  BOOST_TEST(store_->Epoch() == 2U);
}

// Guards against a reply that overtook a newer one and is taken for a restore.
BOOST_FIXTURE_TEST_CASE(ASmallerRevisionOfTheSameEpochIsNoRestore, Scripted)
{
  BOOST_TEST(ReadIn("1", 9)->revision_ == MakeRevision(1, 9));
  script_ = [](const auto& aRequest) {
    return aRequest.target_.find("watch") == std::string::npos
             ? Reply("1", R"({"items":[],"hasMore":false,"at":8})")
             : Reply("1", R"({"events":[],"at":9})");
  };
  bool ended = false;
  store_->Watch("t/", MakeRevision(1, 10), [&](const StoreResult<Events>& aEvents) {
    ended = !aEvents.has_value();
  });
  const auto read = Read("t/");
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->revision_ == MakeRevision(1, 8));
  context_.restart();
  context_.run_for(std::chrono::milliseconds(20));
  BOOST_TEST(!ended);
  BOOST_TEST(store_->Epoch() == 1U);
}

BOOST_FIXTURE_TEST_CASE(RepliesWithoutAUsableEpochAreOfTheKnownOne, Scripted)
{
  BOOST_TEST(ReadIn("", 5)->revision_ == 5U);
  BOOST_TEST(ReadIn("3", 6)->revision_ == MakeRevision(3, 6));
  for (const char* era : { "", "x", "-1", "4x", "99999999999999999999", "99999999999999999" }) {
    const auto read = ReadIn(era, 7);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->revision_ == MakeRevision(3, 7));
  }
  BOOST_TEST(store_->Epoch() == 3U);
}

// Guards against a number that runs over into the epoch of a revision.
BOOST_FIXTURE_TEST_CASE(ARevisionThatIsTooLargeIsMalformed, Scripted)
{
  BOOST_TEST(ReadIn("1", kRevisionsPerEpoch - 1).has_value());
  BOOST_TEST(!ReadIn("1", kRevisionsPerEpoch).has_value());
}

// Guards against numbers of another epoch, or with an epoch, in what the store is sent.
BOOST_FIXTURE_TEST_CASE(TheStoreIsSentItsOwnNumbers, Scripted)
{
  BOOST_REQUIRE(ReadIn("7", 50).has_value());
  std::vector<std::string> sent;
  script_ = [&](const auto& aRequest) {
    sent.push_back(aRequest.target_ + " " + aRequest.body_);
    return Reply("7", R"({"revision":51})");
  };
  BOOST_TEST(Write("t/a", MakeRevision(7, 49))->revision_ == MakeRevision(7, 51));
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST(sent[0].find(R"("revision":49)") != std::string::npos);
  BOOST_TEST(!Write("t/a", MakeRevision(6, 49))->succeeded_);
  BOOST_TEST(sent.size() == 1U);
  bool ended = false;
  store_->Watch("t/", MakeRevision(7, 51), [&](const StoreResult<Events>&) { ended = true; });
  RunUntil([&] { return ended; });
  BOOST_REQUIRE(sent.size() == 2U);
  BOOST_TEST(sent[1].find("after=50&") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
