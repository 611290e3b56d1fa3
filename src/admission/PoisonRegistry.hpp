#pragma once

#include "core/Clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace redwing {

/// A request that ran when a backend server crashed.
struct PoisonEntry
{
  std::string service_;
  std::uint64_t fingerprint_ = 0;
  /// One id per crash, so that an entry that is received twice counts once.
  std::set<std::string> crashes_;
  /// Travels as remaining time.
  TimePoint expiry_{};
};

enum class PoisonVerdict : std::uint8_t
{
  Clear,
  /// Ran during one crash; may run again only as the one trial.
  Suspect,
  Poisoned,
};

/// Remembers which requests ran when backend servers crashed. After one crash a request may be
/// tried by one instance, one at a time; after two it is refused.
class PoisonRegistry
{
public:
  /// Records a crash with the fingerprints that ran; returns the entries to gossip.
  ///
  /// Preconditions: aCrashId is unique per crash. Thread safety: not thread-safe.
  std::vector<PoisonEntry> RecordCrash(const std::string& aService,
                                       std::span<const std::uint64_t> aFingerprints,
                                       const std::string& aCrashId,
                                       TimePoint aNow);

  /// Adds entries received from other instances.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Merge(std::span<const PoisonEntry> aEntries);

  /// Preconditions: none. Thread safety: not thread-safe.
  PoisonVerdict Check(const std::string& aService,
                      std::uint64_t aFingerprint,
                      TimePoint aNow) const;

  /// Claims the trial of a suspect; returns false while another trial runs here.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool BeginTrial(const std::string& aService, std::uint64_t aFingerprint);

  /// Ends a trial; a completed one clears the suspicion.
  ///
  /// Preconditions: BeginTrial returned true. Thread safety: not thread-safe.
  void EndTrial(const std::string& aService, std::uint64_t aFingerprint, bool aCompleted);

  /// Preconditions: none. Thread safety: not thread-safe.
  void Expire(TimePoint aNow);

  std::size_t Size() const { return entries_.size(); }

private:
  using Key = std::pair<std::string, std::uint64_t>;

  std::map<Key, PoisonEntry> entries_;
  std::set<Key> trials_;
  /// Crash ids of cleared entries; late gossip about them is ignored.
  std::set<std::string> cleared_;
};

} // namespace redwing
