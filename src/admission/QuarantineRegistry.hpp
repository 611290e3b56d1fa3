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

/// A request that was running when a backend server crashed, and the crashes.
struct QuarantineEntry
{
  std::string service_;
  /// Hash that identifies the request.
  std::uint64_t fingerprint_ = 0;
  /// Ids of the crashes, so that an entry that is received twice is counted once.
  std::set<std::string> crashes_;
  /// Encoded as the remaining time, because clocks of instances differ.
  TimePoint expiry_{};
};

/// Whether a request may run.
enum class QuarantineVerdict : std::uint8_t
{
  Clear,
  /// Was running at one crash; may run only as a trial, one at a time.
  Suspect,
  /// Was running at two or more crashes; must not run until the entry expires.
  Quarantined,
};

/// Quarantines requests that probably crash backend servers: records which requests were running
/// when a server crashed. After one crash a request may run only as a trial, one at a time; after
/// two it is refused (error `poison_request`).
class QuarantineRegistry
{
public:
  /// Records a crash during which requests with aFingerprints were running. Returns the entries to
  /// spread by gossip.
  ///
  /// Preconditions: aCrashId is unique for each crash. Thread safety: not thread-safe.
  std::vector<QuarantineEntry> RecordCrash(const std::string& aService,
                                           std::span<const std::uint64_t> aFingerprints,
                                           const std::string& aCrashId,
                                           TimePoint aNow);

  /// Adds entries received from other instances.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Merge(std::span<const QuarantineEntry> aEntries);

  /// Returns whether the request may run at aNow.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  QuarantineVerdict Check(const std::string& aService,
                          std::uint64_t aFingerprint,
                          TimePoint aNow) const;

  /// Starts the trial run of a suspect request. Returns false while another trial of the same
  /// request runs at this instance.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool BeginTrial(const std::string& aService, std::uint64_t aFingerprint);

  /// Ends a trial; a completed one removes the entry.
  ///
  /// Preconditions: BeginTrial returned true. Thread safety: not thread-safe.
  void EndTrial(const std::string& aService, std::uint64_t aFingerprint, bool aCompleted);

  /// Removes expired entries.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Expire(TimePoint aNow);

  std::size_t Size() const { return entries_.size(); }

private:
  using Key = std::pair<std::string, std::uint64_t>;

  std::map<Key, QuarantineEntry> entries_;
  std::set<Key> trials_;
  /// Crash ids and fingerprints of cleared entries; delayed gossip about them is ignored.
  std::set<std::string> cleared_;
};

} // namespace redwing
