#pragma once

#include "core/Clock.hpp"
#include "core/Counters.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace redwing {

/// Counts delays of one kind, such as late turns of an event loop, and writes a log line with the
/// longest one each second in which one was long.
class DelayLog
{
public:
  /// aEvent names the log line and the counters (redwing_<aEvent>_total,
  /// redwing_<aEvent>_ms_total). Delays below aLogged appear in the counters only.
  DelayLog(std::string_view aEvent, Duration aLogged, CounterRegistry& aCounters);

  /// Records a delay; aFrom says where it arose and may be empty. A delay of less than a
  /// millisecond is not recorded.
  ///
  /// Preconditions: aNow never decreases. Thread safety: not thread-safe.
  void Add(Duration aDelay, TimePoint aNow, std::string_view aFrom = {});

private:
  std::string event_;
  Duration logged_;
  Counter& count_;
  Counter& milliseconds_;
  TimePoint nextLine_{};
  Duration longest_{};
  std::string longestFrom_;
  std::uint64_t long_ = 0;
};

} // namespace redwing
