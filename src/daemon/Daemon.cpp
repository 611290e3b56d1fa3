#include "daemon/Daemon.hpp"

#include "core/Log.hpp"

#include <csignal>
#include <random>
#include <utility>

namespace redwing {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kIntakeMailboxCapacity = 16384;
constexpr std::size_t kSliceMailboxCapacity = 4096;
constexpr auto kLimiterInterval = milliseconds(2);
/// Without slices and waiting requests, wake-ups every 2 ms were half of an idle process's work.
constexpr auto kIdleLimiterInterval = milliseconds(50);
/// Time in which a leaving instance hands its shards over; after it, traffic is drained anyway.
constexpr auto kLeaveTimeout = std::chrono::seconds(10);
/// Time in which running requests may end; after it, the process stops.
constexpr auto kDrainTimeout = std::chrono::seconds(30);
/// Part of it after which requests that do not run yet are refused.
constexpr auto kAnswerTimeout = std::chrono::seconds(28);

std::uint64_t
RandomSeed()
{
  std::random_device device;
  constexpr unsigned kWordBits = 32;
  return (static_cast<std::uint64_t>(device()) << kWordBits) | device();
}

} // namespace

Daemon::Daemon(DaemonSettings aSettings)
  : settings_(std::move(aSettings))
  , limits_(ProcessLimits::Of(settings_.limits_, SystemLimits::OfThisProcess))
  , memory_(limits_.memoryBytes_, counters_)
  , view_(std::make_shared<const RoutingView>(
      RoutingView{ std::make_shared<const ConfigurationRevision>(), false, {}, {}, {}, {} }))
  , seed_(RandomSeed())
  , intakeThread_("intake")
  , peerThread_("peer")
  , backendThread_("backend")
  , controlThread_("control")
  , storeThread_("store")
  , operatorThread_("operator")
  , signals_(mainContext_, SIGTERM, SIGINT, SIGHUP)
  , shutdownTimer_(mainContext_)
  , limiterTimer_(intakeThread_.Context())
  , intakeMailbox_(kIntakeMailboxCapacity)
  , sliceMailbox_(kSliceMailboxCapacity)
{
}

Daemon::~Daemon()
{
  // The local server's handlers use the other services.
  operatorThread_.Stop();
  intakeThread_.Stop();
  peerThread_.Stop();
  backendThread_.Stop();
  controlThread_.Stop();
  storeThread_.Stop();
}

int
Daemon::Run()
{
  std::signal(SIGPIPE, SIG_IGN);
  EtcdStoreSettings storeSettings;
  storeSettings.address_ = settings_.storeAddress_;
  // A call time-out and a back-off together stay below the time for which a report of an
  // unreachable store counts, so that the configuration stays confirmed during an outage.
  storeSettings.timeout_ = milliseconds(600);
  storeSettings.budget_.maximumBackOff_ = milliseconds(600);
  store_ = std::make_unique<EtcdStore>(storeThread_.Context(), clock_, seed_, storeSettings);
  limits_.Apply(memory_, intakeSettings_, backendSettings_, peerSettings_);
  BuildControl();
  BuildPeer();
  BuildBackend();
  BuildIntake();
  BuildOperator();
  if (!StartServices()) {
    return 1;
  }
  WaitForSignal();
  mainContext_.run();
  LogLine(LogLevel::Info, "stopped").With("instance", settings_.instanceId_);
  return exitCode_;
}

void
Daemon::BuildControl()
{
  ControlSettings settings;
  settings.self_.ref_.id_ = settings_.instanceId_;
  settings.self_.dataCentre_ = settings_.dataCentre_;
  settings.self_.region_ = settings_.region_;
  settings.self_.rack_ = settings_.rack_;
  settings.self_.peersAddress_ = settings_.advertisedAddress_;
  settings.boundAddress_ = settings_.peersAddress_;
  settings.fleetKey_ = settings_.fleetKey_;
  settings.seed_ = seed_;
  ControlHooks hooks;
  hooks.call_ = [this](const std::string&,
                       const Address& aAddress,
                       std::string aPayload,
                       Duration aTimeout,
                       ControlHooks::CallDone aDone) {
    peer_->Call(aAddress,
                std::move(aPayload),
                aTimeout,
                [done = std::move(aDone)](tl::expected<std::string, PeerError> aReply) {
                  done(aReply.has_value(), aReply ? std::move(*aReply) : std::string());
                });
  };
  hooks.onSliceReply_ = [this](SliceReply aReply) { sliceMailbox_.Push(std::move(aReply)); };
  hooks.setGrants_ =
    [this](std::vector<ShardGrant> aGrants, TimePoint aDeadline, std::function<void(bool)> aDone) {
      backend_->SetGrants(std::move(aGrants), aDeadline, std::move(aDone));
    };
  hooks.exportEntries_ = [this](ShardId aShard,
                                std::function<void(std::vector<IdempotencyEntry>)> aTake) {
    backend_->ExportEntries(std::move(aShard), std::move(aTake));
  };
  hooks.importEntries_ = [this](std::vector<IdempotencyEntry> aEntries,
                                std::function<void()> aDone) {
    backend_->ImportEntries(std::move(aEntries), std::move(aDone));
  };
  hooks.mergeQuarantine_ = [this](std::vector<QuarantineEntry> aEntries) {
    backend_->MergeQuarantine(std::move(aEntries));
  };
  hooks.onJoined_ = [](const InstanceRef&) {};
  control_ = std::make_unique<ControlService>(controlThread_.Context(),
                                              clock_,
                                              *store_,
                                              table_,
                                              view_,
                                              counters_,
                                              std::move(settings),
                                              std::move(hooks));
}

