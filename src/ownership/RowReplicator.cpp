#include "ownership/RowReplicator.hpp"

namespace redwing {

RowReplicator::RowReplicator(InstanceRef aSelf, const OwnershipSettings& aSettings)
  : self_(std::move(aSelf))
  , settings_(aSettings)
{
}

void
RowReplicator::Put(const ShardRow& aRow)
{
  rows_.Merge({ aRow, ++version_ });
}

bool
RowReplicator::IsHeld(const ShardId& aShard) const
{
  return generation_ != 0 && rows_.IsHeld(aShard);
}

void
RowReplicator::SetBinding(const InstanceRef& aGrantor, std::uint64_t aGeneration)
{
  if (aGrantor == grantor_ && aGeneration == generation_) {
    return;
  }
  grantor_ = aGrantor;
  generation_ = aGeneration;
  rows_.ResetAcknowledgements();
}

void
RowReplicator::OnAck(const InstanceRef& aFrom, const RowsAck& aAck)
{
  if (aFrom != grantor_ || aAck.generation_ != generation_) {
    return;
  }
  for (const RowVersion& version : aAck.rows_) {
    rows_.Acknowledge(version);
  }
}

void
RowReplicator::Tick(TimePoint aNow, Effects& aEffects)
{
  if (generation_ == 0) {
    return;
  }
  for (auto& batch : rows_.TakeDue(aNow, settings_.resend_, settings_.rowBytes_)) {
    aEffects.push_back(
      SendMessage{ grantor_, RowsUpdate{ generation_, self_, 0, false, std::move(batch) } });
  }
}

} // namespace redwing
