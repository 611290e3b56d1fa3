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
constexpr Duration kPatience = 1200ms;
constexpr Duration kRetryAfter = 200ms;
constexpr std::uint8_t kPriority = 3;
constexpr std::uint8_t kBehindAllOthers = 131;

/// One backend server whose callers ask for a multiple of what it can serve. A refused caller
/// returns once, with what is left of its patience.
class Server
{
public:
  explicit Server(bool aReturningLast)
    : returningLast_(aReturningLast)
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
        Send({ now_, now_ + std::chrono::duration_cast<Duration>(kPatience * share), false });
        continue;
      }
      now_ = events_.empty() ? next : std::min(next, events_.begin()->first);
      while (!events_.empty() && events_.begin()->first <= now_) {
        const Event event = events_.extract(events_.begin()).mapped();
        if (event.finishes_) {
          --running_;
          Finish(callers_[event.caller_]);
        } else {
          Send(callers_[event.caller_]);
        }
        Pump();
      }
    }
  }

  unsigned onTime_ = 0;
  unsigned late_ = 0;
  unsigned refused_ = 0;

private:
  struct Caller
  {
    TimePoint first_;
    TimePoint until_;
    bool returned_ = false;
  };
  struct Event
  {
    std::uint64_t caller_;
    bool finishes_;
  };

  void Send(const Caller& aCaller)
  {
    const std::uint64_t id = ++lastCaller_;
    callers_[id] = aCaller;
    const bool returns = returning_.Returns("lookup", aCaller.until_ - now_, now_);
    QueueItem item;
    item.key_ = { 1, id };
    item.workspace_ = "w";
    item.priority_ = returns && returningLast_ ? kBehindAllOthers : kPriority;
    item.deadline_ = aCaller.until_;
    item.targetTime_ = now_ + kTarget;
    item.serviceTime_ = kServiceTime;
    const ServiceRate rate{ kServiceTime, running_, kSlots, 0 };
    if (queue_.Push(std::move(item), rate, now_) == QueueVerdict::Queued) {
      Pump();
    } else {
      Refuse(id);
    }
  }

  void Refuse(std::uint64_t aId)
  {
    Caller& caller = callers_[aId];
    if (caller.returned_) {
      ++refused_;
      return;
    }
    caller.returned_ = true;
    events_.emplace(now_ + kRetryAfter, Event{ aId, false });
  }

  void Pump()
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

  void Finish(const Caller& aCaller) { ++(now_ <= aCaller.first_ + kTarget ? onTime_ : late_); }

  bool returningLast_;
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

// Guards against an overloaded server that spends its time on callers whose answers come late
// anyway. Load: twice what the server can do, each refused caller returns once after 200 ms.
BOOST_AUTO_TEST_CASE(OverloadedServerAnswersNewCallersInTime)
{
  Server plain(false);
  plain.Run(2, 30s);
  Server policy(true);
  policy.Run(2, 30s);
  const double capacity = 30 * kSlots / std::chrono::duration<double>(kServiceTime).count();
  BOOST_TEST_MESSAGE("on time, late, refused: plain "
                     << plain.onTime_ << ' ' << plain.late_ << ' ' << plain.refused_ << ", policy "
                     << policy.onTime_ << ' ' << policy.late_ << ' ' << policy.refused_);
  BOOST_TEST(policy.onTime_ > 0.9 * capacity);
  BOOST_TEST(policy.onTime_ > plain.onTime_);
  BOOST_TEST(policy.refused_ <= plain.refused_ * 1.05);
}

// Guards against callers that are refused although there is room when they return.
BOOST_AUTO_TEST_CASE(ReturningCallersAreServedWhenThereIsRoom)
{
  Server policy(true);
  policy.Run(3, 1s);
  policy.Run(0.7, 20s);
  const unsigned refused = policy.refused_;
  policy.Run(0.7, 20s);
  BOOST_TEST(policy.refused_ - refused <= 0.01 * 20 * 0.7 * kSlots / 0.09);
}
