#include "backend/RefusalLog.hpp"

#include "core/Log.hpp"

#include <chrono>
#include <utility>

namespace redwing {

void
RefusalLog::Write(const RequestStart& aStart,
                  Outcome aOutcome,
                  ErrorCode aCode,
                  std::string_view aDetail,
                  TimePoint aNow)
{
  if (aNow - second_ >= std::chrono::seconds(1)) {
    second_ = aNow;
    lines_ = 0;
  }
  if (++lines_ > kLinesPerSecond) {
    ++suppressed_;
    return;
  }
  LogLine line(LogLevel::Info, "dispatch_refused");
  line.With("request", aStart.requestId_)
    .With("service", aStart.service_)
    .With("outcome", ToText(aOutcome))
    .With("code", ToText(aCode));
  if (!aDetail.empty()) {
    line.With("detail", aDetail);
  }
  if (suppressed_ > 0) {
    line.With("suppressed", std::exchange(suppressed_, 0));
  }
}

} // namespace redwing
