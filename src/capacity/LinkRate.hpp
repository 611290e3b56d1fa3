#pragma once

#include "core/Clock.hpp"

#include <cstdint>
#include <vector>

namespace redwing {

/// Bytes per second that this instance's link carries: as stated, less if less is observed.
///
/// A link that is slower than what is sent over it delays everything on it, while a caller that
/// reads slowly delays its own response only. So the link counts as slower when even the shortest
/// time from the sending of a part to its credit is long, over parts of several responses. Then its
/// rate is what has arrived.
class LinkRate
{
public:
  explicit LinkRate(double aStatedBytesPerSecond);

  /// Records that aBytes of the response aResponse, which were sent aTime before, have arrived.
  ///
  /// Preconditions: aNow never decreases. Thread safety: not thread-safe.
  void OnArrived(std::uint64_t aResponse, std::uint64_t aBytes, Duration aTime, TimePoint aNow);

  /// Adapts the rate; without news of arrivals it returns to the stated one.
  ///
  /// Preconditions: aNow never decreases. Thread safety: not thread-safe.
  void Update(TimePoint aNow);

  /// Returns the bytes per second; always above 0.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  double BytesPerSecond() const { return rate_; }
  double Stated() const { return stated_; }

private:
  double stated_;
  double rate_;
  bool HasEvidence() const;

  /// Begin of the present interval and what has arrived in it.
  TimePoint since_{};
  std::uint64_t arrived_ = 0;
  std::uint32_t parts_ = 0;
  /// Different responses of which parts arrived, kLeastResponses at most.
  std::vector<std::uint64_t> responses_;
  Duration shortest_ = Duration::max();
  /// Time from sending to credit on the link without a queue.
  Duration base_{};
};

} // namespace redwing
