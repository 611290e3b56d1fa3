#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace redwing {

/// Holds an immutable snapshot that one thread replaces and others read.
template<typename T>
class Published
{
public:
  using Snapshot = std::shared_ptr<const T>;

  explicit Published(Snapshot aInitial)
    : current_(std::move(aInitial))
  {
  }

  /// Replaces the snapshot.
  ///
  /// Preconditions: aNext is not null. Thread safety: callable from any thread.
  void Set(Snapshot aNext)
  {
    std::lock_guard lock(mutex_);
    current_.swap(aNext);
    version_.fetch_add(1, std::memory_order_release);
  }

  /// Returns the current snapshot.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  Snapshot Get() const
  {
    std::lock_guard lock(mutex_);
    return current_;
  }

  /// Returns a number that changes with each Set; lets a reader skip the lock.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  std::uint64_t Version() const { return version_.load(std::memory_order_acquire); }

private:
  mutable std::mutex mutex_;
  Snapshot current_;
  std::atomic<std::uint64_t> version_{ 1 };
};

/// Cached view of a Published value for one reader thread; takes the lock only after a change.
template<typename T>
class PublishedReader
{
public:
  explicit PublishedReader(const Published<T>& aSource)
    : source_(aSource)
  {
  }

  /// Returns the current snapshot; the reference stays valid until the next call.
  ///
  /// Preconditions: none. Thread safety: one thread per reader object.
  const std::shared_ptr<const T>& Get()
  {
    const std::uint64_t version = source_.Version();
    if (version != version_) {
      cached_ = source_.Get();
      version_ = version;
    }
    return cached_;
  }

private:
  const Published<T>& source_;
  std::shared_ptr<const T> cached_;
  std::uint64_t version_ = 0;
};

} // namespace redwing
