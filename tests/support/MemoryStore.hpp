#pragma once

#include "store/Store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace redwing::test {

/// Store in memory on the test's event loop; answers come with the next turn of the loop.
class MemoryStore final : public Store
{
public:
  explicit MemoryStore(boost::asio::io_context& aContext)
    : context_(aContext)
  {
  }

  void Range(std::string aPrefix, bool aExact, StoreCallback<StoreRange> aDone) override
  {
    StoreRange range{ {}, revision_ };
    for (const auto& [key, entry] : entries_) {
      if (aExact ? key == aPrefix : key.starts_with(aPrefix)) {
        range.entries_.push_back(entry);
      }
    }
    boost::asio::post(context_, [aDone, range] { aDone(range); });
  }

  void Commit(StoreTransaction aTransaction, StoreCallback<StoreTransactionResult> aDone) override
  {
    bool holds = true;
    for (const StoreCompare& compare : aTransaction.compares_) {
      const auto found = entries_.find(compare.key_);
      holds =
        holds && (found == entries_.end() ? 0 : found->second.modRevision_) == compare.modRevision_;
    }
    if (holds) {
      ++revision_;
      std::vector<StoreWatchEvent> events;
      for (const StoreWrite& write : aTransaction.writes_) {
        if (write.value_) {
          entries_[write.key_] = { write.key_, *write.value_, revision_, write.lease_ };
        } else {
          entries_.erase(write.key_);
        }
        events.push_back({ write.key_, write.value_, revision_ });
      }
      Notify(events);
    }
    const StoreTransactionResult result{ holds, revision_ };
    boost::asio::post(context_, [aDone, result] { aDone(result); });
  }

  void GrantLease(std::chrono::seconds, StoreCallback<std::int64_t> aDone) override
  {
    boost::asio::post(context_, [aDone, lease = ++lastLease_] { aDone(lease); });
  }

  void KeepAlive(std::int64_t, StoreCallback<std::chrono::seconds> aDone) override
  {
    boost::asio::post(context_, [aDone] { aDone(std::chrono::seconds(6)); });
  }

  void Watch(std::string aPrefix, std::uint64_t, WatchCallback aEvents) override
  {
    watches_.emplace_back(std::move(aPrefix), std::move(aEvents));
  }

  const std::map<std::string, StoreEntry>& Entries() const { return entries_; }

private:
  void Notify(const std::vector<StoreWatchEvent>& aEvents)
  {
    for (const auto& [prefix, callback] : watches_) {
      std::vector<StoreWatchEvent> seen;
      for (const StoreWatchEvent& event : aEvents) {
        if (event.key_.starts_with(prefix)) {
          seen.push_back(event);
        }
      }
      if (!seen.empty()) {
        boost::asio::post(context_, [callback = callback, seen] { callback(seen); });
      }
    }
  }

  boost::asio::io_context& context_;
  std::uint64_t revision_ = 1;
  std::int64_t lastLease_ = 0;
  std::map<std::string, StoreEntry> entries_;
  std::vector<std::pair<std::string, WatchCallback>> watches_;
};

} // namespace redwing::test
