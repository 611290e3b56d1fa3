#pragma once

#include <cstdint>

/// Revisions of a store that may come back from an older copy. Such a store gives numbers out again
/// and enters a new epoch; a revision therefore consists of the epoch and the store's own number,
/// so that revisions of a later epoch are the greater ones. All functions are callable from any
/// thread.
namespace redwing {

/// Numbers that a store can give out in one epoch. A power of ten, so that both parts of a revision
/// can be read in a log line.
constexpr std::uint64_t kRevisionsPerEpoch = 1'000'000'000'000;

/// Returns the revision for aNumber of the store in aEpoch; 0, which stands for an entry that does
/// not exist, remains 0.
///
/// Preconditions: aNumber < kRevisionsPerEpoch.
constexpr std::uint64_t
MakeRevision(std::uint64_t aEpoch, std::uint64_t aNumber)
{
  return aNumber == 0 ? 0 : aEpoch * kRevisionsPerEpoch + aNumber;
}

/// Returns the epoch of aRevision.
///
/// Preconditions: none.
constexpr std::uint64_t
EpochOf(std::uint64_t aRevision)
{
  return aRevision / kRevisionsPerEpoch;
}

/// Returns the number by which the store itself knows aRevision.
///
/// Preconditions: none.
constexpr std::uint64_t
NumberOf(std::uint64_t aRevision)
{
  return aRevision % kRevisionsPerEpoch;
}

} // namespace redwing
