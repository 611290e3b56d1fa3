#pragma once

#include "limits/ShareBucket.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace redwing {

/// Buckets of all workspaces whose share shards this instance owns.
class ShareOwner
{
public:
  /// Returns the limit of a workspace, or nothing if the workspace does not exist.
  using LookUpLimit = std::function<std::optional<WorkspaceLimit>(std::string_view aWorkspace)>;
  /// Returns whether this instance owns the workspace's share shard now.
  using OwnsShare = std::function<bool(std::string_view aWorkspace)>;

  ShareOwner(LookUpLimit aLookUpLimit, OwnsShare aOwnsShare);

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
  LookUpLimit lookUpLimit_;
  OwnsShare ownsShare_;
  std::map<std::string, ShareBucket, std::less<>> buckets_;
};

} // namespace redwing
