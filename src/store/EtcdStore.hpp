#pragma once

#include "store/HttpClient.hpp"
#include "store/Store.hpp"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace redwing {

namespace Detail {
class EtcdClient;
}

using EtcdStoreSettings = HttpClientSettings;

/// Store over the v3 JSON gateway of etcd.
///
/// A failed connect is Unavailable. A write whose reply was lost, late or unreadable after sending
/// began is OutcomeUnknown. Reads have no effect, so their failures are always Unavailable.
class EtcdStore final : public Store
{
public:
  /// Preconditions: aContext is run by one thread, the store thread; aClock outlives it.
  EtcdStore(boost::asio::io_context& aContext,
            const Clock& aClock,
            std::uint64_t aSeed,
            EtcdStoreSettings aSettings);

  /// Closes all connections. Callbacks of unfinished calls do not run any more once the store
  /// thread has handled the close.
  ///
  /// Preconditions: aContext outlives this object. Thread safety: callable from any thread.
  ~EtcdStore() override;
  EtcdStore(const EtcdStore&) = delete;
  EtcdStore& operator=(const EtcdStore&) = delete;

  void Range(std::string aPrefix, bool aExact, StoreCallback<StoreRange> aDone) override;
  void Commit(StoreTransaction aTransaction, StoreCallback<StoreTransactionResult> aDone) override;
  void GrantLease(std::chrono::seconds aTimeToLive, StoreCallback<StoreLease> aDone) override;
  void KeepAlive(std::int64_t aLease, StoreCallback<std::chrono::milliseconds> aDone) override;
  void Watch(std::string aPrefix, std::uint64_t aFromRevision, WatchCallback aEvents) override;

private:
  std::shared_ptr<Detail::EtcdClient> client_;
};

} // namespace redwing
