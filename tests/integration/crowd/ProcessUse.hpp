#pragma once

#include <cstddef>
#include <string>
#include <sys/types.h>

namespace redwing::test {

/// What one process uses of its machine at a moment.
struct ProcessUse
{
  /// Resident memory, and bytes that arrived on its sockets and were not read. A machine counts
  /// both toward its memory.
  std::size_t memory_ = 0;
  /// Sockets and pipes.
  std::size_t descriptors_ = 0;

  /// Returns the use of the process aId, whose listening sockets are bound to aIp; zeros if it is
  /// gone.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  static ProcessUse Of(pid_t aId, const std::string& aIp);
};

/// Returns the peak of the resident memory of the process aId in bytes; 0 if it is gone.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::size_t PeakMemory(pid_t aId);

} // namespace redwing::test
