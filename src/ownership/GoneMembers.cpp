#include "ownership/GoneMembers.hpp"

#include <algorithm>

namespace redwing {

void
GoneMembers::MarkDead(const InstanceRef& aRef)
{
  std::uint64_t& incarnation = dead_[aRef.id_];
  incarnation = std::max(incarnation, aRef.incarnation_);
}

void
GoneMembers::MarkRunning(const InstanceRef& aRef, TimePoint aNow)
{
  Running& running = running_[aRef.id_];
  if (aRef.incarnation_ > running.incarnation_) {
    running = Running{ aRef.incarnation_, aNow };
  }
}

bool
GoneMembers::IsDead(const InstanceRef& aRef) const
{
  const auto it = dead_.find(aRef.id_);
  return it != dead_.end() && it->second >= aRef.incarnation_;
}

bool
GoneMembers::IsGone(const InstanceRef& aRef, TimePoint aNow) const
{
  if (IsDead(aRef)) {
    return true;
  }
  const auto it = running_.find(aRef.id_);
  return it != running_.end() && it->second.incarnation_ > aRef.incarnation_ &&
         aNow - it->second.since_ >= leaseWait_;
}

} // namespace redwing
