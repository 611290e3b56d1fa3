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
  if (!ownsShare_(aRequest.workspace_)) {
    buckets_.erase(aRequest.workspace_);
    return refusal;
  }
  const auto limit = lookUpLimit_(aRequest.workspace_);
  if (!limit) {
    return refusal;
  }
  auto& bucket = buckets_.try_emplace(aRequest.workspace_, *limit, aNow).first->second;
  bucket.SetLimit(*limit, aNow);
  return bucket.Grant(aInstance, aRequest, aNow);
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
