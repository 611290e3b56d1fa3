#include "fleet/StoreSession.hpp"

#include "core/Log.hpp"
#include "store/StoreRevision.hpp"

#include <algorithm>
#include <utility>

namespace redwing {

using std::chrono::milliseconds;

namespace {

constexpr const char* kMembers = "members/";
constexpr const char* kRecords = "record/";
constexpr const char* kTables = "shards/";

} // namespace

StoreSession::StoreSession(boost::asio::io_context& aContext,
                           const Clock& aClock,
                           Store& aStore,
                           StoreSessionSettings aSettings,
                           StoreSessionHooks aHooks)
  : context_(aContext)
  , clock_(aClock)
  , store_(aStore)
  , settings_(std::move(aSettings))
  , hooks_(std::move(aHooks))
  , renewTimer_(aContext)
  , membersPrefix_(settings_.prefix_ + kMembers)
  , recordsPrefix_(membersPrefix_ + kRecords)
  , tablesPrefix_(settings_.prefix_ + kTables)
{
}

StoreSession::~StoreSession()
{
  *alive_ = false;
}

std::string
StoreSession::MemberKey(const std::string& aInstanceId) const
{
  return recordsPrefix_ + aInstanceId;
}

std::string
StoreSession::TableKey(const std::string& aService) const
{
  return tablesPrefix_ + aService;
}

std::string
StoreSession::ServiceOfTable(const std::string& aKey) const
{
  return aKey.starts_with(tablesPrefix_) ? aKey.substr(tablesPrefix_.size()) : std::string();
}

bool
StoreSession::IsMemberKey(const std::string& aKey) const
{
  return aKey.starts_with(recordsPrefix_);
}

void
StoreSession::RunAfter(milliseconds aDelay, Task aTask)
{
  const auto timer = std::make_shared<boost::asio::steady_timer>(context_, aDelay);
  timer->async_wait([timer, alive = std::weak_ptr<bool>(alive_), task = std::move(aTask)](
                      const boost::system::error_code&) {
    const auto present = alive.lock();
    if (present && *present) {
      task();
    }
  });
}

void
StoreSession::Start()
{
  Load();
}

void
StoreSession::SetSelf(const MemberRecord& aSelf)
{
  self_ = aSelf;
  if (registered_) {
    WriteSelf();
  } else if (loadedInEpoch_) {
    Register();
  }
}

std::uint64_t
StoreSession::RevisionOf(const std::string& aKey) const
{
  const auto found = entries_.find(aKey);
  return found == entries_.end() ? 0 : found->second.modRevision_;
}

void
StoreSession::WriteSelf()
{
  if (writing_ || lease_ <= 0 || ended_) {
    return;
  }
  const std::string key = MemberKey(self_->member_.ref_.id_);
  MemberRecord record = *self_;
  record.epoch_ = epoch_;
  const std::string text = record.ToText();
  const auto present = entries_.find(key);
  // Watch events do not tell the lease.
  const bool bound =
    present != entries_.end() && (present->second.lease_ == 0 || present->second.lease_ == lease_);
  if (registered_ && bound && present->second.value_ == text && !mustRewrite_) {
    return;
  }
  writing_ = true;
  // Conditional, so that a write whose reply was lost cannot take effect after a later write.
  StoreTransaction transaction;
  transaction.compares_.push_back({ key, RevisionOf(key) });
  transaction.writes_.push_back({ key, text, lease_ });
  store_.Commit(
    std::move(transaction),
    WithinEpoch<StoreTransactionResult>([this, record = std::move(record), lease = lease_](
                                          const StoreResult<StoreTransactionResult>& aResult) {
      writing_ = false;
      OnWritten(record, lease, aResult);
    }));
}

void
StoreSession::OnWritten(const MemberRecord& aRecord,
                        std::int64_t aLease,
                        const StoreResult<StoreTransactionResult>& aResult)
{
  if (aLease != lease_) {
    OnWrittenWithEarlierLease(aRecord, aLease, aResult);
    return;
  }
  if (!aResult) {
    mustRewrite_ = mustRewrite_ || aResult.error().kind_ == StoreErrorKind::OutcomeUnknown;
    if (aResult.error().kind_ == StoreErrorKind::Rejected) {
      OnLapsed("lease_unknown");
      return;
    }
    RunAfter(settings_.retryInterval_, [this] { Reload(); });
    return;
  }
  if (!aResult->succeeded_) {
    Reload();
    return;
  }
  const std::string key = MemberKey(self_->member_.ref_.id_);
  entries_[key] = { key, aRecord.ToText(), aResult->revision_, lease_ };
  mustRewrite_ = false;
  if (writtenServerIncarnation_ != aRecord.serverIncarnation_) {
    writtenServerIncarnation_ = aRecord.serverIncarnation_;
    namedAt_ = aResult->revision_;
    Reload();
  }
  if (!registered_) {
    registered_ = true;
    registeredAt_ = aResult->revision_;
    confirmed_ = false;
    LogLine(LogLevel::Info, "member_registered")
      .With("instance", self_->member_.ref_.id_)
      .With("lease", lease_)
      .With("revision", registeredAt_);
    Extend(grantSentAt_, grantedTime_);
    Reload();
  }
  // The record may have changed during the write.
  WriteSelf();
  hooks_.onChange_();
}

void
StoreSession::OnWrittenWithEarlierLease(const MemberRecord& aRecord,
                                        std::int64_t aLease,
                                        const StoreResult<StoreTransactionResult>& aResult)
{
  const bool written = aResult && aResult->succeeded_;
  LogLine(LogLevel::Info, "member_write_outdated")
    .With("lease", aLease)
    .With("present_lease", lease_)
    .With("outcome",
          written                                             ? "written"
          : aResult                                           ? "conflict"
          : aResult.error().kind_ == StoreErrorKind::Rejected ? "rejected"
                                                              : "unknown");
  if (written) {
    // The entry disappears with the earlier lease; a write with the present one replaces it.
    const std::string key = MemberKey(self_->member_.ref_.id_);
    entries_[key] = { key, aRecord.ToText(), aResult->revision_, aLease };
  } else if (aResult) {
    Reload();
  } else if (aResult.error().kind_ != StoreErrorKind::Rejected) {
    mustRewrite_ = mustRewrite_ || aResult.error().kind_ == StoreErrorKind::OutcomeUnknown;
    RunAfter(settings_.retryInterval_, [this] { Reload(); });
  }
  // The present lease may have been granted while this write was in progress.
  WriteSelf();
}

bool
StoreSession::Publishes(const std::string& aServerIncarnation) const
{
  return registered_ && !writing_ && !mustRewrite_ && loadedAt_ >= namedAt_ &&
         writtenServerIncarnation_ == aServerIncarnation;
}

void
StoreSession::Reload()
{
  if (!loading_ && !ended_) {
    Load();
  }
}

void
StoreSession::Load()
{
  loading_ = true;
  store_.Range(
    settings_.prefix_, false, WithinEpoch<StoreRange>([this](StoreResult<StoreRange> aRange) {
      loading_ = false;
      if (ended_) {
        return;
      }
      if (!aRange) {
        if (!std::exchange(storeLost_, true)) {
          LogLine(LogLevel::Warning, "store_lost")
            .With("error", aRange.error().message_)
            .With("revision", revision_);
        }
        RunAfter(settings_.retryInterval_, [this] { Reload(); });
        return;
      }
      if (std::exchange(storeLost_, false)) {
        LogLine(LogLevel::Info, "store_regained").With("revision", aRange->revision_);
      }
      if (EpochOf(aRange->revision_) != epoch_) {
        RunAfter(settings_.retryInterval_, [this] { Reload(); });
        return;
      }
      OnLoaded(std::move(*aRange));
    }));
}

void
StoreSession::OnLoaded(StoreRange aRange)
{
  if (aRange.revision_ >= revision_) {
    revision_ = aRange.revision_;
    loadedAt_ = aRange.revision_;
    entries_.clear();
    for (StoreEntry& entry : aRange.entries_) {
      if (entry.key_.starts_with(membersPrefix_)) {
        newestChange_ = std::max(newestChange_, entry.modRevision_);
      }
      std::string key = entry.key_;
      entries_.emplace(std::move(key), std::move(entry));
    }
  }
  loaded_ = true;
  loadedInEpoch_ = true;
  confirmed_ = confirmed_ || (registered_ && aRange.revision_ >= registeredAt_);
  if (registered_ && (!confirmed_ || loadedAt_ < namedAt_)) {
    // The entries were read before the last write of the record took effect.
    RunAfter(milliseconds::zero(), [this] { Reload(); });
  }
  Register();
  if (registered_ || lease_ > 0) {
    WriteSelf();
  }
  if (!watching_) {
    Watch();
  }
  hooks_.onChange_();
}

void
StoreSession::Watch()
{
  watching_ = true;
  using Events = std::vector<StoreWatchEvent>;
  store_.Watch(
    membersPrefix_, revision_ + 1, WithinEpoch<Events>([this](const StoreResult<Events>& aEvents) {
      if (ended_) {
        return;
      }
      if (!aEvents) {
        watching_ = false;
        RunAfter(settings_.retryInterval_, [this] { Reload(); });
        return;
      }
      OnEvents(*aEvents);
    }));
}

void
StoreSession::OnEvents(const std::vector<StoreWatchEvent>& aEvents)
{
  for (const StoreWatchEvent& event : aEvents) {
    revision_ = std::max(revision_, event.modRevision_);
    newestChange_ = std::max(newestChange_, event.modRevision_);
    const auto present = entries_.find(event.key_);
    const bool known =
      present != entries_.end() && present->second.modRevision_ >= event.modRevision_;
    if (known || event.modRevision_ <= loadedAt_) {
      continue;
    }
    if (event.value_) {
      entries_[event.key_] = { event.key_, *event.value_, event.modRevision_, 0 };
    } else if (present != entries_.end()) {
      entries_.erase(present);
    }
  }
  if (registered_ && !writing_ && !entries_.contains(MemberKey(self_->member_.ref_.id_))) {
    OnLapsed("record_gone");
  }
  hooks_.onChange_();
}

void
StoreSession::Commit(StoreTransaction aTransaction,
                     StoreCallback<StoreTransactionResult> aDone,
                     bool aReadsOnConflict)
{
  store_.Commit(std::move(aTransaction),
                PostToContext<StoreTransactionResult>(
                  [this, epoch = epoch_, done = std::move(aDone), aReadsOnConflict](
                    StoreResult<StoreTransactionResult> aResult) {
                    CheckEpoch();
                    if (epoch != epoch_) {
                      aResult = tl::unexpected(StoreError{ StoreErrorKind::OutcomeUnknown,
                                                           "the store is in a later epoch" });
                    }
                    if (!aResult || (aReadsOnConflict && !aResult->succeeded_)) {
                      Reload();
                    }
                    done(std::move(aResult));
                  }));
}

void
StoreSession::Resign()
{
  const auto leader = entries_.find(LeaderKey());
  if (!self_ || leader == entries_.end() || leader->second.value_ != self_->member_.ref_.id_) {
    return;
  }
  StoreTransaction transaction;
  transaction.compares_.push_back({ leader->first, leader->second.modRevision_ });
  transaction.writes_.push_back({ leader->first, std::nullopt, 0 });
  Commit(std::move(transaction), [](const StoreResult<StoreTransactionResult>&) {});
}

void
StoreSession::End(std::function<void()> aDone)
{
  ended_ = true;
  renewTimer_.cancel();
  if (!self_) {
    aDone();
    return;
  }
  const std::string own = MemberKey(self_->member_.ref_.id_);
  StoreTransaction transaction;
  if (self_->serverIncarnation_.empty() && registered_) {
    transaction.compares_.push_back({ own, RevisionOf(own) });
    transaction.writes_.push_back({ own, std::nullopt, 0 });
  }
  const auto leader = entries_.find(LeaderKey());
  if (leader != entries_.end() && leader->second.value_ == self_->member_.ref_.id_) {
    transaction.compares_.push_back({ leader->first, leader->second.modRevision_ });
    transaction.writes_.push_back({ leader->first, std::nullopt, 0 });
  }
  if (transaction.writes_.empty()) {
    aDone();
    return;
  }
  store_.Commit(
    std::move(transaction),
    PostToContext<StoreTransactionResult>(
      [done = std::move(aDone)](const StoreResult<StoreTransactionResult>&) { done(); }));
}

} // namespace redwing
