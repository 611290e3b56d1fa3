#include "admission/FairQueue.hpp"

#include <algorithm>

namespace redwing {

namespace {

/// Part of the time until the target within which a queued request must be expected to finish.
/// Expected times are averages; the margin absorbs requests that take longer than expected. An
/// overloaded server is kept just as busy by the shorter queue.
constexpr double kTargetShare = 0.75;

/// Returns the latest expected finish time at which a request that has to wait is still accepted.
TimePoint
WaitLimit(const QueueItem& aItem, TimePoint aNow)
{
  if (aItem.targetTime_ >= aItem.deadline_) {
    return aItem.deadline_;
  }
  const auto left = static_cast<double>((aItem.targetTime_ - aNow).count());
  return aNow + Duration(static_cast<Duration::rep>(left * kTargetShare));
}

} // namespace

FairQueue::FairQueue(std::size_t aCapacity)
  : capacity_(aCapacity)
{
}

QueueVerdict
FairQueue::Push(QueueItem aItem, const ServiceRate& aRate, TimePoint aNow)
{
  const auto slots = std::max(1U, aRate.limit_);
  // An idle server accepts any request, so that a wrong estimate is corrected by a new sample.
  if (aRate.running_ > 0 || size_ > 0 || aRate.pause_ > Duration::zero()) {
    const bool mustWait = aRate.running_ >= slots || size_ > 0 || aRate.pause_ > Duration::zero();
    const WorkAhead ahead = ExpectedAhead(aItem, aRate.serviceTime_);
    // With all slots busy, one becomes free after about serviceTime_ / slots on average. The
    // requests ahead then share all slots.
    const bool slotsBusy = aRate.running_ >= slots || size_ > 0;
    auto wait = slotsBusy ? (aRate.serviceTime_ + ahead.work_) / slots : Duration::zero();
    if (aRate.perSecond_ > 0) {
      constexpr Duration kSecond = std::chrono::seconds(1);
      const double seconds = ahead.count_ / aRate.perSecond_;
      wait = std::max(
        wait, aRate.pause_ + Duration(static_cast<Duration::rep>(seconds * kSecond.count())));
    }
    const TimePoint limit = mustWait ? WaitLimit(aItem, aNow) : aItem.deadline_;
    const Duration own =
      aItem.serviceTime_ > Duration::zero() ? aItem.serviceTime_ : aRate.serviceTime_;
    if (aNow + wait + own > limit) {
      return QueueVerdict::TooLate;
    }
  }
  if (size_ >= capacity_) {
    return QueueVerdict::Full;
  }
  auto& priorityClass = classes_[aItem.priority_];
  auto& flow = priorityClass.flows_[aItem.workspace_];
  flow.weight_ = std::max(1U, aItem.weight_);
  const double start = std::max(priorityClass.virtualTime_, flow.lastFinish_);
  const double finish = start + 1.0 / flow.weight_;
  if (flow.waiting_.empty()) {
    priorityClass.active_.emplace(finish, aItem.workspace_);
    priorityClass.activeWeight_ += flow.weight_;
  }
  flow.lastFinish_ = finish;
  priorityClass.AddToTotals(aItem);
  flow.waiting_.push_back({ std::move(aItem), start, finish });
  ++size_;
  return QueueVerdict::Queued;
}

std::optional<QueueItem>
FairQueue::Pop()
{
  for (auto& [priority, priorityClass] : classes_) {
    if (priorityClass.active_.empty()) {
      continue;
    }
    const auto first = priorityClass.active_.begin();
    auto& flow = priorityClass.flows_.find(first->second)->second;
    Waiting next = std::move(flow.waiting_.front());
    flow.waiting_.pop_front();
    priorityClass.virtualTime_ = std::max(priorityClass.virtualTime_, next.start_);
    auto node = priorityClass.active_.extract(first);
    if (flow.waiting_.empty()) {
      priorityClass.activeWeight_ -= flow.weight_;
    } else {
      node.value().first = flow.waiting_.front().finish_;
      priorityClass.active_.insert(std::move(node));
    }
    --size_;
    priorityClass.RemoveFromTotals(next.item_);
    if (priorityClass.size_ == 0) {
      // Resets the virtual times: an idle class must not favour or penalise a workspace for past
      // use.
      priorityClass = {};
    }
    return std::move(next.item_);
  }
  return std::nullopt;
}

bool
FairQueue::Remove(const ExchangeKey& aKey)
{
  return !Extract([&](const QueueItem& aItem) { return aItem.key_ == aKey; }).empty();
}

std::vector<QueueItem>
FairQueue::TakeExpired(Duration aServiceTime, TimePoint aNow, int aDivisor)
{
  return Extract([&](const QueueItem& aItem) {
    const Duration needed =
      aItem.serviceTime_ > Duration::zero() ? aItem.serviceTime_ / aDivisor : aServiceTime;
    return aNow + needed > aItem.deadline_;
  });
}

void
FairQueue::LimitDeadlines(TimePoint aLatest)
{
  for (auto& [priority, priorityClass] : classes_) {
    for (auto& [workspace, flow] : priorityClass.flows_) {
      for (Waiting& waiting : flow.waiting_) {
        waiting.item_.deadline_ = std::min(waiting.item_.deadline_, aLatest);
      }
    }
  }
}

FairQueue::WorkAhead
FairQueue::ExpectedAhead(const QueueItem& aItem, Duration aServiceTime) const
{
  WorkAhead ahead;
  for (const auto& [priority, priorityClass] : classes_) {
    if (priority < aItem.priority_) {
      ahead.count_ += static_cast<double>(priorityClass.size_);
      ahead.work_ += priorityClass.Work(aServiceTime);
    } else if (priority == aItem.priority_ && priorityClass.size_ > 0) {
      const auto flow = priorityClass.flows_.find(aItem.workspace_);
      const bool waits = flow != priorityClass.flows_.end() && !flow->second.waiting_.empty();
      const double own = waits ? static_cast<double>(flow->second.waiting_.size()) : 0;
      const double weight = std::max(1U, aItem.weight_);
      const double total = priorityClass.activeWeight_ + (waits ? 0 : weight);
      // Until this request's turn its workspace is served own + 1 times, and the others in
      // proportion to their weights.
      const double fair = own + (own + 1) * (total - weight) / weight;
      const auto size = static_cast<double>(priorityClass.size_);
      const double count = std::min(fair, size);
      const auto work = static_cast<double>(priorityClass.Work(aServiceTime).count());
      ahead.count_ += count;
      ahead.work_ += Duration(static_cast<Duration::rep>(work * count / size));
    }
  }
  return ahead;
}

void
FairQueue::PriorityClass::AddToTotals(const QueueItem& aItem)
{
  ++size_;
  work_ += aItem.serviceTime_;
  withoutEstimate_ += aItem.serviceTime_ > Duration::zero() ? 0 : 1;
}

void
FairQueue::PriorityClass::RemoveFromTotals(const QueueItem& aItem)
{
  --size_;
  work_ -= aItem.serviceTime_;
  withoutEstimate_ -= aItem.serviceTime_ > Duration::zero() ? 0 : 1;
}

Duration
FairQueue::PriorityClass::Work(Duration aServiceTime) const
{
  return work_ + aServiceTime * static_cast<Duration::rep>(withoutEstimate_);
}

template<typename Predicate>
std::vector<QueueItem>
FairQueue::Extract(Predicate aPredicate)
{
  std::vector<QueueItem> taken;
  for (auto& entry : classes_) {
    PriorityClass& priorityClass = entry.second;
    const auto before = taken.size();
    for (auto& [workspace, flow] : priorityClass.flows_) {
      std::erase_if(flow.waiting_, [&](Waiting& aWaiting) {
        if (!aPredicate(aWaiting.item_)) {
          return false;
        }
        priorityClass.RemoveFromTotals(aWaiting.item_);
        taken.push_back(std::move(aWaiting.item_));
        return true;
      });
    }
    if (taken.size() > before) {
      Reindex(priorityClass);
    }
  }
  size_ -= taken.size();
  return taken;
}

void
FairQueue::Reindex(PriorityClass& aClass)
{
  if (aClass.size_ == 0) {
    aClass = {};
    return;
  }
  aClass.active_.clear();
  aClass.activeWeight_ = 0;
  for (const auto& [workspace, flow] : aClass.flows_) {
    if (!flow.waiting_.empty()) {
      aClass.active_.emplace(flow.waiting_.front().finish_, workspace);
      aClass.activeWeight_ += flow.weight_;
    }
  }
}

} // namespace redwing
