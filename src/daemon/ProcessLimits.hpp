#pragma once

#include "backend/BackendTypes.hpp"
#include "core/MemoryBudget.hpp"
#include "core/SystemLimits.hpp"
#include "intake/IntakeDependencies.hpp"
#include "peer/PeerService.hpp"

#include <cstdint>
#include <functional>

namespace redwing {

/// Memory and descriptors that an instance uses.
struct ProcessLimits
{
  std::uint64_t memoryBytes_ = 0;
  std::uint32_t descriptors_ = 0;

  /// Returns the limits that the settings state. Where they state none (0), the memory is
  /// kDefaultMemoryBytes and the descriptors are those of the process, each bounded by the limits
  /// of the system; aSystem is called only then.
  ///
  /// Preconditions: aSystem is not empty. Thread safety: as aSystem.
  static ProcessLimits Of(ProcessLimits aStated, const std::function<SystemLimits()>& aSystem);

  /// Divides the limits among the parts of an instance, which account for what they hold to
  /// aMemory, and logs them.
  ///
  /// Preconditions: aMemory outlives the services with these settings. Thread safety: not
  /// thread-safe.
  void Apply(MemoryBudget& aMemory,
             IntakeSettings& aIntake,
             BackendSettings& aBackend,
             PeerSettings& aPeer) const;
};

/// Memory of an instance whose settings state none. Idle connections of 10,000 callers fit in it.
constexpr std::uint64_t kDefaultMemoryBytes = 256ULL * 1024 * 1024;

} // namespace redwing
