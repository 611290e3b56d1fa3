#include "backend/RequestChecks.hpp"

#include "core/Hash.hpp"

#include <chrono>
#include <utility>

namespace redwing {

RequestChecks::RequestChecks(const Published<RoutingView>& aView,
                             std::chrono::milliseconds aWithdrawalGrace)
  : view_(aView)
  , withdrawalGrace_(aWithdrawalGrace)
{
}

void
RequestChecks::Refresh()
{
  const auto& view = view_.Get();
  if (view->configuration_ == configuration_) {
    return;
  }
  configuration_ = view->configuration_;
  changed_ = true;
  keys_.clear();
  large_.clear();
  if (configuration_) {
    for (const auto& key : configuration_->configuration_.keys_) {
      keys_.insert(key.id_);
    }
    for (const auto& route : configuration_->configuration_.routes_) {
      if (route.largeAnswers_) {
        large_.insert(route.id_);
      }
    }
  }
}

bool
RequestChecks::ConsumeChange()
{
  Refresh();
  return std::exchange(changed_, false);
}

std::optional<ErrorCode>
RequestChecks::CheckRequest(const RequestStart& aStart, TimePoint aNow)
{
  Refresh();
  if (!configuration_ || configuration_->revision_ == 0) {
    // Neither the valid keys nor the server's limits are known without a configuration.
    return ErrorCode::ConfigurationStale;
  }
  if (aNow >= aStart.deadline_) {
    return ErrorCode::DeadlineExceeded;
  }
  const auto& withdrawnSince = view_.Get()->selfWithdrawnSince_;
  if (withdrawnSince && (!aStart.shard_ || aNow >= *withdrawnSince + withdrawalGrace_)) {
    return ErrorCode::Draining;
  }
  if (aStart.keyId_.empty() || keys_.contains(aStart.keyId_)) {
    return std::nullopt;
  }
  // The ingress may have a newer configuration with a key that was just issued. The error code then
  // allows the request to be sent to another instance.
  return aStart.configurationRevision_ > configuration_->revision_ ? ErrorCode::ConfigurationStale
                                                                   : ErrorCode::InvalidKey;
}

bool
RequestChecks::MayRunTrial(const RequestStart& aStart)
{
  if (aStart.shard_) {
    // Requests of a shard run at the shard's owner only.
    return true;
  }
  const auto& view = *view_.Get();
  std::uint64_t best = 0;
  std::string chosen = view.self_.id_;
  for (const auto& [id, member] : view.members_) {
    if (member.service_ != aStart.service_ || !member.reachable_ || member.leaving_) {
      continue;
    }
    const auto score = HashBytes(id + '/' + std::to_string(aStart.fingerprint_));
    if (score >= best) {
      best = score;
      chosen = id;
    }
  }
  return chosen == view.self_.id_;
}

bool
RequestChecks::HasWorkspaces()
{
  Refresh();
  return configuration_ && !configuration_->configuration_.workspaces_.empty();
}

bool
RequestChecks::HasLargeAnswers(const std::string& aRoute)
{
  Refresh();
  return large_.contains(aRoute);
}

Service
RequestChecks::ServiceOf(const std::string& aService)
{
  const auto& configuration = view_.Get()->configuration_;
  if (configuration) {
    for (const auto& service : configuration->configuration_.services_) {
      if (service.id_ == aService) {
        return service;
      }
    }
  }
  return {};
}

const RolloutRouting*
RequestChecks::RolloutOf(const std::string& aService)
{
  const auto& rollouts = view_.Get()->rollouts_;
  const auto found = rollouts.find(aService);
  return found == rollouts.end() ? nullptr : &found->second;
}

} // namespace redwing
