#pragma once

#include <cstdint>
#include <string>

namespace redwing {

/// What the system lets this process use; 0: not limited or not known.
struct SystemLimits
{
  /// The least of the machine's memory and the limits of the process and its control group.
  std::uint64_t memoryBytes_ = 0;
  std::uint32_t descriptors_ = 0;

  /// Reads the limits from the system; a source that can't be read counts as no limit.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  static SystemLimits OfThisProcess();
};

/// Returns the memory limit of a control group, given the text of /proc/self/cgroup and the folder
/// at which the hierarchy is mounted; 0 if there is none.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::uint64_t ControlGroupMemory(const std::string& aGroups, const std::string& aMount);

} // namespace redwing
