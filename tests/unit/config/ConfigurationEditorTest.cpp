#include "config/ConfigurationEditor.hpp"

#include "config/ConfigurationRecord.hpp"
#include "core/Hash.hpp"
#include "support/FakeStore.hpp"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>

using namespace redwing;
using namespace std::chrono_literals;
using test::FakeStore;

namespace {

Configuration
Base()
{
  Configuration configuration;
  configuration.workspaces_.push_back({ "retail", 10, 10, 1 });
  configuration.dataCentres_.push_back({ "braga", "pt-norte", false, {} });
  return configuration;
}

CallerKey
Key(std::size_t aNumber)
{
  const std::string id = "k" + std::to_string(aNumber);
  return { id, "retail", ToHex(Sha256(id)) };
}

/// One editor of its own per operator, as on different instances.
struct Operators
{
  Operators(std::uint64_t aSeed, double aLoss)
    : store_(aSeed, aLoss)
  {
  }

  ConfigurationEditor& Add()
  {
    editors_.push_back(std::make_unique<ConfigurationEditor>(
      store_,
      store_.clock_,
      editors_.size(),
      [this](Duration aDelay, std::function<void()> aNext) {
        store_.After(aDelay, std::move(aNext));
      },
      ConfigurationEditor::Settings(),
      [this](std::uint64_t aRevision, const std::string& aRecord) {
        announced_.insert_or_assign(aRevision, aRecord);
      }));
    return *editors_.back();
  }

  EditResult Apply(ConfigurationEditor& aEditor,
                   const std::string& aOperation,
                   std::optional<std::uint64_t> aExpected,
                   Configuration aConfiguration)
  {
    std::optional<EditResult> result;
    aEditor.Apply(aOperation, aExpected, std::move(aConfiguration), [&](EditResult aResult) {
      result = std::move(aResult);
    });
    store_.Run();
    return std::move(*result);
  }

  FakeStore store_;
  std::vector<std::unique_ptr<ConfigurationEditor>> editors_;
  /// Records that the editors named as in force, by revision.
  std::map<std::uint64_t, std::string> announced_;
};

} // namespace

// Guards against two stored changes where one overwrites the other, and against a result that does
// not agree with what the store holds, under races, lost replies and late writes.
BOOST_AUTO_TEST_CASE(ResultsAgreeWithTheStoreUnderRacesAndLostReplies)
{
  constexpr std::size_t kOperators = 8;
  std::size_t stored = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Operators operators(seed, seed % 3 == 0 ? 0.5 : 0.2);
    std::map<std::size_t, EditResult> results;
    operators.Add().Apply("first", {}, Base(), [](EditResult) {});
    operators.store_.Run();
    for (std::size_t i = 0; i < kOperators; ++i) {
      operators.Add().Mutate(
        "op" + std::to_string(i), AddKey(Key(i)), [&results, i](EditResult aResult) {
          BOOST_TEST(!results.contains(i));
          results[i] = std::move(aResult);
        });
    }
    operators.store_.Run();
    BOOST_TEST(results.size() == kOperators);
    std::map<std::string, std::uint64_t> writers;
    std::size_t keys = 0;
    for (const auto& [revision, text] : operators.store_.written_) {
      const auto record = ConfigurationRecord::Parse(text);
      BOOST_REQUIRE(record.has_value());
      BOOST_TEST(record->configuration_.keys_.size() >= keys);
      keys = record->configuration_.keys_.size();
      BOOST_TEST(writers.emplace(record->operations_[0].id_, revision).second);
    }
    for (const auto& [i, result] : results) {
      const auto writer = writers.find("op" + std::to_string(i));
      if (const auto* done = std::get_if<EditStored>(&result)) {
        BOOST_TEST((writer != writers.end() && writer->second == done->revision_));
        ++stored;
      } else if (!std::holds_alternative<EditUnknown>(result)) {
        BOOST_TEST((writer == writers.end()));
      }
    }
  }
  // Guards against a run that tests nothing because every result is unknown.
  BOOST_TEST(stored >= 60 * kOperators * 8 / 10);
}

