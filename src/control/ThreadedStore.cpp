#include "control/ThreadedStore.hpp"

#include <utility>

namespace redwing {

ThreadedStore::ThreadedStore(Store& aStore, Post aPost)
  : store_(aStore)
  , post_(std::move(aPost))
{
}

template<typename Result>
std::function<void(Result)>
ThreadedStore::Posted(std::function<void(Result)> aDone)
{
  return [post = post_, done = std::move(aDone)](Result aResult) {
    post([done, result = std::move(aResult)]() mutable { done(std::move(result)); });
  };
}

void
ThreadedStore::Range(std::string aPrefix, bool aExact, StoreCallback<StoreRange> aDone)
{
  store_.Range(std::move(aPrefix), aExact, Posted(std::move(aDone)));
}

void
ThreadedStore::Commit(StoreTransaction aTransaction, StoreCallback<StoreTransactionResult> aDone)
{
  store_.Commit(std::move(aTransaction), Posted(std::move(aDone)));
}

void
ThreadedStore::GrantLease(std::chrono::seconds aTimeToLive, StoreCallback<StoreLease> aDone)
{
  store_.GrantLease(aTimeToLive, Posted(std::move(aDone)));
}

void
ThreadedStore::KeepAlive(std::int64_t aLease, StoreCallback<std::chrono::milliseconds> aDone)
{
  store_.KeepAlive(aLease, Posted(std::move(aDone)));
}

void
ThreadedStore::Watch(std::string aPrefix, std::uint64_t aFromRevision, WatchCallback aEvents)
{
  store_.Watch(std::move(aPrefix), aFromRevision, Posted(std::move(aEvents)));
}

} // namespace redwing
