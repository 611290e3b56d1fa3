#include "ownership/ShardClaims.hpp"

#include <algorithm>

namespace redwing {

ShardRow
ShardClaims::Claim::Next() const
{
  // A successor that is gone may have taken token + 1 without writing it back, so that token is
  // left out whenever there was a successor.
  const std::uint64_t step = row_.successor_.Empty() ? 1 : 2;
  return ShardRow{ row_.shard_, target_, row_.token_ + step, InstanceRef{} };
}

ShardClaims::ShardClaims(InstanceRef aSelf,
                         const OwnershipSettings& aSettings,
                         const GoneMembers& aGone,
                         TokenLedger& aLedger,
                         std::uint64_t& aLastOperation)
  : self_(std::move(aSelf))
  , settings_(aSettings)
  , gone_(aGone)
  , ledger_(aLedger)
  , lastOperation_(aLastOperation)
{
}

void
ShardClaims::Start(const ShardRow& aRow, const InstanceRef& aTarget, bool aForce)
{
  const auto it = claims_.find(aRow.shard_);
  if (it != claims_.end() && (it->second.row_ == aRow || it->second.operation_ != 0)) {
    return;
  }
  Claim claim;
  claim.row_ = aRow;
  claim.target_ = aTarget;
  claim.promised_ = aForce || aRow.successor_.Empty();
  claims_[aRow.shard_] = claim;
}

void
ShardClaims::OnPromise(const InstanceRef& aFrom, const ClaimPromise& aPromise)
{
  const auto it = claims_.find(aPromise.row_.shard_);
  if (it == claims_.end() || it->second.row_ != aPromise.row_ ||
      it->second.row_.successor_ != aFrom) {
    return;
  }
  if (aPromise.promised_) {
    it->second.promised_ = true;
  } else if (it->second.operation_ == 0) {
    claims_.erase(it);
  }
}

std::optional<ShardRow>
ShardClaims::OnCommit(std::uint64_t aOperation,
                      CommitOutcome aOutcome,
                      const std::optional<ShardRow>& aCurrent)
{
  const auto it = std::find_if(claims_.begin(), claims_.end(), [&](const auto& aEntry) {
    return aEntry.second.operation_ == aOperation;
  });
  if (it == claims_.end()) {
    return std::nullopt;
  }
  std::optional<ShardRow> row;
  switch (aOutcome) {
    case CommitOutcome::Success:
      row = it->second.Next();
      claims_.erase(it);
      break;
    case CommitOutcome::Conflict:
      row = aCurrent;
      claims_.erase(it);
      break;
    case CommitOutcome::Unavailable:
    case CommitOutcome::Unknown:
      it->second.operation_ = 0;
      break;
  }
  return row;
}

void
ShardClaims::Tick(TimePoint aNow, Effects& aEffects)
{
  for (auto it = claims_.begin(); it != claims_.end();) {
    Claim& claim = it->second;
    if (!claim.promised_ && gone_.IsGone(claim.row_.successor_, aNow)) {
      claim.promised_ = true;
    }
    if (!claim.promised_ && claim.row_.successor_ == self_) {
      if (!ledger_.Promise(claim.row_)) {
        it = claims_.erase(it);
        continue;
      }
      claim.promised_ = true;
    }
    if (!claim.promised_) {
      if (claim.lastQuery_ == TimePoint{} || aNow - claim.lastQuery_ >= settings_.heartbeat_) {
        claim.lastQuery_ = aNow;
        aEffects.push_back(SendMessage{ claim.row_.successor_, ClaimQuery{ claim.row_ } });
      }
    } else if (claim.operation_ == 0 && (claim.lastCommit_ == TimePoint{} ||
                                         aNow - claim.lastCommit_ >= settings_.storeRetry_)) {
      claim.lastCommit_ = aNow;
      claim.operation_ = ++lastOperation_;
      aEffects.push_back(CommitRow{ claim.operation_, claim.row_, claim.Next() });
    }
    ++it;
  }
}

} // namespace redwing
