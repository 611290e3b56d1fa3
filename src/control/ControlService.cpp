#include "control/ControlService.hpp"

#include "core/Log.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace redwing {

namespace {

using std::chrono::milliseconds;

constexpr Duration kTickInterval = milliseconds(5);
constexpr Duration kJoinRetry = milliseconds(300);
constexpr std::size_t kMailboxCapacity = 8192;
/// Instances per data centre that read the configuration from the store and are candidates for the
/// planner role.
constexpr std::size_t kWatchersPerDataCentre = 2;
constexpr std::string_view kQuarantinePrefix = "p/";

} // namespace

ControlService::ControlService(boost::asio::io_context& aContext,
                               const Clock& aClock,
                               Store& aStore,
                               OwnershipTable& aTable,
                               Published<RoutingView>& aView,
                               CounterRegistry& aCounters,
                               ControlSettings aSettings,
                               ControlHooks aHooks)
  : context_(aContext)
  , clock_(aClock)
  , settings_(std::move(aSettings))
  , hooks_(std::move(aHooks))
  , table_(aTable)
  , view_(aView)
  , random_(settings_.seed_)
  , timer_(aContext)
  , mailbox_(kMailboxCapacity)
  , codec_(settings_.fleetKey_)
  , socket_(aContext, [this](std::string_view aBytes) { OnDatagram(aBytes); })
  , store_(aStore, [this](Task aTask) { Post(std::move(aTask)); })
  , fleet_(
      [this](const GossipItem& aItem) {
        if (auto entry = DecodeQuarantine(aItem.payload_, clock_.Now())) {
          hooks_.mergeQuarantine_({ std::move(*entry) });
        }
      },
      [this](const InstanceRef& aRef) {
        if (OwnershipNode* node = driver_.Node()) {
          node->OnMemberDead(aRef);
        }
      })
  , keeper_(aClock,
            store_,
            settings_.self_.dataCentre_,
            [this](const std::shared_ptr<const ConfigurationRevision>& aRevision) {
              OnConfiguration(*aRevision);
            })
  , withdrawalStart_(settings_.self_.dataCentre_)
  , gossip_(
      aClock,
      random_,
      settings_.self_.ref_.id_,
      fleet_,
      keeper_,
      [this](const std::string& aId, const GossipRound& aRound) { SendDatagram(aId, aRound); },
      [this](const std::string& aId, const ControlCall& aCall, GossipLoop::CallDone aDone) {
        CallInstance(aId, aCall, std::chrono::seconds(1), std::move(aDone));
      })
  , driver_(aClock,
            random_,
            aTable,
            fleet_,
            store_,
            { [this](const InstanceRef& aTo, const OwnershipMessage& aMessage) {
               SendDatagram(aTo.id_, OwnershipDatagram{ aTo, aMessage });
             },
              hooks_.setGrants_,
              [this](const ShardId& aShard,
                     const InstanceRef& aSuccessor,
                     std::function<void(bool)> aDone) {
                PushEntries(aShard, aSuccessor, std::move(aDone));
              },
              [this](Task aTask) { Post(std::move(aTask)); },
              [this](const ShardId& aShard, std::uint64_t aToken) { OnGained(aShard, aToken); },
              [this](const ShardId& aShard, std::uint64_t aToken, const InstanceRef& aSuccessor) {
                OnLost(aShard, aToken, aSuccessor);
              },
              [this] { Rejoin(); } })
  , planning_(aClock, settings_.self_.ref_.id_, store_, fleet_, driver_)
  , shares_([this](std::string_view aWorkspace) { return LimitOf(aWorkspace); },
            [this](std::string_view aWorkspace) {
              const GateAnswer answer = table_.Check(ShareShard(aWorkspace), clock_.Now());
              return answer.owned_ && !answer.releasing_;
            })
  , datagramsRejected_(aCounters.GetCounter("redwing_control_datagrams_rejected_total"))
  , bytesSent_(aCounters.GetCounter("redwing_control_bytes_sent_total"))
  , bytesReceived_(aCounters.GetCounter("redwing_control_bytes_received_total"))
{
  mailbox_.SetWake([this] { context_.post([this] { Drain(); }); });
}

std::string
ControlService::Start()
{
  std::string error = socket_.Open(settings_.boundAddress_);
  if (!error.empty()) {
    return error;
  }
  Post([this] {
    Join();
    Tick();
  });
  return {};
}

