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

/// Token buckets of all workspaces whose share shards this instance owns.
class ShareOwner
{
public:
  /// Limit of a workspace, and the longest time to live of the slices that an earlier owner of its
  /// bucket may have granted, possibly under an earlier limit.
  struct Limit
  {
    WorkspaceLimit limit_;
    Duration earlierSliceTimeToLive_ = kMaxSliceTimeToLive;
  };
  /// Returns the limit of a workspace, or nothing if the workspace does not exist.
  using LookUpLimit = std::function<std::optional<Limit>(std::string_view aWorkspace)>;
  /// Returns whether this instance owns the workspace's share shard now.
  using OwnsShare = std::function<bool(std::string_view aWorkspace)>;

  ShareOwner(LookUpLimit aLookUpLimit, OwnsShare aOwnsShare);

  /// Creates the bucket of a workspace before its first request, so that the slices of an earlier
  /// owner have expired by the time requests arrive.
  ///
  /// Preconditions: aNow does not go back. Thread safety: not thread-safe.
  void Prepare(std::string_view aWorkspace, TimePoint aNow);

  /// Removes the buckets of the workspaces for which aShouldRelease returns true, and returns their
  /// state for the next owner.
  ///
  /// Preconditions: this instance no longer owns them. Thread safety: not thread-safe.
  std::vector<BucketState> Release(const std::function<bool(std::string_view)>& aShouldRelease,
                                   TimePoint aNow);

  /// Restores buckets that their former owner released. Buckets that already exist here stay as
  /// they are.
  ///
  /// Preconditions: this instance owns them, and no other instance owned them in between. Thread
  /// safety: not thread-safe.
  void Continue(std::span<const BucketState> aStates, TimePoint aNow);

  /// Answers a request for tokens. The reply has owner_ set to false if this instance does not own
  /// the bucket or the workspace does not exist.
  ///
  /// Preconditions: aNow does not go back. Thread safety: not thread-safe.
  SliceReply OnRequest(std::string_view aInstance, const SliceRequest& aRequest, TimePoint aNow);

  /// Closes a slice and takes back its unused tokens.
  ///
  /// Preconditions: aNow does not go back. Thread safety: not thread-safe.
  void OnReport(std::string_view aInstance, const SliceReport& aReport, TimePoint aNow);

  /// Discards all buckets that this instance no longer owns, so that it starts with an empty bucket
  /// if it becomes the owner again. Call it whenever the owned shards change.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnOwnershipChanged();

private:
  /// Returns nullptr if this instance does not own the bucket or the workspace does not exist.
  ShareBucket* FindOrCreate(std::string_view aWorkspace, TimePoint aNow);

  LookUpLimit lookUpLimit_;
  OwnsShare ownsShare_;
  std::map<std::string, ShareBucket, std::less<>> buckets_;
};

} // namespace redwing
