#include "backend/BackendService.hpp"

#include "backend/AnnouncedServer.hpp"
#include "backend/ServerMonitor.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace redwing {

namespace asio = boost::asio;

namespace {

/// Time for which a slowdown reported by the server is used.
constexpr std::chrono::milliseconds kSlowdownExpiry{ 400 };
/// Bound of the waiting time told to other instances, in service times.
constexpr double kMostRounds = 100;

std::shared_ptr<ConnectionPool>
MakePool(asio::io_context& aContext, const Clock& aClock, const BackendSettings& aSettings)
{
  auto pool = std::make_shared<ConnectionPool>(aContext, aClock);
  pool->SetBounds(aSettings.maxServerConnections_, aSettings.socketBufferBytes_);
  return pool;
}

} // namespace

BackendService::BackendService(asio::io_context& aContext,
                               const Clock& aClock,
                               const Published<RoutingView>& aView,
                               OwnershipGate& aGate,
                               CounterRegistry& aCounters,
                               BackendSettings aSettings,
                               BackendHooks aHooks)
  : context_(aContext)
  , clock_(aClock)
  , gate_(aGate)
  , settings_(std::move(aSettings))
  , hooks_(std::move(aHooks))
  , checks_(aView, settings_.withdrawalGrace_)
  , mailbox_(settings_.mailboxCapacity_)
  , timer_(aContext)
  , largeTimer_(aContext)
  , sender_(MakePool(aContext, aClock, settings_),
            aClock,
            settings_.protocol_,
            [this](const ServedExchange& aExchange, TimePoint aNow) {
              return CheckSend(aExchange, aNow);
            })
  , queue_(settings_.queueCapacity_)
  , coldRate_(aClock.Now())
  , entries_(settings_.idempotency_)
  , recordBytes_(aCounters.GetGauge("redwing_records_bytes", "kind=\"requests\""))
  , keptResponseBytes_(aCounters.GetGauge("redwing_records_bytes", "kind=\"responses\""))
  , recordsFull_(aCounters.GetCounter("redwing_records_full_total"))
  , quarantine_(settings_.quarantine_)
  , started_(aCounters.GetCounter("redwing_backend_requests_total"))
  , answered_(aCounters.GetCounter("redwing_backend_answered_total"))
  , notRun_(aCounters.GetCounter("redwing_backend_refused_total", "outcome=\"not-run\""))
  , unknown_(aCounters.GetCounter("redwing_backend_refused_total", "outcome=\"unknown\""))
  , loadMetrics_(aCounters)
  , sheds_(aCounters.GetCounter("redwing_backend_sheds_total"))
  , shedsWithRoom_(aCounters.GetCounter("redwing_backend_sheds_with_room_total"))
  , stalls_(aCounters.GetCounter("redwing_backend_stalled_connections_total"))
  , crashCount_(aCounters.GetCounter("redwing_backend_crashes_total"))
  , rolloutPermitted_(aCounters.GetCounter("redwing_rollout_permitted_requests_total"))
  , rolloutUnpermitted_(
      aCounters.GetCounter("redwing_rollout_refused_total", "reason=\"no-permission\""))
  , rolloutLimited_(aCounters.GetCounter("redwing_rollout_refused_total", "reason=\"limit\""))
  , rolloutClosed_(aCounters.GetCounter("redwing_rollout_refused_total", "reason=\"closed\""))
  , rolloutGauge_(aCounters.GetGauge("redwing_rollout_gate"))
{
  if (settings_.linkBitsPerSecond_ > 0) {
    large_ = std::make_unique<LargeResponses>(settings_.linkBitsPerSecond_, aCounters);
  }
  mailbox_.SetWake([this] { asio::post(context_, [this] { Drain(); }); });
  if (settings_.serverReportsState_) {
    monitor_ = std::make_unique<AnnouncedServer>(aContext);
  } else {
    monitor_ = std::make_unique<ServerMonitor>(
      aContext,
      aClock,
      aCounters,
      settings_.self_,
      MonitorHooks{ [this](const HealthReport& aReport) { OnHealth(aReport); },
                    [this](bool aRefused) { OnHealthFailed(aRefused); } });
  }
}

BackendService::~BackendService()
{
  // Breaks the reference cycle of exchange, connection and observer that exists while a response is
  // outstanding.
  for (auto& [key, exchange] : exchanges_) {
    exchange->connection_.reset();
    // A handler may keep the exchange for longer than the budget lives.
    exchange->held_.reset();
  }
}

void
BackendService::Start()
{
  Tick();
}

void
BackendService::Stop()
{
  Post([this] {
    stopped_ = true;
    timer_.cancel();
    largeTimer_.cancel();
    sender_.Clear();
    for (const auto& [key, exchange] : std::unordered_map(exchanges_)) {
      if (exchange->connection_) {
        exchange->connection_->Close();
      }
    }
  });
}

void
BackendService::Post(std::function<void()> aTask)
{
  asio::post(context_, std::move(aTask));
}

bool
BackendService::TryStart(RequestStart&& aStart)
{
  RequestEvent event(std::move(aStart));
  if (mailbox_.TryPush(std::move(event))) {
    return true;
  }
  // A failed TryPush leaves the event unchanged, so it is moved back to the caller.
  aStart = std::get<RequestStart>(std::move(event)); // NOLINT(bugprone-use-after-move)
  return false;
}

void
BackendService::Handle(RequestEvent&& aEvent)
{
  mailbox_.Push(std::move(aEvent));
}

