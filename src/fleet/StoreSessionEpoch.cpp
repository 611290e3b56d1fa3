// Part of StoreSession: epochs of the store.

#include "core/Log.hpp"
#include "fleet/StoreSession.hpp"

namespace redwing {

void
StoreSession::CheckEpoch()
{
  OnEpochSeen(store_.Epoch());
}

void
StoreSession::OnEpochSeen(std::uint64_t aEpoch)
{
  if (aEpoch <= epoch_ || ended_) {
    return;
  }
  if (loaded_) {
    BeginEpoch(aEpoch);
  } else {
    epoch_ = aEpoch;
  }
}

void
StoreSession::BeginEpoch(std::uint64_t aEpoch)
{
  LogLine(LogLevel::Warning, "store_epoch_changed")
    .With("epoch", aEpoch)
    .With("previous", epoch_)
    .With("revision", revision_)
    .With("lease", lease_);
  if (Confirmed()) {
    earlierDeadline_ = leaseDeadline_;
  }
  epoch_ = aEpoch;
  loadedInEpoch_ = false;
  registered_ = false;
  confirmed_ = false;
  lease_ = 0;
  leaseDeadline_ = {};
  relayed_ = false;
  writtenServerIncarnation_.clear();
  // The answers to calls of the earlier epoch are ignored.
  writing_ = false;
  mustRewrite_ = false;
  loading_ = false;
  watching_ = false;
  renewTimer_.cancel();
  hooks_.onChange_();
  Reload();
}

} // namespace redwing
