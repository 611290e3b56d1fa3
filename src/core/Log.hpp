#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace redwing {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/// One structured log line, `event=NAME key=value ...`, written through glog when it goes out of
/// scope. Values with spaces, quotes or control characters are quoted and escaped.
class LogLine
{
public:
  LogLine(LogLevel aLevel, std::string_view aEvent);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  /// Adds a text field.
  ///
  /// Preconditions: aValue holds no secret. Thread safety: one thread per object.
  LogLine& With(std::string_view aKey, std::string_view aValue);

  /// Adds a text field; keeps a literal from converting to a number.
  ///
  /// Preconditions: aValue is not null. Thread safety: one thread per object.
  LogLine& With(std::string_view aKey, const char* aValue)
  {
    return With(aKey, std::string_view(aValue));
  }

  /// Adds a numeric field.
  ///
  /// Preconditions: none. Thread safety: one thread per object.
  template<typename Number>
  requires std::is_arithmetic_v<Number> LogLine& With(std::string_view aKey, Number aValue)
  {
    return AddRaw(aKey, std::to_string(aValue));
  }

private:
  LogLine& AddRaw(std::string_view aKey, std::string_view aValue);

  LogLevel level_;
  bool enabled_;
  std::string text_;
};

enum class LogTarget
{
  StandardError,
  StandardOutput,
};

/// Initialises logging; lines below aLevel are discarded.
///
/// Preconditions: called once, before other threads start. Thread safety: not thread-safe.
void InitLogging(std::string_view aProgram,
                 LogLevel aLevel,
                 LogTarget aTarget = LogTarget::StandardError);

} // namespace redwing