void
Daemon::BuildPeer()
{
  // Links need the id only; the incarnation is part of control messages.
  peerSettings_.self_ = { settings_.instanceId_, 0 };
  peerSettings_.peersAddress_ = settings_.peersAddress_;
  peerSettings_.fleetKey_ = settings_.fleetKey_;
  PeerHooks hooks;
  hooks.tryStartLocal_ = [this](RequestStart&& aStart) {
    return backend_->TryStart(std::move(aStart));
  };
  hooks.sendRequest_ = [this](RequestEvent&& aEvent) { backend_->Handle(std::move(aEvent)); };
  hooks.sendResponse_ = [this](ResponseEvent&& aEvent) { ToIntake(std::move(aEvent)); };
  hooks.onPeerDown_ = [this](const std::string& aId) {
    intakeThread_.Context().post([this, aId] { intake_->OnPeerDown(aId); });
  };
  hooks.onCall_ = [this](const InstanceRef& aFrom, std::string aPayload, CallReplyHook aReply) {
    control_->OnCall(aFrom, std::move(aPayload), std::move(aReply));
  };
  peer_ = std::make_unique<PeerService>(
    peerThread_.Context(), clock_, view_, counters_, peerSettings_, std::move(hooks));
}

void
Daemon::BuildBackend()
{
  backendSettings_.self_ = { settings_.instanceId_, 0 };
  BackendHooks hooks;
  hooks.sendResponse_ = [this](ResponseEvent&& aEvent) {
    if (KeyOf(aEvent).linkId_ == kLocalLink) {
      ToIntake(std::move(aEvent));
    } else {
      peer_->Respond(std::move(aEvent));
    }
  };
  hooks.onStatus_ = [this](const BackendStatus& aStatus) {
    const BackendAnnouncement& announced = aStatus.announcement_;
    control_->OnLocalBackend(
      { announced.service_, announced.slots_, announced.labels_, aStatus.state_ });
  };
  hooks.replicate_ = [this](const IdempotencyEntry& aEntry, std::function<void(bool)> aDone) {
    control_->Replicate(aEntry, std::move(aDone));
  };
  hooks.onQuarantine_ = [this](const std::vector<QuarantineEntry>& aEntries) {
    control_->SpreadQuarantine(aEntries);
  };
  hooks.memory_ = &memory_;
  backend_ = std::make_unique<BackendService>(
    backendThread_.Context(), clock_, view_, table_, counters_, backendSettings_, std::move(hooks));
}

void
Daemon::BuildIntake()
{
  limiter_ = std::make_unique<WorkspaceLimiter>(
    clock_,
    [this](const SliceRequest& aRequest) { control_->SendSlice(aRequest); },
    [this](const SliceReport& aReport) { control_->SendSlice(aReport); });
  intakeSettings_.callersAddress_ = settings_.callersAddress_;
  intakeSettings_.routing_ = settings_.routing_;
  intake_ = std::make_unique<IntakeService>(IntakeDependencies{
    intakeThread_.Context(),
    clock_,
    view_,
    counters_,
    seed_ + 1,
    settings_.instanceId_,
    intakeSettings_,
    [this](RequestStart&& aStart) { return backend_->TryStart(std::move(aStart)); },
    [this](RequestEvent&& aEvent) { backend_->Handle(std::move(aEvent)); },
    [this](const std::string& aId, RequestStart&& aStart) {
      return peer_->TryStart(aId, std::move(aStart));
    },
    [this](const std::string& aId, RequestEvent&& aEvent) { peer_->Send(aId, std::move(aEvent)); },
    [this](const Workspace& aWorkspace, TimePoint aDeadline, RateDecision aDecide) {
      limiter_->Admit(aWorkspace.id_,
                      aDeadline,
                      [decide = std::move(aDecide)](bool aAdmitted, std::uint32_t aRetryAfterMs) {
                        decide({ aAdmitted, aRetryAfterMs, 0 });
                      });
      WakeLimiter();
    },
    {},
    &memory_ });
  intakeMailbox_.SetWake([this] {
    intakeThread_.Context().post([this] {
      intakeMailbox_.Drain(
        [this](ResponseEvent&& aEvent) { intake_->OnResponseEvent(std::move(aEvent)); });
    });
  });
  sliceMailbox_.SetWake([this] {
    intakeThread_.Context().post([this] {
      sliceMailbox_.Drain([this](const SliceReply& aReply) { limiter_->OnReply(aReply); });
      WakeLimiter();
    });
  });
}

