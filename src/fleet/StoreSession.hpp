#pragma once

#include "core/Clock.hpp"
#include "fleet/MemberRecord.hpp"
#include "store/Store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace redwing {

struct StoreSessionSettings
{
  /// Common prefix of the fleet's keys.
  std::string prefix_ = "redwing/";
  /// A member that does not renew its lease for this long is removed. It bounds both the time for
  /// which the shards of a lost instance are unserved and the store outage that an instance
  /// survives.
  std::chrono::seconds leaseTime_{ 6 };
  std::chrono::milliseconds renewInterval_{ 1000 };
  std::chrono::milliseconds retryInterval_{ 250 };
};

struct StoreSessionHooks
{
  /// Called when entries or the state of the lease changed.
  std::function<void()> onChange_;
  /// Asks another instance to renew the lease; aDone receives the time to live that the store has
  /// granted, 0 if it did not renew the lease.
  std::function<void(std::int64_t aLease, std::function<void(std::chrono::milliseconds)> aDone)>
    relayRenewal_;
};

/// Membership of this instance in the store: its record, bound to a lease that the session renews,
/// and a local copy of all entries of the fleet. A watch keeps the member records up to date; shard
/// tables are not watched. When the store comes back from an older copy, in a new epoch, the
/// session reads the entries and registers again. Runs on the context's thread.
class StoreSession
{
public:
  using Entries = std::map<std::string, StoreEntry, std::less<>>;

  StoreSession(boost::asio::io_context& aContext,
               const Clock& aClock,
               Store& aStore,
               StoreSessionSettings aSettings,
               StoreSessionHooks aHooks);
  ~StoreSession();

  /// Starts the session by reading the entries.
  ///
  /// Preconditions: called once. Thread safety: the context's thread only, like all functions here.
  void Start();

  /// Sets the record of this instance; the first one registers it.
  void SetSelf(const MemberRecord& aSelf);

  /// Registers again if the store has entered a new epoch.
  void CheckEpoch();

  /// Records an epoch of the store that another instance has seen.
  void OnEpochSeen(std::uint64_t aEpoch);

  /// Sets the time in which the loss of the watch is noticed; without a value the store's own time
  /// applies.
  void SetWatchInterval(std::optional<std::chrono::milliseconds> aInterval)
  {
    store_.SetWatchInterval(membersPrefix_, aInterval);
  }

  /// Returns the newest epoch of the store that this instance knows of.
  std::uint64_t Epoch() const { return epoch_; }

  /// Reads all entries again; used when another instance reports newer ones.
  void Reload();

  /// Commits aTransaction; reads all entries again if the call failed or, with aReadsOnConflict, a
  /// condition did not hold.
  void Commit(StoreTransaction aTransaction,
              StoreCallback<StoreTransactionResult> aDone,
              bool aReadsOnConflict = true);

  /// Removes the leader's entry if it names this instance.
  void Resign();

  /// Ends the session and gives up leadership; aDone is called on completion or failure. The member
  /// record is removed only if the local server holds nothing; otherwise the record must remain
  /// until the lease has expired and with it all holds.
  void End(std::function<void()> aDone);

  /// Returns the earliest time at which the lease may expire.
  TimePoint LeaseDeadline() const { return leaseDeadline_; }

  /// Returns the earliest time at which the lease of the last registration of an earlier epoch may
  /// have expired; renewals in later epochs do not extend it. It is the start of time if there was
  /// none or if a later registration has ended.
  TimePoint EarlierDeadline() const { return earlierDeadline_; }

  /// Returns whether the entries were read after the current registration, so that no other
  /// instance can have changed this instance's assignments since.
  bool Confirmed() const { return registered_ && confirmed_; }

  /// Returns whether the record in the store states that aServerIncarnation may hold shards, the
  /// entries were read since it states this, and no write that could change it is in progress or
  /// may still take effect. Before, other instances could take over its shards.
  bool Publishes(const std::string& aServerIncarnation) const;

  /// Returns whether the entries were read at least once.
  bool Loaded() const { return loaded_; }

  const Entries& All() const { return entries_; }
  /// Returns the revision at which all entries were last read.
  std::uint64_t LoadedAt() const { return loadedAt_; }
  /// Returns the revision of the newest known change of a member record or of the leader.
  std::uint64_t NewestChange() const { return newestChange_; }
  std::int64_t Lease() const { return lease_; }
  std::string MemberKey(const std::string& aInstanceId) const;
  std::string LeaderKey() const { return membersPrefix_ + "leader"; }
  /// Returns the key of the ledger of allowances in use, which the leader writes.
  std::string LedgerKey() const { return settings_.prefix_ + "allowances"; }
  std::string TableKey(const std::string& aService) const;
  /// Returns the common prefix of the records of rollouts, which the leader writes.
  std::string RolloutsPrefix() const { return settings_.prefix_ + "rollouts/"; }

