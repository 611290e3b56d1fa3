#include "rollout/RouteCounter.hpp"

#include <algorithm>
#include <numbers>

namespace redwing {

namespace {

/// Versions and orders whose counts are kept. A rollout has two versions, and an order may follow
/// another one before it ends.
constexpr std::size_t kMaxServers = 4;
constexpr std::size_t kMaxOrders = 8;

} // namespace

void
RouteCounter::SetServer(std::string_view aService, std::string_view aVersion)
{
  if (!servers_.empty() && service_ == aService && version_ == aVersion) {
    return;
  }
  service_ = aService;
  version_ = aVersion;
  const auto known = std::find_if(servers_.begin(), servers_.end(), [&](const Server& aServer) {
    return aServer.service_ == aService && aServer.version_ == aVersion;
  });
  if (known != servers_.end()) {
    std::rotate(known, known + 1, servers_.end());
    return;
  }
  if (servers_.size() == kMaxServers) {
    servers_.erase(servers_.begin());
  }
  Server server{ ++lastNumber_, service_, version_, {}, {} };
  for (const std::uint64_t revision : revisions_) {
    server.orders_.emplace_back(revision, Totals{});
  }
  servers_.push_back(std::move(server));
}

void
RouteCounter::OnOrder(std::uint64_t aRevision)
{
  if (std::find(revisions_.begin(), revisions_.end(), aRevision) != revisions_.end()) {
    return;
  }
  if (revisions_.size() == kMaxOrders) {
    revisions_.erase(revisions_.begin());
    for (Server& server : servers_) {
      server.orders_.erase(server.orders_.begin());
    }
  }
  revisions_.push_back(aRevision);
  for (Server& server : servers_) {
    server.orders_.emplace_back(aRevision, server.totals_);
  }
}

std::uint64_t
RouteCounter::OnSent()
{
  if (servers_.empty()) {
    SetServer({}, {});
  }
  ++servers_.back().totals_.arrivals_;
  return servers_.back().number_;
}

void
RouteCounter::OnNotSent(std::uint64_t aServer)
{
  Server* server = ServerOf(aServer);
  if (server == nullptr) {
    return;
  }
  --server->totals_.arrivals_;
  for (auto& [revision, totals] : server->orders_) {
    // The order may have become known after the request was passed to the connection.
    totals.arrivals_ = std::min(totals.arrivals_, server->totals_.arrivals_);
  }
}

void
RouteCounter::OnAnswer(std::uint64_t aServer,
                       const std::string& aRoute,
                       Duration aTime,
                       bool aFailed)
{
  RouteCounts* counts = CountsOf(aServer, aRoute);
  if (counts == nullptr) {
    return;
  }
  ++counts->requests_;
  if (aFailed) {
    ++counts->failures_;
  } else {
    ++counts->latencies_[BucketOf(aTime)];
  }
}

void
RouteCounter::OnBroken(std::uint64_t aServer, const std::string& aRoute, bool aAnswered)
{
  if (RouteCounts* counts = CountsOf(aServer, aRoute)) {
    counts->requests_ += aAnswered ? 0 : 1;
    ++counts->failures_;
  }
}

ServerCounts
RouteCounter::CountsSince(std::uint64_t aRevision)
{
  OnOrder(aRevision);
  ServerCounts counts;
  counts.service_ = service_;
  counts.orderRevision_ = aRevision;
  counts.version_ = version_;
  counts.arrivals_ = ArrivalsSince(aRevision);
  if (servers_.empty()) {
    return counts;
  }
  const Server& server = servers_.back();
  const auto order = std::find_if(server.orders_.begin(),
                                  server.orders_.end(),
                                  [&](const auto& aOrder) { return aOrder.first == aRevision; });
  for (const auto& [route, total] : server.totals_.routes_) {
    RouteCounts since = total;
    const auto before = order->second.routes_.find(route);
    if (before != order->second.routes_.end()) {
      since.requests_ -= before->second.requests_;
      since.failures_ -= before->second.failures_;
      for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
        since.latencies_[i] -= before->second.latencies_[i];
      }
    }
    if (since.requests_ > 0 || since.failures_ > 0) {
      counts.routes_.push_back(std::move(since));
    }
  }
  return counts;
}

std::uint64_t
RouteCounter::ArrivalsSince(std::uint64_t aRevision) const
{
  if (servers_.empty()) {
    return 0;
  }
  const Server& server = servers_.back();
  for (const auto& [revision, totals] : server.orders_) {
    if (revision == aRevision) {
      return server.totals_.arrivals_ - totals.arrivals_;
    }
  }
  return server.totals_.arrivals_;
}

std::size_t
RouteCounter::BucketOf(Duration aTime)
{
  double bound = std::chrono::duration<double>(kFirstLatencyBucket).count();
  const double seconds = std::chrono::duration<double>(aTime).count();
  std::size_t bucket = 0;
  while (bucket + 1 < kLatencyBuckets && seconds > bound) {
    bound *= std::numbers::sqrt2;
    ++bucket;
  }
  return bucket;
}

RouteCounter::Server*
RouteCounter::ServerOf(std::uint64_t aNumber)
{
  const auto found = std::find_if(servers_.begin(), servers_.end(), [&](const Server& aServer) {
    return aServer.number_ == aNumber;
  });
  return found == servers_.end() ? nullptr : &*found;
}

RouteCounts*
RouteCounter::CountsOf(std::uint64_t aServer, const std::string& aRoute)
{
  Server* server = ServerOf(aServer);
  // Nobody asks for routes where there is no order.
  if (server == nullptr || revisions_.empty()) {
    return nullptr;
  }
  RouteCounts& counts = server->totals_.routes_[aRoute];
  counts.route_ = aRoute;
  return &counts;
}

} // namespace redwing
