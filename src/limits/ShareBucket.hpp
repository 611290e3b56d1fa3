#pragma once

#include "core/Clock.hpp"
#include "limits/SliceMessages.hpp"
#include "limits/WorkspaceLimit.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace redwing {

/// Token bucket of one workspace, kept by the owner of the workspace's share shard.
///
/// Tokens in slices that may still be used count against the burst: the bucket refills only while
/// its level plus the outstanding slices is below the burst. Over any interval T the instances
/// therefore accept at most rate x T + burst requests, whenever they use their slices.
class ShareBucket
{
public:
  /// Starts with an empty bucket and counts the whole burst as outstanding until the slices that an
  /// earlier owner may have granted have expired; aEarlierSlices is the longest time to live that
  /// they may have.
  ShareBucket(WorkspaceLimit aLimit, Duration aEarlierSlices, TimePoint aNow);

  /// Continues a bucket that its former owner handed over.
  ShareBucket(WorkspaceLimit aLimit, const BucketState& aState, TimePoint aNow);

  /// Returns the state for the next owner. This bucket must not grant any more.
  ///
  /// Preconditions: aNow does not go back. Thread safety: not thread-safe.
  BucketState Export(std::string_view aWorkspace, TimePoint aNow);

  /// Grants up to aRequest.tokens_ tokens to aInstance. A repeated request id gets no tokens.
  ///
  /// Preconditions: aNow does not go back. Thread safety: not thread-safe.
  SliceReply Grant(std::string_view aInstance, const SliceRequest& aRequest, TimePoint aNow);

  /// Closes a slice. Reports of unknown or expired slices are ignored.
  ///
  /// Preconditions: aNow does not go back. Thread safety: not thread-safe.
  void Close(std::string_view aInstance, const SliceReport& aReport, TimePoint aNow);

  /// Changes the limit. Slices that were granted keep counting as outstanding.
  ///
  /// Preconditions: aNow does not go back. Thread safety: not thread-safe.
  void SetLimit(WorkspaceLimit aLimit, TimePoint aNow);

  /// Returns the number of tokens that could be granted now.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  double Level() const { return level_; }

private:
  struct Slice
  {
    std::string instance_;
    std::uint64_t requestId_ = 0;
    double tokens_ = 0;
    TimePoint expiry_;
  };

  void Advance(TimePoint aNow);
  void Refill(TimePoint aUntil);
  bool IsKnown(std::string_view aInstance, std::uint64_t aRequestId) const;
  std::uint32_t RetryAfterMs(TimePoint aNow) const;

  WorkspaceLimit limit_;
  double level_ = 0;
  double outstanding_ = 0;
  TimePoint refilledAt_;
  /// In order of expiry.
  std::deque<Slice> slices_;
};

} // namespace redwing
