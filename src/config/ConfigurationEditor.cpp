#include "config/ConfigurationEditor.hpp"

#include "config/ConfigurationRecord.hpp"
#include "config/ConfigurationValidator.hpp"

#include <algorithm>
#include <utility>

namespace redwing {

namespace {

/// Revisions kept to explain conflicts; operators rarely start from an older one.
constexpr std::size_t kRememberedRevisions = 8;
/// The store takes values up to 1 MB.
constexpr std::size_t kMaximumRecordBytes = 1'000'000;

/// The record in the store; revision 0 and an empty record when there is none.
struct Current
{
  std::uint64_t revision_ = 0;
  ConfigurationRecord record_;
};

tl::expected<Current, std::string>
ReadCurrent(const StoreRange& aRange)
{
  Current current;
  if (aRange.entries_.empty()) {
    return current;
  }
  const StoreEntry& entry = aRange.entries_.front();
  auto record = ConfigurationRecord::Parse(entry.value_);
  if (!record) {
    return tl::unexpected("stored configuration is malformed: " + record.error());
  }
  current.revision_ = entry.modRevision_;
  current.record_ = std::move(*record);
  return current;
}

} // namespace

struct ConfigurationEditor::Shared
{
  Store& store_;
  const Clock& clock_;
  Random random_;
  Schedule schedule_;
  Settings settings_;
  /// Configurations seen lately, by revision.
  std::map<std::uint64_t, Configuration> seen_;
  OnStored onStored_;

  void Announce(std::uint64_t aRevision, const std::string& aRecord) const
  {
    if (onStored_) {
      onStored_(aRevision, aRecord);
    }
  }

  void Remember(std::uint64_t aRevision, const Configuration& aConfiguration)
  {
    seen_.insert_or_assign(aRevision, aConfiguration);
    while (seen_.size() > kRememberedRevisions) {
      seen_.erase(seen_.begin());
    }
  }
};

/// One change from its first read to its result. Kept alive by the store callbacks.
class ConfigurationEditor::Edit : public std::enable_shared_from_this<Edit>
{
public:
  Edit(std::shared_ptr<Shared> aShared, std::string aOperation, EditCallback aDone)
    : shared_(std::move(aShared))
    , operation_(std::move(aOperation))
    , done_(std::move(aDone))
    , deadline_(shared_->clock_.Now() + shared_->settings_.timeLimit_)
    , delay_(shared_->settings_.minimumDelay_)
  {
  }

  /// Makes the edit replace the whole configuration.
  void Replace(std::optional<std::uint64_t> aExpected, Configuration aConfiguration)
  {
    expected_ = aExpected;
    document_ = std::move(aConfiguration);
  }

  void SetMutation(ConfigurationMutation aMutation) { mutation_ = std::move(aMutation); }

  void Start()
  {
    shared_->store_.Range(
      kConfigurationKey, true, [self = shared_from_this()](StoreResult<StoreRange> aResult) {
        if (!aResult) {
          self->RetryLater("read: " + aResult.error().message_);
          return;
        }
        auto current = ReadCurrent(*aResult);
        if (!current) {
          self->Finish(self->writtenOver_ ? EditResult(EditUnknown{ current.error() })
                                          : EditResult(EditUnavailable{ current.error() }));
          return;
        }
        self->OnCurrent(std::move(*current));
      });
  }

private:
  void OnCurrent(Current aCurrent)
  {
    if (aCurrent.revision_ != 0) {
      shared_->Remember(aCurrent.revision_, aCurrent.record_.configuration_);
    }
    if (const auto stored = aCurrent.record_.RevisionOf(operation_, aCurrent.revision_)) {
      shared_->Announce(aCurrent.revision_, aCurrent.record_.ToText());
      Finish(EditStored{ *stored, std::move(aCurrent.record_.configuration_) });
      return;
    }
    if (writtenOver_ && *writtenOver_ != aCurrent.revision_) {
      // Another write replaced the revision that ours compares with, so ours can no longer take
      // effect. Only a record that remembers the replacing operation proves that it never did.
      if (!aCurrent.record_.Remembers(*writtenOver_)) {
        Finish(EditUnknown{ "reply lost, and too many changes followed to tell" });
        return;
      }
      writtenOver_.reset();
    }
    if (expected_ && *expected_ != aCurrent.revision_) {
      Finish(Conflict(aCurrent));
      return;
    }
    Write(aCurrent);
  }

  EditResult Conflict(const Current& aCurrent) const
  {
    EditConflict conflict{ aCurrent.revision_, false, {} };
    const Configuration& theirs = aCurrent.record_.configuration_;
    const auto base = shared_->seen_.find(*expected_);
    conflict.baseKnown_ = *expected_ == 0 || base != shared_->seen_.end();
    if (conflict.baseKnown_) {
      const Configuration empty;
      conflict.difference_ =
        ConfigurationDiff::Compare3(*expected_ == 0 ? empty : base->second, document_, theirs);
    } else {
      conflict.difference_.ours_ = ConfigurationDiff::Compare(theirs, document_);
    }
    return conflict;
  }

