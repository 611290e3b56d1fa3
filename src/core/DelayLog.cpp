#include "core/DelayLog.hpp"

#include "core/Log.hpp"

namespace redwing {

using std::chrono::milliseconds;

namespace {

constexpr std::chrono::seconds kLineInterval{ 1 };

} // namespace

DelayLog::DelayLog(std::string_view aEvent, Duration aLogged, CounterRegistry& aCounters)
  : event_(aEvent)
  , logged_(aLogged)
  , count_(aCounters.GetCounter("redwing_" + event_ + "_total"))
  , milliseconds_(aCounters.GetCounter("redwing_" + event_ + "_ms_total"))
{
}

void
DelayLog::Add(Duration aDelay, TimePoint aNow, std::string_view aFrom)
{
  const auto delay = std::chrono::duration_cast<milliseconds>(aDelay);
  if (delay < milliseconds(1)) {
    return;
  }
  count_.Add();
  milliseconds_.Add(static_cast<std::uint64_t>(delay.count()));
  if (delay >= logged_) {
    ++long_;
    if (delay > longest_) {
      longest_ = delay;
      longestFrom_ = aFrom;
    }
  }
  if (long_ == 0 || aNow < nextLine_) {
    return;
  }
  LogLine line(LogLevel::Warning, event_);
  line.With("longest_ms", std::chrono::duration_cast<milliseconds>(longest_).count())
    .With("count", long_);
  if (!longestFrom_.empty()) {
    line.With("from", longestFrom_);
  }
  nextLine_ = aNow + kLineInterval;
  longest_ = {};
  longestFrom_.clear();
  long_ = 0;
}

} // namespace redwing
