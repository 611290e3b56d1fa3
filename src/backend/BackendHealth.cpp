// BackendService: timers, health, stalled connections and status.

#include "backend/BackendService.hpp"
#include "core/Log.hpp"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

namespace redwing {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTickInterval{ 20 };
constexpr milliseconds kIdleTickInterval{ 100 };
constexpr milliseconds kHealthInterval{ 200 };
constexpr milliseconds kSweepInterval{ 1000 };
/// Announcements that a server sent before it crashed may arrive up to this long after the crash.
constexpr milliseconds kLateAnnouncementWindow{ 2500 };
/// The server is considered frozen when polls have failed for this long without a refused
/// connection.
constexpr milliseconds kHealthExpiry{ 1500 };
constexpr milliseconds kProgressTimeout{ 1000 };
/// A response is overdue after this many expected service times. Straggling servers are 20 times
/// slower than normal and must not be treated as stalled.
constexpr int kOverdueFactor = 30;
constexpr milliseconds kProbeInterval{ 500 };
/// Time that the server has to finish a cancelled request before its connection is closed.
constexpr milliseconds kCancelGrace{ 1000 };
/// Time that a request with an Idempotency-Key has to finish after its caller has gone.
constexpr milliseconds kEntryGrace{ 30000 };
/// Part of the server's connection limit that is reserved for health polls, grants, cancellation
/// and probes.
constexpr std::uint32_t kControlConnections = 4;
constexpr std::uint32_t kDefaultConnections = 64;

} // namespace

void
BackendService::Tick()
{
  timer_.expires_after(exchanges_.empty() && settings_.serverReportsState_ ? kIdleTickInterval
                                                                           : kTickInterval);
  timer_.async_wait([this](const boost::system::error_code& aError) {
    if (aError || stopped_) {
      return;
    }
    const auto now = clock_.Now();
    ConsumeConfiguration();
    if (announcement_ && now - announcedAt_ > settings_.announcementExpiry_) {
      LogLine(LogLevel::Warning, "backend_announcement_expired")
        .With("service", announcement_->service_);
      MarkDown("announcement_expired");
      announcement_.reset();
      monitor_->SetTarget(std::nullopt);
    }
    if (now >= nextPoll_) {
      nextPoll_ = now + kHealthInterval;
      loadMetrics_.Show(Load(), limiter_.Limit());
      recordBytes_.Set(static_cast<std::int64_t>(entries_.EntryBytes()));
      keptResponseBytes_.Set(static_cast<std::int64_t>(entries_.ResponseBytes()));
      monitor_->Poll();
    }
    if (now >= nextSweep_) {
      nextSweep_ = now + kSweepInterval;
      entries_.Expire(now);
      quarantine_.Expire(now);
      sender_.Expire(now);
      ForgetUnexplained(now);
    }
    ExpireRequests(now);
    ExpireLarge(now);
    CheckRollout(now);
    if (!settings_.serverReportsState_) {
      CheckLeases(now);
    }
    CheckProgress(now);
    Pump();
    PublishStatus();
    Tick();
  });
}

void
BackendService::ExpireRequests(TimePoint aNow)
{
  // Where target times are enforced, a request may still succeed with half of its expected service
  // time left; only requests with less than that are removed from the queue.
  const int divisor = settings_.enforcesTargetTimes_ ? 2 : std::numeric_limits<int>::max();
  for (const auto& item : queue_.TakeExpired(Duration::zero(), aNow, divisor)) {
    const ExchangePtr exchange = exchanges_[item.key_];
    RefuseNotRun(exchange, CodeOfLate(exchange->start_, item.serviceTime_ / divisor));
  }
  std::vector<ExchangePtr> late;
  for (const auto& [key, exchange] : exchanges_) {
    const auto grace = exchange->ownsEntry_ ? kEntryGrace : kCancelGrace;
    const bool overdue = exchange->detached_ ? aNow - exchange->detachedAt_ > grace
                                             : aNow >= exchange->start_.deadline_;
    if (overdue && exchange->connection_) {
      late.push_back(exchange);
    }
  }
  for (const auto& exchange : late) {
    if (exchange->phase_ == ServedPhase::Ended) {
      continue;
    }
    if (!exchange->detached_) {
      Detach(exchange, ErrorCode::DeadlineExceeded);
    } else if (const auto connection = exchange->connection_) {
      connection->Close();
    }
  }
}

void
BackendService::CheckLeases(TimePoint aNow)
{
  // Cancels requests that still run when the lease of their shard ends. Servers that do not check
  // their grants depend on this.
  std::vector<std::shared_ptr<HttpConnection>> lost;
  for (const auto& [key, exchange] : exchanges_) {
    const auto& start = exchange->start_;
    if (!exchange->countedByGate_ || !exchange->connection_ || exchange->leaseLost_) {
      continue;
    }
    const auto answer = gate_.Check({ start.service_, start.shard_->shard_ }, aNow);
    if (!answer.owned_ || answer.token_ != exchange->token_) {
      exchange->leaseLost_ = true;
      if (!monitor_->Cancel(start.requestId_)) {
        lost.push_back(exchange->connection_);
      }
    }
  }
  for (const auto& connection : lost) {
    connection->Close();
  }
}

