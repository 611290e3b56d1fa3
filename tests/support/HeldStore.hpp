#pragma once

#include "store/Store.hpp"

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <utility>

namespace redwing::test {

/// Access to a store whose calls and replies a test holds back by kind and lets go one by one, so
/// that replies come in any order. A held call has not taken effect; a held reply tells of one that
/// has.
class HeldStore final : public Store
{
public:
  enum Kind : std::size_t
  {
    Ranges,
    Commits,
    Grants,
    Renewals,
    KindCount,
  };

  explicit HeldStore(Store& aStore)
    : store_(aStore)
  {
  }

  void HoldCalls(Kind aKind, bool aHold) { queues_[aKind].holdsCalls_ = aHold; }
  void HoldReplies(Kind aKind, bool aHold) { queues_[aKind].holdsReplies_ = aHold; }

  /// Returns the number of calls and replies of aKind that are held.
  std::size_t Held(Kind aKind) const { return queues_[aKind].held_.size(); }
  /// Returns the number of calls of aKind that were made.
  std::size_t Calls(Kind aKind) const { return queues_[aKind].calls_; }

  /// Lets go the call or reply of aKind that was held first.
  void Release(Kind aKind) { Take(aKind).go_(); }
  /// Answers it with an error instead.
  void Fail(Kind aKind) { Take(aKind).fail_(); }

  std::uint64_t Epoch() const override { return store_.Epoch(); }

  void Range(std::string aPrefix, bool aExact, StoreCallback<StoreRange> aDone) override
  {
    Pass<StoreRange>(Ranges, std::move(aDone), [this, aPrefix, aExact](auto aReply) {
      store_.Range(aPrefix, aExact, std::move(aReply));
    });
  }

  void Commit(StoreTransaction aTransaction, StoreCallback<StoreTransactionResult> aDone) override
  {
    Pass<StoreTransactionResult>(Commits, std::move(aDone), [this, aTransaction](auto aReply) {
      store_.Commit(aTransaction, std::move(aReply));
    });
  }

  void GrantLease(std::chrono::seconds aTimeToLive, StoreCallback<StoreLease> aDone) override
  {
    Pass<StoreLease>(Grants, std::move(aDone), [this, aTimeToLive](auto aReply) {
      store_.GrantLease(aTimeToLive, std::move(aReply));
    });
  }

  void KeepAlive(std::int64_t aLease, StoreCallback<std::chrono::milliseconds> aDone) override
  {
    Pass<std::chrono::milliseconds>(Renewals, std::move(aDone), [this, aLease](auto aReply) {
      store_.KeepAlive(aLease, std::move(aReply));
    });
  }

  void Watch(std::string aPrefix, std::uint64_t aFromRevision, WatchCallback aEvents) override
  {
    store_.Watch(std::move(aPrefix), aFromRevision, std::move(aEvents));
  }

private:
  struct HeldCall
  {
    std::function<void()> go_;
    std::function<void()> fail_;
  };
  struct Queue
  {
    bool holdsCalls_ = false;
    bool holdsReplies_ = false;
    std::size_t calls_ = 0;
    std::deque<HeldCall> held_;
  };

  HeldCall Take(Kind aKind)
  {
    HeldCall first = std::move(queues_[aKind].held_.front());
    queues_[aKind].held_.pop_front();
    return first;
  }

  template<typename T, typename Call>
  void Pass(Kind aKind, StoreCallback<T> aDone, Call aCall)
  {
    Queue& queue = queues_[aKind];
    ++queue.calls_;
    const auto fail = [done = aDone] {
      done(tl::unexpected(StoreError{ StoreErrorKind::Unavailable, "held back" }));
    };
    auto reply = [this, aKind, fail, done = std::move(aDone)](StoreResult<T> aResult) {
      if (queues_[aKind].holdsReplies_) {
        queues_[aKind].held_.push_back({ [done, aResult] { done(aResult); }, fail });
      } else {
        done(std::move(aResult));
      }
    };
    if (queue.holdsCalls_) {
      queue.held_.push_back({ [aCall, reply] { aCall(reply); }, fail });
    } else {
      aCall(std::move(reply));
    }
  }

  Store& store_;
  std::array<Queue, KindCount> queues_;
};

} // namespace redwing::test
