#pragma once

#include "core/Clock.hpp"

#include <cstdint>
#include <optional>

namespace redwing {

/// Decides when to read the configuration because other instances report a newer one. They may only
/// be faster: the watch delivers the same document, and reading it once more delays its adoption.
class ConfigurationLag
{
public:
  /// Preconditions: aPatience is the time that the watch has to deliver what others have.
  explicit ConfigurationLag(Duration aPatience)
    : patience_(aPatience)
  {
  }

  /// Takes the revision that another instance has and the one in force here; returns whether to
  /// read the configuration now.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool OnReported(std::uint64_t aReported, std::uint64_t aInForce, TimePoint aNow);

private:
  Duration patience_;
  std::uint64_t inForce_ = 0;
  std::optional<TimePoint> behindSince_;
};

} // namespace redwing
