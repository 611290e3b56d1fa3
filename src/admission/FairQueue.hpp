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

/// A request that waits for a slot of the backend server.
struct QueueItem
{
  ExchangeKey key_;
  std::string workspace_;
  std::uint32_t weight_ = 1;
  std::uint8_t priority_ = 0;
  TimePoint deadline_;
  /// A request that has to wait is refused if it is expected to finish later than this.
  TimePoint targetTime_ = TimePoint::max();
  /// Expected service time of this request; zero if only the average of all requests is known.
  Duration serviceTime_{};
};

/// Load and speed of the backend server, from which the queue estimates waiting times.
struct ServiceRate
{
  /// Expected service time of any request.
  Duration serviceTime_{};
  std::uint32_t running_ = 0;
  /// Maximum number of concurrent requests.
  std::uint32_t limit_ = 1;
  /// Maximum requests per second; 0 means no limit.
  double perSecond_ = 0;
  /// Time until the next request may be sent.
  Duration pause_{};
};

enum class QueueVerdict : std::uint8_t
{
  Queued,
  Full,
  /// The request is expected to miss its deadline or, if it has to wait, its target time.
  TooLate,
};

/// Bounded queue with strict priorities. Within a priority class, workspaces share the server by
/// weighted fair queueing with virtual finish times. Lower values of QueueItem::priority_ are
/// served first.
class FairQueue
{
public:
  explicit FairQueue(std::size_t aCapacity);

  /// Adds aItem unless the queue is full or the item is expected to finish too late. An item for an
  /// idle server with an empty queue is never too late.
  ///
  /// Preconditions: aItem.weight_ > 0. Thread safety: not thread-safe.
  QueueVerdict Push(QueueItem aItem, const ServiceRate& aRate, TimePoint aNow);

  /// Removes and returns the next request, or nothing if the queue is empty.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::optional<QueueItem> Pop();

  /// Removes the request with aKey and returns whether it was queued.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool Remove(const ExchangeKey& aKey);

  /// Removes and returns the requests that would miss their deadline even if they started at aNow
  /// and took only 1 / aDivisor of their expected service time. For requests without an expected
  /// service time, aServiceTime is used undivided.
  ///
  /// Preconditions: aDivisor > 0. Thread safety: not thread-safe.
  std::vector<QueueItem> TakeExpired(Duration aServiceTime, TimePoint aNow, int aDivisor = 1);

  /// Moves deadlines later than aLatest to aLatest.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void LimitDeadlines(TimePoint aLatest);

  std::size_t Size() const { return size_; }
  bool Empty() const { return size_ == 0; }

private:
  struct Waiting
  {
    QueueItem item_;
    /// Virtual start and finish time.
    double start_ = 0;
    double finish_ = 0;
  };
  /// The waiting requests of one workspace.
  struct Flow
  {
    std::deque<Waiting> waiting_;
    double lastFinish_ = 0;
    std::uint32_t weight_ = 1;
  };
  struct PriorityClass
  {
    std::map<std::string, Flow, std::less<>> flows_;
    /// Workspaces with waiting requests, ordered by the virtual finish time of their first request.
    std::set<std::pair<double, std::string>> active_;
    double virtualTime_ = 0;
    /// Sum of the weights of the active workspaces.
    double activeWeight_ = 0;
    std::size_t size_ = 0;
    /// Sum of the expected service times, and number of waiting requests without one.
    Duration work_{};
    std::size_t withoutEstimate_ = 0;

    /// Updates the totals for an item that was added or removed.
    void AddToTotals(const QueueItem& aItem);
    void RemoveFromTotals(const QueueItem& aItem);
    /// Returns the total service time of the class, with aServiceTime where none is known.
    Duration Work(Duration aServiceTime) const;
  };

  /// Requests that are expected to be served before a given one, and their total service time.
  struct WorkAhead
  {
    double count_ = 0;
    Duration work_{};
  };

  WorkAhead ExpectedAhead(const QueueItem& aItem, Duration aServiceTime) const;
  /// Removes and returns the items for which aPredicate is true.
  template<typename Predicate>
  std::vector<QueueItem> Extract(Predicate aPredicate);
  /// Rebuilds active_ and activeWeight_ after items were removed.
  static void Reindex(PriorityClass& aClass);

  std::size_t capacity_;
  std::size_t size_ = 0;
  std::map<std::uint8_t, PriorityClass> classes_;
};

} // namespace redwing
