#pragma once

#include "store/Store.hpp"

#include <atomic>
#include <cstdint>
#include <optional>

namespace redwing {

/// What an answer tells about the epoch of the store.
enum class EpochNews
{
  /// The answer is of the known epoch, or does not name one.
  None,
  /// The store came back from an older copy: nothing that was read before is confirmed any more.
  Risen,
  /// The answer was given before the store came back from a copy; what it says may be lost.
  Earlier,
};

/// Tracks the epoch of a store by its answers, which may overtake each other.
class StoreEpoch
{
public:
  /// Returns the newest epoch that an answer has named, 0 before the first one.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  std::uint64_t Known() const { return known_.load(std::memory_order_relaxed); }

  /// Notes the epoch that an answer names. Without a usable one, as in the answer of a proxy, the
  /// answer counts as of the known epoch: taking it for an earlier one would refuse all answers of
  /// a store that does not tell its epoch.
  ///
  /// Preconditions: none. Thread safety: the store's thread only.
  EpochNews Observe(std::optional<std::uint64_t> aEpoch);

  /// Notes a revision of the known epoch, for the log line that tells of the next epoch.
  ///
  /// Preconditions: none. Thread safety: the store's thread only.
  void NoteRevision(std::uint64_t aRevision);

private:
  std::atomic<std::uint64_t> known_{ 0 };
  std::uint64_t newestRevision_ = 0;
};

/// Returns the epoch in which the conditions of aTransaction were read, or nothing if all of them
/// are that a key does not exist: these mean the same in every epoch.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::optional<std::uint64_t> EpochOfConditions(const StoreTransaction& aTransaction);

/// Returns whether the conditions of aTransaction can hold in aEpoch or a later one. Those read in
/// an earlier epoch cannot, nor can conditions of several epochs together: their numbers may stand
/// for other changes by now.
///
/// Preconditions: none. Thread safety: callable from any thread.
bool ConditionsCanHold(const StoreTransaction& aTransaction, std::uint64_t aEpoch);

} // namespace redwing
