// Part of FleetService: leader election, and the allowance ledger that a leader stores for its
// successor.

#include "core/Log.hpp"
#include "fleet/ElectionHandicap.hpp"
#include "fleet/FleetService.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace redwing {

using std::chrono::milliseconds;

namespace {

/// Random delay before members try to replace a lost leader, so that they do not all try at once.
constexpr std::uint64_t kElectionJitterMs = 150;
constexpr milliseconds kElectionRetry{ 400 };
/// Time for the leader of the epoch before to be elected again, because it knows what it lent.
constexpr milliseconds kReelectionTime{ 300 };

} // namespace

void
FleetService::UpdateLeadership()
{
  const std::string key = session_.LeaderKey();
  const auto entry = session_.All().find(key);
  const std::string& self = settings_.self_.ref_.id_;
  const bool named = entry != session_.All().end() && entry->second.value_ == self;
  const TimePoint now = clock_.Now();
  // Once its lease has expired, an instance that is cut off from the store may have been replaced.
  if (!session_.Confirmed() || leaving_ || now >= leaderLease_.Deadline()) {
    leadsSince_ = {};
  }
  const bool elected = leadsSince_ != TimePoint{};
  const bool leads = named && elected;
  if (leads && !leads_ && session_.LoadedAt() < electionRevision_) {
    // The previous leader's ledger must be read after the point at which it can no longer change.
    session_.Reload();
    return;
  }
  if (leads != leads_) {
    leads_ = leads;
    if (leads) {
      BeginLeadership();
      BeginRollouts(now);
    } else {
      SetRolloutMetrics();
      coordinator_.End();
    }
    LogLine(LogLevel::Info, leads ? "leader_begins" : "leader_ends")
      .With("instance", self)
      .With("revision", session_.RevisionOf(key));
  }
  const bool vacant = entry == session_.All().end();
  ledUntilEpoch_ = ledUntilEpoch_ && (vacant || named) && recovery_.Waits(now);
  if (electing_ || elected || !session_.Confirmed() || leaving_ || (!vacant && !named)) {
    nextElectionAt_ = {};
    return;
  }
  if (nextElectionAt_ == TimePoint{}) {
    // The entry still names this instance from before a restart: no other member competes for it.
    nextElectionAt_ = now;
    if (!named && !ledUntilEpoch_) {
      // A process that knows nothing of the epoch before makes the worst leader of a new one.
      const int delays = !recovery_.Waits(now) || !SeesEarlierEpoch() ? 0
                         : recovery_.Carried()                        ? 1
                                                                      : 2;
      nextElectionAt_ += milliseconds(random_.Below(kElectionJitterMs)) + delays * kReelectionTime +
                         ElectionHandicap(settings_.processors_, MostProcessors());
    }
  }
  if (now >= nextElectionAt_) {
    TakeLeadership();
  }
}

double
FleetService::MostProcessors() const
{
  double most = 0;
  for (const auto& [key, member] : members_) {
    const MemberRecord& record = member.record_;
    if (IsCurrent(member.revision_) && !record.member_.leaving_ &&
        !unreachable_.contains(record.member_.ref_.id_)) {
      most = std::max(most, record.processors_);
    }
  }
  return most;
}

void
FleetService::TakeLeadership()
{
  electing_ = true;
  // Another member may be elected while the lease is requested.
  const std::string key = session_.LeaderKey();
  leaderLease_.Acquire([this, key, revision = session_.RevisionOf(key)](std::int64_t aLease) {
    if (aLease == 0) {
      electing_ = false;
      nextElectionAt_ = clock_.Now() + kElectionRetry;
      return;
    }
    StoreTransaction transaction;
    transaction.compares_.push_back({ key, revision });
    transaction.writes_.push_back({ key, settings_.self_.ref_.id_, aLease });
    session_.Commit(std::move(transaction),
                    [this](const StoreResult<StoreTransactionResult>& aResult) {
                      electing_ = false;
                      if (aResult && aResult->succeeded_ && !leaving_) {
                        leadsSince_ = clock_.Now();
                        electionRevision_ = aResult->revision_;
                        session_.Reload();
                      } else {
                        leaderLease_.Drop();
                        nextElectionAt_ = clock_.Now() + kElectionRetry;
                      }
                    });
  });
}

void
FleetService::BeginLeadership()
{
  const auto ledger = session_.All().find(session_.LedgerKey());
  const bool found = ledger != session_.All().end();
  ledgerRevision_ = found ? ledger->second.modRevision_ : 0;
  if (std::exchange(ledUntilEpoch_, false)) {
    pools_.Resume();
    return;
  }
  contacts_.Reset();
  reportedTables_.clear();
  earlierGrantsUsedUntil_.clear();
  const TimePoint now = clock_.Now();
  pools_.Begin(found ? std::optional(ledger->second.value_) : std::nullopt,
               now,
               recovery_.Waits(now) && SeesEarlierEpoch());
}

void
FleetService::StoreLedger()
{
  if (!leads_) {
    return;
  }
  auto text = pools_.TakeLedger(
    [this](const std::string& aId) -> std::optional<double> {
      const Workspace* workspace = FindWorkspace(aId);
      return workspace == nullptr ? std::nullopt : std::optional(AllowanceOf(*workspace));
    },
    clock_.Now());
  if (!text) {
    return;
  }
  // Neither a former leader nor a delayed write may replace a newer ledger.
  StoreTransaction transaction;
  transaction.compares_.push_back(
    { session_.LeaderKey(), session_.RevisionOf(session_.LeaderKey()) });
  transaction.compares_.push_back({ session_.LedgerKey(), ledgerRevision_ });
  transaction.writes_.push_back({ session_.LedgerKey(), std::move(*text), 0 });
  session_.Commit(std::move(transaction),
                  [this, since = leadsSince_](const StoreResult<StoreTransactionResult>& aResult) {
                    if (since != leadsSince_) {
                      return;
                    }
                    const bool stored = aResult && aResult->succeeded_;
                    ledgerRevision_ =
                      stored ? aResult->revision_ : session_.RevisionOf(session_.LedgerKey());
                    pools_.OnLedgerStored(stored);
                  });
}

} // namespace redwing
