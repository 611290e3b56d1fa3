#pragma once

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

namespace redwing::test {

/// Collects items from other threads; the test waits until there are enough of them.
template<typename T>
class Inbox
{
public:
  void Add(T aItem)
  {
    std::lock_guard lock(mutex_);
    items_.push_back(std::move(aItem));
    changed_.notify_all();
  }

  /// Returns all items once there are aCount. The limit only ends a test that would hang.
  std::vector<T> Await(std::size_t aCount)
  {
    std::unique_lock lock(mutex_);
    const bool arrived =
      changed_.wait_for(lock, std::chrono::seconds(20), [&] { return items_.size() >= aCount; });
    BOOST_REQUIRE(arrived);
    return items_;
  }

  /// Returns all items once aCondition holds for them. The limit only ends a test that would hang.
  template<typename Condition>
  std::vector<T> AwaitUntil(Condition aCondition)
  {
    std::unique_lock lock(mutex_);
    const bool held =
      changed_.wait_for(lock, std::chrono::seconds(20), [&] { return aCondition(items_); });
    BOOST_REQUIRE(held);
    return items_;
  }

  std::size_t Size()
  {
    std::lock_guard lock(mutex_);
    return items_.size();
  }

private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<T> items_;
};

} // namespace redwing::test
