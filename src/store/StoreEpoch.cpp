#include "store/StoreEpoch.hpp"

#include "core/Log.hpp"
#include "store/StoreRevision.hpp"

#include <algorithm>
#include <limits>

namespace redwing {

namespace {

/// Revisions of later epochs do not fit into their type.
constexpr std::uint64_t kLastEpoch =
  std::numeric_limits<std::uint64_t>::max() / kRevisionsPerEpoch - 1;

} // namespace

EpochNews
StoreEpoch::Observe(std::optional<std::uint64_t> aEpoch)
{
  const std::uint64_t known = Known();
  if (!aEpoch || *aEpoch > kLastEpoch || *aEpoch == known) {
    return EpochNews::None;
  }
  if (*aEpoch < known) {
    return EpochNews::Earlier;
  }
  LogLine(newestRevision_ == 0 ? LogLevel::Info : LogLevel::Warning, "store_epoch")
    .With("previous", known)
    .With("epoch", *aEpoch)
    .With("revision", newestRevision_);
  known_.store(*aEpoch, std::memory_order_relaxed);
  return EpochNews::Risen;
}

void
StoreEpoch::NoteRevision(std::uint64_t aRevision)
{
  newestRevision_ = std::max(newestRevision_, aRevision);
}

std::optional<std::uint64_t>
EpochOfConditions(const StoreTransaction& aTransaction)
{
  std::optional<std::uint64_t> newest;
  for (const StoreCompare& compare : aTransaction.compares_) {
    if (compare.modRevision_ != 0) {
      newest = std::max(newest.value_or(0), EpochOf(compare.modRevision_));
    }
  }
  return newest;
}

bool
ConditionsCanHold(const StoreTransaction& aTransaction, std::uint64_t aEpoch)
{
  const std::uint64_t needed = std::max(aEpoch, EpochOfConditions(aTransaction).value_or(0));
  return std::all_of(aTransaction.compares_.begin(),
                     aTransaction.compares_.end(),
                     [needed](const StoreCompare& aCompare) {
                       return aCompare.modRevision_ == 0 ||
                              EpochOf(aCompare.modRevision_) == needed;
                     });
}

} // namespace redwing
