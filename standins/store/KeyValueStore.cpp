#include "store/KeyValueStore.hpp"

#include <algorithm>

namespace redwing::standins {

namespace {

constexpr std::int64_t kNsPerMs = 1'000'000;

} // namespace

bool
KeyRange::Contains(const std::string& aKey) const
{
  if (end_.empty()) {
    return aKey == key_;
  }
  bool toTheEnd = end_.size() == 1 && end_[0] == '\0';
  return aKey >= key_ && (toTheEnd || aKey < end_);
}

const KeyValue*
KeyValueStore::Get(const std::string& aKey) const
{
  auto found = entries_.find(aKey);
  return found == entries_.end() ? nullptr : &found->second;
}

std::vector<KeyValue>
KeyValueStore::Range(const KeyRange& aRange) const
{
  std::vector<KeyValue> result;
  for (auto it = entries_.lower_bound(aRange.key_); it != entries_.end(); ++it) {
    if (!aRange.Contains(it->first)) {
      break;
    }
    result.push_back(it->second);
  }
  return result;
}

void
KeyValueStore::Put(const std::string& aKey, const std::string& aValue, std::int64_t aLease)
{
  auto& entry = entries_[aKey];
  entry.key_ = aKey;
  entry.value_ = aValue;
  entry.lease_ = aLease;
  entry.modRevision_ = revision_ + 1;
  if (entry.version_++ == 0) {
    entry.createRevision_ = revision_ + 1;
  }
  pending_.push_back({ false, entry });
}

std::int64_t
KeyValueStore::Delete(const KeyRange& aRange)
{
  auto gone = Range(aRange);
  for (auto& entry : gone) {
    entries_.erase(entry.key_);
    KeyValue deleted;
    deleted.key_ = entry.key_;
    deleted.modRevision_ = revision_ + 1;
    pending_.push_back({ true, std::move(deleted) });
  }
  return static_cast<std::int64_t>(gone.size());
}

void
KeyValueStore::Commit()
{
  if (pending_.empty()) {
    return;
  }
  ++revision_;
  history_.insert(history_.end(), pending_.begin(), pending_.end());
  auto events = std::move(pending_);
  pending_.clear();
  listener_(events);
}

std::int64_t
KeyValueStore::GrantLease(std::int64_t aId, std::int64_t aTtlMs, std::int64_t aNowNs)
{
  std::int64_t id = aId == 0 ? ++nextLease_ : aId;
  leases_[id] = { aTtlMs, aNowNs + aTtlMs * kNsPerMs };
  return id;
}

std::int64_t
KeyValueStore::KeepAlive(std::int64_t aLease, std::int64_t aNowNs)
{
  auto found = leases_.find(aLease);
  if (found == leases_.end()) {
    return 0;
  }
  found->second.deadlineNs_ = aNowNs + found->second.ttlMs_ * kNsPerMs;
  return found->second.ttlMs_;
}

void
KeyValueStore::RevokeLease(std::int64_t aLease)
{
  if (leases_.erase(aLease) == 0) {
    return;
  }
  std::vector<std::string> keys;
  for (const auto& [key, entry] : entries_) {
    if (entry.lease_ == aLease) {
      keys.push_back(key);
    }
  }
  Begin();
  for (const auto& key : keys) {
    Delete({ key, {} });
  }
  Commit();
}

void
KeyValueStore::ExpireLeases(std::int64_t aNowNs)
{
  std::vector<std::int64_t> expired;
  for (const auto& [id, lease] : leases_) {
    if (lease.deadlineNs_ <= aNowNs) {
      expired.push_back(id);
    }
  }
  for (auto id : expired) {
    RevokeLease(id);
  }
}

void
KeyValueStore::RestartLeases(std::int64_t aNowNs)
{
  for (auto& [id, lease] : leases_) {
    lease.deadlineNs_ = aNowNs + lease.ttlMs_ * kNsPerMs;
  }
}

std::vector<StoreEvent>
KeyValueStore::History(const KeyRange& aRange, std::int64_t aRevision) const
{
  std::vector<StoreEvent> result;
  std::copy_if(
    history_.begin(), history_.end(), std::back_inserter(result), [&](const StoreEvent& aEvent) {
      return aEvent.kv_.modRevision_ >= aRevision && aRange.Contains(aEvent.kv_.key_);
    });
  return result;
}

} // namespace redwing::standins
