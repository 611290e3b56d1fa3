#include "fleet/RolloutOrderFeed.hpp"

#include "core/Log.hpp"
#include "store/StoreRevision.hpp"

#include <utility>

namespace redwing {

RolloutOrderFeed::RolloutOrderFeed(RolloutOrderFormat aFormat)
  : format_(std::move(aFormat))
{
}

bool
RolloutOrderFeed::Owns(const std::string& aKey) const
{
  return !format_.prefix_.empty() && aKey.starts_with(format_.prefix_);
}

void
RolloutOrderFeed::OnEntry(const std::string& aKey,
                          const std::optional<std::string>& aValue,
                          std::uint64_t aRevision)
{
  const auto known = orders_.find(aKey);
  if (!aValue) {
    kept_.erase(aKey);
    if (known != orders_.end()) {
      LogLine(LogLevel::Info, "rollout_order_deleted").With("service", known->second.service_);
      orders_.erase(known);
      changed_ = true;
    }
    return;
  }
  if (known != orders_.end() && known->second.revision_ == aRevision) {
    return;
  }
  auto decoded = format_.decode_(*aValue);
  if (decoded && decoded->service_ != aKey.substr(format_.prefix_.size())) {
    decoded = tl::unexpected(Findings{ { "/service", "differs from the key" } });
  }
  if (!decoded) {
    if (std::exchange(rejected_[aKey], aRevision) != aRevision) {
      for (const Finding& finding : decoded.error()) {
        LogLine(LogLevel::Warning, "rollout_order_rejected")
          .With("key", aKey)
          .With("place", finding.place_)
          .With("error", finding.message_);
      }
    }
    return;
  }
  decoded->revision_ = aRevision;
  if (known != orders_.end() && kept_.contains(aKey) &&
      NumberOf(aRevision) < NumberOf(known->second.revision_)) {
    LogLine(LogLevel::Info, "rollout_order_kept").With("service", known->second.service_);
    return;
  }
  kept_.erase(aKey);
  LogLine(LogLevel::Info, "rollout_order")
    .With("service", decoded->service_)
    .With("version", decoded->targetVersion_)
    .With("duration_ms", decoded->duration_.count())
    .With("revision", aRevision);
  orders_[aKey] = std::move(*decoded);
  changed_ = true;
}

void
RolloutOrderFeed::OnRead(const std::set<std::string>& aKeys)
{
  std::erase_if(orders_, [&](const auto& aOrder) {
    const bool gone = !aKeys.contains(aOrder.first) && !kept_.contains(aOrder.first);
    changed_ = changed_ || gone;
    return gone;
  });
}

void
RolloutOrderFeed::Keep()
{
  for (const auto& [key, order] : orders_) {
    kept_.insert(key);
  }
}

bool
RolloutOrderFeed::EndKeep()
{
  return !std::exchange(kept_, {}).empty();
}

void
RolloutOrderFeed::Publish()
{
  if (!std::exchange(changed_, false)) {
    return;
  }
  std::vector<RolloutOrder> orders;
  for (const auto& [key, order] : orders_) {
    orders.push_back(order);
  }
  format_.adopt_(std::move(orders));
}

} // namespace redwing
