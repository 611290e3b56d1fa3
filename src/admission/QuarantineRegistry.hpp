#pragma once

#include "core/Clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
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
  /// Ids of the crashes, so that an entry that is received twice is counted once, and when they
  /// were noticed.
  std::map<std::string, TimePoint> crashes_;
  /// Encoded as the remaining time, because clocks of instances differ.
  TimePoint expiry_{};
  /// The request has run without a crash since, so the crashes are no evidence against it.
  bool cleared_ = false;
};

/// Whether a request may run.
enum class QuarantineVerdict : std::uint8_t
{
  Clear,
  /// Was running at some crashes; may run only as a trial, one at a time.
  Suspect,
  /// Was running at more crashes; must not run until the entry expires.
  Quarantined,
};

struct QuarantineSettings
{
  /// Crashes from which a request runs only as a trial, and from which it is refused.
  std::size_t trialCrashes_ = 1;
  std::size_t refusalCrashes_ = 2;
};

/// Quarantines requests that probably crash backend servers: records which requests were running
/// when a server crashed. After some crashes a request may run only as a trial, one at a time;
/// after more it is refused (error `poison_request`). A run without a crash clears it.
///
/// Crashes of many servers at the same moment have a common cause, so they count as one. That keeps
/// requests which all servers run all the time from being refused after a loss of power.
class QuarantineRegistry
{
public:
  explicit QuarantineRegistry(QuarantineSettings aSettings = {})
    : settings_(aSettings)
  {
  }

  /// Records a crash during which requests with aFingerprints were running. Returns the entries to
  /// spread by gossip.
  ///
  /// Preconditions: aCrashId is unique for each crash. Thread safety: not thread-safe.
  std::vector<QuarantineEntry> RecordCrash(const std::string& aService,
                                           std::span<const std::uint64_t> aFingerprints,
                                           const std::string& aCrashId,
                                           TimePoint aNow);

  /// Adds entries received from other instances, and removes what they say is cleared.
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

  /// Ends a trial; a completed one clears the request, as OnCompleted does.
  ///
  /// Preconditions: BeginTrial returned true. Thread safety: not thread-safe.
  std::optional<QuarantineEntry> EndTrial(const std::string& aService,
                                          std::uint64_t aFingerprint,
                                          bool aCompleted);

  /// Clears a request that a server has answered. Returns the cleared entry, for the other
  /// instances, if it did not run freely here. Telling them of each cleared request would take
  /// more messages than it is worth after a loss of many servers.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::optional<QuarantineEntry> OnCompleted(const std::string& aService,
                                             std::uint64_t aFingerprint,
                                             TimePoint aNow);

  /// Returns the entries of requests that do not run freely.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::vector<QuarantineEntry> Suspects(TimePoint aNow) const;

  /// Removes expired entries.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Expire(TimePoint aNow);

  std::size_t Size() const { return entries_.size(); }

private:
  using Key = std::pair<std::string, std::uint64_t>;

  QuarantineVerdict VerdictOn(const QuarantineEntry& aEntry, TimePoint aNow) const;
  void Clear(const Key& aKey, const std::map<std::string, TimePoint>& aCrashes);

  QuarantineSettings settings_;
  std::map<Key, QuarantineEntry> entries_;
  std::set<Key> trials_;
  /// Crash ids and fingerprints of cleared entries; delayed gossip about them is ignored.
  std::set<std::string> cleared_;
};

} // namespace redwing
