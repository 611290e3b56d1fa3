#pragma once

#include "core/Clock.hpp"
#include "exchange/Events.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace redwing {

/// A waiting request.
struct QueueItem
{
  ExchangeKey key_;
  std::string workspace_;
  std::uint32_t weight_ = 1;
  std::uint8_t priority_ = 0;
  TimePoint deadline_;
  /// A request that must wait beyond this to be finished is refused instead.
  TimePoint targetTime_ = TimePoint::max();
  /// Expected time at the server; zero if only that of all requests is known.
  Duration serviceTime_{};
};

/// What the queue needs to know to foresee a missed deadline.
struct ServiceRate
{
  Duration serviceTime_{};
  std::uint32_t running_ = 0;
  std::uint32_t limit_ = 1;
  /// Requests per second that the server may get; 0: no limit.
  double perSecond_ = 0;
};

enum class QueueVerdict : std::uint8_t
{
  Queued,
  Full,
  /// The request could not finish before its deadline.
  TooLate,
};

/// Bounded queue with strict priority classes and, inside a class, weighted fair queueing of
/// workspaces by virtual finish times.
class FairQueue
{
public:
  explicit FairQueue(std::size_t aCapacity);

  /// Adds aItem unless the queue is full or the deadline can't be met.
  ///
  /// Preconditions: aItem.weight_ > 0. Thread safety: not thread-safe.
  QueueVerdict Push(QueueItem aItem, const ServiceRate& aRate, TimePoint aNow);

  /// Removes and returns the next request.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::optional<QueueItem> Pop();

  /// Removes the request of aKey; returns whether it was queued.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool Remove(const ExchangeKey& aKey);

  /// Removes and returns requests that would not finish by their deadline if started at aNow and
  /// finished in this share of their expected time, or in aServiceTime if that is not known.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::vector<QueueItem> TakeExpired(Duration aServiceTime, TimePoint aNow, int aDivisor = 1);

  std::size_t Size() const { return size_; }
  bool Empty() const { return size_ == 0; }

private:
  struct Waiting
  {
    QueueItem item_;
    double start_ = 0;
    double finish_ = 0;
  };
  struct Flow
  {
    std::deque<Waiting> waiting_;
    double lastFinish_ = 0;
    std::uint32_t weight_ = 1;
  };
  struct PriorityClass
  {
    std::map<std::string, Flow, std::less<>> flows_;
    /// Flows with waiting requests by the finish time of their first one.
    std::set<std::pair<double, std::string>> active_;
    double virtualTime_ = 0;
    double activeWeight_ = 0;
    std::size_t size_ = 0;
    /// Known service times of the waiting requests together, and how many have none.
    Duration work_{};
    std::size_t unknown_ = 0;

    void Count(const QueueItem& aItem);
    void Discount(const QueueItem& aItem);
    Duration Work(Duration aServiceTime) const;
  };

  /// Requests that are expected to be served before another one, and their time at the server.
  struct Ahead
  {
    double count_ = 0;
    Duration work_{};
  };

  Ahead ExpectedAhead(const QueueItem& aItem, Duration aServiceTime) const;
  template<typename Predicate>
  std::vector<QueueItem> Extract(Predicate aPredicate);
  static void Reindex(PriorityClass& aClass);

  std::size_t capacity_;
  std::size_t size_ = 0;
  std::map<std::uint8_t, PriorityClass> classes_;
};

} // namespace redwing
