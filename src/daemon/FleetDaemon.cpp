#include "daemon/FleetDaemon.hpp"

#include "core/Log.hpp"
#include "fleet/JudgedRollout.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <csignal>
#include <utility>

namespace redwing {

namespace {

using std::chrono::milliseconds;

/// Time for the store to take the last writes of a stopping instance.
constexpr milliseconds kEndTimeout{ 300 };
/// Lateness of the event loop that a stopping instance allows for.
constexpr milliseconds kEndMargin{ 200 };
/// Bodies up to this size are complete before a server is chosen, so that they can be sent again.
constexpr std::size_t kBufferedBodyBytes = 640 * 1024;
/// A body of this size costs less than the extra round trip.
constexpr std::size_t kEagerBodyBytes = 12 * 1024;
constexpr std::size_t kMaxPipelined = 8;
/// Callers are told of a shutdown by two failed readiness checks, one second apart.
constexpr milliseconds kAcceptGrace{ 2600 };
constexpr milliseconds kIdleGrace{ 200 };
/// Time for which a request waits for a new owner of its shard: a handover takes less, a lost owner
/// is replaced much later.
constexpr milliseconds kOwnerWait{ 250 };
constexpr milliseconds kFirstOwnerRetry{ 10 };
constexpr milliseconds kLastOwnerRetry{ 40 };
constexpr milliseconds kRetryAfter{ 200 };
/// A refusal reaches the caller this long before the caller gives up.
constexpr milliseconds kReplyMargin{ 15 };
constexpr std::uint32_t kRouteLogLines = 20;
/// Part of the fleet's retry budget that a service uses; the rest covers uneven traffic.
constexpr double kRetryShare = 0.7;
/// Retries that each instance may save up; those of all instances add up.
constexpr double kRetryReserve = 2.5;
constexpr int kMissedHeartbeats = 4;
/// A hold outlasts the loss of one heartbeat and a late next one.
constexpr int kHoldHeartbeats = 2;
constexpr milliseconds kHoldMargin{ 500 };
constexpr QuarantineSettings kQuarantine{ 2, 3 };
constexpr milliseconds kPeerTimeout{ 1200 };
constexpr milliseconds kPeerPing{ 400 };

} // namespace

void
FleetDaemonSettings::SetBounds(milliseconds aHeartbeatInterval,
                               milliseconds aDrainTimeout,
                               milliseconds aEvacuationTimeout,
                               milliseconds aGracePeriod,
                               double aRetryRatio)
{
  intake_.bufferedBodyBytes_ = kBufferedBodyBytes;
  intake_.callsFirst_ = true;
  intake_.returningLast_ = true;
  intake_.weighsByRate_ = true;
  intake_.eagerBodyBytes_ = kEagerBodyBytes;
  intake_.maxPipelined_ = kMaxPipelined;
  intake_.acceptGrace_ = kAcceptGrace;
  intake_.shutdownGrace_ = kIdleGrace;
  intake_.ownerWait_ = kOwnerWait;
  intake_.firstOwnerRetry_ = kFirstOwnerRetry;
  intake_.lastOwnerRetry_ = kLastOwnerRetry;
  intake_.defaultRetryAfter_ = kRetryAfter;
  intake_.replyMargin_ = kReplyMargin;
  intake_.routeLogLinesPerSecond_ = kRouteLogLines;
  intake_.routing_.hedging_ = false;
  intake_.routing_.balancing_ = Balancing::ExpectedTime;
  intake_.retryBudget_ = { aRetryRatio * kRetryShare, kRetryReserve, false };
  backend_.serverReportsState_ = true;
  // The keys of a server that is lost are unserved until its hold has ended.
  fleet_.holds_.longestHold_ =
    std::min(fleet_.holds_.longestHold_, aHeartbeatInterval * kHoldHeartbeats + kHoldMargin);
  backend_.announcementExpiry_ = aHeartbeatInterval * kMissedHeartbeats;
  backend_.warmConnections_ = 1;
  backend_.enforcesTargetTimes_ = true;
  backend_.bodiesNeedCredit_ = true;
  backend_.withdrawalGrace_ = aEvacuationTimeout * 7 / 10;
  fleet_.withdrawalLag_ = aEvacuationTimeout - backend_.withdrawalGrace_;
  backend_.leaveGrace_ = aDrainTimeout * 3 / 4;
  backend_.quarantine_ = kQuarantine;
  backend_.trialsAnywhere_ = true;
  peer_.progressTimeout_ = kPeerTimeout;
  peer_.pingInterval_ = kPeerPing;
  drainDelay_ = kAcceptGrace;
  answerTimeout_ = aGracePeriod * 3 / 4;
  stopTimeout_ = std::max(aGracePeriod * 5 / 6, aGracePeriod - kEndTimeout - kEndMargin);
}

FleetDaemon::FleetDaemon(boost::asio::io_context& aContext,
                         const Clock& aClock,
                         Store& aStore,
                         FleetDaemonSettings aSettings,
                         ConfigurationHooks aConfiguration)
  : context_(aContext)
  , clock_(aClock)
  , settings_(std::move(aSettings))
  , limits_(ProcessLimits::Of(settings_.limits_, SystemLimits::OfThisProcess))
  , memory_(limits_.memoryBytes_, counters_)
  , view_(std::make_shared<const RoutingView>(
      RoutingView{ std::make_shared<const ConfigurationRevision>(), false, {}, {}, {}, {} }))
  , signals_(aContext, SIGTERM, SIGINT, SIGHUP)
  , drainTimer_(aContext)
  , stopTimer_(aContext)
{
  std::signal(SIGPIPE, SIG_IGN);
  limits_.Apply(memory_, settings_.intake_, settings_.backend_, settings_.peer_);
  BuildFleet(aStore, std::move(aConfiguration));
  BuildPeer();
  BuildBackend();
  BuildIntake();
  ServeMetrics();
}

FleetDaemon::~FleetDaemon() = default;

void
FleetDaemon::BuildFleet(Store& aStore, ConfigurationHooks aConfiguration)
{
  FleetHooks hooks;
  hooks.call_ = [this](const std::string& aId,
                       std::string aPayload,
                       Duration aTimeout,
                       FleetHooks::CallDone aDone) {
    peer_->Call(aId,
                std::move(aPayload),
                aTimeout,
                [done = std::move(aDone)](tl::expected<std::string, PeerError> aReply) {
                  done(aReply.has_value(), aReply ? std::move(*aReply) : std::string());
                });
  };
  hooks.announce_ = [this](BackendAnnouncement aAnnouncement) {
    backend_->OnAnnounce(std::move(aAnnouncement));
  };
  hooks.serverLeaves_ = [this](TimePoint aSince) { backend_->OnLeave(aSince); };
  hooks.serviceRate_ = [this] {
    const BackendStatus status = backend_->Status();
    const double seconds = std::chrono::duration<double>(status.serviceTime_).count();
    const double rate = seconds > 0 ? status.announcement_.slots_ / seconds : 0;
    const double stated = status.statedRate_;
    return stated > 0 && (rate <= 0 || stated < rate) ? stated : rate;
  };
  hooks.configuration_ = std::move(aConfiguration);
  hooks.timeOfDay_ = [] { return std::chrono::system_clock::now(); };
  hooks.mergeQuarantine_ = [this](std::vector<QuarantineEntry> aEntries) {
    backend_->MergeQuarantine(std::move(aEntries));
  };
  hooks.exportQuarantine_ = [this](auto aCallback) {
    backend_->ExportQuarantine(std::move(aCallback));
  };
  hooks.rollout_ = [this](const RolloutDirective& aDirective, TimePoint aSentAt) {
    backend_->OnRollout(aDirective, aSentAt);
  };
  hooks.serverCounts_ = [this](const std::string& aService, std::uint64_t aOrderRevision) {
    return backend_->CountsSince(aService, aOrderRevision);
  };
  hooks.makeDecider_ = MakeJudgedRollouts(settings_.fleet_.rollouts_);
  fleet_ = std::make_unique<FleetService>(
    context_, clock_, aStore, view_, counters_, settings_.fleet_, std::move(hooks));
}

void
FleetDaemon::BuildPeer()
{
  PeerHooks hooks;
  hooks.tryStartLocal_ = [this](RequestStart&& aStart) {
    return backend_->TryStart(std::move(aStart));
  };
  hooks.sendRequest_ = [this](RequestEvent&& aEvent) { backend_->Handle(std::move(aEvent)); };
  hooks.sendResponse_ = [this](ResponseEvent&& aEvent) {
    intake_->OnResponseEvent(std::move(aEvent));
  };
  hooks.onPeerDown_ = [this](const std::string& aId) {
    fleet_->OnPeerDown(aId);
    intake_->OnPeerDown(aId);
  };
  hooks.onCall_ = [this](const InstanceRef& /*aFrom*/,
                         const std::string& aPayload,
                         const CallReplyHook& aReply) { fleet_->OnCall(aPayload, aReply); };
  peer_ = std::make_unique<PeerService>(
    context_, clock_, view_, counters_, settings_.peer_, std::move(hooks));
}

void
FleetDaemon::BuildBackend()
{
  BackendHooks hooks;
  hooks.sendResponse_ = [this](ResponseEvent&& aEvent) {
    if (KeyOf(aEvent).linkId_ == kLocalLink) {
      // Posted, because the exchange may be on the stack.
      boost::asio::post(context_, [this, event = std::move(aEvent)]() mutable {
        intake_->OnResponseEvent(std::move(event));
      });
    } else {
      peer_->Respond(std::move(aEvent));
    }
  };
  hooks.onStatus_ = [this](const BackendStatus& aStatus) { fleet_->OnBackendStatus(aStatus); };
  hooks.onServerLeaves_ = [this](const std::string& aServerId) {
    fleet_->OnServerLeaves(aServerId);
  };
  hooks.memory_ = &memory_;
  hooks.onQuarantine_ = [this](const std::vector<QuarantineEntry>& aEntries) {
    fleet_->SpreadQuarantine(aEntries);
  };
  backend_ = std::make_unique<BackendService>(
    context_, clock_, view_, fleet_->Gate(), counters_, settings_.backend_, std::move(hooks));
}

void
FleetDaemon::BuildIntake()
{
  intake_ = std::make_unique<IntakeService>(IntakeDependencies{
    context_,
    clock_,
    view_,
    counters_,
    settings_.seed_ + 1,
    settings_.fleet_.self_.ref_.id_,
    settings_.intake_,
    [this](RequestStart&& aStart) { return backend_->TryStart(std::move(aStart)); },
    [this](RequestEvent&& aEvent) { backend_->Handle(std::move(aEvent)); },
    [this](const std::string& aId, RequestStart&& aStart) {
      return peer_->TryStart(aId, std::move(aStart));
    },
    [this](const std::string& aId, RequestEvent&& aEvent) { peer_->Send(aId, std::move(aEvent)); },
    [this](const Workspace& aWorkspace, TimePoint /*aDeadline*/, const RateDecision& aDecide) {
      fleet_->Admit(aWorkspace, aDecide);
    },
    [this](const Workspace& aWorkspace, std::uint64_t aToken) {
      fleet_->ReturnToken(aWorkspace, aToken);
    },
    &memory_ });
}

void
FleetDaemon::ServeMetrics()
{
  LocalServerSettings settings;
  settings.address_ = settings_.metricsAddress_;
  metrics_ = std::make_unique<LocalServer>(
    context_, settings, [this](const LocalRequest& aRequest, const LocalReplyCallback& aReply) {
      if (aRequest.target_ == "/rollouts") {
        aReply({ 200, "application/json", fleet_->RolloutStatus() });
        return;
      }
      aReply({ 200, "text/plain; version=0.0.4", counters_.RenderText() });
    });
}

std::string
FleetDaemon::Start()
{
  if (!peer_->Start()) {
    return "cannot listen on " + settings_.peer_.peersAddress_.ToString();
  }
  if (std::string error = intake_->Start(); !error.empty()) {
    return "cannot listen on " + settings_.intake_.callersAddress_.ToString() + ": " + error;
  }
  if (const auto bound = metrics_->Start(); !bound) {
    return "cannot listen on " + bound.error();
  }
  backend_->Start();
  fleet_->Start();
  LogLine(LogLevel::Info, "started")
    .With("instance", settings_.fleet_.self_.ref_.id_)
    .With("incarnation", settings_.fleet_.self_.ref_.incarnation_)
    .With("data_centre", settings_.fleet_.self_.dataCentre_)
    .With("service", settings_.fleet_.self_.service_)
    .With("callers", settings_.intake_.callersAddress_.ToString())
    .With("peers", settings_.peer_.peersAddress_.ToString());
  return {};
}

int
FleetDaemon::Run()
{
  WaitForSignal();
  context_.run();
  LogLine(LogLevel::Info, "stopped").With("instance", settings_.fleet_.self_.ref_.id_);
  return 0;
}

void
FleetDaemon::WaitForSignal()
{
  signals_.async_wait([this](const boost::system::error_code& aError, int aSignal) {
    if (aError) {
      return;
    }
    LogLine(LogLevel::Info, "signal").With("number", aSignal);
    if (aSignal != SIGHUP) {
      BeginShutdown();
    } else if (reload_) {
      reload_();
    }
    WaitForSignal();
  });
}

void
FleetDaemon::BeginShutdown()
{
  if (std::exchange(shuttingDown_, true)) {
    return;
  }
  fleet_->BeginLeave();
  openParts_ = 2;
  const TimePoint answerBy = clock_.Now() + settings_.answerTimeout_;
  backend_->LimitAnswers(answerBy);
  intake_->BeginShutdown(answerBy, [this] { FinishPart(); });
  drainTimer_.expires_after(settings_.drainDelay_);
  drainTimer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      backend_->BeginDrain([this] { FinishPart(); });
    }
  });
  stopTimer_.expires_after(settings_.stopTimeout_);
  stopTimer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Stop("timeout");
    }
  });
}

void
FleetDaemon::FinishPart()
{
  if (--openParts_ == 0) {
    Stop("drained");
  }
}

void
FleetDaemon::Stop(const char* aReason)
{
  if (std::exchange(stopped_, true)) {
    return;
  }
  LogLine(LogLevel::Info, "shutdown_ends").With("reason", aReason);
  intake_->LogUnanswered();
  backend_->LogUnfinished();
  // The last answers and refusals for other instances may still be on their way to the links.
  fleet_->End([this] { peer_->AwaitWritten([this] { context_.stop(); }); });
  stopTimer_.expires_after(kEndTimeout);
  stopTimer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      context_.stop();
    }
  });
}

} // namespace redwing
