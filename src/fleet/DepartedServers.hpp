#pragma once

#include "core/Clock.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace redwing {

/// Backend servers that have said that they leave. A heartbeat that a server sent before may still
/// arrive, also as the first one that this process gets from it.
///
/// A server may run again under its id. What it said concerns the incarnations that had started by
/// then, on the clock of the machine.
class DepartedServers
{
public:
  /// Records at aNow that aServerId leaves; aTimeOfDayMs is the time of day in milliseconds since
  /// 1970.
  ///
  /// Preconditions: none. Thread safety: not thread-safe, like all functions here.
  void Add(const std::string& aServerId, std::uint64_t aTimeOfDayMs, TimePoint aNow);

  /// Records that aServerIncarnation has been leaving since aSince or longer.
  ///
  /// Preconditions: none.
  void AddIncarnation(const std::string& aServerIncarnation, TimePoint aSince);

  /// Returns since when aServerIncarnation has been leaving; nothing if it has not said so.
  ///
  /// Preconditions: none.
  std::optional<TimePoint> LeavingSince(std::string_view aServerIncarnation) const;

private:
  struct Departure
  {
    /// Start of the last incarnation that is concerned, in milliseconds since 1970.
    std::uint64_t lastStart_ = 0;
    TimePoint since_{};
  };

  /// Servers by id. Only the last ones are kept, since heartbeats are late by seconds only.
  std::map<std::string, Departure, std::less<>> departures_;
};

} // namespace redwing
