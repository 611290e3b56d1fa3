#include "capacity/LargeResponses.hpp"

#include "core/Log.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace redwing {

namespace {

constexpr double kBitsPerByte = 8;
constexpr std::uint16_t kFirstSuccess = 200;
constexpr std::uint16_t kFirstRedirect = 300;
/// Most that is read ahead of one response, and of all: callers that have stopped reading hold
/// this much in the instance.
constexpr std::uint64_t kMaxReadAhead = 768 * 1024;
constexpr std::uint64_t kMaxHeldBytes = 16 * 1024 * 1024;
/// Change of the observed rate that is logged.
constexpr double kLoggedChange = 0.25;
constexpr Duration kLogInterval = std::chrono::seconds(1);

std::uint32_t
Microseconds(Duration aTime)
{
  const auto count = std::chrono::duration_cast<std::chrono::microseconds>(aTime).count();
  constexpr std::int64_t kMost = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, kMost));
}

} // namespace

LargeResponses::LargeResponses(double aBitsPerSecond, CounterRegistry& aCounters)
  : link_(aBitsPerSecond / kBitsPerByte)
  , loggedRate_(link_.BytesPerSecond())
  , admitted_(aCounters.GetCounter("redwing_link_responses_total", "admitted=\"yes\""))
  , refused_(aCounters.GetCounter("redwing_link_responses_total", "admitted=\"no\""))
  , sentBytes_(aCounters.GetCounter("redwing_link_sent_bytes_total"))
  , ahead_(aCounters.GetGauge("redwing_link_ahead_bytes"))
  , held_(aCounters.GetGauge("redwing_link_held_bytes"))
  , rate_(aCounters.GetGauge("redwing_link_bytes_per_second"))
{
}

std::optional<NoRoom>
LargeResponses::Admit(const RequestStart& aStart,
                      TimePoint aDeadline,
                      Duration aServiceTime,
                      TimePoint aNow)
{
  const ResponseSize size = sizes_.Expected(aStart.class_);
  const bool target = aStart.targetTime_ != TimePoint{};
  const TimePoint by = target ? std::min(aStart.targetTime_, aDeadline) : aDeadline;
  if (const auto retry = link_.Admit(aStart.key_, size, aServiceTime, by, aNow)) {
    refused_.Add();
    return NoRoom{ *retry, size.mean_, link_.Wait() };
  }
  admitted_.Add();
  open_[aStart.key_] = { aStart.class_, aDeadline };
  return std::nullopt;
}

void
LargeResponses::OnHead(Open& aOpen, const ResponseStart& aStart)
{
  const bool success = aStart.status_ >= kFirstSuccess && aStart.status_ < kFirstRedirect;
  // A response to HEAD states the length of a body that does not come.
  const bool bodyless = aStart.last_ && aStart.body_.empty();
  aOpen.learns_ = success && !bodyless && !aStart.contentLength_;
  if (bodyless) {
    link_.SetSize(aStart.key_, 0);
  } else if (aStart.contentLength_) {
    link_.SetSize(aStart.key_, *aStart.contentLength_);
    if (success) {
      sizes_.Add(aOpen.route_, *aStart.contentLength_);
    }
  }
}

void
LargeResponses::Push(ResponseEvent&& aEvent)
{
  const ExchangeKey key = KeyOf(aEvent);
  const auto found = open_.find(key);
  if (found == open_.end()) {
    return;
  }
  Open& open = found->second;
  if (const auto* start = std::get_if<ResponseStart>(&aEvent)) {
    OnHead(open, *start);
  }
  const std::uint64_t bytes = BodyBytes(aEvent);
  open.bytes_ += bytes;
  const std::uint64_t granted = std::min(open.granted_, bytes);
  open.granted_ -= granted;
  granted_ -= granted;
  link_.OnTaken(key, bytes);
  if (EndsBody(aEvent)) {
    if (open.learns_) {
      sizes_.Add(open.route_, open.bytes_);
    }
    link_.OnComplete(key);
  }
  pacer_.Push(std::move(aEvent));
}

std::size_t
LargeResponses::ReadAhead(const ExchangeKey& aKey, std::optional<std::uint64_t> aLength)
{
  const auto found = open_.find(aKey);
  if (found == open_.end() || !aLength || *aLength <= kBodyWindowBytes ||
      link_.Held() + granted_ >= kMaxHeldBytes) {
    return 0;
  }
  const std::uint64_t bytes = std::min(*aLength - kBodyWindowBytes, kMaxReadAhead);
  found->second.granted_ += bytes;
  granted_ += bytes;
  return bytes;
}

void
LargeResponses::Forget(const ExchangeKey& aKey)
{
  const auto found = open_.find(aKey);
  if (found != open_.end()) {
    granted_ -= found->second.granted_;
    open_.erase(found);
  }
}

std::optional<ResponseEvent>
LargeResponses::Take(TimePoint aNow)
{
  auto event = pacer_.Take(link_.BytesPerSecond(), aNow);
  if (!event) {
    return std::nullopt;
  }
  const ExchangeKey key = KeyOf(*event);
  const std::uint64_t bytes = BodyBytes(*event);
  sentBytes_.Add(bytes);
  link_.OnSent(key, bytes, aNow);
  if (EndsBody(*event)) {
    link_.OnAllSent(key);
    Forget(key);
  }
  return event;
}

void
LargeResponses::OnCredit(const ExchangeKey& aKey, std::uint64_t aBytes, TimePoint aNow)
{
  link_.OnArrived(aKey, aBytes, aNow);
  pacer_.OnCredit(aKey, aBytes);
}

void
LargeResponses::OnEnded(const ExchangeKey& aKey)
{
  const auto found = open_.find(aKey);
  if (found == open_.end()) {
    return;
  }
  found->second.ended_ = true;
  link_.OnComplete(aKey);
  if (!pacer_.Holds(aKey)) {
    Drop(aKey);
  }
}

bool
LargeResponses::Drop(const ExchangeKey& aKey)
{
  link_.Remove(aKey);
  Forget(aKey);
  return pacer_.Drop(aKey);
}

std::vector<std::pair<ExchangeKey, bool>>
LargeResponses::TakeExpired(TimePoint aNow)
{
  std::vector<std::pair<ExchangeKey, bool>> expired;
  for (const auto& [key, open] : open_) {
    if (open.ended_ && aNow >= open.deadline_) {
      expired.emplace_back(key, false);
    }
  }
  for (auto& [key, started] : expired) {
    started = Drop(key);
  }
  return expired;
}

void
LargeResponses::Report(LoadReport& aReport) const
{
  aReport.byteWaitUs_ = Microseconds(link_.Wait());
  aReport.byteTimeUs_ = Microseconds(link_.TimeOf(sizes_.Any()));
}

void
LargeResponses::Tick(TimePoint aNow)
{
  link_.Update(aNow);
  ahead_.Set(static_cast<std::int64_t>(link_.Ahead()));
  held_.Set(static_cast<std::int64_t>(link_.Held()));
  const double rate = link_.BytesPerSecond();
  rate_.Set(static_cast<std::int64_t>(rate));
  if (aNow >= nextLog_ && std::abs(rate - loggedRate_) > loggedRate_ * kLoggedChange) {
    loggedRate_ = rate;
    nextLog_ = aNow + kLogInterval;
    LogLine(LogLevel::Info, "link_rate")
      .With("bytes_per_second", rate)
      .With("ahead_bytes", link_.Ahead())
      .With("held_bytes", link_.Held());
  }
}

} // namespace redwing
