#pragma once

#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace redwing {

/// Bounded queue that joins two duties: many producer threads, one consumer thread.
///
/// New work enters with TryPush and is refused at the capacity. Follow-up events of work that was
/// accepted enter with Push, which never refuses: their number is bounded by the number of accepted
/// exchanges and their flow-control windows, and refusing one would break an exchange half-way.
template<typename T>
class Mailbox
{
public:
  using WakeHook = std::function<void()>;

  explicit Mailbox(std::size_t aCapacity)
    : capacity_(aCapacity)
  {
    pending_.reserve(aCapacity);
  }

  /// Sets the hook that schedules a Drain on the consumer thread.
  ///
  /// Preconditions: called before the first push. Thread safety: not thread-safe.
  void SetWake(WakeHook aWake) { wake_ = std::move(aWake); }

  /// Adds aItem unless the queue is at its capacity; returns whether it was added.
  ///
  /// Preconditions: SetWake was called. Thread safety: callable from any thread.
  [[nodiscard]] bool TryPush(T&& aItem) { return Add(std::move(aItem), true); }

  /// Adds aItem beyond the capacity if need be.
  ///
  /// Preconditions: SetWake was called; aItem belongs to work accepted earlier. Thread safety:
  /// callable from any thread.
  void Push(T&& aItem) { Add(std::move(aItem), false); }

  /// Passes every queued item to aConsume in order; returns how many there were.
  ///
  /// Preconditions: none. Thread safety: consumer thread only.
  template<typename Consume>
  std::size_t Drain(Consume&& aConsume)
  {
    {
      std::lock_guard lock(mutex_);
      batch_.swap(pending_);
      scheduled_ = false;
    }
    for (auto& item : batch_) {
      aConsume(std::move(item));
    }
    const std::size_t count = batch_.size();
    batch_.clear();
    return count;
  }

private:
  bool Add(T&& aItem, bool aBounded)
  {
    bool mustWake = false;
    {
      std::lock_guard lock(mutex_);
      if (aBounded && pending_.size() >= capacity_) {
        return false;
      }
      pending_.push_back(std::move(aItem));
      mustWake = !scheduled_;
      scheduled_ = true;
    }
    if (mustWake) {
      wake_();
    }
    return true;
  }

  std::size_t capacity_;
  WakeHook wake_;
  std::mutex mutex_;
  bool scheduled_ = false;
  std::vector<T> pending_;
  std::vector<T> batch_;
};

} // namespace redwing