void
BackendService::Drain()
{
  ConsumeConfiguration();
  // A cancellation that is in the mailbox already must find its request in the queue.
  pumpHeld_ = true;
  mailbox_.Drain([this](RequestEvent&& aEvent) {
    if (auto* start = std::get_if<RequestStart>(&aEvent)) {
      Admit(std::move(*start));
    } else if (auto* body = std::get_if<RequestBody>(&aEvent)) {
      OnBody(std::move(*body));
    } else if (const auto* credit = std::get_if<ResponseCredit>(&aEvent)) {
      OnCredit(*credit);
    } else if (const auto it = exchanges_.find(KeyOf(aEvent)); it != exchanges_.end()) {
      const ExchangePtr exchange = it->second;
      std::holds_alternative<RequestRecall>(aEvent) ? OnRecall(exchange) : OnCancel(exchange);
    } else if (large_ && std::holds_alternative<RequestCancel>(aEvent)) {
      EndCancelledLarge(KeyOf(aEvent));
    }
  });
  pumpHeld_ = false;
  Pump();
}

void
BackendService::OnAnnounce(BackendAnnouncement aAnnouncement)
{
  Post([this, announcement = std::move(aAnnouncement)]() mutable {
    Announce(std::move(announcement));
  });
}

void
BackendService::OnLeave(TimePoint aSince)
{
  Post([this, aSince] { Leave(aSince); });
}

void
BackendService::LimitAnswers(TimePoint aAnswerBy)
{
  Post([this, aAnswerBy] {
    answerBy_ = aAnswerBy;
    queue_.LimitDeadlines(aAnswerBy);
  });
}

void
BackendService::BeginDrain(std::function<void()> aDrained)
{
  Post([this, drained = std::move(aDrained)]() mutable {
    draining_ = true;
    drained_.push_back(std::move(drained));
    CheckDrained();
    PublishStatus();
  });
}

void
BackendService::SetGrants(std::vector<ShardGrant> aGrants,
                          TimePoint aDeadline,
                          std::function<void(bool)> aAcknowledged)
{
  Post([this,
        grants = std::move(aGrants),
        aDeadline,
        acknowledged = std::move(aAcknowledged)]() mutable {
    monitor_->SetGrants(grants, aDeadline, std::move(acknowledged));
  });
}

BackendStatus
BackendService::Status() const
{
  std::lock_guard lock(statusMutex_);
  return status_;
}

void
BackendService::ImportEntries(std::vector<IdempotencyEntry> aEntries, std::function<void()> aDone)
{
  Post([this, entries = std::move(aEntries), done = std::move(aDone)] {
    entries_.Import(entries);
    done();
  });
}

void
BackendService::ExportEntries(ShardId aShard,
                              std::function<void(std::vector<IdempotencyEntry>)> aCallback)
{
  Post([this, shard = std::move(aShard), callback = std::move(aCallback)] {
    callback(entries_.Export(shard));
  });
}

void
BackendService::MergeQuarantine(std::vector<QuarantineEntry> aEntries)
{
  Post([this, entries = std::move(aEntries)] { quarantine_.Merge(entries); });
}

void
BackendService::ExportQuarantine(std::function<void(std::vector<QuarantineEntry>)> aCallback)
{
  Post([this, callback = std::move(aCallback)] { callback(quarantine_.Suspects(clock_.Now())); });
}

IdempotencyKey
BackendService::EntryKey(const RequestStart& aStart) const
{
  const auto shard = aStart.shard_ ? aStart.shard_->shard_ : 0;
  return { { aStart.service_, shard }, aStart.workspace_, aStart.idempotencyKey_ };
}

LoadReport
BackendService::Load() const
{
  using std::chrono::microseconds;
  const TimePoint now = clock_.Now();
  Duration time = estimator_.All().LongTermServiceTime();
  if (time == Duration::zero()) {
    time = estimator_.Any(now);
  } else if (now - slowdownAt_ < kSlowdownExpiry) {
    time = Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) * slowdown_));
  }
  const auto serviceTime = std::chrono::duration_cast<microseconds>(time);
  auto queued = static_cast<std::uint32_t>(queue_.Size());
  if (const Duration wait = StatedWait(now); wait > Duration::zero() && time > Duration::zero()) {
    // Told as requests ahead, because senders forget those soon and may try again.
    const double rounds = std::chrono::duration<double>(wait) / time;
    const double ahead = limiter_.Limit() * std::min(rounds + 1, kMostRounds);
    queued = std::max(queued, static_cast<std::uint32_t>(ahead));
  }
  if (rolloutShut_) {
    queued = std::max(queued, static_cast<std::uint32_t>(limiter_.Limit() * kMostRounds));
  }
  LoadReport report{
    limiter_.Running(), queued, limiter_.Limit(), static_cast<std::uint32_t>(serviceTime.count())
  };
  if (large_) {
    large_->Report(report);
  }
  return report;
}

ServiceRate
BackendService::Rate(TimePoint aNow) const
{
  ServiceRate rate{
    estimator_.Any(aNow), limiter_.Running(), limiter_.Limit(), coldRate_.Rate(aNow)
  };
  if (const double stated = statedRate_.Rate(); stated > 0) {
    rate.perSecond_ = rate.perSecond_ > 0 ? std::min(rate.perSecond_, stated) : stated;
    rate.pause_ = statedRate_.Wait(aNow);
  }
  return rate;
}

} // namespace redwing
