#include "routing/OwnerDirectory.hpp"

#include "core/Hash.hpp"

namespace redwing {

namespace {

/// Hints are dropped together at this number; the view catches up within a gossip round.
constexpr std::size_t kMaxHints = 65'536;
constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15ULL;

std::uint64_t
KeyOfShard(const std::string& aService, std::uint32_t aShard)
{
  return HashBytes(aService) ^ ((aShard + 1) * kMultiplier);
}

bool
IsUsable(const RoutingView& aView, const std::string& aInstanceId)
{
  if (aInstanceId.empty()) {
    return false;
  }
  const auto member = aView.members_.find(aInstanceId);
  return member == aView.members_.end() || member->second.reachable_;
}

} // namespace

OwnerChoice
OwnerDirectory::Choose(const RoutingView& aView,
                       const std::string& aService,
                       std::uint32_t aShard,
                       const std::string& aLastFailed) const
{
  const ShardRow* row = nullptr;
  if (const auto shards = aView.shards_.find(aService);
      shards != aView.shards_.end() && aShard < shards->second.rows_.size()) {
    row = &shards->second.rows_[aShard];
  }
  const std::uint64_t rowToken = row == nullptr ? 0 : row->token_;
  if (const auto hint = hints_.find(KeyOfShard(aService, aShard));
      hint != hints_.end() && hint->second.token_ > rowToken &&
      hint->second.instanceId_ != aLastFailed) {
    return hint->second;
  }
  if (row == nullptr) {
    return {};
  }
  const std::string& owner = row->owner_.id_;
  const std::string& successor = row->successor_.id_;
  if (!owner.empty() && owner != aLastFailed && IsUsable(aView, owner)) {
    return { owner, rowToken };
  }
  if (!successor.empty() && successor != aLastFailed && IsUsable(aView, successor)) {
    return { successor, 0 };
  }
  // Only the instance that just failed is left: it may own the shard again after the next back-off.
  if (IsUsable(aView, owner)) {
    return { owner, rowToken };
  }
  return IsUsable(aView, successor) ? OwnerChoice{ successor, 0 } : OwnerChoice{};
}

void
OwnerDirectory::Learn(const std::string& aService,
                      std::uint32_t aShard,
                      const std::string& aOwner,
                      std::uint64_t aToken)
{
  if (aOwner.empty()) {
    return;
  }
  if (hints_.size() >= kMaxHints) {
    hints_.clear();
  }
  OwnerChoice& hint = hints_[KeyOfShard(aService, aShard)];
  if (aToken >= hint.token_) {
    hint = { aOwner, aToken };
  }
}

} // namespace redwing