  void Write(const Current& aCurrent)
  {
    Configuration next = mutation_ ? aCurrent.record_.configuration_ : document_;
    Findings findings = mutation_ ? mutation_(next) : Findings();
    if (findings.empty()) {
      findings = ConfigurationValidator::Validate(next, aCurrent.record_.configuration_);
    }
    if (!findings.empty()) {
      RefuseUnlessWritten(std::move(findings));
      return;
    }
    if (aCurrent.revision_ != 0 && next == aCurrent.record_.configuration_ && !writtenOver_) {
      Finish(EditStored{ aCurrent.revision_, std::move(next) });
      return;
    }
    ConfigurationRecord record = aCurrent.record_.Next(operation_, aCurrent.revision_, next);
    std::string text = record.ToText();
    if (text.size() > kMaximumRecordBytes) {
      RefuseUnlessWritten({ { "", "configuration is larger than 1 MB" } });
      return;
    }
    Commit(aCurrent.revision_, std::move(next), std::move(text));
  }

  /// A refusal is final only if no earlier attempt may still take effect.
  void RefuseUnlessWritten(Findings aFindings)
  {
    if (writtenOver_) {
      Finish(EditUnknown{ "reply lost" });
    } else {
      Finish(EditRefused{ std::move(aFindings) });
    }
  }

  void Commit(std::uint64_t aRevision, Configuration aNext, std::string aText)
  {
    StoreTransaction transaction;
    transaction.compares_.push_back({ kConfigurationKey, aRevision });
    transaction.writes_.push_back({ kConfigurationKey, aText, 0 });
    shared_->store_.Commit(
      std::move(transaction),
      [self = shared_from_this(), aRevision, next = std::move(aNext), text = std::move(aText)](
        StoreResult<StoreTransactionResult> aResult) {
        if (aResult && aResult->succeeded_) {
          self->shared_->Remember(aResult->revision_, next);
          self->shared_->Announce(aResult->revision_, text);
          self->Finish(EditStored{ aResult->revision_, next });
        } else if (aResult) {
          // Another write came first, or our own earlier one did; reading tells which.
          self->RetryLater("lost every race");
        } else if (aResult.error().kind_ == StoreErrorKind::Rejected) {
          self->RefuseUnlessWritten({ { "", "store: " + aResult.error().message_ } });
        } else {
          if (aResult.error().kind_ == StoreErrorKind::OutcomeUnknown) {
            self->writtenOver_ = aRevision;
          }
          self->RetryLater("write: " + aResult.error().message_);
        }
      });
  }

  void RetryLater(const std::string& aReason)
  {
    if (shared_->clock_.Now() + delay_ >= deadline_) {
      Finish(writtenOver_ ? EditResult(EditUnknown{ aReason })
                          : EditResult(EditUnavailable{ aReason }));
      return;
    }
    const double share = 0.5 + shared_->random_.Unit() / 2;
    const Duration wait(static_cast<Duration::rep>(delay_.count() * share));
    delay_ = std::min<Duration>(delay_ * 2, shared_->settings_.maximumDelay_);
    shared_->schedule_(wait, [self = shared_from_this()] { self->Start(); });
  }

  void Finish(EditResult aResult) { done_(std::move(aResult)); }

  std::shared_ptr<Shared> shared_;
  std::string operation_;
  EditCallback done_;
  TimePoint deadline_;
  Duration delay_;
  std::optional<std::uint64_t> expected_;
  Configuration document_;
  ConfigurationMutation mutation_;
  /// Revision that a write with unknown outcome compares with.
  std::optional<std::uint64_t> writtenOver_;
};

ConfigurationEditor::ConfigurationEditor(Store& aStore,
                                         const Clock& aClock,
                                         std::uint64_t aSeed,
                                         Schedule aSchedule,
                                         Settings aSettings,
                                         OnStored aOnStored)
  : shared_(std::make_shared<Shared>(Shared{ aStore,
                                             aClock,
                                             Random(aSeed),
                                             std::move(aSchedule),
                                             aSettings,
                                             {},
                                             std::move(aOnStored) }))
{
}

void
ConfigurationEditor::Apply(std::string aOperation,
                           std::optional<std::uint64_t> aExpected,
                           Configuration aConfiguration,
                           EditCallback aDone)
{
  auto edit = std::make_shared<Edit>(shared_, std::move(aOperation), std::move(aDone));
  edit->Replace(aExpected, std::move(aConfiguration));
  edit->Start();
}

void
ConfigurationEditor::Mutate(std::string aOperation,
                            ConfigurationMutation aMutation,
                            EditCallback aDone)
{
  auto edit = std::make_shared<Edit>(shared_, std::move(aOperation), std::move(aDone));
  edit->SetMutation(std::move(aMutation));
  edit->Start();
}

void
ConfigurationEditor::Read(StoreCallback<ConfigurationRevision> aDone)
{
  shared_->store_.Range(
    kConfigurationKey,
    true,
    [shared = shared_, done = std::move(aDone)](StoreResult<StoreRange> aResult) {
      if (!aResult) {
        done(tl::unexpected(aResult.error()));
        return;
      }
      auto current = ReadCurrent(*aResult);
      if (!current) {
        done(tl::unexpected(StoreError{ StoreErrorKind::Unavailable, current.error() }));
        return;
      }
      ConfigurationRevision revision;
      revision.revision_ = current->revision_;
      if (current->revision_ != 0) {
        shared->Remember(current->revision_, current->record_.configuration_);
        revision.operationId_ = current->record_.operations_.front().id_;
      }
      revision.configuration_ = std::move(current->record_.configuration_);
      done(std::move(revision));
    });
}

} // namespace redwing