// Guards against a retried command being applied twice, and against its revision being reported
// wrongly when other changes followed.
BOOST_AUTO_TEST_CASE(SameOperationIsAppliedOnce)
{
  Operators operators(1, 0);
  auto& editor = operators.Add();
  const auto first = std::get<EditStored>(operators.Apply(editor, "a", 0, Base()));
  auto changed = Base();
  changed.dataCentres_[0].withdrawn_ = true;
  operators.Apply(operators.Add(), "b", first.revision_, changed);
  const auto again = std::get<EditStored>(operators.Apply(editor, "a", 0, Base()));
  BOOST_TEST(again.revision_ == first.revision_);
  BOOST_TEST(again.configuration_.dataCentres_[0].withdrawn_);
  BOOST_TEST(operators.store_.written_.size() == 2U);
}

// Guards against a concurrent operator's change being lost without notice.
BOOST_AUTO_TEST_CASE(StaleRevisionIsAConflictWithThreeWayDifferences)
{
  Operators operators(1, 0);
  auto& editor = operators.Add();
  const auto first = std::get<EditStored>(operators.Apply(editor, "a", 0, Base()));
  auto theirs = Base();
  theirs.workspaces_[0].rate_ = 20;
  theirs.dataCentres_[0].withdrawn_ = true;
  const auto second = std::get<EditStored>(operators.Apply(editor, "b", first.revision_, theirs));
  auto ours = Base();
  ours.workspaces_[0].rate_ = 30;
  const auto conflict = std::get<EditConflict>(operators.Apply(editor, "c", first.revision_, ours));
  BOOST_TEST(conflict.revision_ == second.revision_);
  BOOST_TEST(conflict.baseKnown_);
  BOOST_TEST(conflict.difference_.ours_.size() == 1U);
  BOOST_TEST(conflict.difference_.theirs_.size() == 2U);
  BOOST_TEST((conflict.difference_.conflicts_ == std::vector<std::string>{ "workspaces/retail" }));
  // An instance that never saw the base still reports the conflict.
  const auto other =
    std::get<EditConflict>(operators.Apply(operators.Add(), "d", first.revision_, ours));
  BOOST_TEST(!other.baseKnown_);
}

// Guards against invalid changes reaching the store, and against an outage being reported as an
// unknown outcome although nothing was sent.
BOOST_AUTO_TEST_CASE(InvalidChangesAndOutagesStoreNothing)
{
  Operators operators(1, 0);
  auto& editor = operators.Add();
  auto invalid = Base();
  invalid.keys_.push_back({ "k", "nobody", "x" });
  BOOST_TEST(std::get<EditRefused>(operators.Apply(editor, "a", {}, invalid)).findings_.size() ==
             2U);
  operators.store_.down_ = true;
  BOOST_TEST(std::holds_alternative<EditUnavailable>(operators.Apply(editor, "b", {}, Base())));
  BOOST_TEST(operators.store_.written_.empty());
}

// Guards against an operation that the record no longer remembers being taken for one that never
// took effect.
BOOST_AUTO_TEST_CASE(RecordRemembersABoundedNumberOfOperations)
{
  ConfigurationRecord record;
  record.configuration_ = Base();
  for (std::uint64_t i = 1; i <= kRememberedOperations + 1; ++i) {
    record = record.Next("op" + std::to_string(i), i - 1, Base());
  }
  const auto parsed = ConfigurationRecord::Parse(record.ToText());
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST((parsed->operations_ == record.operations_));
  const std::uint64_t revision = kRememberedOperations + 1;
  BOOST_TEST(*parsed->RevisionOf("op2", revision) == 2U);
  BOOST_TEST(!parsed->RevisionOf("op1", revision).has_value());
  BOOST_TEST(!parsed->Remembers(0));
  BOOST_TEST(!ConfigurationRecord::Parse("{}").has_value());
}

// Guards against an accepted change that nobody but the store knows: it would have no effect while
// the store is down, however long that lasts.
BOOST_AUTO_TEST_CASE(StoredChangesAreAnnouncedWithTheirRecord)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Operators operators(seed, 0.3);
    const auto result = operators.Apply(operators.Add(), "a", {}, Base());
    if (const auto* stored = std::get_if<EditStored>(&result)) {
      BOOST_REQUIRE(operators.announced_.contains(stored->revision_));
    }
    for (const auto& [revision, text] : operators.announced_) {
      BOOST_TEST((operators.store_.written_.at(revision) == text));
    }
  }
}
