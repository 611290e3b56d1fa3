#include "admission/FairQueue.hpp"
#include "core/Random.hpp"
#include "intake/ReturningCallers.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>

using namespace redwing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kSlots = 12;
constexpr Duration kServiceTime = 90ms;
constexpr Duration kTarget = 300ms;
constexpr Duration kCallerTimeout = 1200ms;
constexpr Duration kRetryAfter = 200ms;
constexpr std::uint8_t kPriority = 3;
constexpr std::uint8_t kRetryPriority = 131;

/// Simulates one backend server and its callers, which may send more than it can serve. A refused
/// caller retries once, with the rest of its timeout.
class Server
{
public:
  explicit Server(bool aRetriesLast)
    : retriesLast_(aRetriesLast)
  {
  }

  void Run(double aLoad, Duration aTime)
  {
    const double perSecond = aLoad * kSlots / std::chrono::duration<double>(kServiceTime).count();
    const TimePoint end = now_ + aTime;
    TimePoint next = now_;
    while (now_ < end) {
      if (now_ >= next) {
        const double gap = -std::log(1 - random_.Unit()) / perSecond;
        next += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
        const double share = 0.85 + 0.15 * random_.Unit();
        Send({ now_, now_ + std::chrono::duration_cast<Duration>(kCallerTimeout * share), false });
        continue;
      }
      now_ = events_.empty() ? next : std::min(next, events_.begin()->first);
      while (!events_.empty() && events_.begin()->first <= now_) {
        const Event event = events_.extract(events_.begin()).mapped();
        if (event.isCompletion_) {
          --running_;
          Finish(callers_[event.caller_]);
        } else {
          Send(callers_[event.caller_]);
        }
        Dispatch();
      }
    }
  }

  unsigned onTime_ = 0;
  unsigned late_ = 0;
  unsigned refused_ = 0;

private:
  struct Caller
  {
    TimePoint sentAt_;
    TimePoint givesUpAt_;
    bool hasRetried_ = false;
  };
  struct Event
  {
    std::uint64_t caller_;
    bool isCompletion_;
  };

  void Send(const Caller& aCaller)
  {
    const std::uint64_t id = ++lastCaller_;
    callers_[id] = aCaller;
    const bool isRetry = returning_.Returns("lookup", aCaller.givesUpAt_ - now_, now_);
    QueueItem item;
    item.key_ = { 1, id };
    item.workspace_ = "w";
    item.priority_ = isRetry && retriesLast_ ? kRetryPriority : kPriority;
    item.deadline_ = aCaller.givesUpAt_;
    item.targetTime_ = now_ + kTarget;
    item.serviceTime_ = kServiceTime;
    const ServiceRate rate{ kServiceTime, running_, kSlots, 0 };
    if (queue_.Push(std::move(item), rate, now_) == QueueVerdict::Queued) {
      Dispatch();
    } else {
      Refuse(id);
    }
  }

  void Refuse(std::uint64_t aId)
  {
    Caller& caller = callers_[aId];
    if (caller.hasRetried_) {
      ++refused_;
      return;
    }
    caller.hasRetried_ = true;
    events_.emplace(now_ + kRetryAfter, Event{ aId, false });
  }

  void Dispatch()
  {
    for (const QueueItem& item : queue_.TakeExpired(kServiceTime, now_)) {
      Refuse(item.key_.exchangeId_);
    }
    while (running_ < kSlots) {
      const auto item = queue_.Pop();
      if (!item) {
        return;
      }
      ++running_;
      events_.emplace(now_ + kServiceTime, Event{ item->key_.exchangeId_, true });
    }
  }

  void Finish(const Caller& aCaller) { ++(now_ <= aCaller.sentAt_ + kTarget ? onTime_ : late_); }

  bool retriesLast_;
  Random random_{ 11 };
  TimePoint now_{ 100s };
  ReturningCallers returning_;
  FairQueue queue_{ 1000 };
  std::uint32_t running_ = 0;
  std::uint64_t lastCaller_ = 0;
  std::map<std::uint64_t, Caller> callers_;
  std::multimap<TimePoint, Event> events_;
};

} // namespace

// Guards against an overloaded server that spends its capacity on retries, whose responses are late
// anyway. The load is twice the capacity, and each refused caller retries once after 200 ms.
BOOST_AUTO_TEST_CASE(OverloadedServerServesFirstAttemptsInTime)
{
  Server equalPriority(false);
  equalPriority.Run(2, 30s);
  Server retriesLast(true);
  retriesLast.Run(2, 30s);
  const double capacity = 30 * kSlots / std::chrono::duration<double>(kServiceTime).count();
  BOOST_TEST_MESSAGE("on time, late, refused: equal priority "
                     << equalPriority.onTime_ << ' ' << equalPriority.late_ << ' '
                     << equalPriority.refused_ << ", retries last " << retriesLast.onTime_ << ' '
                     << retriesLast.late_ << ' ' << retriesLast.refused_);
  BOOST_TEST(retriesLast.onTime_ > 0.9 * capacity);
  BOOST_TEST(retriesLast.onTime_ > equalPriority.onTime_);
  BOOST_TEST(retriesLast.refused_ <= equalPriority.refused_ * 1.05);
}

// Guards against refusing retries although the server has free capacity.
BOOST_AUTO_TEST_CASE(RetriesAreServedWhenCapacityIsFree)
{
  Server retriesLast(true);
  retriesLast.Run(3, 1s);
  retriesLast.Run(0.7, 20s);
  const unsigned refused = retriesLast.refused_;
  retriesLast.Run(0.7, 20s);
  BOOST_TEST(retriesLast.refused_ - refused <= 0.01 * 20 * 0.7 * kSlots / 0.09);
}
