#include "core/Log.hpp"

#include <atomic>
#include <glog/logging.h>

namespace redwing {

namespace {

std::atomic<LogLevel> gLevel{ LogLevel::Info };

bool
NeedsQuotes(std::string_view aValue)
{
  for (const char c : aValue) {
    if (c <= ' ' || c == '"' || c == '\\' || c == '=') {
      return true;
    }
  }
  return aValue.empty();
}

void
AppendQuoted(std::string& aText, std::string_view aValue)
{
  aText.push_back('"');
  for (const char c : aValue) {
    if (c == '"' || c == '\\') {
      aText.push_back('\\');
      aText.push_back(c);
    } else if (c >= '\0' && c < ' ') {
      aText.push_back(' ');
    } else {
      aText.push_back(c);
    }
  }
  aText.push_back('"');
}

} // namespace

LogLine::LogLine(LogLevel aLevel, std::string_view aEvent)
  : level_(aLevel)
  , enabled_(aLevel >= gLevel.load(std::memory_order_relaxed))
{
  if (enabled_) {
    text_.append("event=").append(aEvent);
  }
}

LogLine::~LogLine()
{
  if (!enabled_) {
    return;
  }
  switch (level_) {
    case LogLevel::Debug:
    case LogLevel::Info:
      LOG(INFO) << text_;
      break;
    case LogLevel::Warning:
      LOG(WARNING) << text_;
      break;
    case LogLevel::Error:
      LOG(ERROR) << text_;
      break;
  }
}

LogLine&
LogLine::With(std::string_view aKey, std::string_view aValue)
{
  if (!enabled_) {
    return *this;
  }
  if (!NeedsQuotes(aValue)) {
    return AddRaw(aKey, aValue);
  }
  text_.append(" ").append(aKey).append("=");
  AppendQuoted(text_, aValue);
  return *this;
}

LogLine&
LogLine::AddRaw(std::string_view aKey, std::string_view aValue)
{
  if (enabled_) {
    text_.append(" ").append(aKey).append("=").append(aValue);
  }
  return *this;
}

void
InitLogging(std::string_view aProgram, LogLevel aLevel, LogTarget aTarget)
{
  static const std::string program(aProgram);
  gLevel.store(aLevel, std::memory_order_relaxed);
  FLAGS_logtostderr = aTarget == LogTarget::StandardError;
  FLAGS_logtostdout = aTarget == LogTarget::StandardOutput;
  FLAGS_stderrthreshold = google::GLOG_FATAL;
  FLAGS_logbufsecs = 0;
  google::InitGoogleLogging(program.c_str());
}

} // namespace redwing