void
BackendService::CheckProgress(TimePoint aNow)
{
  if (probingProgress_ || aNow < nextProbe_) {
    return;
  }
  const Duration overdue =
    std::max<Duration>(kProgressTimeout, estimator_.Any(aNow) * kOverdueFactor);
  const bool stalled = std::any_of(exchanges_.begin(), exchanges_.end(), [&](const auto& aEntry) {
    const auto& connection = aEntry.second->connection_;
    return connection && connection->AwaitsServer() && aNow - connection->LastProgress() > overdue;
  });
  if (!stalled) {
    return;
  }
  probingProgress_ = true;
  monitor_->Probe([this](const std::optional<HealthReport>& aReport, bool /*aRefused*/) {
    probingProgress_ = false;
    nextProbe_ = clock_.Now() + kProbeInterval;
    if (aReport) {
      OnProgressProbe(*aReport);
    }
  });
}

void
BackendService::OnProgressProbe(const HealthReport& aReport)
{
  const auto now = clock_.Now();
  const Duration overdue =
    std::max<Duration>(kProgressTimeout, estimator_.Any(now) * kOverdueFactor);
  std::vector<ExchangePtr> stalled;
  std::uint32_t sent = 0;
  for (const auto& [key, exchange] : exchanges_) {
    const auto& connection = exchange->connection_;
    sent += connection ? 1 : 0;
    if (connection && connection->AwaitsServer() && now - connection->LastProgress() > overdue) {
      stalled.push_back(exchange);
    }
  }
  // A server that counts as many outstanding requests as were sent is still working on all of them.
  if (aReport.outstanding_ >= sent) {
    return;
  }
  for (const auto& exchange : stalled) {
    if (const auto connection = exchange->connection_) {
      stalls_.Add();
      LogLine(LogLevel::Warning, "backend_connection_stalled")
        .With("request", exchange->start_.requestId_);
      connection->Close();
    }
  }
}

void
BackendService::Announce(BackendAnnouncement&& aAnnouncement)
{
  const auto now = clock_.Now();
  if (!aAnnouncement.life_.empty() && aAnnouncement.life_ == crashedRunId_ &&
      now - crashedAt_ < kLateAnnouncementWindow) {
    ProbeRefusedServer(std::move(aAnnouncement));
    return;
  }
  if (aAnnouncement.life_ == crashedRunId_) {
    crashedRunId_.clear();
  }
  if (announcement_ && !down_ && !leaving_ && !announcement_->life_.empty() &&
      announcement_->life_ != aAnnouncement.life_) {
    // It ended without a word, and ran again before a probe could tell.
    RecordCrash(now);
  }
  announcedAt_ = now;
  coldUntil_ = now + std::exchange(aAnnouncement.coldFor_, milliseconds::zero());
  coldRate_.SetColdUntil(coldUntil_);
  const auto leavingSince = std::exchange(aAnnouncement.leavingSince_, std::nullopt);
  if (!leavingSince) {
    leaving_ = false;
  } else if (!leaving_) {
    BeginLeaving(*leavingSince);
  }
  if (announcement_ == aAnnouncement) {
    if (down_ && announcement_->reportsState_) {
      OnNewServer(now);
    }
    PublishStatus();
    return;
  }
  const bool moved = !announcement_ || announcement_->address_ != aAnnouncement.address_ ||
                     announcement_->life_ != aAnnouncement.life_;
  announcement_ = std::move(aAnnouncement);
  routeCounter_.SetServer(announcement_->service_, announcement_->version_);
  ApplyConfiguration();
  if (moved) {
    LogLine(LogLevel::Info, "backend_announced")
      .With("service", announcement_->service_)
      .With("address", announcement_->address_.ToString())
      .With("slots", announcement_->slots_);
    OnNewServer(now);
  }
  PublishStatus();
}

void
BackendService::ConsumeConfiguration()
{
  if (checks_.ConsumeChange() && announcement_) {
    ApplyConfiguration();
  }
}

void
BackendService::ApplyConfiguration()
{
  const auto service = checks_.ServiceOf(announcement_->service_);
  const auto slots = announcement_->slots_;
  limiter_.SetSlots(slots);
  coldRate_.SetRate(service.coldStart_.perSecond_);
  ramp_.Configure(service.coldStart_.initial_, service.coldStart_.ramp_, slots);
  auto connections = announcement_->connections_;
  if (connections == 0) {
    connections = service.connections_ == 0 ? kDefaultConnections : service.connections_;
  }
  // At least one connection remains for requests, however small the limit is.
  sender_.SetTarget(announcement_->address_,
                    std::max(1U, connections - std::min(connections, kControlConnections)));
}

