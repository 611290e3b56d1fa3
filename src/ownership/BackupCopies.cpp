#include "ownership/BackupCopies.hpp"

#include <algorithm>

namespace redwing {

bool
BackupCopies::Merge(const RowsUpdate& aUpdate)
{
  Copy& copy = copies_[aUpdate.dependant_];
  if (aUpdate.bindingGeneration_ < copy.bindingGeneration_) {
    return false;
  }
  if (aUpdate.bindingGeneration_ > copy.bindingGeneration_) {
    // Rows and a decision survive a change of generation: it is the same dependant at the same
    // holder. A removed binding has neither.
    copy.removed_ = false;
    copy.bindingGeneration_ = aUpdate.bindingGeneration_;
    copy.inherited_ = aUpdate.inherited_;
  }
  if (copy.removed_) {
    return false;
  }
  copy.inherited_ = copy.inherited_ && aUpdate.inherited_;
  for (const VersionedRow& row : aUpdate.rows_) {
    VersionedRow& held = copy.rows_[row.row_.shard_];
    if (row.version_ > held.version_) {
      held = row;
    }
  }
  return true;
}

bool
BackupCopies::Drop(const RowsDrop& aDrop)
{
  Copy& copy = copies_[aDrop.dependant_];
  if (aDrop.bindingGeneration_ < copy.bindingGeneration_) {
    return false;
  }
  copy = Copy{};
  copy.bindingGeneration_ = aDrop.bindingGeneration_;
  copy.removed_ = true;
  return true;
}

bool
BackupCopies::MarkDead(const Decide& aDecide)
{
  const auto it = copies_.find(aDecide.dependant_);
  if (it == copies_.end() || it->second.removed_ ||
      it->second.bindingGeneration_ != aDecide.bindingGeneration_) {
    return false;
  }
  it->second.dead_ = true;
  return true;
}

bool
BackupCopies::Holds(const InstanceRef& aDependant) const
{
  const auto it = copies_.find(aDependant);
  return it != copies_.end() && !it->second.removed_;
}

bool
BackupCopies::Empty() const
{
  return std::all_of(
    copies_.begin(), copies_.end(), [](const auto& aEntry) { return aEntry.second.removed_; });
}

} // namespace redwing
