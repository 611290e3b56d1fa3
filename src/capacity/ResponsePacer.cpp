#include "capacity/ResponsePacer.hpp"

#include <algorithm>
#include <utility>

namespace redwing {

namespace {

/// A part of this size occupies a link of 10 Mbit/s for 13 ms.
constexpr std::size_t kPartBytes = 16 * 1024;
/// Time that may be made up after a late turn of the event loop.
constexpr Duration kBurst = std::chrono::milliseconds(10);
/// Shortest time between two turns; saves timers on fast links.
constexpr Duration kTurn = std::chrono::milliseconds(2);

} // namespace

std::uint64_t
BodyBytes(const ResponseEvent& aEvent)
{
  if (const auto* start = std::get_if<ResponseStart>(&aEvent)) {
    return start->body_.size();
  }
  const auto* body = std::get_if<ResponseBody>(&aEvent);
  return body == nullptr ? 0 : body->bytes_.size();
}

bool
EndsBody(const ResponseEvent& aEvent)
{
  if (const auto* start = std::get_if<ResponseStart>(&aEvent)) {
    return start->last_;
  }
  const auto* body = std::get_if<ResponseBody>(&aEvent);
  return body != nullptr && body->last_;
}

ResponsePacer::Queue&
ResponsePacer::QueueOf(const ExchangeKey& aKey)
{
  const auto [found, first] = turns_.try_emplace(aKey, nextTurn_);
  nextTurn_ += first ? 1 : 0;
  Queue& queue = queues_[found->second];
  queue.key_ = aKey;
  return queue;
}

void
ResponsePacer::Push(ResponseEvent&& aEvent)
{
  Queue& queue = QueueOf(KeyOf(aEvent));
  const std::size_t before = queue.events_.size();
  const bool last = EndsBody(aEvent);
  std::string bytes;
  if (auto* start = std::get_if<ResponseStart>(&aEvent)) {
    if (start->body_.size() > kPartBytes) {
      if (last && !start->contentLength_) {
        // A complete response is sent on with its length.
        start->contentLength_ = start->body_.size();
      }
      bytes = start->body_.substr(kPartBytes);
      start->body_.resize(kPartBytes);
      start->body_.shrink_to_fit();
      start->last_ = false;
    }
    queue.events_.push_back(std::move(aEvent));
  } else {
    bytes = std::move(std::get<ResponseBody>(aEvent).bytes_);
    if (bytes.empty()) {
      queue.events_.emplace_back(ResponseBody{ queue.key_, {}, last });
    }
  }
  for (std::size_t at = 0; at < bytes.size(); at += kPartBytes) {
    const bool end = last && at + kPartBytes >= bytes.size();
    queue.events_.emplace_back(ResponseBody{ queue.key_, bytes.substr(at, kPartBytes), end });
  }
  waiting_ += queue.events_.size() - before;
}

bool
ResponsePacer::MaySend(const Queue& aQueue)
{
  return !aQueue.events_.empty() &&
         aQueue.outstanding_ + BodyBytes(aQueue.events_.front()) <= kBodyWindowBytes;
}

std::optional<ResponseEvent>
ResponsePacer::Take(double aBytesPerSecond, TimePoint aNow)
{
  if (waiting_ == 0 || aNow < freeAt_) {
    return std::nullopt;
  }
  const auto next = std::find_if(
    queues_.begin(), queues_.end(), [](const auto& aEntry) { return MaySend(aEntry.second); });
  if (next == queues_.end()) {
    return std::nullopt;
  }
  Queue& queue = next->second;
  ResponseEvent event = std::move(queue.events_.front());
  queue.events_.pop_front();
  --waiting_;
  const std::uint64_t bytes = BodyBytes(event);
  queue.outstanding_ += bytes;
  queue.started_ = true;
  const std::chrono::duration<double> time(static_cast<double>(bytes) / aBytesPerSecond);
  freeAt_ = std::max(freeAt_, aNow - kBurst) + std::chrono::duration_cast<Duration>(time);
  if (EndsBody(event)) {
    turns_.erase(queue.key_);
    queues_.erase(next);
  }
  return event;
}

std::optional<TimePoint>
ResponsePacer::NextAt(TimePoint aNow) const
{
  const bool any = std::any_of(
    queues_.begin(), queues_.end(), [](const auto& aEntry) { return MaySend(aEntry.second); });
  return any ? std::optional(std::max(freeAt_, aNow + kTurn)) : std::nullopt;
}

void
ResponsePacer::OnCredit(const ExchangeKey& aKey, std::uint64_t aBytes)
{
  if (const auto turn = turns_.find(aKey); turn != turns_.end()) {
    Queue& queue = queues_[turn->second];
    queue.outstanding_ -= std::min(queue.outstanding_, aBytes);
  }
}

bool
ResponsePacer::Drop(const ExchangeKey& aKey)
{
  const auto turn = turns_.find(aKey);
  if (turn == turns_.end()) {
    return false;
  }
  const auto queue = queues_.find(turn->second);
  const bool started = queue->second.started_;
  waiting_ -= queue->second.events_.size();
  queues_.erase(queue);
  turns_.erase(turn);
  return started;
}

bool
ResponsePacer::Holds(const ExchangeKey& aKey) const
{
  const auto turn = turns_.find(aKey);
  return turn != turns_.end() && !queues_.at(turn->second).events_.empty();
}

} // namespace redwing