void
BackendService::OnNewServer(TimePoint aNow)
{
  serverSince_ = aNow;
  statedRate_.Reset();
  ramp_.Begin(aNow);
  estimator_.Reset();
  sender_.Clear();
  down_ = true;
  lastHealthy_ = aNow;
  nextPoll_ = aNow + kHealthInterval;
  monitor_->SetTarget(announcement_->address_);
  if (announcement_->reportsState_) {
    HealthReport report;
    report.ready_ = true;
    OnHealth(report);
  } else {
    monitor_->Poll();
  }
}

void
BackendService::BeginLeaving(TimePoint aSince)
{
  leaving_ = true;
  leavingSince_ = aSince;
  const auto now = clock_.Now();
  if (announcement_) {
    LogLine(LogLevel::Info, "backend_leaves").With("service", announcement_->service_);
  }
  // Refuses the queued requests that another server can run; those of a shard stay queued.
  std::vector<QueueItem> keyed;
  while (auto item = queue_.Pop()) {
    const ExchangePtr exchange = exchanges_[item->key_];
    if (exchange->start_.shard_) {
      keyed.push_back(std::move(*item));
    } else {
      RefuseNotRun(exchange, ErrorCode::Draining);
    }
  }
  for (auto& item : keyed) {
    const ExchangePtr exchange = exchanges_[item.key_];
    if (queue_.Push(std::move(item), Rate(now), now) != QueueVerdict::Queued) {
      RefuseNotRun(exchange, ErrorCode::Draining);
    }
  }
}

void
BackendService::Leave(TimePoint aSince)
{
  if (!leaving_) {
    BeginLeaving(aSince);
  }
  PublishStatus();
}

void
BackendService::OnHealth(const HealthReport& aReport)
{
  const auto now = clock_.Now();
  lastHealthy_ = now;
  health_ = aReport;
  ramp_.SetCold(aReport.cold_ || !aReport.ready_, now);
  if (announcement_ && down_ && aReport.ready_) {
    down_ = false;
    LogLine(LogLevel::Info, "backend_up").With("service", announcement_->service_);
    ramp_.Begin(now);
    // Connects in advance, so that the first requests need not wait for a connection.
    sender_.Warm(std::min(announcement_->slots_, settings_.warmConnections_));
  }
  PublishStatus();
  Pump();
}

void
BackendService::OnHealthFailed(bool aRefused)
{
  if (aRefused && !down_) {
    OnCrash();
  } else if (!down_ && clock_.Now() - lastHealthy_ > kHealthExpiry) {
    MarkDown("health_failed");
  }
}

void
BackendService::MarkDown(std::string_view aReason)
{
  down_ = true;
  LogLine(LogLevel::Warning, "backend_down").With("reason", aReason);
  sender_.Clear();
  while (const auto item = queue_.Pop()) {
    RefuseNotRun(ExchangePtr(exchanges_[item->key_]), ErrorCode::NoBackendServer);
  }
  PublishStatus();
}

void
BackendService::PublishStatus()
{
  BackendStatus next;
  if (announcement_) {
    next.announcement_ = *announcement_;
  }
  if (!Serving()) {
    next.state_ = BackendState::Down;
  } else if (draining_ || leaving_ || health_.draining_) {
    next.state_ = BackendState::Draining;
  } else if (health_.cold_ || ramp_.Ramping()) {
    next.state_ = BackendState::Cold;
  } else {
    next.state_ = BackendState::Ready;
  }
  next.limit_ = limiter_.Limit();
  next.running_ = limiter_.Running();
  next.serviceTime_ = estimator_.All().LongTermServiceTime();
  next.statedRate_ = statedRate_.Rate();
  next.crashed_ =
    down_ && announcement_ && !crashedRunId_.empty() && announcement_->life_ == crashedRunId_;
  next.queued_ = static_cast<std::uint32_t>(queue_.Size());
  bool changed = false;
  {
    std::lock_guard lock(statusMutex_);
    changed = status_.state_ != next.state_ || status_.crashed_ != next.crashed_ ||
              status_.limit_ != next.limit_ || status_.announcement_ != next.announcement_;
    status_ = next;
  }
  if (changed && hooks_.onStatus_) {
    hooks_.onStatus_(next);
  }
}

void
BackendService::LogUnfinished() const
{
  const auto now = clock_.Now();
  const auto sinceMs = [&](TimePoint aThen) {
    return std::chrono::duration_cast<milliseconds>(now - aThen).count();
  };
  for (const auto& [key, exchange] : exchanges_) {
    LogLine line(LogLevel::Warning, "unfinished");
    line.With("request", exchange->start_.requestId_)
      .With("service", exchange->start_.service_)
      .With("phase", ToText(exchange->phase_))
      .With("link", key.linkId_)
      .With("idempotent", exchange->start_.idempotent_ ? "yes" : "no")
      .With("age_ms", sinceMs(exchange->arrivedAt_));
    if (exchange->connection_) {
      line.With("running_ms", sinceMs(exchange->dispatchedAt_));
    }
  }
}

void
BackendService::CheckDrained()
{
  if (!draining_ || !exchanges_.empty() || (large_ && !large_->Empty())) {
    return;
  }
  for (const auto& drained : std::exchange(drained_, {})) {
    drained();
  }
}

} // namespace redwing
