#pragma once

#include "store/Store.hpp"

#include <functional>

namespace redwing {

/// Store whose callbacks run on the thread of the given hook instead of the store thread.
class ThreadedStore final : public Store
{
public:
  using Post = std::function<void(std::function<void()>)>;

  ThreadedStore(Store& aStore, Post aPost);

  void Range(std::string aPrefix, bool aExact, StoreCallback<StoreRange> aDone) override;
  void Commit(StoreTransaction aTransaction, StoreCallback<StoreTransactionResult> aDone) override;
  void GrantLease(std::chrono::seconds aTimeToLive, StoreCallback<std::int64_t> aDone) override;
  void KeepAlive(std::int64_t aLease, StoreCallback<std::chrono::seconds> aDone) override;
  void Watch(std::string aPrefix, std::uint64_t aFromRevision, WatchCallback aEvents) override;

private:
  template<typename Result>
  std::function<void(Result)> Posted(std::function<void(Result)> aDone);

  Store& store_;
  Post post_;
};

} // namespace redwing
