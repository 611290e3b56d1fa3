#pragma once

#include "core/Counters.hpp"
#include "store/Store.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace redwing {

/// Passes calls on to a store and counts them by operation for one of its users, as
/// redwing_store_calls_total. A watch counts when it begins and with each batch of changes: over
/// HTTP each of these is a call.
class CountedStore final : public Store
{
public:
  /// Preconditions: aStore and aCounters outlive this object and its calls; aUser is a word.
  CountedStore(Store& aStore, CounterRegistry& aCounters, std::string_view aUser);

  /// Returns the number of calls so far.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  std::uint64_t Calls() const;

  std::uint64_t Epoch() const override { return store_.Epoch(); }
  void Range(std::string aPrefix, bool aExact, StoreCallback<StoreRange> aDone) override;
  void Commit(StoreTransaction aTransaction, StoreCallback<StoreTransactionResult> aDone) override;
  void GrantLease(std::chrono::seconds aTimeToLive, StoreCallback<StoreLease> aDone) override;
  void KeepAlive(std::int64_t aLease, StoreCallback<std::chrono::milliseconds> aDone) override;
  void Watch(std::string aPrefix, std::uint64_t aFromRevision, WatchCallback aEvents) override;
  void SetWatchInterval(const std::string& aPrefix,
                        std::optional<std::chrono::milliseconds> aInterval) override
  {
    store_.SetWatchInterval(aPrefix, aInterval);
  }

private:
  Store& store_;
  Counter& reads_;
  Counter& writes_;
  Counter& leases_;
  Counter& renewals_;
  Counter& watches_;
};

} // namespace redwing