void
ControlService::Stop()
{
  Post([this] {
    stopped_ = true;
    timer_.cancel();
    socket_.Close();
  });
}

void
ControlService::OnLocalBackend(LocalBackend aBackend)
{
  Post([this, backend = std::move(aBackend)]() mutable {
    if (backend_ == backend) {
      return;
    }
    backend_ = std::move(backend);
    PublishSelf();
    UpdateBackendRelease();
  });
}

void
ControlService::SpreadQuarantine(std::vector<QuarantineEntry> aEntries)
{
  Post([this, entries = std::move(aEntries)] {
    for (const QuarantineEntry& entry : entries) {
      if (entry.cleared_) {
        // A fact cannot be taken back; each instance clears the request by a run of its own.
        continue;
      }
      for (const auto& [crash, time] : entry.crashes_) {
        // One fact per crash; receivers merge the crashes that different instances report for the
        // same request.
        QuarantineEntry single = entry;
        single.crashes_ = { { crash, time } };
        const std::string key = std::string(kQuarantinePrefix) + entry.service_ + "/" + crash +
                                "/" + std::to_string(entry.fingerprint_);
        fleet_.PublishFact(key, EncodeQuarantine(single, clock_.Now()));
      }
    }
  });
}

void
ControlService::AdoptConfiguration(std::uint64_t aRevision, std::string aRecord, TimePoint aSentAt)
{
  Post([this, aRevision, record = std::move(aRecord), aSentAt] {
    keeper_.AdoptStored(aRevision, record, aSentAt);
  });
}

void
ControlService::BeginLeave(std::function<void()> aDone)
{
  Post([this, done = std::move(aDone)]() mutable {
    leaving_ = true;
    leaveDone_.push_back(std::move(done));
    PublishSelf();
    if (OwnershipNode* node = driver_.Node()) {
      node->ReleaseAll();
    }
  });
}

void
ControlService::ForceShard(ShardId aShard, std::function<void(bool)> aDone)
{
  Post([this, shard = std::move(aShard), done = std::move(aDone)] {
    const Member* best = nullptr;
    for (const auto& [id, member] : fleet_.Members()) {
      const bool serves = member.service_ == shard.service_ && !member.leaving_ &&
                          member.state_ == BackendState::Ready;
      if (serves && (best == nullptr || member.slots_ > best->slots_)) {
        best = &member;
      }
    }
    if (best != nullptr && driver_.Node() != nullptr) {
      driver_.Node()->AssignShard(shard, best->ref_, true);
    }
    done(best != nullptr);
  });
}

void
ControlService::Post(Task aTask)
{
  mailbox_.Push(std::move(aTask));
}

void
ControlService::Drain()
{
  mailbox_.Drain([](const Task& aTask) { aTask(); });
}

void
ControlService::Tick()
{
  if (stopped_) {
    return;
  }
  if (joined_) {
    if (fleet_.Version() != seenFleetVersion_ || keeper_.Current()->revision_ != seenRevision_) {
      seenFleetVersion_ = fleet_.Version();
      seenRevision_ = keeper_.Current()->revision_;
      driver_.OnFleetChanged();
    }
    driver_.Tick();
    const bool watcher = IsWatcher();
    keeper_.Tick(watcher);
    gossip_.Tick();
    planning_.Tick(keeper_.Current()->configuration_, watcher && !leaving_);
    PublishView();
    CheckLeave();
  }
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Tick();
    }
  });
}

void
ControlService::Join()
{
  if (stopped_) {
    return;
  }
  join_ = std::make_unique<FleetJoin>(store_, settings_.self_, random_.Bits());
  join_->Start([this](const StoreResult<JoinResult>& aResult) {
    if (!aResult) {
      LogLine(LogLevel::Warning, "join_failed").With("error", aResult.error().message_);
      const auto retry = std::make_shared<boost::asio::steady_timer>(context_, kJoinRetry);
      retry->async_wait([this, retry](const boost::system::error_code&) { Join(); });
      return;
    }
    for (const auto& [id, address] : aResult->contacts_) {
      fleet_.AddContact(id, address);
    }
    self_ = { settings_.self_.ref_.id_, aResult->incarnation_ };
    LoadRows();
  });
}

void
ControlService::LoadRows()
{
  if (stopped_) {
    return;
  }
  driver_.Rows().Load([this](const tl::expected<std::vector<ShardRow>, StoreError>& aRows) {
    if (!aRows) {
      const auto retry = std::make_shared<boost::asio::steady_timer>(context_, kJoinRetry);
      retry->async_wait([this, retry](const boost::system::error_code&) { LoadRows(); });
      return;
    }
    OnRowsLoaded(*aRows);
  });
}

