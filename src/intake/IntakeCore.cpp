#include "intake/IntakeCore.hpp"

#include "core/Log.hpp"
#include "intake/CallerSlot.hpp"
#include "intake/Exchange.hpp"

#include <array>
#include <cstdio>

namespace redwing::Detail {

IntakeCore::Scope::Scope(IntakeCore& aCore)
  : core_(aCore)
{
  ++core_.depth_;
}

IntakeCore::Scope::~Scope()
{
  if (--core_.depth_ == 0 && !core_.retired_.empty()) {
    core_.retired_.clear();
  }
}

IntakeCore::IntakeCore(IntakeDependencies aDependencies)
  : dependencies_(std::move(aDependencies))
  , reader_(dependencies_.view_)
  , memory_(dependencies_.memory_ == nullptr ? &unlimited_.emplace(0, dependencies_.counters_)
                                             : dependencies_.memory_)
  , bounds_(CallerBounds::Of(dependencies_.settings_, {}))
  , random_(dependencies_.seed_)
  , selector_(dependencies_.clock_, random_.Bits(), dependencies_.settings_.routing_)
  , retries_(dependencies_.settings_.retryBudget_)
  , overloadRetries_(dependencies_.settings_.overloadRetries_)
  , outcomes_(dependencies_.counters_)
  , hedgeCounter_(dependencies_.counters_.GetCounter("redwing_hedges_total"))
  , retryCounter_(dependencies_.counters_.GetCounter("redwing_retries_total"))
  , retryWithheldCounter_(dependencies_.counters_.GetCounter("redwing_retries_withheld_total"))
  , abandonedRouted_(
      dependencies_.counters_.GetCounter("redwing_requests_abandoned_total", "routed=\"yes\""))
  , abandonedUnrouted_(
      dependencies_.counters_.GetCounter("redwing_requests_abandoned_total", "routed=\"no\""))
  , unread_(dependencies_.counters_.GetCounter("redwing_caller_connections_left_unread_total"))
  , log_(dependencies_.clock_, dependencies_.settings_.routeLogLinesPerSecond_)
  , timers_(dependencies_.io_,
            dependencies_.clock_,
            [this](std::uint64_t aExchangeId, TimerKind aKind) { OnTimer(aExchangeId, aKind); })
  , requestIdBase_(random_.Bits())
{
  RefreshView();
}

IntakeCore::~IntakeCore() = default;

void
IntakeCore::RefreshView()
{
  const auto& current = reader_.Get();
  if (current == view_) {
    return;
  }
  view_ = current;
  const auto& revision = view_->configuration_;
  if (!routes_ || (revision && &routes_->Revision() != revision.get())) {
    const TimePoint begin = Now();
    const auto adopted = revision ? revision : std::make_shared<const ConfigurationRevision>();
    routes_ = std::make_shared<const RouteTable>(adopted);
    credentials_ = std::make_unique<CredentialTable>(adopted);
    partClaims_.clear();
    bounds_ = CallerBounds::Of(Settings(), adopted->configuration_.callerLimits_);
    LogLine(LogLevel::Info, "routes_indexed")
      .With("revision", adopted->revision_)
      .With("routes", adopted->configuration_.routes_.size())
      .With("index_ms",
            std::chrono::duration_cast<std::chrono::milliseconds>(Now() - begin).count());
  }
  selector_.SetView(view_);
}

std::string
IntakeCore::NextRequestId()
{
  // Seed-dependent base plus a counter: unique within a process, and between processes with
  // different seeds.
  constexpr std::size_t kIdBytes = 40;
  std::array<char, kIdBytes> text{};
  const int length = std::snprintf(text.data(),
                                   text.size(),
                                   "%016llx-%llx",
                                   static_cast<unsigned long long>(requestIdBase_),
                                   static_cast<unsigned long long>(++lastRequestId_));
  return { text.data(), static_cast<std::size_t>(length) };
}

std::size_t
IntakeCore::NextPart(const RouteEntry& aEntry)
{
  const auto& split = aEntry.route_->split_;
  double total = 0;
  for (const RouteTarget& target : split) {
    total += target.weight_;
  }
  auto& claims = partClaims_[&aEntry];
  if (claims.empty()) {
    // A random start keeps instances from serving their first requests by the same part.
    for (std::size_t i = 0; i < split.size(); ++i) {
      claims.push_back(random_.Unit() * total);
    }
  }
  std::size_t best = 0;
  for (std::size_t i = 0; i < split.size(); ++i) {
    claims[i] += split[i].weight_;
    const bool usable = split[i].weight_ > 0 || total == 0;
    if (usable && (split[best].weight_ == 0 || claims[i] > claims[best])) {
      best = i;
    }
  }
  claims[best] -= total;
  return best;
}

void
IntakeCore::Retire(std::unique_ptr<CallerSlot> aSlot)
{
  retired_.push_back(std::move(aSlot));
}

void
IntakeCore::OnResponseEvent(ResponseEvent&& aEvent)
{
  const Scope scope(*this);
  const std::uint64_t attemptId = KeyOf(aEvent).exchangeId_;
  // An event of an attempt that was given up finds no entry and is dropped.
  if (const auto found = attempts_.find(attemptId); found != attempts_.end()) {
    found->second->OnResponseEvent(attemptId, std::move(aEvent));
  }
}

void
IntakeCore::OnPeerDown(const std::string& aInstanceId)
{
  const Scope scope(*this);
  std::vector<std::uint64_t> affected;
  for (const auto& [id, exchange] : exchanges_) {
    if (exchange->Uses(aInstanceId)) {
      affected.push_back(id);
    }
  }
  for (const std::uint64_t id : affected) {
    if (const auto found = exchanges_.find(id); found != exchanges_.end()) {
      found->second->OnPeerDown(aInstanceId);
    }
  }
}

void
IntakeCore::OnAnswerBy()
{
  const Scope scope(*this);
  std::vector<std::uint64_t> open;
  for (const auto& [id, exchange] : exchanges_) {
    open.push_back(id);
  }
  for (const std::uint64_t id : open) {
    if (const auto found = exchanges_.find(id); found != exchanges_.end()) {
      found->second->OnAnswerBy();
    }
  }
}

bool
IntakeCore::OnRateDecision(std::uint64_t aExchangeId, const RateAnswer& aAnswer)
{
  const Scope scope(*this);
  const auto found = exchanges_.find(aExchangeId);
  return found != exchanges_.end() && found->second->OnRateDecision(aAnswer);
}

void
IntakeCore::LogUnanswered() const
{
  for (const auto& [id, exchange] : exchanges_) {
    exchange->LogUnanswered();
  }
}

void
IntakeCore::OnTimer(std::uint64_t aExchangeId, TimerKind aKind)
{
  const Scope scope(*this);
  if (const auto found = exchanges_.find(aExchangeId); found != exchanges_.end()) {
    found->second->OnTimer(aKind);
  }
}

} // namespace redwing::Detail
