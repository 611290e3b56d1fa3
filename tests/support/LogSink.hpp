#pragma once

#include <cstddef>
#include <ctime>
#include <glog/logging.h>
#include <string>
#include <vector>

namespace redwing::test {

/// Collects the log lines that are written while it exists.
struct LogSink final : google::LogSink
{
  LogSink() { google::AddLogSink(this); }
  ~LogSink() override { google::RemoveLogSink(this); }

  void send(google::LogSeverity,
            const char*,
            const char*,
            int,
            const struct tm*,
            const char* aMessage,
            std::size_t aLength) override
  {
    lines_.emplace_back(aMessage, aLength);
  }

  std::vector<std::string> lines_;
};

} // namespace redwing::test
