#include "store/CountedStore.hpp"

#include <utility>

namespace redwing {

namespace {

Counter&
CounterOf(CounterRegistry& aCounters, std::string_view aUser, std::string_view aOperation)
{
  const std::string labels =
    "user=\"" + std::string(aUser) + "\",operation=\"" + std::string(aOperation) + "\"";
  return aCounters.GetCounter("redwing_store_calls_total", labels);
}

} // namespace

CountedStore::CountedStore(Store& aStore, CounterRegistry& aCounters, std::string_view aUser)
  : store_(aStore)
  , reads_(CounterOf(aCounters, aUser, "read"))
  , writes_(CounterOf(aCounters, aUser, "write"))
  , leases_(CounterOf(aCounters, aUser, "lease"))
  , renewals_(CounterOf(aCounters, aUser, "renewal"))
  , watches_(CounterOf(aCounters, aUser, "watch"))
{
}

std::uint64_t
CountedStore::Calls() const
{
  return reads_.Value() + writes_.Value() + leases_.Value() + renewals_.Value() + watches_.Value();
}

void
CountedStore::Range(std::string aPrefix, bool aExact, StoreCallback<StoreRange> aDone)
{
  reads_.Add();
  store_.Range(std::move(aPrefix), aExact, std::move(aDone));
}

void
CountedStore::Commit(StoreTransaction aTransaction, StoreCallback<StoreTransactionResult> aDone)
{
  writes_.Add();
  store_.Commit(std::move(aTransaction), std::move(aDone));
}

void
CountedStore::GrantLease(std::chrono::seconds aTimeToLive, StoreCallback<StoreLease> aDone)
{
  leases_.Add();
  store_.GrantLease(aTimeToLive, std::move(aDone));
}

void
CountedStore::KeepAlive(std::int64_t aLease, StoreCallback<std::chrono::milliseconds> aDone)
{
  renewals_.Add();
  store_.KeepAlive(aLease, std::move(aDone));
}

void
CountedStore::Watch(std::string aPrefix, std::uint64_t aFromRevision, WatchCallback aEvents)
{
  watches_.Add();
  // The callback may run after this object was destroyed; the counter outlives it.
  store_.Watch(std::move(aPrefix),
               aFromRevision,
               [&watches = watches_,
                events = std::move(aEvents)](StoreResult<std::vector<StoreWatchEvent>> aChanges) {
                 if (aChanges) {
                   watches.Add();
                 }
                 events(std::move(aChanges));
               });
}

} // namespace redwing
