#pragma once

#include "ownership/Effects.hpp"
#include "ownership/GoneMembers.hpp"
#include "ownership/OwnershipSettings.hpp"
#include "ownership/TokenLedger.hpp"

#include <map>
#include <optional>

namespace redwing {

/// Changes the owner of rows through the store: assignment of unowned shards, restart, and the slow
/// path for rows whose grantors were all lost. The recorded successor must promise not to take the
/// shard over, or be gone.
class ShardClaims
{
public:
  /// Preconditions: all references outlive the object. Thread safety: not thread-safe.
  ShardClaims(InstanceRef aSelf,
              const OwnershipSettings& aSettings,
              const GoneMembers& aGone,
              TokenLedger& aLedger,
              std::uint64_t& aLastOperation);

  /// Starts to claim aRow for aTarget. With aForce the successor is not asked.
  ///
  /// Preconditions: aRow has no owner, or its owner never acts for it again. Thread safety: not
  /// thread-safe.
  void Start(const ShardRow& aRow, const InstanceRef& aTarget, bool aForce);

  /// Preconditions: none. Thread safety: not thread-safe.
  void OnPromise(const InstanceRef& aFrom, const ClaimPromise& aPromise);

  /// Handles a store result; returns the row now in the store if the operation was a claim and the
  /// row is known.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::optional<ShardRow> OnCommit(std::uint64_t aOperation,
                                   CommitOutcome aOutcome,
                                   const std::optional<ShardRow>& aCurrent);

  /// Sends queries and commits that are due.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Tick(TimePoint aNow, Effects& aEffects);

private:
  struct Claim
  {
    ShardRow row_;
    InstanceRef target_;
    bool promised_ = false;
    std::uint64_t operation_ = 0;
    TimePoint lastQuery_{};
    TimePoint lastCommit_{};

    ShardRow Next() const;
  };

  InstanceRef self_;
  const OwnershipSettings& settings_;
  const GoneMembers& gone_;
  TokenLedger& ledger_;
  std::uint64_t& lastOperation_;
  std::map<ShardId, Claim> claims_;
};

} // namespace redwing