bool
Daemon::StartServices()
{
  if (std::string error = control_->Start(); !error.empty()) {
    Fail("--peers-address", error);
    return false;
  }
  if (!peer_->Start()) {
    Fail("--peers-address", "cannot listen on " + settings_.peersAddress_.ToString());
    return false;
  }
  if (std::string error = intake_->Start(); !error.empty()) {
    Fail("--callers-address", error);
    return false;
  }
  if (const auto bound = operator_->Start(); !bound) {
    Fail("--local-address", bound.error());
    return false;
  }
  backend_->Start();
  TickLimiter();
  storeThread_.Start();
  controlThread_.Start();
  peerThread_.Start();
  backendThread_.Start();
  intakeThread_.Start();
  operatorThread_.Start();
  LogLine(LogLevel::Info, "started")
    .With("instance", settings_.instanceId_)
    .With("data_centre", settings_.dataCentre_)
    .With("callers", settings_.callersAddress_.ToString())
    .With("peers", settings_.peersAddress_.ToString())
    .With("local", settings_.localAddress_.ToString());
  return true;
}

void
Daemon::TickLimiter()
{
  limiterIdle_ = limiter_->Idle();
  limiterTimer_.expires_after(limiterIdle_ ? kIdleLimiterInterval : kLimiterInterval);
  limiterTimer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      limiter_->Tick();
      TickLimiter();
    }
  });
}

void
Daemon::WakeLimiter()
{
  if (limiterIdle_) {
    TickLimiter();
  }
}

void
Daemon::WaitForSignal()
{
  signals_.async_wait([this](const boost::system::error_code& aError, int aSignal) {
    if (aError) {
      return;
    }
    LogLine(LogLevel::Info, "signal").With("number", aSignal);
    if (aSignal == SIGHUP) {
      // There is nothing to read again; by default the signal would end the process.
      WaitForSignal();
      return;
    }
    if (shuttingDown_) {
      exitCode_ = 1;
      mainContext_.stop();
      return;
    }
    BeginShutdown();
    WaitForSignal();
  });
}

void
Daemon::BeginShutdown()
{
  if (shuttingDown_) {
    return;
  }
  shuttingDown_ = true;
  LogLine(LogLevel::Info, "shutdown_begins").With("instance", settings_.instanceId_);
  openParts_ = 1;
  control_->BeginLeave([this] { mainContext_.post([this] { DrainTraffic(); }); });
  shutdownTimer_.expires_after(kLeaveTimeout);
  shutdownTimer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      LogLine(LogLevel::Warning, "leave_timed_out").With("instance", settings_.instanceId_);
      DrainTraffic();
    }
  });
}

void
Daemon::DrainTraffic()
{
  if (openParts_ != 1) {
    return;
  }
  openParts_ = 2;
  shutdownTimer_.expires_after(kDrainTimeout);
  shutdownTimer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      LogLine(LogLevel::Error, "drain_timed_out").With("instance", settings_.instanceId_);
      exitCode_ = 1;
      mainContext_.stop();
    }
  });
  const TimePoint answerBy = clock_.Now() + kAnswerTimeout;
  backend_->LimitAnswers(answerBy);
  backend_->BeginDrain([this] { mainContext_.post([this] { FinishPart(); }); });
  intakeThread_.Context().post([this, answerBy] {
    intake_->BeginShutdown(answerBy, [this] { mainContext_.post([this] { FinishPart(); }); });
  });
}

void
Daemon::FinishPart()
{
  if (--openParts_ > 0) {
    return;
  }
  control_->Stop();
  peer_->Stop();
  mainContext_.stop();
}

void
Daemon::Fail(std::string_view aWhat, const std::string& aError)
{
  LogLine(LogLevel::Error, "start_failed").With("setting", aWhat).With("error", aError);
}

void
Daemon::ToIntake(ResponseEvent&& aEvent)
{
  intakeMailbox_.Push(std::move(aEvent));
}

} // namespace redwing
