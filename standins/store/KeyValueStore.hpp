#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace redwing::standins {

struct KeyValue
{
  std::string key_;
  std::string value_;
  std::int64_t createRevision_ = 0;
  std::int64_t modRevision_ = 0;
  std::int64_t version_ = 0;
  std::int64_t lease_ = 0;
};

struct StoreEvent
{
  bool deleted_ = false;
  KeyValue kv_;
};

/// Range of keys as etcd defines it: empty end is one key, a single zero byte is everything after.
struct KeyRange
{
  std::string key_;
  std::string end_;

  bool Contains(const std::string& aKey) const;
};

/// In-memory store with revisions, leases and the history of all changes. Not thread-safe.
class KeyValueStore
{
public:
  /// Called with all events of one revision.
  using Listener = std::function<void(const std::vector<StoreEvent>&)>;

  explicit KeyValueStore(Listener aListener)
    : listener_(std::move(aListener))
  {
  }

  std::int64_t Revision() const { return revision_; }
  /// Returns the entry, or nullptr if the key does not exist.
  const KeyValue* Get(const std::string& aKey) const;
  std::vector<KeyValue> Range(const KeyRange& aRange) const;
  /// Changes between Begin and Commit share one revision.
  void Begin() { pending_.clear(); }
  /// Precondition: between Begin and Commit.
  void Put(const std::string& aKey, const std::string& aValue, std::int64_t aLease);
  /// Precondition: between Begin and Commit. Returns the number of deleted keys.
  std::int64_t Delete(const KeyRange& aRange);
  void Commit();
  bool HasLease(std::int64_t aLease) const { return leases_.contains(aLease); }
  std::int64_t GrantLease(std::int64_t aId, std::int64_t aTtlMs, std::int64_t aNowNs);
  /// Returns the time to live in milliseconds, 0 if the lease does not exist.
  std::int64_t KeepAlive(std::int64_t aLease, std::int64_t aNowNs);
  void RevokeLease(std::int64_t aLease);
  /// Revokes the leases whose time has passed; all of them when aNowNs is the maximum.
  void ExpireLeases(std::int64_t aNowNs);
  /// Gives each lease its whole time again.
  void RestartLeases(std::int64_t aNowNs);
  /// Returns the events of the range from aRevision on.
  std::vector<StoreEvent> History(const KeyRange& aRange, std::int64_t aRevision) const;

private:
  struct Lease
  {
    std::int64_t ttlMs_ = 0;
    std::int64_t deadlineNs_ = 0;
  };

  Listener listener_;
  std::int64_t revision_ = 1;
  std::int64_t nextLease_ = 7000;
  std::map<std::string, KeyValue> entries_;
  std::map<std::int64_t, Lease> leases_;
  std::vector<StoreEvent> pending_;
  std::vector<StoreEvent> history_;
};

} // namespace redwing::standins
