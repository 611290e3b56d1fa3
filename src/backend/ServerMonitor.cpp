#include "backend/ServerMonitor.hpp"

#include "backend/RequestText.hpp"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace redwing {

namespace {

constexpr std::chrono::milliseconds kHealthTimeout{ 1000 };
constexpr std::chrono::milliseconds kProbeTimeout{ 300 };
constexpr std::chrono::milliseconds kGrantTimeout{ 250 };
constexpr std::chrono::milliseconds kCancelTimeout{ 500 };
constexpr std::uint16_t kStatusOk = 200;
constexpr std::uint16_t kStatusRedirect = 300;

bool
Succeeded(const ControlReply& aReply)
{
  return aReply.status_ >= kStatusOk && aReply.status_ < kStatusRedirect;
}

std::optional<HealthReport>
ParseHealth(const ControlReply& aReply)
{
  if (aReply.status_ != kStatusOk) {
    return std::nullopt;
  }
  const auto json = nlohmann::json::parse(aReply.body_, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  const auto flag = [&](const char* aName) {
    const auto it = json.find(aName);
    return it != json.end() && it->is_boolean() && it->get<bool>();
  };
  HealthReport report;
  report.ready_ = flag("ready");
  report.draining_ = flag("draining");
  report.cold_ = flag("cold");
  if (const auto it = json.find("outstanding"); it != json.end() && it->is_number_unsigned()) {
    report.outstanding_ = it->get<std::uint32_t>();
  }
  return report;
}

} // namespace

ServerMonitor::ServerMonitor(boost::asio::io_context& aContext,
                             const Clock& aClock,
                             CounterRegistry& aCounters,
                             InstanceRef aSelf,
                             MonitorHooks aHooks)
  : context_(aContext)
  , clock_(aClock)
  , self_(std::move(aSelf))
  , hooks_(std::move(aHooks))
  , health_(std::make_shared<ControlClient>(aContext, aClock))
  , grants_(std::make_shared<ControlClient>(aContext, aClock))
  , cancels_(std::make_shared<ControlClient>(aContext, aClock))
  , grantsSent_(aCounters.GetCounter("redwing_backend_grants_sent_total"))
  , grantsFailed_(aCounters.GetCounter("redwing_backend_grants_failed_total"))
  , cancelsSent_(aCounters.GetCounter("redwing_backend_cancels_sent_total"))
{
}

ServerMonitor::~ServerMonitor()
{
  for (const auto& client : { health_, grants_, cancels_ }) {
    client->Abandon();
  }
  for (const auto& client : probes_) {
    client->Abandon();
  }
}

void
ServerMonitor::SetTarget(std::optional<Address> aAddress)
{
  if (aAddress == address_) {
    return;
  }
  address_ = std::move(aAddress);
  if (address_ && !nextGrants_ && !lastGrants_.empty()) {
    nextGrants_ = GrantSet{ lastGrants_, [](bool) {} };
  }
  SendGrants();
}

void
ServerMonitor::Poll()
{
  if (!address_ || polling_) {
    return;
  }
  polling_ = true;
  health_->Call(
    *address_, "GET", "/redwing/health", {}, kHealthTimeout, [this](const ControlReply& aReply) {
      polling_ = false;
      if (const auto report = ParseHealth(aReply)) {
        hooks_.onHealth_(*report);
      } else {
        hooks_.onHealthFailed_(aReply.refused_);
      }
    });
}

void
ServerMonitor::Probe(std::function<void(std::optional<HealthReport>, bool)> aCallback)
{
  if (!address_) {
    aCallback(std::nullopt, false);
    return;
  }
  auto client = std::make_shared<ControlClient>(context_, clock_);
  probes_.push_back(client);
  client->Call(
    *address_,
    "GET",
    "/redwing/health",
    {},
    kProbeTimeout,
    [this, raw = client.get(), callback = std::move(aCallback)](const ControlReply& aReply) {
      raw->Reset();
      std::erase_if(probes_, [raw](const auto& aProbe) { return aProbe.get() == raw; });
      callback(ParseHealth(aReply), aReply.refused_);
    });
}

void
ServerMonitor::SetGrants(const std::vector<ShardGrant>& aGrants,
                         TimePoint aDeadline,
                         std::function<void(bool)> aAcknowledged)
{
  using std::chrono::milliseconds;
  auto list = nlohmann::json::array();
  for (const auto& grant : aGrants) {
    list.push_back({ { "shard", ShardName(grant.shard_.service_, grant.shard_.index_) },
                     { "token", grant.token_ } });
  }
  // Rounded down, because the server must never act after the lease has ended.
  const auto deadline = std::chrono::floor<milliseconds>(aDeadline.time_since_epoch()).count();
  const nlohmann::json body{ { "instance", self_.id_ },
                             { "incarnation", self_.incarnation_ },
                             { "deadline_ms", deadline },
                             { "grants", std::move(list) } };
  if (nextGrants_) {
    nextGrants_->acknowledged_(false);
  }
  lastGrants_ = body.dump();
  nextGrants_ = GrantSet{ lastGrants_, std::move(aAcknowledged) };
  SendGrants();
}

void
ServerMonitor::SendGrants()
{
  if (sendingGrants_ || !nextGrants_) {
    return;
  }
  auto grants = std::exchange(nextGrants_, std::nullopt);
  if (!address_) {
    grants->acknowledged_(false);
    return;
  }
  sendingGrants_ = true;
  grantsSent_.Add();
  grants_->Call(
    *address_,
    "PUT",
    "/redwing/grants",
    grants->body_,
    kGrantTimeout,
    [this, acknowledged = std::move(grants->acknowledged_)](const ControlReply& aReply) {
      sendingGrants_ = false;
      const bool accepted = Succeeded(aReply);
      if (!accepted) {
        grantsFailed_.Add();
      }
      acknowledged(accepted);
      SendGrants();
    });
}

bool
ServerMonitor::Cancel(const std::string& aRequestId)
{
  if (address_) {
    cancelsSent_.Add();
    const nlohmann::json body{ { "request_id", aRequestId } };
    cancels_->Call(
      *address_, "POST", "/redwing/cancel", body.dump(), kCancelTimeout, [](const ControlReply&) {
      });
  }
  return true;
}

} // namespace redwing
