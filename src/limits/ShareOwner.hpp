#pragma once

#include "limits/ShareBucket.hpp"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace redwing {

/// Buckets of all workspaces whose share shards this instance owns.
class ShareOwner
{
public:
  /// Limit of a workspace, and the longest time to live of slices that an earlier owner of its
  /// bucket may have granted, perhaps under an earlier limit.
  struct Limit
  {
    WorkspaceLimit limit_;
    Duration earlierSlices_ = kMaxSliceTimeToLive;
  };
  /// Returns the limit of a workspace, or nothing if the workspace does not exist.
  using LookUpLimit = std::function<std::optional<Limit>(std::string_view aWorkspace)>;
  /// Returns whether this instance owns the workspace's share shard now.
  using OwnsShare = std::function<bool(std::string_view aWorkspace)>;

  ShareOwner(LookUpLimit aLookUpLimit, OwnsShare aOwnsShare);

  /// Creates the bucket of a workspace ahead of its first request, so that the time in which an
  /// earlier owner's slices expire has passed when requests come.
  ///
  /// Preconditions: aNow does not go back. Thread safety: not thread-safe.
  void Prepare(std::string_view aWorkspace, TimePoint aNow);

  /// Removes the buckets that aBelongs names and returns their state for the next owner.
  ///
  /// Preconditions: this instance no longer owns them. Thread safety: not thread-safe.
  std::vector<BucketState> Release(const std::function<bool(std::string_view)>& aBelongs,
                                   TimePoint aNow);

  /// Continues buckets that their former owner handed over; those that exist here are left alone.
  ///
  /// Preconditions: this instance owns them, and nobody owned them in between. Thread safety: not
  /// thread-safe.
  void Continue(std::span<const BucketState> aStates, TimePoint aNow);

  /// Answers a request for tokens.
  ///
  /// Preconditions: aNow does not go back. Thread safety: not thread-safe.
  SliceReply OnRequest(std::string_view aInstance, const SliceRequest& aRequest, TimePoint aNow);

  /// Closes a slice.
  ///
  /// Preconditions: aNow does not go back. Thread safety: not thread-safe.
  void OnReport(std::string_view aInstance, const SliceReport& aReport, TimePoint aNow);

  /// Discards all buckets for which this instance is no longer the owner, so that it starts with an
  /// empty bucket if it becomes the owner again. Call it whenever the owned shards change.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnOwnershipChanged();

private:
  ShareBucket* Find(std::string_view aWorkspace, TimePoint aNow);

  LookUpLimit lookUpLimit_;
  OwnsShare ownsShare_;
  std::map<std::string, ShareBucket, std::less<>> buckets_;
};

} // namespace redwing
