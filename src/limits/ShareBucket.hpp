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
/// Tokens in outstanding slices count against the burst: the bucket refills only while its level
/// plus the outstanding tokens is below the burst. In any interval T the instances therefore accept
/// at most rate x T + burst requests, no matter when they use their slices.
class ShareBucket
{
public:
  /// Starts with an empty bucket. The whole burst counts as outstanding until all slices that an
  /// earlier owner may have granted have expired; aEarlierSliceTimeToLive is their longest time to
  /// live.
  ShareBucket(WorkspaceLimit aLimit, Duration aEarlierSliceTimeToLive, TimePoint aNow);

  /// Restores a bucket from the state that its former owner exported.
  ShareBucket(WorkspaceLimit aLimit, const BucketState& aState, TimePoint aNow);

  /// Returns the state for the next owner. Don't grant from this bucket afterwards.
  ///
  /// Preconditions: aNow does not go back. Thread safety: not thread-safe.
  BucketState Export(std::string_view aWorkspace, TimePoint aNow);

  /// Grants up to aRequest.tokens_ tokens to aInstance. A request id whose slice is still
  /// outstanding gets no more tokens.
  ///
  /// Preconditions: aNow does not go back. Thread safety: not thread-safe.
  SliceReply Grant(std::string_view aInstance, const SliceRequest& aRequest, TimePoint aNow);

  /// Closes a slice and takes back its unused tokens. Ignores unknown and expired slices.
  ///
  /// Preconditions: aNow does not go back. Thread safety: not thread-safe.
  void Close(std::string_view aInstance, const SliceReport& aReport, TimePoint aNow);

  /// Changes the limit. Slices granted before still count as outstanding.
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
  /// Sorted by expiry.
  std::deque<Slice> slices_;
};

} // namespace redwing
