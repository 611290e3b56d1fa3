#include "limits/ShareOwner.hpp"

namespace redwing {

ShareOwner::ShareOwner(LookUpLimit aLookUpLimit, OwnsShare aOwnsShare)
  : lookUpLimit_(std::move(aLookUpLimit))
  , ownsShare_(std::move(aOwnsShare))
{
}

SliceReply
ShareOwner::OnRequest(std::string_view aInstance, const SliceRequest& aRequest, TimePoint aNow)
{
  SliceReply refusal;
  refusal.workspace_ = aRequest.workspace_;
  refusal.requestId_ = aRequest.requestId_;
  refusal.owner_ = false;
  ShareBucket* bucket = FindOrCreate(aRequest.workspace_, aNow);
  return bucket == nullptr ? refusal : bucket->Grant(aInstance, aRequest, aNow);
}

void
ShareOwner::Prepare(std::string_view aWorkspace, TimePoint aNow)
{
  FindOrCreate(aWorkspace, aNow);
}

std::vector<BucketState>
ShareOwner::Release(const std::function<bool(std::string_view)>& aShouldRelease, TimePoint aNow)
{
  std::vector<BucketState> states;
  for (auto bucket = buckets_.begin(); bucket != buckets_.end();) {
    if (!aShouldRelease(bucket->first)) {
      ++bucket;
      continue;
    }
    states.push_back(bucket->second.Export(bucket->first, aNow));
    bucket = buckets_.erase(bucket);
  }
  return states;
}

void
ShareOwner::Continue(std::span<const BucketState> aStates, TimePoint aNow)
{
  for (const BucketState& state : aStates) {
    const auto limit = lookUpLimit_(state.workspace_);
    if (limit && ownsShare_(state.workspace_)) {
      buckets_.try_emplace(state.workspace_, limit->limit_, state, aNow);
    }
  }
}

ShareBucket*
ShareOwner::FindOrCreate(std::string_view aWorkspace, TimePoint aNow)
{
  const auto known = buckets_.find(aWorkspace);
  const auto limit = ownsShare_(aWorkspace) ? lookUpLimit_(aWorkspace) : std::nullopt;
  if (!limit) {
    if (known != buckets_.end()) {
      buckets_.erase(known);
    }
    return nullptr;
  }
  if (known == buckets_.end()) {
    const ShareBucket bucket(limit->limit_, limit->earlierSliceTimeToLive_, aNow);
    return &buckets_.emplace(std::string(aWorkspace), bucket).first->second;
  }
  known->second.SetLimit(limit->limit_, aNow);
  return &known->second;
}

void
ShareOwner::OnReport(std::string_view aInstance, const SliceReport& aReport, TimePoint aNow)
{
  const auto found = buckets_.find(aReport.workspace_);
  if (found != buckets_.end()) {
    found->second.Close(aInstance, aReport, aNow);
  }
}

void
ShareOwner::OnOwnershipChanged()
{
  std::erase_if(buckets_, [this](const auto& aEntry) { return !ownsShare_(aEntry.first); });
}

} // namespace redwing