  /// Returns the revision of the last change of aKey, or 0 if the key does not exist.
  std::uint64_t RevisionOf(const std::string& aKey) const;

  /// Returns the service whose shard table is stored under aKey, or an empty string if aKey is not
  /// the key of a table.
  std::string ServiceOfTable(const std::string& aKey) const;
  /// Returns whether aKey is the key of a member record.
  bool IsMemberKey(const std::string& aKey) const;

private:
  using Task = std::function<void()>;

  template<typename T>
  StoreCallback<T> PostToContext(std::function<void(StoreResult<T>)> aHandle);
  /// Like PostToContext, but ignores answers that arrive in a later epoch than that of the call.
  template<typename T>
  StoreCallback<T> WithinEpoch(std::function<void(StoreResult<T>)> aHandle);
  void BeginEpoch(std::uint64_t aEpoch);
  void RunAfter(std::chrono::milliseconds aDelay, Task aTask);
  void Register();
  void GrantLease();
  void WriteSelf();
  void OnWritten(const MemberRecord& aRecord,
                 std::int64_t aLease,
                 const StoreResult<StoreTransactionResult>& aResult);
  /// Handles the result of a write with a lease that is not used any more. It tells nothing about
  /// the present lease or registration.
  void OnWrittenWithEarlierLease(const MemberRecord& aRecord,
                                 std::int64_t aLease,
                                 const StoreResult<StoreTransactionResult>& aResult);
  void Load();
  void OnLoaded(StoreRange aRange);
  void Watch();
  void OnEvents(const std::vector<StoreWatchEvent>& aEvents);
  void Renew();
  void RenewThroughPeer();
  /// Records that a call that was sent at aSentAt made the lease last for aTimeToLive.
  void Extend(TimePoint aSentAt, std::chrono::milliseconds aTimeToLive);
  void ScheduleRenew(std::chrono::milliseconds aDelay);
  void OnLapsed(const char* aReason);

  boost::asio::io_context& context_;
  const Clock& clock_;
  Store& store_;
  StoreSessionSettings settings_;
  StoreSessionHooks hooks_;
  boost::asio::steady_timer renewTimer_;
  /// Lets callbacks detect that this object was destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  /// Prefix of the member records and of the leader's entry; only these are watched.
  const std::string membersPrefix_;
  const std::string recordsPrefix_;
  const std::string tablesPrefix_;
  std::optional<MemberRecord> self_;
  Entries entries_;
  std::uint64_t epoch_ = 0;
  std::uint64_t revision_ = 0;
  /// Revision of the last read of all entries; events up to it are outdated.
  std::uint64_t loadedAt_ = 0;
  std::uint64_t newestChange_ = 0;
  bool watching_ = false;
  std::int64_t lease_ = 0;
  /// Number of the last request for a lease; replies to earlier ones are ignored.
  std::uint64_t leaseRequest_ = 0;
  /// When the newest call was sent whose reply has extended the lease.
  TimePoint extendedBySentAt_{};
  TimePoint leaseDeadline_{};
  TimePoint earlierDeadline_{};
  TimePoint grantSentAt_{};
  std::chrono::milliseconds grantedTime_{ 0 };
  std::uint64_t registeredAt_ = 0;
  bool loaded_ = false;
  /// The entries were read in the present epoch.
  bool loadedInEpoch_ = false;
  bool registered_ = false;
  bool confirmed_ = false;
  bool writing_ = false;
  /// The outcome of a write of the record is unknown; only a later write prevents it from taking
  /// effect.
  bool mustRewrite_ = false;
  std::string writtenServerIncarnation_;
  /// Revision of the write that named it first.
  std::uint64_t namedAt_ = 0;
  bool loading_ = false;
  bool ended_ = false;
  bool storeLost_ = false;
  /// The last renewal was made through another instance.
  bool relayed_ = false;
};

template<typename T>
StoreCallback<T>
StoreSession::PostToContext(std::function<void(StoreResult<T>)> aHandle)
{
  return [this, alive = std::weak_ptr<bool>(alive_), handle = std::move(aHandle)](
           StoreResult<T> aResult) {
    boost::asio::post(context_, [alive, handle, result = std::move(aResult)]() mutable {
      const auto present = alive.lock();
      if (present && *present) {
        handle(std::move(result));
      }
    });
  };
}

template<typename T>
StoreCallback<T>
StoreSession::WithinEpoch(std::function<void(StoreResult<T>)> aHandle)
{
  // Before the first answer the epoch is not known.
  const bool first = !loaded_;
  return PostToContext<T>(
    [this, first, epoch = epoch_, handle = std::move(aHandle)](StoreResult<T> aResult) {
      CheckEpoch();
      if (first || epoch == epoch_) {
        handle(std::move(aResult));
      }
    });
}

} // namespace redwing
