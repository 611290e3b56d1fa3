#pragma once

#include "core/Clock.hpp"
#include "ownership/BackupCopies.hpp"
#include "ownership/RowSet.hpp"

namespace redwing {

/// State of the death decision about a dependant.
enum class DeathDecision : std::uint8_t
{
  None,
  /// The lease has ended; the acknowledgement of the backup grantor is outstanding.
  Deciding,
  Decided,
};

/// What a grantor keeps of one dependant.
struct DependantBinding
{
  InstanceRef ref_;
  std::uint64_t generation_ = 0;
  /// The dependant's instance lease has ended at this moment on any clock.
  TimePoint instanceHorizon_{};
  /// The dependant's grantor lease has ended at this moment on any clock.
  TimePoint grantorHorizon_{};
  /// The backup grantor knows of this binding.
  bool registered_ = false;
  /// The binding was inherited and is not in force before it was registered once.
  bool confirmed_ = true;
  /// The dependant has been heard since the binding was inherited.
  bool heard_ = true;
  TimePoint inheritedAt_{};
  /// The dependant whose own dependants included this one; it is registered first.
  InstanceRef source_;
  /// The dependants of this dependant were inherited and it was not told yet.
  bool dependantsInherited_ = false;
  /// The dependants of this dependant were inherited, here or by a former holder.
  bool everInherited_ = false;
  /// The binding is being removed at the backup grantor.
  bool dropping_ = false;
  DeathDecision death_ = DeathDecision::None;
  TimePoint lastRegister_{};
  TimePoint lastDecide_{};
  TimePoint lastDrop_{};
  RowSet rows_;
  BackupCopies copies_;
};

} // namespace redwing
