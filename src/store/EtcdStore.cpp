#include "store/EtcdStore.hpp"

#include "store/EtcdClient.hpp"
#include "store/EtcdCodec.hpp"
#include "store/HttpReply.hpp"
#include "store/StoreHttp.hpp"

#include <boost/asio/post.hpp>
#include <utility>

namespace redwing {

namespace {

constexpr const char* kRangePath = "/v3/kv/range";
constexpr const char* kTransactionPath = "/v3/kv/txn";
constexpr const char* kGrantPath = "/v3/lease/grant";
constexpr const char* kKeepAlivePath = "/v3/lease/keepalive";
constexpr const char* kWatchPath = "/v3/watch";

/// Returns a reply handler that decodes the body with aDecode and passes the result to aDone.
template<typename T>
StoreCallback<HttpStoreReply>
DecodeWith(Decoded<T> (*aDecode)(std::string_view), bool aWrites, StoreCallback<T> aDone)
{
  return [aDecode, aWrites, done = std::move(aDone)](StoreResult<HttpStoreReply> aReply) {
    done(DecodeReply<T>(std::move(aReply), aWrites, Detail::ClassifyStatus, aDecode));
  };
}

} // namespace

EtcdStore::EtcdStore(boost::asio::io_context& aContext,
                     const Clock& aClock,
                     std::uint64_t aSeed,
                     EtcdStoreSettings aSettings)
  : client_(std::make_shared<Detail::EtcdClient>(aContext, aClock, aSeed, std::move(aSettings)))
{
}

EtcdStore::~EtcdStore()
{
  boost::asio::post(client_->Context(), [client = client_] { client->Close(); });
}

void
EtcdStore::Range(std::string aPrefix, bool aExact, StoreCallback<StoreRange> aDone)
{
  client_->Post({ kRangePath, Detail::EncodeRange(aPrefix, aExact), false, "POST", {} },
                DecodeWith<StoreRange>(Detail::DecodeRange, false, std::move(aDone)));
}

void
EtcdStore::Commit(StoreTransaction aTransaction, StoreCallback<StoreTransactionResult> aDone)
{
  client_->Post(
    { kTransactionPath, Detail::EncodeTransaction(aTransaction), true, "POST", {} },
    DecodeWith<StoreTransactionResult>(Detail::DecodeTransaction, true, std::move(aDone)));
}

void
EtcdStore::GrantLease(std::chrono::seconds aTimeToLive, StoreCallback<StoreLease> aDone)
{
  client_->Post({ kGrantPath, Detail::EncodeLeaseGrant(aTimeToLive), true, "POST", {} },
                DecodeWith<StoreLease>(Detail::DecodeLeaseGrant, true, std::move(aDone)));
}

void
EtcdStore::KeepAlive(std::int64_t aLease, StoreCallback<std::chrono::milliseconds> aDone)
{
  client_->Post(
    { kKeepAlivePath, Detail::EncodeKeepAlive(aLease), true, "POST", {} },
    DecodeWith<std::chrono::milliseconds>(Detail::DecodeKeepAlive, true, std::move(aDone)));
}

void
EtcdStore::Watch(std::string aPrefix, std::uint64_t aFromRevision, WatchCallback aEvents)
{
  client_->PostWatch({ kWatchPath, Detail::EncodeWatch(aPrefix, aFromRevision), false, "POST", {} },
                     std::move(aEvents));
}

} // namespace redwing
