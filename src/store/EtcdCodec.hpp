#pragma once

#include "core/Base64.hpp"
#include "store/HttpReply.hpp"
#include "store/Store.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Requests and replies of etcd's v3 JSON gateway as text. All functions are callable from any
/// thread and have no preconditions; decoders return a description of what is malformed.
namespace redwing::Detail {

/// One message of a watch stream.
struct WatchMessage
{
  std::vector<StoreWatchEvent> events_;
  /// Set when the store ended the watch.
  std::optional<std::string> cancelReason_;
};

/// Returns the first key after all keys that start with aPrefix.
std::string PrefixEnd(std::string aPrefix);

std::string EncodeRange(std::string_view aPrefix, bool aExact);
std::string EncodeTransaction(const StoreTransaction& aTransaction);
std::string EncodeLeaseGrant(std::chrono::seconds aTimeToLive);
std::string EncodeKeepAlive(std::int64_t aLease);
std::string EncodeWatch(std::string_view aPrefix, std::uint64_t aFromRevision);

Decoded<StoreRange> DecodeRange(std::string_view aBody);
Decoded<StoreTransactionResult> DecodeTransaction(std::string_view aBody);
Decoded<StoreLease> DecodeLeaseGrant(std::string_view aBody);
Decoded<std::chrono::milliseconds> DecodeKeepAlive(std::string_view aBody);
Decoded<WatchMessage> DecodeWatch(std::string_view aLine);

} // namespace redwing::Detail
