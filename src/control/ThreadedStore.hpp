#pragma once

#include "store/Store.hpp"

#include <functional>

namespace redwing {

/// Store decorator that runs callbacks through aPost, on the poster's thread, instead of on the
/// store thread.
class ThreadedStore final : public Store
{
public:
  using Post = std::function<void(std::function<void()>)>;

  ThreadedStore(Store& aStore, Post aPost);

  std::uint64_t Epoch() const override { return store_.Epoch(); }
  void Range(std::string aPrefix, bool aExact, StoreCallback<StoreRange> aDone) override;
  void Commit(StoreTransaction aTransaction, StoreCallback<StoreTransactionResult> aDone) override;
  void GrantLease(std::chrono::seconds aTimeToLive, StoreCallback<StoreLease> aDone) override;
  void KeepAlive(std::int64_t aLease, StoreCallback<std::chrono::milliseconds> aDone) override;
  void Watch(std::string aPrefix, std::uint64_t aFromRevision, WatchCallback aEvents) override;

private:
  /// Wraps a callback so that it is run through post_.
  template<typename Result>
  std::function<void(Result)> Posted(std::function<void(Result)> aDone);

  Store& store_;
  Post post_;
};

} // namespace redwing