void
ControlService::OnRowsLoaded(const std::vector<ShardRow>& aRows)
{
  keeper_.Read([](bool) {});
  StartIncarnation(self_);
  driver_.OnStoreRows(aRows);
  joined_ = true;
  LogLine(LogLevel::Info, "joined")
    .With("instance", self_.id_)
    .With("incarnation", self_.incarnation_)
    .With("rows", aRows.size());
  hooks_.onJoined_(self_);
}

void
ControlService::StartIncarnation(const InstanceRef& aSelf)
{
  self_ = aSelf;
  PublishSelf();
  driver_.Start(aSelf);
}

void
ControlService::Rejoin()
{
  if (stopped_ || leaving_) {
    return;
  }
  LogLine(LogLevel::Warning, "rejoin").With("previous_incarnation", self_.incarnation_);
  StartIncarnation({ self_.id_, self_.incarnation_ + 1 });
  shares_.OnOwnershipChanged();
}

void
ControlService::PublishSelf()
{
  if (self_.Empty()) {
    return;
  }
  Member member = settings_.self_;
  member.ref_ = self_;
  member.service_ = backend_.service_;
  member.slots_ = backend_.slots_;
  member.labels_ = backend_.labels_;
  member.state_ = backend_.state_;
  member.leaving_ = leaving_;
  fleet_.SetSelf(member);
}

void
ControlService::PublishView()
{
  const bool current = keeper_.IsCurrent(DataCentres());
  const bool changed = fleet_.Version() != publishedFleetVersion_ || current != viewCurrent_ ||
                       view_.Get()->configuration_ != keeper_.Current();
  if (!changed) {
    return;
  }
  if (current != viewCurrent_) {
    LogLine(current ? LogLevel::Info : LogLevel::Warning, "configuration_currency")
      .With("current", current ? "yes" : "no")
      .With("revision", keeper_.Current()->revision_);
  }
  publishedFleetVersion_ = fleet_.Version();
  viewCurrent_ = current;
  auto next = std::make_shared<RoutingView>();
  next->configuration_ = keeper_.Current();
  next->configurationCurrent_ = current;
  next->members_ = fleet_.Members();
  next->self_ = self_;
  next->selfDataCentre_ = settings_.self_.dataCentre_;
  next->selfWithdrawnSince_ = withdrawalStart_.Earliest();
  for (const Service& service : keeper_.Current()->configuration_.services_) {
    if (service.mode_ == ServiceMode::Keyed) {
      next->shards_[service.id_].rows_.resize(service.shards_);
    }
  }
  for (const auto& [shard, row] : fleet_.Rows()) {
    const auto found = next->shards_.find(shard.service_);
    if (found != next->shards_.end() && shard.index_ < found->second.rows_.size()) {
      found->second.rows_[shard.index_] = row;
    }
  }
  view_.Set(std::move(next));
}

void
ControlService::UpdateBackendRelease()
{
  const bool serves =
    backend_.state_ == BackendState::Ready || backend_.state_ == BackendState::Cold;
  if (!serves && !backend_.service_.empty()) {
    driver_.ReleaseService(backend_.service_);
  }
}

void
ControlService::CheckLeave()
{
  const bool done = leaving_ && driver_.Node() != nullptr && driver_.Owned().empty() &&
                    driver_.Node()->Shards().ReleasesDone();
  if (!done || leaveDone_.empty()) {
    return;
  }
  fleet_.RemoveMember(self_);
  gossip_.Tick();
  for (const Task& task : std::exchange(leaveDone_, {})) {
    task();
  }
}

bool
ControlService::IsWatcher() const
{
  std::size_t earlierMembers = 0;
  for (const auto& [id, member] : fleet_.Members()) {
    const bool sameDataCentre = member.dataCentre_ == settings_.self_.dataCentre_;
    if (id == self_.id_) {
      return earlierMembers < kWatchersPerDataCentre;
    }
    earlierMembers += sameDataCentre && !member.leaving_ ? 1 : 0;
  }
  return true;
}

std::size_t
ControlService::DataCentres() const
{
  std::set<std::string_view> names;
  for (const auto& [id, member] : fleet_.Members()) {
    names.insert(member.dataCentre_);
  }
  return std::max<std::size_t>(names.size(), 1);
}

} // namespace redwing
